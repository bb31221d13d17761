"""Finds upstreams that are out of reach from the callers' packets.

Answers go straight to the callers, so nothing is heard of an upstream
directly. A caller shows that it was answered by what it acknowledges, and
that it was not by a first packet without a second, or a request without
an acknowledgement. Such a hint has the upstream probed; only probes that
fail are a verdict, since an upstream may be slow or a caller gone.
"""

from __future__ import annotations

import collections

from skylarkfold.affinity import _directory
from skylarkfold.affinity import _effect
from skylarkfold.affinity import _flow
from skylarkfold.affinity import _packet
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _standing

Health = _standing.Health
Outcome = _effect.ProbeOutcome
Reason = _effect.Reason


class HealthWatch:
    """Hints, probes and verdicts, and what they mean for open flows.

    :param zone: this instance's availability zone.
    :param settings: the limits.
    :param directory: all upstreams.
    :param flows: the flows carried here.
    """

    def __init__(
        self,
        zone: str,
        settings: _settings.AffinitySettings,
        directory: _directory.Directory,
        flows: _flow.FlowTable,
    ) -> None:
        self._zone = zone
        self._settings = settings
        self._directory = directory
        self._flows = flows
        self._waits: collections.deque[tuple[float, _flow.Flow]] = (
            collections.deque()
        )
        self._suspects: dict[str, _standing.Standing] = {}

    def note_heard(self, now: float, standing: _standing.Standing) -> None:
        """Note that a packet proved an upstream to answer.

        :param now: the time.
        :param standing: the upstream.
        """
        standing.heard_at = now

    def take_packet(
        self, now: float, flow: _flow.Flow, packet: _packet.Packet
    ) -> None:
        """Learn from a packet that is forwarded.

        :param now: the time.
        :param flow: its flow.
        :param packet: the packet.
        """
        if _flow.is_after(packet.acknowledged, flow.acknowledged):
            flow.acknowledged = packet.acknowledged
            flow.waiting_since = None
            self.note_heard(now, flow.standing)
        if not packet.length:
            return
        end = _flow.add_length(packet.sequence, packet.length)
        if flow.sent is not None and not _flow.is_after(end, flow.sent):
            return
        flow.sent = end
        if flow.waiting_since is None:
            flow.waiting_since = now
            due = now + self._settings.answer_patience_seconds
            self._waits.append((due, flow))

    def doubt_opening(self, now: float, flow: _flow.Flow) -> list[object]:
        """Take a first packet that was not answered in time.

        :param now: the time.
        :param flow: its flow.
        :returns: effects.
        """
        sent_at = now - self._settings.open_patience_seconds
        standing = flow.standing
        if standing.heard_at >= sent_at:
            return []
        return self._doubt(now, standing)

    def take_lapse(
        self, now: float, standing: _standing.Standing
    ) -> list[object]:
        """Take that an upstream's entry has disappeared.

        :param now: the time.
        :param standing: the upstream.
        :returns: effects.
        """
        if standing.is_replaced:
            return []
        return self._doubt(now, standing)

    def take_probe(self, now: float, name: str, outcome: str) -> list[object]:
        """Take the end of a probe.

        :param now: the time.
        :param name: the upstream's name.
        :param outcome: how it ended.
        :returns: effects.
        """
        standing = self._directory.get(name)
        if standing is None:
            return []
        standing.is_probing = False
        if outcome == Outcome.ALIVE:
            return self._take_alive(now, standing)
        standing.failures += 1
        standing.failed_at = now
        if standing.failures < self._settings.probe_tries:
            return self._probe(now, standing)
        standing.probe_due = now + self._settings.probe_pause_seconds
        if standing.health == Health.OUT_OF_REACH:
            return []
        standing.health = Health.OUT_OF_REACH
        effects: list[object] = [self._record(now, standing, outcome)]
        effects += self.end_flows(now, standing)
        return effects + self._doubt_zone(now, standing)

    def tick(self, now: float) -> list[object]:
        """Probe what is due and look at requests that wait.

        :param now: the time.
        :returns: effects.
        """
        effects: list[object] = []
        while self._waits and self._waits[0][0] <= now:
            due, flow = self._waits.popleft()
            effects += self._judge_wait(now, due, flow)
        for name, standing in list(self._suspects.items()):
            if not self._is_of_interest(standing):
                del self._suspects[name]
            elif standing.probe_due <= now:
                effects += self._probe(now, standing)
        return effects

    def end_flow(
        self, now: float, flow: _flow.Flow, packet: _packet.Packet
    ) -> list[object] | None:
        """End the flow of a packet whose upstream is gone.

        :param now: the time.
        :param flow: the flow.
        :param packet: the packet.
        :returns: effects in place of forwarding it, None to forward it.
        """
        standing = flow.standing
        if not standing.may_reset(now, self._settings):
            # The verdict is out of date: ask again, forward meanwhile.
            self._suspects[standing.upstream.name] = standing
            return None
        if packet.is_last or not self._may_end(flow):
            return None
        flow.acknowledged = packet.acknowledged
        return self._reset(now, flow)

    def end_flows(
        self, now: float, standing: _standing.Standing
    ) -> list[object]:
        """End all flows of an upstream that is gone.

        Their callers open new ones at once, before or with their next
        request, instead of waiting for an answer that can't come.

        :param now: the time.
        :param standing: the upstream.
        :returns: effects.
        """
        effects: list[object] = []
        may_reset = standing.may_reset(now, self._settings)
        if not may_reset:
            return effects
        for flow in self._flows:
            is_here = flow.standing is standing and flow.is_open
            if is_here and not flow.is_closed and self._may_end(flow):
                effects += self._reset(now, flow)
        return effects

    def _is_of_interest(self, standing: _standing.Standing) -> bool:
        if self._directory.get(standing.upstream.name) is not standing:
            return False
        if standing.is_replaced:
            return False
        return standing.lapsed_at is None or standing.flows > 0

    def _may_end(self, flow: _flow.Flow) -> bool:
        # A request that must not run twice may have been passed on: its
        # caller would not repeat it, and the answer may still come.
        return flow.is_idempotent or flow.waiting_since is None

    def _reset(self, now: float, flow: _flow.Flow) -> list[object]:
        standing = flow.standing
        reason = Reason.OUT_OF_REACH
        if standing.is_replaced:
            reason = Reason.REPLACED
        self._flows.remove(flow)
        waited = flow.waiting_since
        details = {
            'waited_ms': 0 if waited is None else _to_ms(now - waited),
            'heard_ms_ago': _to_ms(now - standing.heard_at),
            'failed_ms_ago': _to_ms(now - standing.failed_at),
        }
        name = standing.upstream.name
        return [
            _effect.Record('reset', reason, flow.key, name, details),
            _effect.Reset(flow.key, flow.acknowledged),
        ]

    def _judge_wait(
        self, now: float, due: float, flow: _flow.Flow
    ) -> list[object]:
        asked_at = due - self._settings.answer_patience_seconds
        if flow.waiting_since is None or flow.waiting_since > asked_at:
            return []
        if flow.is_closed or flow.standing.heard_at >= asked_at:
            return []
        return self._doubt(now, flow.standing)

    def _doubt(self, now: float, standing: _standing.Standing) -> list[object]:
        if standing.is_replaced or now < standing.probe_due:
            return []
        if standing.health == Health.GOOD:
            standing.health = Health.DOUBTED
        self._suspects[standing.upstream.name] = standing
        return self._probe(now, standing)

    def _doubt_zone(
        self, now: float, failed: _standing.Standing
    ) -> list[object]:
        """Probe the others of a zone that may be cut off."""
        zone = failed.upstream.zone
        if zone == self._zone:
            return []
        effects: list[object] = []
        for each in self._directory:
            is_mate = each.upstream.zone == zone and each.lapsed_at is None
            if is_mate and each.health == Health.GOOD:
                effects += self._doubt(now, each)
        return effects

    def _probe(self, now: float, standing: _standing.Standing) -> list[object]:
        if standing.is_probing:
            return []
        standing.is_probing = True
        timeout = self._settings.probe_timeout_seconds
        return [_effect.Probe(standing.upstream, timeout)]

    def _take_alive(
        self, now: float, standing: _standing.Standing
    ) -> list[object]:
        was_lost = standing.health == Health.OUT_OF_REACH
        standing.failures = 0
        standing.health = Health.GOOD
        standing.probe_due = now + self._settings.probe_pause_seconds
        self._suspects.pop(standing.upstream.name, None)
        if was_lost:
            return [self._record(now, standing, Outcome.ALIVE)]
        return []

    def _record(
        self, now: float, standing: _standing.Standing, outcome: str
    ) -> _effect.Record:
        details = {
            'probe': outcome,
            'heard_ms_ago': _to_ms(now - standing.heard_at),
            'flows': standing.flows,
            'zone': standing.upstream.zone,
        }
        name = standing.upstream.name
        return _effect.Record(
            'health', standing.health, upstream=name, details=details
        )


def _to_ms(seconds: float) -> int:
    # "Never" is written as -1.
    return -1 if seconds > 1e6 else int(seconds * 1000)
