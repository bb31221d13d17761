"""What the silence of an upstream proves, where packets get lost here."""

from __future__ import annotations

import collections

from skylarkfold.affinity import _effect
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _standing
from skylarkfold import room as rooms

# Doubts that are remembered, and exchanges without an answer that may still
# turn out to have got lost here.
_REMEMBERED = 64
# Upstreams in doubt at once while much gets lost on this side.
_LOSSY_SUSPECTS = 4

Outcome = _effect.ProbeOutcome
_Moments = collections.deque[tuple[float, _standing.Standing]]


class Evidence:
    """Learns how much gets lost on this side, and what follows from it.

    An instance whose own link is full hears nobody: were silence a verdict
    then, it would reset flows of upstreams that live.

    :param settings: the limits.
    :param room: the instance's own, told of what is lost.
    """

    __slots__ = ('_doubted', '_room', '_settings', '_unexplained')

    def __init__(
        self,
        settings: _settings.AffinitySettings,
        room: rooms.InstanceHeadroom,
    ) -> None:
        self._settings = settings
        self._room = room
        self._doubted: _Moments = collections.deque(maxlen=_REMEMBERED)
        self._unexplained: _Moments = collections.deque(maxlen=_REMEMBERED)

    def note_doubt(self, now: float, standing: _standing.Standing) -> None:
        """Note that an upstream is doubted.

        :param now: the time.
        :param standing: the upstream.
        """
        self._doubted.append((now, standing))

    def note_opened(
        self, now: float, standing: _standing.Standing, placed_at: float
    ) -> None:
        """Learn from a first packet that was answered.

        An upstream answers one at once, whatever it has to do.

        :param now: the time.
        :param standing: the upstream.
        :param placed_at: when it was sent the packet.
        """
        if now - placed_at <= self._settings.open_patience_seconds:
            self._room.record_probe(now, True)

    def note_unopened(
        self, standing: _standing.Standing, placed_at: float
    ) -> None:
        """Note a first packet that was not answered in time.

        :param standing: the upstream.
        :param placed_at: when it was sent the packet.
        """
        self._unexplained.append((placed_at, standing))

    def record_probe(
        self, now: float, standing: _standing.Standing, outcome: str
    ) -> None:
        """Learn from the end of a probe.

        :param now: the time.
        :param standing: the upstream.
        :param outcome: how it ended.
        """
        if outcome == Outcome.ALIVE:
            standing.alive_at = now
            self._room.record_probe(now, True)
        elif outcome == Outcome.SILENT:
            sent_at = now - self._settings.probe_timeout_seconds
            self._unexplained.append((sent_at, standing))

    def explain(self, now: float) -> None:
        """Count as lost here what upstreams heard since did not answer.

        :param now: the time.
        """
        oldest = now - self._settings.verdict_seconds
        for _ in range(len(self._unexplained)):
            sent_at, standing = self._unexplained.popleft()
            if max(standing.last_heard, standing.alive_at) > sent_at:
                self._room.record_probe(now, False)
            elif sent_at >= oldest:
                self._unexplained.append((sent_at, standing))

    def is_lossy(self, now: float) -> bool:
        """Tell whether more gets lost here than on a link in order.

        :param now: the time.
        :returns: whether a verdict needs more probes for it, or none would do.
        """
        least = self._settings.probe_tries
        return self._room.count_tries(now, least) != least

    def may_ask(self, now: float, suspects: int) -> bool:
        """Tell whether the link has room for questions and probes.

        They would fill one that is full still more. Where what is asked gets
        lost for another reason, a few go on, to see when that ends.

        :param now: the time.
        :param suspects: upstreams in doubt.
        :returns: whether one more may be doubted.
        """
        if self._room.is_full(now):
            return False
        return suspects < _LOSSY_SUSPECTS or not self._room.is_short(now)

    def count_tries(self, now: float, standing: _standing.Standing) -> int:
        """Count the failed probes in a row that a verdict needs.

        More where others are in doubt elsewhere: one that fails alone has
        ended as a rule, several zones at once seldom have.

        :param now: the time.
        :param standing: the upstream that they are of.
        :returns: how many; 0 where no number would do.
        """
        if self._may_be_busy(now, standing):
            return 0
        settings = self._settings
        since = now - settings.verdict_seconds
        elsewhere = {
            each.upstream.name
            for at, each in self._doubted
            if at >= since and each.upstream.zone != standing.upstream.zone
        }
        is_wide = len(elsewhere) >= settings.wide_suspects
        least = settings.wide_tries if is_wide else settings.probe_tries
        return self._room.count_tries(now, least)

    def _may_be_busy(self, now: float, standing: _standing.Standing) -> bool:
        """Tell whether an upstream may be silent for its load alone.

        One with more requests than slots, whose queue of new connections may
        be full as well, takes no probe either.
        """
        if standing.waiting <= standing.compute_capacity(now):
            return False
        silent_since = standing.silent_since
        if standing.last_heard > float('-inf'):
            silent_since = standing.last_heard
        return now - silent_since < self._settings.busy_silence_seconds
