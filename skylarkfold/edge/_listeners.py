"""Listening sockets of services, updated with the configuration."""

from __future__ import annotations

import asyncio
import logging

from aiohttp import web

from skylarkfold import configuration as configuration_module
from skylarkfold.edge import _datagram
from skylarkfold.edge import _requests
from skylarkfold.edge import _runtime
from skylarkfold.edge import _stream
from skylarkfold import endpoint
from skylarkfold import errors
from skylarkfold import log
from skylarkfold import service as service_module

_logger = logging.getLogger(log.LOGGER_NAME)


class _ServiceSockets:
    """The open sockets of one service."""

    def __init__(self, service: service_module.Service) -> None:
        self.service = service
        self.datagrams: _datagram.DatagramListener | None = None
        self.streams: asyncio.Server | None = None
        self.requests: web.AppRunner | None = None

    async def close(self) -> None:
        if self.datagrams is not None:
            self.datagrams.close()
        if self.streams is not None:
            self.streams.close()
        if self.requests is not None:
            await self.requests.cleanup()


class Listeners:
    """Opens and closes the listening sockets of services.

    :param runtime: the runtime that all parts of the daemon share.
    :param bind_host: the host to bind; empty for each service's address.
    :param router: the lookup of established flows.
    :param upstream_socket: the socket for traffic with upstreams.
    :param streams: the relay of TCP streams.
    :param requests: the server of HTTP requests.
    """

    def __init__(
        self,
        runtime: _runtime.Runtime,
        bind_host: str,
        router: _datagram.FlowRouter,
        upstream_socket: _datagram.UpstreamSocket,
        streams: _stream.StreamRelay,
        requests: _requests.RequestServer,
    ) -> None:
        self._runtime = runtime
        self._bind_host = bind_host
        self._router = router
        self._upstream_socket = upstream_socket
        self._streams = streams
        self._requests = requests
        self._sockets: dict[str, _ServiceSockets] = {}
        self._lock = asyncio.Lock()
        self._unbound_services: set[str] = set()

    @property
    def has_failed(self) -> bool:
        """Whether the last attempt to bind a service failed."""
        return bool(self._unbound_services)

    async def configure(
        self, configuration: configuration_module.Configuration
    ) -> None:
        """Open and close sockets to match the configuration.

        A service whose address can't be bound is logged and skipped; the
        next call tries again.

        :param configuration: the configuration in force.
        """
        async with self._lock:
            await self._close_outdated(configuration)
            for service in configuration.services.values():
                if service.name not in self._sockets:
                    await self._open(service)
            self._upstream_socket.configure(
                configuration, self._map_datagram_listeners()
            )

    async def _close_outdated(
        self, configuration: configuration_module.Configuration
    ) -> None:
        for name, sockets in list(self._sockets.items()):
            configured = configuration.services.get(name)
            if configured is not None and _has_same_sockets(
                configured, sockets.service
            ):
                continue
            del self._sockets[name]
            await sockets.close()

    async def _open(self, service: service_module.Service) -> None:
        sockets = _ServiceSockets(service)
        host = self._bind_host or service.address.host
        try:
            sockets.datagrams = await self._open_datagrams(host, service)
            sockets.streams = await self._streams.listen(host, service)
            if service.request_port:
                sockets.requests = await self._requests.listen(host, service)
        except OSError as error:
            await sockets.close()
            self._report_bind_failure(service, host, error)
            return
        self._unbound_services.discard(service.name)
        self._sockets[service.name] = sockets

    def _report_bind_failure(
        self, service: service_module.Service, host: str, error: OSError
    ) -> None:
        if service.name in self._unbound_services:
            return
        self._unbound_services.add(service.name)
        reason = f'{service.name} at {host}:{service.address.port}: {error}'
        _logger.error('%s', errors.AddressInUseError(reason))

    async def _open_datagrams(
        self, host: str, service: service_module.Service
    ) -> _datagram.DatagramListener:
        loop = asyncio.get_running_loop()
        _, listener = await loop.create_datagram_endpoint(
            lambda: _datagram.DatagramListener(
                self._runtime, service, self._router, self._upstream_socket
            ),
            local_addr=(host, service.address.port),
        )
        return listener

    def _map_datagram_listeners(
        self,
    ) -> dict[endpoint.Endpoint, _datagram.DatagramListener]:
        return {
            sockets.service.address: sockets.datagrams
            for sockets in self._sockets.values()
            if sockets.datagrams is not None
        }

    async def stop_accepting(self) -> None:
        """Stop accepting streams; datagrams and requests are still served."""
        for sockets in self._sockets.values():
            if sockets.streams is not None:
                sockets.streams.close()

    async def close(self) -> None:
        """Close the listening sockets of all services."""
        async with self._lock:
            for sockets in self._sockets.values():
                await sockets.close()
            self._sockets.clear()


def _has_same_sockets(
    first: service_module.Service, second: service_module.Service
) -> bool:
    return (first.address, first.request_port, first.first_datagram) == (
        second.address,
        second.request_port,
        second.first_datagram,
    )
