"""Caller process that generates all traffic of a run.

``python -m skylarkfold.load.caller PLAN`` reads a plan, prints ``ready
host:port`` and serves a control API at that address: ``PUT /start`` starts
the traffic, ``PUT /targets`` sets the instances that traffic is sent to, and
``PUT /finish`` stops the traffic and responds with all results.
"""

from __future__ import annotations

import asyncio
import functools
import pathlib

import aiohttp
from aiohttp import web
import msgspec

from skylarkfold.load import _fabric
from skylarkfold.load import _flow_caller
from skylarkfold.load import _latency
from skylarkfold.load import _network_path
from skylarkfold.load import _request_caller
from skylarkfold.load import _result
from skylarkfold.load import _stream_caller
from skylarkfold.load import _traffic
from skylarkfold import standin

AnyCaller = (
    _flow_caller.FlowCaller
    | _request_caller.RequestCaller
    | _stream_caller.StreamCaller
)


class Caller:
    """Generator of all traffic of a caller process.

    :param plan: the traffic to generate.
    :param session: the HTTP client session.
    """

    def __init__(
        self, plan: _traffic.CallerPlan, session: aiohttp.ClientSession
    ) -> None:
        self._plan = plan
        self._session = session
        self._fabric = _fabric.Fabric(plan.seed, plan.targets)
        self._latency = _latency.LatencyRecorder()
        self._callers = [self._build_caller(each) for each in plan.traffic]
        self._tasks: list[asyncio.Task[None]] = []

    @functools.singledispatchmethod
    def _build_caller(self, traffic: _traffic.Traffic) -> AnyCaller:
        raise NotImplementedError(type(traffic))

    @_build_caller.register
    def _(self, traffic: _traffic.Datagrams) -> AnyCaller:
        return _flow_caller.FlowCaller(traffic, self._build_path(traffic))

    @_build_caller.register
    def _(self, traffic: _traffic.Streams) -> AnyCaller:
        return _stream_caller.StreamCaller(traffic, self._build_path(traffic))

    @_build_caller.register
    def _(self, traffic: _traffic.Requests) -> AnyCaller:
        ports = self._plan.services[traffic.service]
        return _request_caller.RequestCaller(
            traffic,
            ports.request_port,
            self._fabric,
            self._latency,
            self._session,
        )

    def _build_path(
        self, traffic: _traffic.Datagrams | _traffic.Streams
    ) -> _network_path.NetworkPath:
        port = self._plan.services[traffic.service].port
        return _network_path.NetworkPath(
            port, self._plan.host, self._fabric, self._latency
        )

    def start(self) -> None:
        """Start the traffic."""
        self._tasks = [
            asyncio.create_task(each.run()) for each in self._callers
        ]

    def set_targets(self, targets: list[str]) -> None:
        """Set the hosts of the instances that traffic is sent to."""
        self._fabric.targets = targets

    async def finish(self) -> _result.CallerResults:
        """Stop the traffic, wait for open requests and return the results.

        Requests are stopped first, so that flows and streams are held until
        all requests have ended.

        :returns: the results of all traffic.
        :raises RuntimeError: if traffic ended before it was stopped.
        """
        for task, caller in zip(self._tasks, self._callers, strict=True):
            if isinstance(caller, _request_caller.RequestCaller):
                task.cancel()
                await caller.finish()
        for task in self._tasks:
            task.cancel()
        ended = await asyncio.gather(*self._tasks, return_exceptions=True)
        for each in ended:
            if not isinstance(each, asyncio.CancelledError):
                raise each or RuntimeError(
                    'traffic ended before it was stopped'
                )
        return self._collect()

    def _collect(self) -> _result.CallerResults:
        results = _result.CallerResults(latencies=self._latency.encode())
        for caller in self._callers:
            if isinstance(caller, _flow_caller.FlowCaller):
                results.flows += caller.results
            elif isinstance(caller, _stream_caller.StreamCaller):
                results.streams += caller.results
            else:
                results.requests += caller.results
        return results


def _build_application(caller: Caller) -> web.Application:
    async def start(request: web.Request) -> web.Response:
        caller.start()
        return web.json_response({})

    async def set_targets(request: web.Request) -> web.Response:
        caller.set_targets(await request.json())
        return web.json_response({})

    async def finish(request: web.Request) -> web.Response:
        results = await caller.finish()
        return web.Response(
            body=msgspec.json.encode(results), content_type='application/json'
        )

    application = web.Application()
    application.add_routes(
        [
            web.put('/start', start),
            web.put('/targets', set_targets),
            web.put('/finish', finish),
        ]
    )
    return application


async def serve(path: str) -> None:
    """Serve the control API of a caller until SIGTERM.

    :param path: the path of the plan file.
    """
    text = pathlib.Path(path).read_bytes()
    plan = msgspec.json.decode(text, type=_traffic.CallerPlan)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await standin.serve_until_stopped(
            _build_application(Caller(plan, session))
        )
