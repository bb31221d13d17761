"""Packet loss on this instance's side, and what silence then proves."""

from __future__ import annotations

import collections

from skylarkfold.affinity import _effect
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _upstream_state
from skylarkfold import room as rooms

# Recent suspicions and unanswered exchanges that are kept.
_HISTORY_SIZE = 64
# The most suspected upstreams while loss on this side is high.
_LOSSY_SUSPECTS = 4

Outcome = _effect.ProbeOutcome
_TimedStates = collections.deque[tuple[float, _upstream_state.UpstreamState]]


class LocalLossMonitor:
    """Estimates packet loss on this side and adapts failure detection to it.

    An instance whose own link is full gets no answers: if silence were proof
    then, it would reset flows of upstreams that are alive.

    :param settings: limits and timeouts.
    :param room: the headroom of this instance's own link, which records the
        losses.
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
        """Record that an upstream is suspected.

        :param now: the time.
        :param state: the upstream.
        """
        self._suspicions.append((now, state))

    def record_opened(
        self,
        now: float,
        state: _upstream_state.UpstreamState,
        placed_at: float,
    ) -> None:
        """Record a first packet that was answered.

        An upstream answers a first packet at once, whatever its load.

        :param now: the time.
        :param state: the upstream.
        :param placed_at: when the packet was sent to it.
        """
        if now - placed_at <= self._settings.open_patience_seconds:
            self._room.record_probe(now, True)

    def record_unopened(
        self, state: _upstream_state.UpstreamState, placed_at: float
    ) -> None:
        """Record a first packet that was not answered in time.

        :param state: the upstream.
        :param placed_at: when the packet was sent to it.
        """
        self._unanswered.append((placed_at, state))

    def record_probe(
        self, now: float, state: _upstream_state.UpstreamState, outcome: str
    ) -> None:
        """Record the result of a probe.

        :param now: the time.
        :param state: the upstream.
        :param outcome: one of ``ProbeOutcome``.
        """
        if outcome == Outcome.ALIVE:
            state.probe_answered_at = now
            self._room.record_probe(now, True)
        elif outcome == Outcome.SILENT:
            sent_at = now - self._settings.probe_timeout_seconds
            self._unanswered.append((sent_at, state))

    def attribute_losses(self, now: float) -> None:
        """Count unanswered exchanges as lost here if the upstream answers.

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
        """Return whether more is lost on this side than on a healthy link.

        :param now: the time.
        :returns: whether a verdict needs more probes, or no number suffices.
        """
        least = self._settings.probe_tries
        return self._room.count_tries(now, least) != least

    def may_suspect(self, now: float, suspect_count: int) -> bool:
        """Return whether the link has room for queries and probes.

        They would add to the load of a saturated link. If loss has another
        cause, a few continue, to see when it ends.

        :param now: the time.
        :param suspect_count: upstreams that are suspected already.
        :returns: whether another upstream may be suspected.
        """
        if self._room.is_full(now):
            return False
        return suspect_count < _LOSSY_SUSPECTS or not self._room.is_short(now)

    def count_required_failures(
        self, now: float, state: _upstream_state.UpstreamState
    ) -> int:
        """Return how many consecutive probe failures a verdict needs.

        More are needed while upstreams of other zones are suspected: a single
        upstream that is silent has usually failed, but several zones seldom
        fail at once.

        :param now: the time.
        :param state: the probed upstream.
        :returns: the number; 0 if no number suffices.
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
        """Return whether an upstream may be silent because of its load.

        An upstream with more requests than slots may also have a full accept
        queue, and then answers no probe either.
        """
        if state.in_flight <= state.compute_capacity(now):
            return False
        silent_since = state.silent_since
        if state.last_heard > float('-inf'):
            silent_since = state.last_heard
        return now - silent_since < self._settings.busy_silence_seconds
