"""The sockets towards callers, kept in step with the configuration."""

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


class _Opened:
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
    """Opens and closes the sockets of services.

    :param runtime: what all parts of the daemon share.
    :param bind_host: where to bind; empty for each service's address.
    :param router: what answers for known flows.
    :param upstreams: the socket towards upstreams.
    :param streams: the relay of TCP streams.
    :param requests: the server of HTTP requests.
    """

    def __init__(
        self,
        runtime: _runtime.Runtime,
        bind_host: str,
        router: _datagram.FlowRouter,
        upstreams: _datagram.UpstreamSocket,
        streams: _stream.StreamRelay,
        requests: _requests.RequestServer,
    ) -> None:
        self._runtime = runtime
        self._bind_host = bind_host
        self._router = router
        self._upstreams = upstreams
        self._streams = streams
        self._requests = requests
        self._opened: dict[str, _Opened] = {}
        self._lock = asyncio.Lock()
        self._failed: set[str] = set()

    @property
    def has_failed(self) -> bool:
        """Tell whether a service could not be bound at the last try."""
        return bool(self._failed)

    async def configure(
        self, configuration: configuration_module.Configuration
    ) -> None:
        """Open and close sockets until they match.

        A service whose address can't be bound is logged and left out; the
        next call tries again.

        :param configuration: what is in force.
        """
        async with self._lock:
            await self._close_changed(configuration)
            for service in configuration.services.values():
                if service.name not in self._opened:
                    await self._open(service)
            self._upstreams.configure(configuration, self._map_listeners())

    async def _close_changed(
        self, configuration: configuration_module.Configuration
    ) -> None:
        for name, opened in list(self._opened.items()):
            wanted = configuration.services.get(name)
            if wanted is not None and _has_same_sockets(
                wanted, opened.service
            ):
                continue
            del self._opened[name]
            await opened.close()

    async def _open(self, service: service_module.Service) -> None:
        opened = _Opened(service)
        host = self._bind_host or service.address.host
        try:
            opened.datagrams = await self._open_datagrams(host, service)
            opened.streams = await self._streams.listen(host, service)
            if service.request_port:
                opened.requests = await self._requests.listen(host, service)
        except OSError as error:
            await opened.close()
            self._report(service, host, error)
            return
        self._failed.discard(service.name)
        self._opened[service.name] = opened

    def _report(
        self, service: service_module.Service, host: str, error: OSError
    ) -> None:
        if service.name in self._failed:
            return
        self._failed.add(service.name)
        reason = f'{service.name} at {host}:{service.address.port}: {error}'
        _logger.error('%s', errors.AddressInUseError(reason))

    async def _open_datagrams(
        self, host: str, service: service_module.Service
    ) -> _datagram.DatagramListener:
        loop = asyncio.get_running_loop()
        _, listener = await loop.create_datagram_endpoint(
            lambda: _datagram.DatagramListener(
                self._runtime, service, self._router, self._upstreams
            ),
            local_addr=(host, service.address.port),
        )
        return listener

    def _map_listeners(
        self,
    ) -> dict[endpoint.Endpoint, _datagram.DatagramListener]:
        return {
            opened.service.address: opened.datagrams
            for opened in self._opened.values()
            if opened.datagrams is not None
        }

    async def stop_accepting(self) -> None:
        """Refuse new streams; datagrams and requests still get answers."""
        for opened in self._opened.values():
            if opened.streams is not None:
                opened.streams.close()

    async def close(self) -> None:
        """Close all sockets towards callers."""
        async with self._lock:
            for opened in self._opened.values():
                await opened.close()
            self._opened.clear()


def _has_same_sockets(
    one: service_module.Service, other: service_module.Service
) -> bool:
    return (one.address, one.request_port, one.first_datagram) == (
        other.address,
        other.request_port,
        other.first_datagram,
    )
