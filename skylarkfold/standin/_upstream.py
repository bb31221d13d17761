"""The upstream stand-in: many upstreams of any services in one process."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import socket
import time

from aiohttp import web
import msgspec

from skylarkfold import endpoint
from skylarkfold.standin import _behaviour
from skylarkfold.standin import _daemon
from skylarkfold.standin import _datagram
from skylarkfold.standin import _execution
from skylarkfold.standin import _record
from skylarkfold.standin import _report
from skylarkfold.standin import _settings
from skylarkfold.standin import _stream

BIND_TRIES = 50
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
MAXIMUM_BODY_BYTES = 16 * 1024 * 1024


def _bind_pair(
    address: endpoint.Endpoint,
) -> tuple[socket.socket, socket.socket]:
    """Bind a datagram and a stream socket to the same address."""
    tries = 1 if address.port else BIND_TRIES
    for attempt in range(tries):
        stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            stream.bind(address)
            datagram.bind(stream.getsockname())
        except OSError:
            stream.close()
            datagram.close()
            if attempt == tries - 1:
                raise
            continue
        return datagram, stream
    raise AssertionError


class Upstream:
    """One running upstream.

    :param name: its name.
    :param service: its service's name.
    :param settings: its addresses and behaviour.
    """

    def __init__(
        self, name: str, service: str, settings: _settings.UpstreamSettings
    ) -> None:
        self._name = name
        self._settings = settings
        self.record = _record.UpstreamRecord(service, settings.address, 0)
        self.executor = _execution.Executor(
            name, settings.slots, self.record, settings.behaviour
        )

    async def start(self) -> None:
        """Listen on all its addresses.

        :raises OSError: if an address can't be bound.
        """
        address = endpoint.parse_endpoint(self._settings.address)
        datagram, stream = _bind_pair(address)
        address = endpoint.Endpoint(*stream.getsockname())
        datagram.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        await self._listen(datagram, stream)
        self._runner = await _daemon.start_server(
            self._make_application(),
            address.host,
            self._settings.request_port,
        )
        self.record.address = str(address)
        self.record.request_port = _daemon.get_address(self._runner).port
        self.record.started = time.monotonic()

    async def _listen(
        self, datagram: socket.socket, stream: socket.socket
    ) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _datagram.DatagramEcho(
                self._name, self.record, lambda: self.executor.behaviour
            ),
            sock=datagram,
        )
        echo = _stream.StreamEcho(self._name, self.record)
        self._server = await asyncio.start_server(echo.serve, sock=stream)

    def _make_application(self) -> web.Application:
        reporter = _report.Reporter(self.executor, self.record)
        application = web.Application(client_max_size=MAXIMUM_BODY_BYTES)
        application.add_routes(
            [
                web.get('/health', reporter.show_health),
                web.get('/load', reporter.show_load),
                web.route('*', '/{path:.*}', self.executor.execute),
            ]
        )
        return application

    async def stop(self) -> None:
        """Close all its sockets; what runs is cut off."""
        self._transport.close()
        self._server.close()
        await self._runner.cleanup()
        self.record.stopped = time.monotonic()


class UpstreamStandin:
    """Upstreams of any services, with an HTTP interface to steer them.

    ``GET /records`` tells what each upstream did, ``PUT
    /upstreams/SERVICE/NAME`` starts one, ``DELETE`` stops it, and ``PUT
    /behaviour/NAME`` changes how one behaves.
    """

    def __init__(self) -> None:
        self._upstreams: dict[str, Upstream] = {}

    @property
    def records(self) -> dict[str, _record.UpstreamRecord]:
        """What each upstream did, by name, stopped ones included."""
        return {name: each.record for name, each in self._upstreams.items()}

    async def start(self, settings: _settings.UpstreamStandinSettings) -> None:
        """Start all upstreams of some settings."""
        for service, service_settings in settings.services.items():
            for name, upstream in service_settings.upstreams.items():
                await self.start_upstream(service, name, upstream)

    async def start_upstream(
        self, service: str, name: str, settings: _settings.UpstreamSettings
    ) -> Upstream:
        """Start one upstream; a name can't be used again."""
        upstream = Upstream(name, service, settings)
        await upstream.start()
        self._upstreams[name] = upstream
        return upstream

    async def stop(self) -> None:
        """Stop all upstreams."""
        await asyncio.gather(
            *(
                each.stop()
                for each in self._upstreams.values()
                if each.record.stopped is None
            )
        )

    def make_application(self) -> web.Application:
        """Make the application that steers the upstreams."""
        application = web.Application()
        application.add_routes(
            [
                web.get('/records', self._show_records),
                web.put('/upstreams/{service}/{name}', self._put_upstream),
                web.delete('/upstreams/{service}/{name}', self._stop_upstream),
                web.put('/behaviour/{name}', self._set_behaviour),
            ]
        )
        return application

    async def _show_records(self, request: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(self.records),
            content_type='application/json',
        )

    def _get_upstream(self, request: web.Request) -> Upstream:
        upstream = self._upstreams.get(request.match_info['name'])
        if upstream is None:
            raise web.HTTPNotFound(text='no such upstream')
        return upstream

    async def _put_upstream(self, request: web.Request) -> web.Response:
        name = request.match_info['name']
        if name in self._upstreams:
            raise web.HTTPConflict(text='the name was used before')
        try:
            fields = await request.json()
            settings = msgspec.convert(fields, _settings.UpstreamSettings)
        except (msgspec.ValidationError, json.JSONDecodeError) as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        service = request.match_info['service']
        upstream = await self.start_upstream(service, name, settings)
        return web.json_response(dataclasses.asdict(upstream.record))

    async def _stop_upstream(self, request: web.Request) -> web.Response:
        upstream = self._get_upstream(request)
        if upstream.record.stopped is None:
            await upstream.stop()
        return web.json_response({})

    async def _set_behaviour(self, request: web.Request) -> web.Response:
        executor = self._get_upstream(request).executor
        fields = dataclasses.asdict(executor.behaviour)
        fields |= await request.json()
        try:
            behaviour = msgspec.convert(fields, _behaviour.Behaviour)
        except msgspec.ValidationError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        executor.behaviour = behaviour
        return web.json_response(fields)


async def _serve(
    settings: _settings.UpstreamStandinSettings, host: str, port: int
) -> None:
    standin = UpstreamStandin()
    await standin.start(settings)
    application = standin.make_application()
    await _daemon.serve_until_stopped(application, host, port)
    await standin.stop()


def run_upstream_standin(
    settings: str = '',
    service: str = 'press-desk',
    count: int = 1,
    slots: int = 2,
    host: str = '127.0.0.1',
    port: int = 0,
) -> None:
    """Stand in for upstreams until SIGTERM or SIGINT.

    Prints ``ready host:port`` on standard output once all listen; there
    ``GET /records`` tells their addresses and what they did.

    :param settings: a file of upstreams in the form of a team's settings;
        without it, the next three say what to run on free ports.
    :param service: the service's name.
    :param count: how many upstreams.
    :param slots: the slots of each.
    :param host: where to listen for steering.
    :param port: the port for steering; 0 for any free one.
    """
    if settings:
        loaded = _settings.read_settings(settings)
    else:
        loaded = _settings.make_settings(service, count, slots)
    _daemon.run(_serve(loaded, host, port))
