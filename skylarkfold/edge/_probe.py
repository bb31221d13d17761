"""Polls of upstreams' health and load endpoints.

What they say lags and may be wrong; it is passed on as a report.
"""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec

from skylarkfold import configuration as configuration_module
from skylarkfold.edge import _http_session
from skylarkfold.edge import _runtime
from skylarkfold.edge import _settings
from skylarkfold import event
from skylarkfold import service as service_module

_TIMEOUT_SECONDS = 1.0
_IDLE_SECONDS = 0.5


class _Load(msgspec.Struct):
    running: int = 0
    flows: int = 0


class Prober:
    """Asks upstreams in turn, at a bounded rate.

    :param runtime: what all parts of the daemon share.
    :param settings: the rates.
    """

    def __init__(
        self, runtime: _runtime.Runtime, settings: _settings.EdgeSettings
    ) -> None:
        self._runtime = runtime
        self._settings = settings
        self._targets: list[
            tuple[service_module.Service, service_module.Upstream]
        ] = []

    def configure(
        self, configuration: configuration_module.Configuration
    ) -> None:
        """Take the upstreams to ask.

        :param configuration: what is in force.
        """
        self._targets = [
            (service, upstream)
            for service in configuration.services.values()
            for upstream in service.upstreams
            if upstream.request_port
        ]

    async def run(self) -> None:
        """Ask all upstreams over and over; ends when cancelled."""
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS)
        async with _http_session.make_session(timeout=timeout) as session:
            while True:
                await self._ask_all(session)

    async def _ask_all(self, session: aiohttp.ClientSession) -> None:
        targets = self._targets
        if not targets:
            await asyncio.sleep(_IDLE_SECONDS)
            return
        pause = max(
            1.0 / self._settings.probes_per_second,
            self._settings.probe_seconds / len(targets),
        )
        for service, upstream in targets:
            self._runtime.start(self._ask(session, service, upstream))
            await asyncio.sleep(pause)

    async def _ask(
        self,
        session: aiohttp.ClientSession,
        service: service_module.Service,
        upstream: service_module.Upstream,
    ) -> None:
        base = f'http://{upstream.address.host}:{upstream.request_port}'
        healthy = reachable = False
        load = _Load()
        try:
            async with session.get(f'{base}/health') as response:
                reachable = True
                healthy = response.status == 200
            async with session.get(f'{base}/load') as response:
                body = await response.read()
                load = msgspec.json.decode(body, type=_Load)
        except (aiohttp.ClientError, OSError, TimeoutError):
            healthy = False
        except (msgspec.MsgspecError, ValueError):
            load = _Load()
        # A probe that is late says less than an answer that came.
        if upstream.address in self._runtime.heard:
            self._runtime.heard.discard(upstream.address)
            reachable = True
        self._runtime.handle(
            event.LoadReported(
                service.name,
                upstream.name,
                healthy,
                load.running,
                load.flows,
                reachable,
            )
        )
