"""Resets of flows whose upstream is unreachable or replaced."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

from skylarkfold.affinity import _effect
from skylarkfold.affinity import _flow
from skylarkfold.affinity import _packet
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _tally
from skylarkfold.affinity import _upstream_state

Reason = _effect.Reason


class FlowResetter:
    """Resets flows, so that their callers open new ones at once.

    :param settings: how long a failed probe counts.
    :param flows: the flows that this instance carries.
    :param tally: where resets are counted.
    """

    __slots__ = ('_flows', '_settings', '_tally')

    def __init__(
        self,
        settings: _settings.AffinitySettings,
        flows: _flow.FlowTable,
        tally: _tally.Tally,
    ) -> None:
        self._settings = settings
        self._tally = tally
        self._flows = flows

    def reset_flow(
        self, now: float, flow: _flow.Flow, packet: _packet.Packet
    ) -> list[object] | None:
        """Reset the flow of a packet if its upstream is unreachable.

        :param now: the time.
        :param flow: the flow.
        :param packet: the packet.
        :returns: effects that replace forwarding, None to forward the packet.
        """
        if not flow.state.may_reset(now, self._settings):
            return None
        if packet.is_last or not _may_reset(flow):
            return None
        flow.acknowledged = packet.acknowledged
        return self._reset(now, flow)

    def reset_flows(
        self, now: float, states: Iterable[_upstream_state.UpstreamState]
    ) -> list[object]:
        """Reset all flows of the upstreams that are unreachable.

        Their callers then need not wait for the timeout of their next request.

        :param now: the time.
        :param states: upstreams that may be unreachable.
        :returns: effects.
        """
        unreachable = {
            each for each in states if each.may_reset(now, self._settings)
        }
        if not unreachable:
            return []
        effects: list[object] = []
        for flow in self._flows:
            is_here = flow.state in unreachable and flow.is_open
            if is_here and not flow.is_closed and _may_reset(flow):
                effects += self._reset(now, flow)
        return effects

    def reset_superseded(
        self,
        now: float,
        present_until: Mapping[_upstream_state.UpstreamState, float],
    ) -> list[object]:
        """Reset flows of earlier starts of upstreams that have restarted.

        The restarted upstream would reset them on their next packet, and a
        request in that packet that must not run twice would be lost. As the
        earlier process has ended, pending requests will not be answered
        either.

        :param now: the time.
        :param present_until: for each superseded state, until when its start
            is known to have existed.
        :returns: effects.
        """
        if not present_until:
            return []
        effects: list[object] = []
        for flow in self._flows:
            until = present_until.get(flow.state)
            if until is None or not flow.is_open or flow.is_closed:
                continue
            if flow.started_at <= until:
                effects += self._reset(now, flow)
        return effects

    def _reset(self, now: float, flow: _flow.Flow) -> list[object]:
        state = flow.state
        reason = Reason.OUT_OF_REACH
        if state.is_replaced:
            reason = Reason.REPLACED
        if state.is_superseded:
            reason = Reason.RESTARTED
        self._flows.remove(flow)
        self._tally.count(_tally.RESET, reason)
        waited = flow.waiting_since
        details = {
            'waited_ms': 0 if waited is None else to_ms(now - waited),
            'heard_ms_ago': to_ms(now - state.last_heard),
            'failed_ms_ago': to_ms(now - state.probe_failed_at),
        }
        name = state.upstream.name
        return [
            _effect.RecordDecision('reset', reason, flow.key, name, details),
            _effect.Reset(flow.key, flow.acknowledged),
        ]


def _may_reset(flow: _flow.Flow) -> bool:
    # A request that must not run twice may have been forwarded: its caller
    # would not repeat it, and the answer may still arrive.
    return flow.is_idempotent or flow.waiting_since is None


def to_ms(seconds: float) -> int:
    """Convert a duration for a log line.

    :param seconds: the duration; infinite if the event never happened.
    :returns: milliseconds, -1 for an infinite duration.
    """
    return -1 if seconds > 1e6 else int(seconds * 1000)
