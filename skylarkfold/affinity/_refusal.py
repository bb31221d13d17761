"""Resets of packets that are not sent to any upstream."""

from __future__ import annotations

from skylarkfold.affinity import _effect
from skylarkfold.affinity import _flow_reset
from skylarkfold.affinity import _packet
from skylarkfold.affinity import _request_time
from skylarkfold.affinity import _route
from skylarkfold.affinity import _tally
from skylarkfold.affinity import _upstream_state
from skylarkfold import light_imports

if light_imports.TYPE_CHECKING:
    from skylarkfold import shares


class Refusals:
    """Refuses packets, and logs and counts each refusal.

    :param tally: where refusals are counted.
    """

    __slots__ = ('_tally',)

    def __init__(self, tally: _tally.Tally) -> None:
        self._tally = tally

    def refuse(
        self,
        packet: _packet.Packet,
        reason: str,
        version: int,
        details: dict[str, object] | None = None,
    ) -> list[object]:
        """Refuse a packet.

        :param packet: the packet.
        :param reason: one of ``Reason``.
        :param version: the version of the routes that were used.
        :param details: further values that led to the decision, by name.
        :returns: effects.
        """
        self._tally.count(_tally.RESET, reason)
        known = {'version': version, **(details or {})}
        return [
            _effect.RecordDecision(
                'reset', reason, packet.flow, details=known
            ),
            _effect.Reset(packet.flow, packet.acknowledged),
        ]

    def refuse_crowded(
        self,
        packet: _packet.Packet,
        version: int,
        route: _route.Route,
        state: _upstream_state.UpstreamState,
        expected: _request_time.AnswerEstimate,
    ) -> list[object]:
        """Refuse a new flow whose request would be answered too late.

        :param packet: its first packet.
        :param version: the version of the routes.
        :param route: its route.
        :param state: the least loaded upstream.
        :param expected: the estimated time of its answer.
        :returns: effects.
        """
        details = {
            'service': state.upstream.service,
            'upstream': state.upstream.name,
            'estimate_ms': _flow_reset.to_ms(expected.seconds),
            'wait_ms': _flow_reset.to_ms(expected.wait_seconds),
            'aim_ms': _flow_reset.to_ms(route.aim_seconds),
            'waiting': round(state.in_flight, 1),
            'priority': route.priority,
        }
        reason = _effect.Reason.CROWDED
        return self.refuse(packet, reason, version, details)

    def refuse_over_share(
        self,
        packet: _packet.Packet,
        version: int,
        route: _route.Route,
        service: str,
        over_share: shares.OverShare,
    ) -> list[object]:
        """Refuse a new flow that exceeds its caller's share.

        :param packet: its first packet.
        :param version: the version of the routes.
        :param route: its route.
        :param service: its service.
        :param over_share: the caller's demand and share.
        :returns: effects.
        """
        caller = _packet.get_caller(packet.flow)
        details = {
            'service': service,
            'caller': _packet.format_host(caller),
            'demand_slots': round(over_share.demand, 2),
            'share_slots': round(over_share.share, 2),
            'room_slots': round(over_share.room, 2),
            'refused_share': round(over_share.refused_share, 3),
            'word_age_ms': _flow_reset.to_ms(over_share.age_seconds),
            'priority': route.priority,
        }
        reason = _effect.Reason.OVER_SHARE
        return self.refuse(packet, reason, version, details)
