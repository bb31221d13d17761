"""Callers' datagrams to upstreams, and upstreams' answers to callers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from skylarkfold import configuration as configuration_module
from skylarkfold.edge import _header
from skylarkfold.edge import _runtime
from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold import errors
from skylarkfold import event
from skylarkfold import metric
from skylarkfold import service as service_module

_KIND = 'datagram'


class FlowRouter(Protocol):
    """What answers for a known flow without further work."""

    def route(
        self, now: float, service: str, caller: endpoint.Endpoint
    ) -> service_module.Upstream | None:
        """Find the upstream of a flow that this instance can answer."""


class UpstreamSocket(asyncio.DatagramProtocol):
    """The one socket of an instance that upstreams see.

    :param runtime: what all parts of the daemon share.
    """

    def __init__(self, runtime: _runtime.Runtime) -> None:
        self._runtime = runtime
        self._transport: asyncio.DatagramTransport | None = None
        self._listeners: dict[endpoint.Endpoint, DatagramListener] = {}
        self._senders: dict[
            endpoint.Endpoint, frozenset[endpoint.Endpoint]
        ] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remember the socket."""
        self._transport = transport

    def configure(
        self,
        configuration: configuration_module.Configuration,
        listeners: dict[endpoint.Endpoint, DatagramListener],
    ) -> None:
        """Accept answers from the configuration's upstreams only.

        :param configuration: what is in force.
        :param listeners: by the service address that they serve.
        """
        self._listeners = listeners
        self._senders = {
            service.address: frozenset(
                upstream.address for upstream in service.upstreams
            )
            for service in configuration.services.values()
        }

    def send(
        self,
        payload: bytes,
        caller: endpoint.Endpoint,
        address: endpoint.Endpoint,
        upstream: endpoint.Endpoint,
    ) -> None:
        """Send a caller's datagram to an upstream.

        :param payload: the caller's bytes.
        :param caller: who sent them.
        :param address: the service's address that they were sent to.
        :param upstream: where they go.
        """
        header = _header.pack_datagram_header(caller, address)
        self._transport.sendto(header + payload, upstream)

    def datagram_received(self, data: bytes, sender: tuple) -> None:
        """Pass an upstream's answer on to its caller."""
        try:
            caller, address, payload = _header.split(data)
        except errors.DecodeError:
            self._runtime.counters.add(metric.DATAGRAMS_MALFORMED)
            return
        listener = self._listeners.get(address)
        upstream = sender[:2]
        senders = self._senders.get(address, ())
        if listener is None or upstream not in senders:
            self._runtime.counters.add(metric.DATAGRAMS_MALFORMED)
            return
        self._runtime.heard.add(upstream)
        self._runtime.counters.add(metric.DATAGRAMS_ANSWERED)
        listener.answer(payload, caller)

    def error_received(self, error: Exception) -> None:
        """Ignore that an upstream's port is closed; probes see it."""

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


class DatagramListener(asyncio.DatagramProtocol):
    """The socket of one service towards its callers.

    :param runtime: what all parts of the daemon share.
    :param service: the service.
    :param router: what answers for known flows.
    :param upstreams: the socket towards upstreams.
    """

    def __init__(
        self,
        runtime: _runtime.Runtime,
        service: service_module.Service,
        router: FlowRouter,
        upstreams: UpstreamSocket,
    ) -> None:
        self._runtime = runtime
        self._name = service.name
        self._address = service.address
        self._mark = service.first_datagram
        self._route = router.route
        self._send = upstreams.send
        self._transport: asyncio.DatagramTransport | None = None
        self._clock: Callable[[], float] = runtime.clock
        self._log_packets = runtime.log_packets

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remember the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, caller: tuple) -> None:
        """Forward a datagram at once, or ask the node about its flow."""
        if self._mark and data.startswith(self._mark):
            self._ask(data, caller, True)
            return
        upstream = self._route(self._clock(), self._name, caller)
        if upstream is None:
            self._ask(data, caller, False if self._mark else None)
            return
        self._send(data, caller, self._address, upstream.address)
        self._runtime.counters.add(metric.DATAGRAMS_FORWARDED)
        if self._log_packets:
            self._runtime.decisions.append(
                _KIND, self._name, caller, upstream.name, effect.Reason.CACHED
            )

    def _ask(self, data: bytes, caller: tuple, is_first: bool | None) -> None:
        received = event.DatagramReceived(
            self._address,
            endpoint.Endpoint(caller[0], caller[1]),
            data,
            is_first,
        )
        self._runtime.handle(received)

    def answer(self, payload: bytes, caller: endpoint.Endpoint) -> None:
        """Send an upstream's answer to a caller.

        :param payload: the answer's bytes.
        :param caller: who asked.
        """
        if not self._transport.is_closing():
            self._transport.sendto(payload, caller)

    def error_received(self, error: Exception) -> None:
        """Ignore that a caller's port is closed."""

    def close(self) -> None:
        """Close the socket."""
        self._transport.close()
