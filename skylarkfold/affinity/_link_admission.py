"""Admission of first packets by the room on this instance's own link."""

from __future__ import annotations

from collections.abc import Container
from collections.abc import Iterator

from skylarkfold.affinity import _effect
from skylarkfold.affinity import _flow
from skylarkfold.affinity import _flow_reset
from skylarkfold.affinity import _packet
from skylarkfold.affinity import _refusal
from skylarkfold.affinity import _route
from skylarkfold.affinity import _tally
from skylarkfold import room as rooms

Reason = _effect.Reason


class LinkAdmission:
    """Applies decisions on bulk transfers to first packets.

    :param bulk_admission: decides on bulk transfers.
    :param refusals: refuses flows that are not admitted.
    :param tally: where first packets are counted.
    """

    __slots__ = ('_bulk_admission', '_refusals', '_tally')

    def __init__(
        self,
        bulk_admission: rooms.BulkAdmission,
        refusals: _refusal.Refusals,
        tally: _tally.Tally,
    ) -> None:
        self._bulk_admission = bulk_admission
        self._refusals = refusals
        self._tally = tally
        tally.add_histogram(_tally.LINK_WAIT_SECONDS)

    def set_routes(self, addresses: Container[bytes]) -> None:
        """Remove what was learnt of routes that no longer exist.

        :param addresses: the addresses of the existing routes.
        """
        self._bulk_admission.keep_routes(addresses)

    def is_waiting(self, flow: bytes) -> bool:
        """Return whether a flow's first packet is held.

        :param flow: the packed flow.
        :returns: whether it does.
        """
        return self._bulk_admission.is_waiting(flow)

    def hold(
        self,
        now: float,
        packet: _packet.Packet,
        route: _route.Route,
        version: int,
    ) -> list[object] | None:
        """Hold or refuse a first packet that the link has no room for.

        :param now: the time.
        :param packet: the packet.
        :param route: its route, which is not preferred.
        :param version: the version of the routes.
        :returns: effects; None to send it to an upstream.
        """
        decision = self._bulk_admission.decide(now, packet, route.aim_seconds)
        if decision is None:
            return None
        if decision.outcome == decision.WAITS:
            self._tally.count(_tally.HELD, Reason.LINK_FULL)
            details = _list_details(decision)
            reason = Reason.LINK_FULL
            return [
                _effect.RecordDecision(
                    'hold', reason, packet.flow, details=details
                )
            ]
        if decision.outcome == decision.REPEATED:
            return self._drop(Reason.REPEATED)
        return self._refuse(packet, decision, version)

    def begin(self, now: float, packet: _packet.Packet) -> None:
        """Record that a first packet is sent to an upstream.

        :param now: the time.
        :param packet: the packet.
        """
        self._bulk_admission.begin(now, packet)

    def handle_packet(
        self,
        now: float,
        flow: _flow.Flow,
        packet: _packet.Packet,
        route: _route.Route,
    ) -> None:
        """Record a packet of an open flow, before the flow is updated.

        :param now: the time.
        :param flow: its flow.
        :param packet: the packet.
        :param route: its route, which is not preferred.
        """
        # If another instance opened the flow, a request may have begun there.
        is_start = bool(flow.tried)
        if flow.next_sequence is not None:
            is_start = flow.waiting_since is None
        self._bulk_admission.handle_packet(
            now, packet, route.address, is_start
        )

    def release(self, now: float) -> Iterator[_packet.Packet]:
        """Yield held first packets as the link has room for them.

        :param now: the time.
        :returns: packets, each to be sent to an upstream before the next one
            is requested.
        """
        while (waiter := self._bulk_admission.pop_ready(now)) is not None:
            self._observe(now - waiter.since)
            yield waiter.packet

    def expire(self, now: float, version: int) -> list[object]:
        """Refuse first packets that have been held for too long.

        :param now: the time.
        :param version: the version of the routes.
        :returns: effects.
        """
        effects: list[object] = []
        while (waiter := self._bulk_admission.pop_late(now)) is not None:
            self._observe(now - waiter.since)
            decision = self._bulk_admission.describe(now, waiter)
            effects += self._refuse(waiter.packet, decision, version)
        return effects

    def find_due(self, now: float) -> float | None:
        """Return when a held packet may be released or expires.

        :param now: the time.
        :returns: the time, None if none is held.
        """
        return self._bulk_admission.find_due(now)

    def list_gauges(self) -> dict[str, float]:
        """List gauges of transfers in progress and held ones.

        :returns: values by name.
        """
        transfers = self._bulk_admission.transfers
        return {
            'transfers': float(len(transfers)),
            'transfer_bytes': float(transfers.on_way),
            'transfers_waiting': float(self._bulk_admission.waiting_count),
        }

    def _observe(self, seconds: float) -> None:
        waits = self._tally.histograms[_tally.LINK_WAIT_SECONDS]
        waits.observe(seconds)

    def _refuse(
        self,
        packet: _packet.Packet,
        decision: rooms.BulkDecision,
        version: int,
    ) -> list[object]:
        if packet.acknowledged:
            # Another instance may have placed the first transmission.
            return self._drop(Reason.LINK_FULL)
        return self._refusals.refuse(
            packet, Reason.LINK_FULL, version, _list_details(decision)
        )

    def _drop(self, reason: str) -> list[object]:
        self._tally.count(_tally.DROPPED, reason)
        return [_effect.Drop(reason)]


def _list_details(decision: rooms.BulkDecision) -> dict[str, object]:
    return {
        'bytes': decision.on_way,
        'waiting': decision.waiting,
        'link_share': round(decision.link_share, 2),
        'wait_ms': _flow_reset.to_ms(decision.wait_seconds),
        'limit_ms': _flow_reset.to_ms(decision.limit_seconds),
    }


def build_link_admission(
    room: rooms.InstanceHeadroom | None,
    refusals: _refusal.Refusals,
    tally: _tally.Tally,
) -> LinkAdmission | None:
    """Build link admission if it is configured.

    :param room: the headroom of this instance's own link.
    :param refusals: refuses flows that are not admitted.
    :param tally: where first packets are counted.
    :returns: link admission; None if the link's rate is not known or bulk
        transfers are not limited.
    """
    if room is None or not room.bytes_per_second:
        return None
    if not room.settings.bulk_share:
        return None
    return LinkAdmission(
        rooms.BulkAdmission(room.settings, room), refusals, tally
    )
