"""Datagrams on their way through an instance: routed, held or dropped."""

from __future__ import annotations

from skylarkfold import effect
from skylarkfold import event
from skylarkfold.flows import _catalog
from skylarkfold.flows import _hold
from skylarkfold.flows import _messages
from skylarkfold.flows import _notes
from skylarkfold.flows import _packet
from skylarkfold.flows import _router
from skylarkfold.flows import _state
from skylarkfold import metric


class Datagrams:
    """Takes the datagrams of callers, and those that peers redirect.

    :param catalog: the services.
    :param router: decides on a datagram whose service is known.
    :param held: the datagrams that wait.
    :param pins: what the replicas of pins are to be told.
    """

    __slots__ = ('_catalog', '_held', '_pins', '_router')

    def __init__(
        self,
        catalog: _catalog.Catalog,
        router: _router.Router,
        held: _hold.HeldPackets,
        pins: _notes.PinQueue,
    ) -> None:
        self._catalog = catalog
        self._router = router
        self._held = held
        self._pins = pins

    def receive(
        self, now: float, received: event.DatagramReceived
    ) -> list[object]:
        """Forward a datagram, or do what its flow needs first.

        :param now: the time.
        :param received: the datagram.
        :returns: effects.
        """
        state = self._catalog.find(received.address)
        if state is None:
            return _drop_unclaimed(received)
        if not received.is_first:
            upstream, reason = state.find_known(received.caller)
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
        return self._route_one(now, state, packet)

    def take_redirect(
        self, now: float, redirected: _messages.Redirect
    ) -> list[object]:
        """Take a datagram that a peer received.

        :param now: the time.
        :param redirected: the datagram.
        :returns: effects.
        """
        packet = _packet.read_redirect(redirected)
        state = self._catalog.get(packet.service)
        if state is None:
            self._held.add(now, packet)
            return [effect.CountMetric(metric.FLOWS_HELD)]
        return self._route_one(now, state, packet)

    def release(self, now: float) -> list[object]:
        """Route all that is held once more, after a change.

        :param now: the time.
        :returns: effects.
        """
        effects: list[object] = []
        for packet in self._held.release():
            state = self._catalog.get(packet.service)
            if state is not None:
                effects += self._router.route(now, state, packet)
            else:
                self._held.add(now, packet)
        return effects

    def expire(self, now: float) -> list[object]:
        """Drop what was held for too long.

        :param now: the time.
        :returns: effects.
        """
        expired = self._held.expire(now)
        if not expired:
            return []
        return [effect.CountMetric(metric.FLOWS_DROPPED_HELD, len(expired))]

    def _route_one(
        self,
        now: float,
        state: _state.ServiceState,
        packet: _packet.Packet,
    ) -> list[object]:
        effects = self._router.route(now, state, packet)
        effects += self._pins.drain(now)
        return effects


def _drop_unclaimed(received: event.DatagramReceived) -> list[object]:
    reason = effect.Reason.NO_SERVICE
    return [
        effect.DropDatagram(received.address, received.caller, reason),
        effect.CountMetric(f'{metric.FLOWS_DROPPED}.{reason.value}'),
    ]
