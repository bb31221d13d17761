"""Upstreams in doubt: questions to peers, probes and verdicts.

A silence is a doubt, no more: the peers of this zone are asked whether they
have heard the upstream since. If none has, it is probed. Probes that fail
are a verdict only if one of another upstream, sent at the same time, is
answered, and if so many fail in a row as losses on this side seldom explain:
an instance whose own link is full hears nobody, and ends nobody's flow.
"""

from __future__ import annotations

from skylarkfold.affinity import _directory
from skylarkfold.affinity import _effect
from skylarkfold.affinity import _ending
from skylarkfold.affinity import _evidence
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _standing
from skylarkfold.affinity import _tally
from skylarkfold import room as rooms

Health = _standing.Health
Outcome = _effect.ProbeOutcome


class Suspects:
    """Finds out whether upstreams in doubt are out of reach.

    :param zone: this instance's availability zone.
    :param settings: the limits.
    :param directory: all upstreams.
    :param ending: resets the flows of upstreams that are gone.
    :param tally: where durations are counted.
    :param room: this instance's own, which a silence may be due to.
    :ivar evidence: what silences prove.
    """

    __slots__ = (
        '_controls',
        '_directory',
        '_ending',
        '_histograms',
        '_settings',
        '_suspects',
        '_zone',
        'evidence',
    )

    def __init__(
        self,
        zone: str,
        settings: _settings.AffinitySettings,
        directory: _directory.Directory,
        ending: _ending.Ending,
        tally: _tally.Tally,
        room: rooms.InstanceHeadroom,
    ) -> None:
        self._zone = zone
        self._settings = settings
        self._directory = directory
        self._ending = ending
        self.evidence = _evidence.Evidence(settings, room)
        self._histograms = tally.histograms
        self._suspects: dict[str, _standing.Standing] = {}
        # Probes of upstreams that serve as a control, by name, with those
        # that they were sent for.
        self._controls: dict[str, list[_standing.Standing]] = {}

    def doubt(
        self, now: float, standing: _standing.Standing, silent_since: float
    ) -> list[object]:
        """Doubt an upstream: ask the peers of this zone, then probe it.

        :param now: the time.
        :param standing: the upstream.
        :param silent_since: since when it has not answered.
        :returns: effects; none where it is in doubt already.
        """
        is_due = now >= standing.probe_due
        if standing.is_replaced or standing.health != Health.GOOD:
            return []
        if not is_due or not self._may_ask(now):
            return []
        standing.health = Health.DOUBTED
        standing.silent_since = silent_since
        self.evidence.note_doubt(now, standing)
        standing.probe_due = now + self._settings.ask_seconds
        self._suspects[standing.upstream.name] = standing
        return [_effect.QueryPeers(standing.upstream)]

    def handle_last_seen(
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

    def handle_unreachable(
        self, now: float, standing: _standing.Standing
    ) -> list[object]:
        """Take that a peer of this zone found an upstream out of reach.

        It may be the peer's fault: this instance probes for itself, and so
        passes the word on.

        :param now: the time.
        :param standing: the upstream.
        :returns: effects.
        """
        recent = now - self._settings.answer_patience_seconds
        is_known = standing.health != Health.GOOD or standing.is_replaced
        if is_known or standing.last_heard >= recent:
            return []
        if not self._may_ask(now):
            return []
        if not self._is_worth_probing(standing):
            self._avoid(standing, now)
            return []
        standing.health = Health.DOUBTED
        standing.silent_since = max(recent, standing.last_heard)
        self._suspects[standing.upstream.name] = standing
        return self._probe(now, standing)

    def handle_probe_result(
        self,
        now: float,
        name: str,
        outcome: str,
        incarnation: int | None = None,
        is_control: bool | None = None,
    ) -> list[object]:
        """Take the end of a probe.

        :param now: the time.
        :param name: the upstream's name.
        :param outcome: how it ended.
        :param incarnation: which start of it was probed; None for the one
            that is known now.
        :param is_control: whether it was sent beside the probe of another
            one; None where it may have been either.
        :returns: effects.
        """
        standing = self._directory.get(name)
        if standing is None or incarnation not in (
            None,
            standing.upstream.incarnation,
        ):
            return self._take_control(now, name)
        self.evidence.record_probe(now, standing, outcome)
        effects = []
        if is_control is not False:
            effects = self._take_control(now, name)
        # Two probes at once, one of them as a control, are one try.
        if is_control or not standing.is_probing:
            return effects
        standing.is_probing = False
        if outcome == Outcome.ALIVE or self._is_answering(standing):
            return effects + self._take_alive(now, standing)
        tries = self.evidence.count_tries(now, standing)
        if not tries and standing.health == Health.DOUBTED:
            self._dismiss(now, standing)
            return effects
        standing.failures += 1
        standing.failed_at = now
        if standing.failures < tries:
            return effects + self._probe_with_control(now, standing)
        standing.probe_due = now + self._settings.probe_pause_seconds
        if standing.control in self._controls:
            # Refused at once, while the control is still under way.
            standing.outcome = outcome
            return effects
        return effects + self._decide(now, standing, outcome)

    def recheck(self, standing: _standing.Standing) -> None:
        """Probe an upstream again whose verdict is out of date.

        :param standing: the upstream.
        """
        if standing.health == Health.OUT_OF_REACH:
            self._suspects[standing.upstream.name] = standing

    @property
    def has_any(self) -> bool:
        """Whether any upstream is in doubt."""
        return bool(self._suspects)

    def tick(self, now: float) -> list[object]:
        """Probe what is due.

        :param now: the time.
        :returns: effects.
        """
        self.evidence.explain(now)
        effects: list[object] = []
        for name, standing in list(self._suspects.items()):
            if not self._is_of_interest(standing):
                del self._suspects[name]
            elif standing.probe_due <= now and not standing.is_probing:
                effects += self._probe_again(now, standing)
        return effects

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
            effects.append(_effect.NotifyPeers(standing.upstream))
        effects += self._ending.end_flows(now, [standing])
        return effects + self._doubt_zone(now, standing)

    def _doubt_zone(
        self, now: float, failed: _standing.Standing
    ) -> list[object]:
        """Doubt the others of a zone that seems to be cut off.

        Those with flows here are probed, one by one, before anything is
        reset. Of the rest, of which there may be thousands, some are probed as
        well; others only get no new flow until their entries have lapsed or
        something is heard of them.
        """
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
            if self._is_worth_probing(each):
                effects += self.doubt(now, each, since)
            else:
                self._avoid(each, since)
        return effects

    def _may_ask(self, now: float) -> bool:
        return self.evidence.may_ask(now, len(self._suspects))

    def _is_worth_probing(self, standing: _standing.Standing) -> bool:
        has_room = len(self._suspects) < self._settings.suspect_limit
        return has_room or standing.flows > 0

    def _avoid(self, standing: _standing.Standing, since: float) -> None:
        """Have others go before an upstream until its entry would lapse."""
        until = since + self._settings.return_seconds
        standing.avoided_until = max(standing.avoided_until, until)

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
        is_open = (
            standing.health == Health.OUT_OF_REACH and not standing.is_proven
        )
        # While something gets lost here, controls show when it ends.
        if is_open or self.evidence.is_lossy(now):
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
            effects.append(_effect.Probe(control.upstream, timeout, True))
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
    ) -> _effect.RecordDecision:
        details = {
            'probe': outcome,
            'heard_ms_ago': _ending.to_ms(now - standing.last_heard),
            'silent_ms': _ending.to_ms(now - standing.silent_since),
            'proven': standing.is_proven,
            'flows': standing.flows,
            'zone': standing.upstream.zone,
        }
        name = standing.upstream.name
        return _effect.RecordDecision(
            'health', standing.health, upstream=name, details=details
        )
