"""Handling of datagrams from callers and of datagrams from peers."""

from __future__ import annotations

from skylarkfold import effect
from skylarkfold import event
from skylarkfold.flows import _messages
from skylarkfold.flows import _packet
from skylarkfold.flows import _packet_buffer
from skylarkfold.flows import _router
from skylarkfold.flows import _send_queues
from skylarkfold.flows import _service_registry
from skylarkfold.flows import _state
from skylarkfold import metric


class DatagramHandler:
    """Routes, buffers or drops datagrams.

    :param registry: the services.
    :param router: routes the datagrams of known services.
    :param buffer: datagrams that can't be routed yet.
    :param pin_queue: new pins for the replicas.
    """

    __slots__ = ('_registry', '_buffer', '_pin_queue', '_router')

    def __init__(
        self,
        registry: _service_registry.ServiceRegistry,
        router: _router.Router,
        buffer: _packet_buffer.PacketBuffer,
        pin_queue: _send_queues.PinQueue,
    ) -> None:
        self._registry = registry
        self._router = router
        self._buffer = buffer
        self._pin_queue = pin_queue

    def receive(
        self, now: float, received: event.DatagramReceived
    ) -> list[object]:
        """Handle a datagram from a caller.

        :param now: the current time.
        :param received: the datagram.
        :returns: the effects.
        """
        state = self._registry.find_by_address(received.address)
        if state is None:
            return _drop_unclaimed(received)
        if not received.is_first:
            upstream, reason = state.find_local(received.caller)
            if upstream is not None:
                return [
                    effect.ForwardDatagram(
                        state.service,
                        upstream,
                        received.caller,
                        received.payload,
                        reason,
                    )
                ]
        packet = _packet.Packet(
            service=state.name,
            address=received.address,
            caller=received.caller,
            payload=received.payload,
            is_first=received.is_first,
        )
        return self._route_packet(now, state, packet)

    def receive_redirect(
        self, now: float, redirected: _messages.Redirect
    ) -> list[object]:
        """Handle a datagram that a peer redirected to this instance.

        :param now: the current time.
        :param redirected: the peer's message.
        :returns: the effects.
        """
        packet = _packet.unpack_redirect(redirected)
        state = self._registry.get(packet.service)
        if state is None:
            self._buffer.add(now, packet)
            return [effect.CountMetric(metric.FLOWS_HELD)]
        return self._route_packet(now, state, packet)

    def route_held(self, now: float) -> list[object]:
        """Route the buffered datagrams again, after a change.

        :param now: the current time.
        :returns: the effects.
        """
        effects: list[object] = []
        for packet in self._buffer.take_all():
            state = self._registry.get(packet.service)
            if state is not None:
                effects += self._router.route(now, state, packet)
            else:
                self._buffer.add(now, packet)
        return effects

    def expire_held(self, now: float) -> list[object]:
        """Drop the datagrams that have been buffered for too long.

        :param now: the current time.
        :returns: the effects.
        """
        expired = self._buffer.expire(now)
        if not expired:
            return []
        return [effect.CountMetric(metric.FLOWS_DROPPED_HELD, len(expired))]

    def _route_packet(
        self,
        now: float,
        state: _state.ServiceState,
        packet: _packet.Packet,
    ) -> list[object]:
        effects = self._router.route(now, state, packet)
        effects += self._pin_queue.drain(now)
        return effects


def _drop_unclaimed(received: event.DatagramReceived) -> list[object]:
    reason = effect.Reason.NO_SERVICE
    return [
        effect.DropDatagram(received.address, received.caller, reason),
        effect.CountMetric(f'{metric.FLOWS_DROPPED}.{reason.value}'),
    ]
