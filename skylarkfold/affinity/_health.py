"""Finds upstreams that are out of reach from the callers' packets.

Answers go straight to the callers, so nothing is heard of an upstream
directly. A caller shows that it was answered by what it acknowledges, and
that it was not by a first packet without a second, or a request without
an acknowledgement. Such a silence is a doubt, no more: the peers of this
zone are asked whether they have heard the upstream since. If none has, it
is probed. Probes that fail are a verdict only if one of another upstream,
sent at the same time, is answered: else the fault may be on this side.
"""

from __future__ import annotations

import collections

from skylarkfold.affinity import _admission
from skylarkfold.affinity import _directory
from skylarkfold.affinity import _effect
from skylarkfold.affinity import _ending
from skylarkfold.affinity import _flow
from skylarkfold.affinity import _packet
from skylarkfold.affinity import _patience
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _standing
from skylarkfold.affinity import _tally

Health = _standing.Health
Outcome = _effect.ProbeOutcome
_NEVER = float('-inf')


class HealthWatch:
    """Doubts, questions to peers, probes and verdicts.

    :param zone: this instance's availability zone.
    :param settings: the limits.
    :param directory: all upstreams.
    :param ending: resets the flows of upstreams that are gone.
    :param admission: told how long answers take.
    :param tally: where durations are counted.
    """

    def __init__(
        self,
        zone: str,
        settings: _settings.AffinitySettings,
        directory: _directory.Directory,
        ending: _ending.Ending,
        admission: _admission.Admission,
        tally: _tally.Tally,
    ) -> None:
        self._zone = zone
        self._settings = settings
        self._directory = directory
        self._ending = ending
        self._admission = admission
        self._histograms = tally.histograms
        self._patience = _patience.Patience(settings)
        self._waits: collections.deque[tuple[float, _flow.Flow]] = (
            collections.deque()
        )
        self._suspects: dict[str, _standing.Standing] = {}
        # Probes of upstreams that serve as a control, by name, with those
        # that they were sent for.
        self._controls: dict[str, list[_standing.Standing]] = {}

    def note_heard(self, now: float, standing: _standing.Standing) -> None:
        """Note that a packet proved an upstream to answer.

        :param now: the time.
        :param standing: the upstream.
        """
        standing.heard_at = now
        standing.avoided_until = _NEVER

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
            self._note_answer(now, flow)
            _flow.end_work(flow, now)
        if not packet.length:
            return
        end = _flow.add_length(packet.sequence, packet.length)
        if flow.sent is not None and not _flow.is_after(end, flow.sent):
            return
        flow.sent = end
        _flow.begin_work(flow, now)
        if flow.waiting_since is None:
            flow.waiting_since = now
            service = flow.standing.upstream.service
            self._waits.append((now + self._patience.get(service), flow))

    def doubt_opening(self, now: float, flow: _flow.Flow) -> list[object]:
        """Take a first packet that was not answered in time.

        :param now: the time.
        :param flow: its flow.
        :returns: effects.
        """
        standing = flow.standing
        if standing.is_former or standing.last_heard >= flow.placed_at:
            return []
        reason = _effect.Reason.NOT_OPENED
        doubt = _record_doubt(now, flow, flow.placed_at, reason)
        return [doubt, *self._doubt(now, standing, flow.placed_at)]

    def take_lapse(
        self, now: float, standing: _standing.Standing
    ) -> list[object]:
        """Take that an upstream's entry has disappeared.

        :param now: the time.
        :param standing: the upstream.
        :returns: effects.
        """
        # One that left as planned ends its flows itself; one without flows
        # here may be looked at when there are some.
        is_planned = standing.upstream.is_draining
        if standing.is_replaced or is_planned or not standing.flows:
            return []
        return self._doubt(now, standing, now)

    def take_heard(
        self, now: float, standing: _standing.Standing, at: float
    ) -> None:
        """Take when a peer last heard an upstream.

        :param now: the time.
        :param standing: the upstream.
        :param at: when.
        """
        standing.heard_elsewhere_at = max(standing.heard_elsewhere_at, at)
        if standing.health == Health.DOUBTED and self._is_answering(standing):
            self._dismiss(now, standing)

    def take_lost(
        self, now: float, standing: _standing.Standing
    ) -> list[object]:
        """Take that a peer of this zone found an upstream out of reach.

        It may be the peer's fault: this instance probes for itself.

        :param now: the time.
        :param standing: the upstream.
        :returns: effects.
        """
        recent = now - self._settings.answer_patience_seconds
        is_known = standing.health != Health.GOOD or standing.is_replaced
        if is_known or standing.last_heard >= recent:
            return []
        standing.health = Health.DOUBTED
        standing.silent_since = max(recent, standing.last_heard)
        self._suspects[standing.upstream.name] = standing
        return self._probe(now, standing)

    def take_probe(
        self, now: float, name: str, outcome: str, incarnation: int | None
    ) -> list[object]:
        """Take the end of a probe.

        :param now: the time.
        :param name: the upstream's name.
        :param outcome: how it ended.
        :param incarnation: which start of it was probed; None for the one
            that is known now.
        :returns: effects.
        """
        standing = self._directory.get(name)
        if standing is None or incarnation not in (
            None,
            standing.upstream.incarnation,
        ):
            return self._take_control(now, name)
        if outcome == Outcome.ALIVE:
            standing.alive_at = now
        effects = self._take_control(now, name)
        if not standing.is_probing:
            return effects
        standing.is_probing = False
        if outcome == Outcome.ALIVE or self._is_answering(standing):
            return effects + self._take_alive(now, standing)
        standing.failures += 1
        standing.failed_at = now
        if standing.failures < self._settings.probe_tries:
            return effects + self._probe_with_control(now, standing)
        standing.probe_due = now + self._settings.probe_pause_seconds
        if standing.control in self._controls:
            # Refused at once, while the control is still under way.
            standing.outcome = outcome
            return effects
        return effects + self._decide(now, standing, outcome)

    def _take_control(self, now: float, name: str) -> list[object]:
        """Decide on those that waited for a control."""
        effects: list[object] = []
        for suspect in self._controls.pop(name, ()):
            outcome, suspect.outcome = suspect.outcome, ''
            if outcome and not self._is_answering(suspect):
                effects += self._decide(now, suspect, outcome)
        return effects

    def _decide(
        self, now: float, standing: _standing.Standing, outcome: str
    ) -> list[object]:
        control = self._directory.get(standing.control)
        standing.is_proven = (
            control is not None and control.alive_at >= standing.compared_at
        )
        if standing.health == Health.OUT_OF_REACH:
            return []
        standing.health = Health.OUT_OF_REACH
        silent = now - standing.silent_since
        self._histograms[_tally.DOUBT_SECONDS].observe(silent)
        effects: list[object] = [self._record(now, standing, outcome)]
        if standing.is_proven:
            effects.append(_effect.TellPeers(standing.upstream))
        effects += self._ending.end_flows(now, [standing])
        return effects + self._doubt_zone(now, standing)

    def tick(self, now: float) -> list[object]:
        """Look at requests that wait and probe what is due.

        :param now: the time.
        :returns: effects.
        """
        effects: list[object] = []
        while self._waits and self._waits[0][0] <= now:
            _, flow = self._waits.popleft()
            effects += self._judge_wait(now, flow)
        for name, standing in list(self._suspects.items()):
            if not self._is_of_interest(standing):
                del self._suspects[name]
            elif standing.probe_due <= now and not standing.is_probing:
                effects += self._probe_again(now, standing)
        return effects

    def recheck(self, standing: _standing.Standing) -> None:
        """Probe an upstream again whose verdict is out of date.

        :param standing: the upstream.
        """
        if standing.health == Health.OUT_OF_REACH:
            self._suspects[standing.upstream.name] = standing

    def _note_answer(self, now: float, flow: _flow.Flow) -> None:
        self.note_heard(now, flow.standing)
        if flow.waiting_since is not None:
            service = flow.standing.upstream.service
            waited = now - flow.waiting_since
            self._patience.note(service, waited)
            address = _packet.get_address(flow.key)
            self._admission.note(
                now, flow.standing, address, flow.ahead, waited
            )
            self._histograms[_tally.ANSWER_SECONDS].observe(waited)
            flow.waiting_since = None

    def _judge_wait(self, now: float, flow: _flow.Flow) -> list[object]:
        if flow.waiting_since is None or flow.is_closed:
            return []
        if flow.standing.is_former or self._has_moved(now, flow):
            flow.waiting_since = None
            _flow.end_work(flow, now)
            return []
        standing = flow.standing
        silent_since = max(flow.waiting_since, standing.last_heard)
        patience = self._patience.get(standing.upstream.service)
        if now - silent_since < patience:
            self._waits.append((silent_since + patience, flow))
            return []
        self._waits.append((now + patience, flow))
        effects = self._doubt(now, standing, silent_since)
        if flow.doubted_wait != flow.waiting_since:
            flow.doubted_wait = flow.waiting_since
            reason = _effect.Reason.NOT_ANSWERED
            since = flow.waiting_since
            effects.insert(0, _record_doubt(now, flow, since, reason))
        return effects

    def _has_moved(self, now: float, flow: _flow.Flow) -> bool:
        """Tell whether its caller goes through another instance now.

        One that is not answered repeats its packet; one that gave up, or
        whose answer was acknowledged elsewhere, does not.
        """
        waited = now - flow.waiting_since
        settings = self._settings
        if waited > settings.longest_wait_seconds:
            return True
        # A request of several packets takes some milliseconds to come.
        said = flow.seen_at - flow.waiting_since
        is_repeated = said > settings.repeat_seconds / 2
        return waited > settings.repeat_seconds and not is_repeated

    def _doubt(
        self, now: float, standing: _standing.Standing, silent_since: float
    ) -> list[object]:
        is_due = now >= standing.probe_due
        if standing.is_replaced or standing.health != Health.GOOD:
            return []
        if not is_due:
            return []
        standing.health = Health.DOUBTED
        standing.silent_since = silent_since
        standing.probe_due = now + self._settings.ask_seconds
        self._suspects[standing.upstream.name] = standing
        return [_effect.AskPeers(standing.upstream)]

    def _doubt_zone(
        self, now: float, failed: _standing.Standing
    ) -> list[object]:
        """Doubt the others of a zone that seems to be cut off."""
        zone = failed.upstream.zone
        if zone == self._zone:
            return []
        mates = [
            each
            for each in self._directory
            if each.upstream.zone == zone and each.lapsed_at is None
        ]
        lost = [each for each in mates if each.health == Health.OUT_OF_REACH]
        since = min((each.probed_at for each in lost), default=now)
        is_heard = any(each.last_heard > since for each in mates)
        if len(lost) < self._settings.zone_failures or is_heard:
            return []
        effects: list[object] = []
        for each in mates:
            effects += self._doubt(now, each, since)
        return effects

    def _is_answering(self, standing: _standing.Standing) -> bool:
        return standing.last_heard > standing.silent_since

    def _is_of_interest(self, standing: _standing.Standing) -> bool:
        if self._directory.get(standing.upstream.name) is not standing:
            return False
        if standing.is_replaced:
            return False
        return standing.lapsed_at is None or standing.flows > 0

    def _probe(self, now: float, standing: _standing.Standing) -> list[object]:
        if standing.is_probing:
            return []
        standing.is_probing = True
        if not standing.failures:
            standing.probed_at = now
        timeout = self._settings.probe_timeout_seconds
        return [_effect.Probe(standing.upstream, timeout)]

    def _probe_again(
        self, now: float, standing: _standing.Standing
    ) -> list[object]:
        if standing.health == Health.OUT_OF_REACH and not standing.is_proven:
            return self._probe_with_control(now, standing)
        return self._probe(now, standing)

    def _probe_with_control(
        self, now: float, standing: _standing.Standing
    ) -> list[object]:
        """Probe an upstream, and one that was heard just now with it."""
        standing.compared_at = now
        standing.control = ''
        effects = self._probe(now, standing)
        control = max(
            (
                each
                for each in self._directory
                if each.health == Health.GOOD and each.lapsed_at is None
            ),
            key=lambda each: each.heard_at,
            default=None,
        )
        if control is not None:
            standing.control = control.upstream.name
            self._controls.setdefault(standing.control, []).append(standing)
            timeout = self._settings.probe_timeout_seconds
            effects.append(_effect.Probe(control.upstream, timeout))
        return effects

    def _take_alive(
        self, now: float, standing: _standing.Standing
    ) -> list[object]:
        was_lost = standing.health == Health.OUT_OF_REACH
        silent_since = standing.silent_since
        self._dismiss(now, standing)
        if standing.last_heard > silent_since:
            return []
        # It takes connections and answers no caller: full, slow, or, after
        # a crash, another process that was given its address.
        settings = self._settings
        standing.avoided_until = now + settings.full_seconds
        if not was_lost:
            return []
        trusted_at = silent_since + settings.return_seconds
        standing.avoided_until = max(standing.avoided_until, trusted_at)
        return [self._record(now, standing, Outcome.ALIVE)]

    def _dismiss(self, now: float, standing: _standing.Standing) -> None:
        standing.failures = 0
        standing.is_proven = False
        standing.outcome = ''
        standing.health = Health.GOOD
        standing.probe_due = now + self._settings.probe_pause_seconds
        self._suspects.pop(standing.upstream.name, None)

    def _record(
        self, now: float, standing: _standing.Standing, outcome: str
    ) -> _effect.Record:
        details = {
            'probe': outcome,
            'heard_ms_ago': _ending.to_ms(now - standing.last_heard),
            'silent_ms': _ending.to_ms(now - standing.silent_since),
            'proven': standing.is_proven,
            'flows': standing.flows,
            'zone': standing.upstream.zone,
        }
        name = standing.upstream.name
        return _effect.Record(
            'health', standing.health, upstream=name, details=details
        )


def _record_doubt(
    now: float, flow: _flow.Flow, since: float, reason: str
) -> _effect.Record:
    standing = flow.standing
    details = {
        'waited_ms': _ending.to_ms(now - since),
        'heard_ms_ago': _ending.to_ms(now - standing.last_heard),
        'health': standing.health,
    }
    name = standing.upstream.name
    return _effect.Record('doubt', reason, flow.key, name, details)
