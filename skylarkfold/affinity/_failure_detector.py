"""Failure detection: queries to peers, probes and verdicts.

An upstream that is silent is only suspected: the peers of this zone are asked
whether they have heard it since. If none has, it is probed. It is declared
unreachable when more probes in a row have failed than packet loss on this side
would explain. Its flows are reset only if a control probe of another upstream,
sent at the same time, was answered: an instance whose own link is full gets no
answers and must not reset any flow.
"""

from __future__ import annotations

from skylarkfold.affinity import _directory
from skylarkfold.affinity import _effect
from skylarkfold.affinity import _flow_reset
from skylarkfold.affinity import _local_loss
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _tally
from skylarkfold.affinity import _upstream_state
from skylarkfold import room as rooms

Health = _upstream_state.Health
Outcome = _effect.ProbeOutcome


class FailureDetector:
    """Decides whether suspected upstreams are unreachable.

    :param zone: this instance's availability zone.
    :param settings: limits and timeouts.
    :param directory: all upstreams.
    :param flow_resetter: resets the flows of unreachable upstreams.
    :param tally: where durations are recorded.
    :param room: the headroom of this instance's own link.
    :ivar local_loss: estimates packet loss on this instance's side.
    """

    __slots__ = (
        '_controls',
        '_directory',
        '_flow_resetter',
        '_histograms',
        '_settings',
        '_suspects',
        '_zone',
        'local_loss',
    )

    def __init__(
        self,
        zone: str,
        settings: _settings.AffinitySettings,
        directory: _directory.Directory,
        flow_resetter: _flow_reset.FlowResetter,
        tally: _tally.Tally,
        room: rooms.InstanceHeadroom,
    ) -> None:
        self._zone = zone
        self._settings = settings
        self._directory = directory
        self._flow_resetter = flow_resetter
        self.local_loss = _local_loss.LocalLossMonitor(settings, room)
        self._histograms = tally.histograms
        self._suspects: dict[str, _upstream_state.UpstreamState] = {}
        # For each upstream that is probed as a control, by name, the suspected
        # upstreams whose decision waits for it.
        self._controls: dict[str, list[_upstream_state.UpstreamState]] = {}

    def suspect(
        self,
        now: float,
        state: _upstream_state.UpstreamState,
        silent_since: float,
    ) -> list[object]:
        """Suspect an upstream: ask the peers of this zone, then probe it.

        :param now: the time.
        :param state: the upstream.
        :param silent_since: since when it has not answered.
        :returns: effects; none if it is suspected already.
        """
        is_due = now >= state.probe_due
        if state.is_replaced or state.health != Health.GOOD:
            return []
        if not is_due or not self._may_suspect(now):
            return []
        state.health = Health.SUSPECTED
        state.silent_since = silent_since
        self.local_loss.record_suspicion(now, state)
        state.probe_due = now + self._settings.ask_seconds
        self._suspects[state.upstream.name] = state
        return [_effect.QueryPeers(state.upstream)]

    def handle_last_seen(
        self, now: float, state: _upstream_state.UpstreamState, at: float
    ) -> None:
        """Record when a peer last heard an upstream.

        :param now: the time.
        :param state: the upstream.
        :param at: when the peer heard it.
        """
        state.peer_heard_at = max(state.peer_heard_at, at)
        if state.health == Health.SUSPECTED and self._has_answered(state):
            self._clear_suspicion(now, state)

    def handle_unreachable(
        self, now: float, state: _upstream_state.UpstreamState
    ) -> list[object]:
        """Handle a peer's report that an upstream is unreachable.

        The fault may be the peer's: this instance probes for itself before it
        resets flows or notifies others.

        :param now: the time.
        :param state: the upstream.
        :returns: effects.
        """
        recent = now - self._settings.answer_patience_seconds
        is_known = state.health != Health.GOOD or state.is_replaced
        if is_known or state.last_heard >= recent:
            return []
        if not self._may_suspect(now):
            return []
        if not self._is_worth_probing(state):
            self._deprioritize(state, now)
            return []
        state.health = Health.SUSPECTED
        state.silent_since = max(recent, state.last_heard)
        self._suspects[state.upstream.name] = state
        return self._probe(now, state)

    def handle_probe_result(
        self,
        now: float,
        name: str,
        outcome: str,
        incarnation: int | None = None,
        is_control: bool | None = None,
    ) -> list[object]:
        """Handle the result of a probe.

        :param now: the time.
        :param name: the upstream's name.
        :param outcome: one of ``ProbeOutcome``.
        :param incarnation: the start that was probed; None for the present
            one.
        :param is_control: whether it was sent as a control; None if unknown.
        :returns: effects.
        """
        state = self._directory.get(name)
        if state is None or incarnation not in (
            None,
            state.upstream.incarnation,
        ):
            return self._handle_control_result(now, name)
        self.local_loss.record_probe(now, state, outcome)
        effects = []
        if is_control is not False:
            effects = self._handle_control_result(now, name)
        # A control probe sent beside a regular one is not a separate failure.
        if is_control or not state.is_probing:
            return effects
        state.is_probing = False
        if outcome == Outcome.ALIVE or self._has_answered(state):
            return effects + self._handle_alive(now, state)
        tries = self.local_loss.count_required_failures(now, state)
        if not tries and state.health == Health.SUSPECTED:
            self._clear_suspicion(now, state)
            return effects
        state.probe_failures += 1
        state.probe_failed_at = now
        if state.probe_failures < tries:
            return effects + self._probe_with_control(now, state)
        state.probe_due = now + self._settings.probe_pause_seconds
        if state.control_name in self._controls:
            # The refusal arrived before the result of the control.
            state.pending_outcome = outcome
            return effects
        return effects + self._declare_unreachable(now, state, outcome)

    def resume_probing(self, state: _upstream_state.UpstreamState) -> None:
        """Probe an unreachable upstream again if its verdict may have expired.

        :param state: the upstream.
        """
        if state.health == Health.UNREACHABLE:
            self._suspects[state.upstream.name] = state

    @property
    def has_suspects(self) -> bool:
        """Whether any upstream is suspected."""
        return bool(self._suspects)

    def tick(self, now: float) -> list[object]:
        """Send the probes that are due.

        :param now: the time.
        :returns: effects.
        """
        self.local_loss.attribute_losses(now)
        effects: list[object] = []
        for name, state in list(self._suspects.items()):
            if not self._is_relevant(state):
                del self._suspects[name]
            elif state.probe_due <= now and not state.is_probing:
                effects += self._repeat_probe(now, state)
        return effects

    def _handle_control_result(self, now: float, name: str) -> list[object]:
        """Decide on the upstreams that waited for a control probe."""
        effects: list[object] = []
        for suspect in self._controls.pop(name, ()):
            outcome, suspect.pending_outcome = suspect.pending_outcome, ''
            if outcome and not self._has_answered(suspect):
                effects += self._declare_unreachable(now, suspect, outcome)
        return effects

    def _declare_unreachable(
        self, now: float, state: _upstream_state.UpstreamState, outcome: str
    ) -> list[object]:
        control = self._directory.get(state.control_name)
        state.is_confirmed = (
            control is not None
            and control.probe_answered_at >= state.control_sent_at
        )
        if state.health == Health.UNREACHABLE:
            return []
        state.health = Health.UNREACHABLE
        silent = now - state.silent_since
        self._histograms[_tally.DOUBT_SECONDS].observe(silent)
        effects: list[object] = [self._build_record(now, state, outcome)]
        if state.is_confirmed:
            effects.append(_effect.NotifyPeers(state.upstream))
        effects += self._flow_resetter.reset_flows(now, [state])
        return effects + self._suspect_zone(now, state)

    def _suspect_zone(
        self, now: float, failed: _upstream_state.UpstreamState
    ) -> list[object]:
        """Suspect all upstreams of a zone that seems to be cut off.

        Those with flows here are probed one by one before anything is reset.
        Of the rest, which may be thousands, only some are probed; the others
        are deprioritized until their entries would have lapsed or they are
        heard.
        """
        zone = failed.upstream.zone
        if zone == self._zone:
            return []
        zone_states = [
            each
            for each in self._directory
            if each.upstream.zone == zone and each.lapsed_at is None
        ]
        unreachable = [
            each for each in zone_states if each.health == Health.UNREACHABLE
        ]
        since = min((each.probing_since for each in unreachable), default=now)
        is_heard = any(each.last_heard > since for each in zone_states)
        if len(unreachable) < self._settings.zone_failures or is_heard:
            return []
        effects: list[object] = []
        for each in zone_states:
            if self._is_worth_probing(each):
                effects += self.suspect(now, each, since)
            else:
                self._deprioritize(each, since)
        return effects

    def _may_suspect(self, now: float) -> bool:
        return self.local_loss.may_suspect(now, len(self._suspects))

    def _is_worth_probing(self, state: _upstream_state.UpstreamState) -> bool:
        has_room = len(self._suspects) < self._settings.suspect_limit
        return has_room or state.flows > 0

    def _deprioritize(
        self, state: _upstream_state.UpstreamState, since: float
    ) -> None:
        """Prefer others to an upstream until its entry would lapse."""
        until = since + self._settings.return_seconds
        state.deprioritized_until = max(state.deprioritized_until, until)

    def _has_answered(self, state: _upstream_state.UpstreamState) -> bool:
        return state.last_heard > state.silent_since

    def _is_relevant(self, state: _upstream_state.UpstreamState) -> bool:
        if self._directory.get(state.upstream.name) is not state:
            return False
        if state.is_replaced:
            return False
        return state.lapsed_at is None or state.flows > 0

    def _probe(
        self, now: float, state: _upstream_state.UpstreamState
    ) -> list[object]:
        if state.is_probing:
            return []
        state.is_probing = True
        if not state.probe_failures:
            state.probing_since = now
        timeout = self._settings.probe_timeout_seconds
        return [_effect.Probe(state.upstream, timeout)]

    def _repeat_probe(
        self, now: float, state: _upstream_state.UpstreamState
    ) -> list[object]:
        is_unconfirmed = (
            state.health == Health.UNREACHABLE and not state.is_confirmed
        )
        # While packets are lost on this side, controls show when that ends.
        if is_unconfirmed or self.local_loss.is_lossy(now):
            return self._probe_with_control(now, state)
        return self._probe(now, state)

    def _probe_with_control(
        self, now: float, state: _upstream_state.UpstreamState
    ) -> list[object]:
        """Probe an upstream and, as a control, the one heard last."""
        state.control_sent_at = now
        state.control_name = ''
        effects = self._probe(now, state)
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
            state.control_name = control.upstream.name
            self._controls.setdefault(state.control_name, []).append(state)
            timeout = self._settings.probe_timeout_seconds
            effects.append(_effect.Probe(control.upstream, timeout, True))
        return effects

    def _handle_alive(
        self, now: float, state: _upstream_state.UpstreamState
    ) -> list[object]:
        was_unreachable = state.health == Health.UNREACHABLE
        silent_since = state.silent_since
        self._clear_suspicion(now, state)
        if state.last_heard > silent_since:
            return []
        # It accepts connections but answers no caller: it is overloaded, slow,
        # or another process has its address after a crash.
        settings = self._settings
        state.deprioritized_until = now + settings.full_seconds
        if not was_unreachable:
            return []
        trusted_at = silent_since + settings.return_seconds
        state.deprioritized_until = max(state.deprioritized_until, trusted_at)
        return [self._build_record(now, state, Outcome.ALIVE)]

    def _clear_suspicion(
        self, now: float, state: _upstream_state.UpstreamState
    ) -> None:
        state.probe_failures = 0
        state.is_confirmed = False
        state.pending_outcome = ''
        state.health = Health.GOOD
        state.probe_due = now + self._settings.probe_pause_seconds
        self._suspects.pop(state.upstream.name, None)

    def _build_record(
        self, now: float, state: _upstream_state.UpstreamState, outcome: str
    ) -> _effect.RecordDecision:
        details = {
            'probe': outcome,
            'heard_ms_ago': _flow_reset.to_ms(now - state.last_heard),
            'silent_ms': _flow_reset.to_ms(now - state.silent_since),
            'proven': state.is_confirmed,
            'flows': state.flows,
            'zone': state.upstream.zone,
        }
        name = state.upstream.name
        return _effect.RecordDecision(
            'health', state.health, upstream=name, details=details
        )
