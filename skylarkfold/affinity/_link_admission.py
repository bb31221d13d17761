"""First packets that wait or are refused for the instance's own link."""

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
    """Asks the instance's room about bulk and says what came of it.

    :param gate: decides on what is bulk.
    :param refusals: refuses what is not let in.
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
        """Forget what is known of routes that are gone.

        :param addresses: those that there are.
        """
        self._bulk_admission.keep_routes(addresses)

    def is_waiting(self, flow: bytes) -> bool:
        """Tell whether a flow's first packet waits.

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
        :param route: its route, which has no preference.
        :param version: of the routes.
        :returns: effects; None to send it to an upstream.
        """
        verdict = self._bulk_admission.decide(now, packet, route.aim_seconds)
        if verdict is None:
            return None
        if verdict.outcome == verdict.WAITS:
            self._tally.count(_tally.HELD, Reason.LINK_FULL)
            details = _list_details(verdict)
            reason = Reason.LINK_FULL
            return [
                _effect.RecordDecision(
                    'hold', reason, packet.flow, details=details
                )
            ]
        if verdict.outcome == verdict.REPEATED:
            return self._drop(Reason.REPEATED)
        return self._refuse(packet, verdict, version)

    def begin(self, now: float, packet: _packet.Packet) -> None:
        """Count a first packet that is sent to an upstream.

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
        """Take a packet of an open flow before anything else reads it.

        :param now: the time.
        :param flow: its flow.
        :param packet: the packet.
        :param route: its route, which has no preference.
        """
        # Of a flow that another instance opened, a request may have begun
        # there.
        is_start = bool(flow.tried)
        if flow.next_sequence is not None:
            is_start = flow.waiting_since is None
        self._bulk_admission.handle_packet(
            now, packet, route.address, is_start
        )

    def release(self, now: float) -> Iterator[_packet.Packet]:
        """Give back first packets as there is room for them.

        :param now: the time.
        :returns: each, to be sent to an upstream before the next is asked
            for.
        """
        while (waiter := self._bulk_admission.pop_ready(now)) is not None:
            self._observe(now - waiter.since)
            yield waiter.packet

    def expire(self, now: float, version: int) -> list[object]:
        """Refuse those that have waited for too long.

        :param now: the time.
        :param version: of the routes.
        :returns: effects.
        """
        effects: list[object] = []
        while (waiter := self._bulk_admission.pop_late(now)) is not None:
            self._observe(now - waiter.since)
            verdict = self._bulk_admission.describe(now, waiter)
            effects += self._refuse(waiter.packet, verdict, version)
        return effects

    def find_due(self, now: float) -> float | None:
        """Find when one may be let in or has waited for too long.

        :param now: the time.
        :returns: the time, None where none waits.
        """
        return self._bulk_admission.find_due(now)

    def list_gauges(self) -> dict[str, float]:
        """List what is on its way and what waits.

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
        self, packet: _packet.Packet, verdict: rooms.BulkDecision, version: int
    ) -> list[object]:
        if packet.acknowledged:
            # Of a copy, another instance may have placed the first one.
            return self._drop(Reason.LINK_FULL)
        return self._refusals.refuse(
            packet, Reason.LINK_FULL, version, _list_details(verdict)
        )

    def _drop(self, reason: str) -> list[object]:
        self._tally.count(_tally.DROPPED, reason)
        return [_effect.Drop(reason)]


def _list_details(verdict: rooms.BulkDecision) -> dict[str, object]:
    return {
        'bytes': verdict.on_way,
        'waiting': verdict.waiting,
        'link_share': round(verdict.link_share, 2),
        'wait_ms': _flow_reset.to_ms(verdict.wait_seconds),
        'limit_ms': _flow_reset.to_ms(verdict.limit_seconds),
    }


def build_link_admission(
    room: rooms.InstanceHeadroom | None,
    refusals: _refusal.Refusals,
    tally: _tally.Tally,
) -> LinkAdmission | None:
    """Build a gate where there is something to be decided.

    :param room: the instance's own.
    :param refusals: refuses what is not let in.
    :param tally: where first packets are counted.
    :returns: the gate; None where the link's rate is not known or bulk is
        not limited.
    """
    if room is None or not room.bytes_per_second:
        return None
    if not room.settings.bulk_share:
        return None
    return LinkAdmission(
        rooms.BulkAdmission(room.settings, room), refusals, tally
    )
