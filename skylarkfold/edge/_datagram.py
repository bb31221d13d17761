"""UDP forwarding between callers and upstreams."""

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

_DECISION_KIND = 'datagram'


class FlowRouter(Protocol):
    """Synchronous lookup of the upstream of an established flow."""

    def route(
        self, now: float, service: str, caller: endpoint.Endpoint
    ) -> service_module.Upstream | None:
        """Return the flow's upstream, or None if a core must decide."""


class UpstreamSocket(asyncio.DatagramProtocol):
    """The one socket of an instance for traffic with upstreams.

    :param runtime: the runtime that all parts of the daemon share.
    """

    def __init__(self, runtime: _runtime.Runtime) -> None:
        self._runtime = runtime
        self._transport: asyncio.DatagramTransport | None = None
        self._listeners: dict[endpoint.Endpoint, DatagramListener] = {}
        self._upstreams_by_service: dict[
            endpoint.Endpoint, frozenset[endpoint.Endpoint]
        ] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def configure(
        self,
        configuration: configuration_module.Configuration,
        listeners: dict[endpoint.Endpoint, DatagramListener],
    ) -> None:
        """Accept answers only from the configuration's upstreams.

        :param configuration: the configuration in force.
        :param listeners: the listeners by service address.
        """
        self._listeners = listeners
        self._upstreams_by_service = {
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

        :param payload: the datagram's payload.
        :param caller: the caller's address.
        :param address: the service's address that the caller sent to.
        :param upstream: the upstream's address.
        """
        header = _header.pack_datagram_header(caller, address)
        self._transport.sendto(header + payload, upstream)

    def datagram_received(self, data: bytes, sender: tuple) -> None:
        """Forward an upstream's answer to its caller."""
        try:
            caller, address, payload = _header.split(data)
        except errors.DecodeError:
            self._runtime.counters.add(metric.DATAGRAMS_MALFORMED)
            return
        listener = self._listeners.get(address)
        upstream = sender[:2]
        known_upstreams = self._upstreams_by_service.get(address, ())
        if listener is None or upstream not in known_upstreams:
            self._runtime.counters.add(metric.DATAGRAMS_MALFORMED)
            return
        self._runtime.heard.add(upstream)
        self._runtime.counters.add(metric.DATAGRAMS_ANSWERED)
        listener.answer(payload, caller)

    def error_received(self, error: Exception) -> None:
        """Ignore an upstream's closed port; probes detect it."""

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


class DatagramListener(asyncio.DatagramProtocol):
    """The socket on which one service receives callers' datagrams.

    :param runtime: the runtime that all parts of the daemon share.
    :param service: the service.
    :param router: the lookup of established flows.
    :param upstream_socket: the socket for traffic with upstreams.
    """

    def __init__(
        self,
        runtime: _runtime.Runtime,
        service: service_module.Service,
        router: FlowRouter,
        upstream_socket: UpstreamSocket,
    ) -> None:
        self._runtime = runtime
        self._name = service.name
        self._address = service.address
        self._first_datagram_prefix = service.first_datagram
        self._route = router.route
        self._send = upstream_socket.send
        self._transport: asyncio.DatagramTransport | None = None
        self._clock: Callable[[], float] = runtime.clock
        self._log_packets = runtime.log_packets

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, caller: tuple) -> None:
        """Forward an established flow's datagram; else notify the node."""
        if self._first_datagram_prefix and data.startswith(
            self._first_datagram_prefix
        ):
            self._report_datagram(data, caller, True)
            return
        upstream = self._route(self._clock(), self._name, caller)
        if upstream is None:
            self._report_datagram(
                data, caller, False if self._first_datagram_prefix else None
            )
            return
        self._send(data, caller, self._address, upstream.address)
        self._runtime.counters.add(metric.DATAGRAMS_FORWARDED)
        if self._log_packets:
            self._runtime.decisions.append(
                _DECISION_KIND,
                self._name,
                caller,
                upstream.name,
                effect.Reason.CACHED,
            )

    def _report_datagram(
        self, data: bytes, caller: tuple, is_first: bool | None
    ) -> None:
        received = event.DatagramReceived(
            self._address,
            endpoint.Endpoint(caller[0], caller[1]),
            data,
            is_first,
        )
        self._runtime.handle(received)

    def answer(self, payload: bytes, caller: endpoint.Endpoint) -> None:
        """Send an upstream's answer to a caller.

        :param payload: the answer's payload.
        :param caller: the caller's address.
        """
        if not self._transport.is_closing():
            self._transport.sendto(payload, caller)

    def error_received(self, error: Exception) -> None:
        """Ignore a caller's closed port."""

    def close(self) -> None:
        """Close the socket."""
        self._transport.close()
