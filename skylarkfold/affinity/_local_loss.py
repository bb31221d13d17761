"""What the silence of an upstream proves, where packets get lost here."""

from __future__ import annotations

import collections

from skylarkfold.affinity import _effect
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _upstream_state
from skylarkfold import room as rooms

# Doubts that are remembered, and exchanges without an answer that may still
# turn out to have got lost here.
_HISTORY_SIZE = 64
# Upstreams in doubt at once while much gets lost on this side.
_LOSSY_SUSPECTS = 4

Outcome = _effect.ProbeOutcome
_TimedStates = collections.deque[tuple[float, _upstream_state.UpstreamState]]


class LocalLossMonitor:
    """Learns how much gets lost on this side, and what follows from it.

    An instance whose own link is full hears nobody: were silence a verdict
    then, it would reset flows of upstreams that live.

    :param settings: the limits.
    :param room: the instance's own, told of what is lost.
    """

    __slots__ = ('_room', '_settings', '_suspicions', '_unanswered')

    def __init__(
        self,
        settings: _settings.AffinitySettings,
        room: rooms.InstanceHeadroom,
    ) -> None:
        self._settings = settings
        self._room = room
        self._suspicions: _TimedStates = collections.deque(
            maxlen=_HISTORY_SIZE
        )
        self._unanswered: _TimedStates = collections.deque(
            maxlen=_HISTORY_SIZE
        )

    def record_suspicion(
        self, now: float, state: _upstream_state.UpstreamState
    ) -> None:
        """Note that an upstream is doubted.

        :param now: the time.
        :param standing: the upstream.
        """
        self._suspicions.append((now, state))

    def record_opened(
        self,
        now: float,
        state: _upstream_state.UpstreamState,
        placed_at: float,
    ) -> None:
        """Learn from a first packet that was answered.

        An upstream answers one at once, whatever it has to do.

        :param now: the time.
        :param standing: the upstream.
        :param placed_at: when it was sent the packet.
        """
        if now - placed_at <= self._settings.open_patience_seconds:
            self._room.record_probe(now, True)

    def record_unopened(
        self, state: _upstream_state.UpstreamState, placed_at: float
    ) -> None:
        """Note a first packet that was not answered in time.

        :param standing: the upstream.
        :param placed_at: when it was sent the packet.
        """
        self._unanswered.append((placed_at, state))

    def record_probe(
        self, now: float, state: _upstream_state.UpstreamState, outcome: str
    ) -> None:
        """Learn from the end of a probe.

        :param now: the time.
        :param standing: the upstream.
        :param outcome: how it ended.
        """
        if outcome == Outcome.ALIVE:
            state.probe_answered_at = now
            self._room.record_probe(now, True)
        elif outcome == Outcome.SILENT:
            sent_at = now - self._settings.probe_timeout_seconds
            self._unanswered.append((sent_at, state))

    def attribute_losses(self, now: float) -> None:
        """Count as lost here what upstreams heard since did not answer.

        :param now: the time.
        """
        oldest = now - self._settings.verdict_seconds
        for _ in range(len(self._unanswered)):
            sent_at, state = self._unanswered.popleft()
            if max(state.last_heard, state.probe_answered_at) > sent_at:
                self._room.record_probe(now, False)
            elif sent_at >= oldest:
                self._unanswered.append((sent_at, state))

    def is_lossy(self, now: float) -> bool:
        """Tell whether more gets lost here than on a link in order.

        :param now: the time.
        :returns: whether a verdict needs more probes for it, or none would do.
        """
        least = self._settings.probe_tries
        return self._room.count_tries(now, least) != least

    def may_suspect(self, now: float, suspect_count: int) -> bool:
        """Tell whether the link has room for questions and probes.

        They would fill one that is full still more. Where what is asked gets
        lost for another reason, a few go on, to see when that ends.

        :param now: the time.
        :param suspects: upstreams in doubt.
        :returns: whether one more may be doubted.
        """
        if self._room.is_full(now):
            return False
        return suspect_count < _LOSSY_SUSPECTS or not self._room.is_short(now)

    def count_required_failures(
        self, now: float, state: _upstream_state.UpstreamState
    ) -> int:
        """Count the failed probes in a row that a verdict needs.

        More where others are in doubt elsewhere: one that fails alone has
        ended as a rule, several zones at once seldom have.

        :param now: the time.
        :param standing: the upstream that they are of.
        :returns: how many; 0 where no number would do.
        """
        if self._may_be_busy(now, state):
            return 0
        settings = self._settings
        since = now - settings.verdict_seconds
        elsewhere = {
            each.upstream.name
            for at, each in self._suspicions
            if at >= since and each.upstream.zone != state.upstream.zone
        }
        spans_zones = len(elsewhere) >= settings.wide_suspects
        least = settings.wide_tries if spans_zones else settings.probe_tries
        return self._room.count_tries(now, least)

    def _may_be_busy(
        self, now: float, state: _upstream_state.UpstreamState
    ) -> bool:
        """Tell whether an upstream may be silent for its load alone.

        One with more requests than slots, whose queue of new connections may
        be full as well, takes no probe either.
        """
        if state.in_flight <= state.compute_capacity(now):
            return False
        silent_since = state.silent_since
        if state.last_heard > float('-inf'):
            silent_since = state.last_heard
        return now - silent_since < self._settings.busy_silence_seconds
