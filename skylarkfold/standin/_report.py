"""The health and load endpoints of a stand-in upstream."""

from __future__ import annotations

import time

from aiohttp import web

from skylarkfold.standin import _execution
from skylarkfold.standin import _record


class Reporter:
    """Says how the upstream fares, late or wrongly where it is told to.

    :param executor: what runs the upstream's requests.
    :param record: what the upstream did.
    """

    def __init__(
        self, executor: _execution.Executor, record: _record.UpstreamRecord
    ) -> None:
        self._executor = executor
        self._record = record
        self._taken = float('-inf')
        self._reading = (0, 0)

    async def show_health(self, request: web.Request) -> web.Response:
        """Answer 200 if it says that it is healthy, else 503."""
        behaviour = self._executor.behaviour
        healthy = behaviour.reported_healthy
        if healthy is None:
            healthy = not (behaviour.shedding or behaviour.draining)
        status = 200 if healthy else 503
        return web.json_response({'healthy': healthy}, status=status)

    async def show_load(self, request: web.Request) -> web.Response:
        """Answer with the running requests and the flows held."""
        self._read(time.monotonic())
        running, flows = self._reading
        reported = self._executor.behaviour.reported_running
        if reported is not None:
            running = reported
        return web.json_response({'running': running, 'flows': flows})

    def _read(self, now: float) -> None:
        lag_seconds = self._executor.behaviour.report_lag_seconds
        if now - self._taken < lag_seconds:
            return
        self._taken = now
        running = self._executor.running + self._executor.waiting
        self._reading = (running, len(self._record.flows))
