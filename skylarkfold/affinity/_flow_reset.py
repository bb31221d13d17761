"""Resets of flows whose upstream is gone."""

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
    """Ends flows early, so that their callers open new ones at once.

    :param settings: how long a verdict counts.
    :param flows: the flows carried here.
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
        """End the flow of a packet if its upstream is gone.

        :param now: the time.
        :param flow: the flow.
        :param packet: the packet.
        :returns: effects in place of forwarding it, None to forward it.
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
        """End all flows of upstreams that are gone.

        Their callers need not find out with their next request.

        :param now: the time.
        :param standings: upstreams that may be gone.
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
        """End flows of upstreams that have started again.

        Their next packet would be answered with a reset, and a request in
        it that must not run twice be lost. The process is gone, so that one
        that waits has nothing to wait for.

        :param now: the time.
        :param ended: for each start before the present one, until when it
            was there for certain.
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
    # A request that must not run twice may have been passed on: its caller
    # would not repeat it, and the answer may still come.
    return flow.is_idempotent or flow.waiting_since is None


def to_ms(seconds: float) -> int:
    """Write a duration for a log line.

    :param seconds: the duration; infinite for never.
    :returns: milliseconds, -1 for never.
    """
    return -1 if seconds > 1e6 else int(seconds * 1000)
