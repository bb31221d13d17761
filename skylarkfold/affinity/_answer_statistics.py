"""What answers say of the speed of an upstream."""

from __future__ import annotations

from skylarkfold import upstream_load

# One that turned slow is known after one to two seconds of answers.
_HALF_LIFE_SECONDS = 1.5


class AnswerStatistics:
    """What answers seen here say of one upstream.

    :ivar begun_at: when the first of them was seen.
    :ivar answers: their weight; one counts half after a half-life.
    :ivar slowness: the sum of their logarithms, weighted alike.
    :ivar waiting: requests that it had meanwhile, on average.
    """

    __slots__ = (
        '_at',
        '_sampled_at',
        'answers',
        'mean_in_flight',
        'slowness',
        'started_at',
    )

    def __init__(self, now: float) -> None:
        self._at = now
        self.started_at = now
        self._sampled_at: float | None = None
        self.answers = 0.0
        self.slowness = 0.0
        self.mean_in_flight = 0.0

    def decay(self, now: float) -> None:
        """Let all that is known count less.

        :param now: the time.
        """
        share = 0.5 ** ((now - self._at) / _HALF_LIFE_SECONDS)
        self._at = now
        self.answers *= share
        self.slowness *= share

    def add(self, now: float, logarithm: float) -> None:
        """Take an answer.

        :param now: the time.
        :param logarithm: of how long it took, bounded.
        """
        self.decay(now)
        self.answers += 1.0
        self.slowness += logarithm

    def record_in_flight(self, now: float, in_flight: float) -> None:
        """Take how many requests it has.

        :param now: the time.
        :param waiting: the requests, here and at the peers.
        """
        share = 0.0
        if self._sampled_at is not None:
            seconds = now - self._sampled_at
            share = 0.5 ** (seconds / _HALF_LIFE_SECONDS)
        self._sampled_at = now
        self.mean_in_flight += (1 - share) * (in_flight - self.mean_in_flight)

    def export(self, now: float) -> tuple[float, float]:
        """Tell peers of it, with a bounded weight.

        :param now: the time.
        :returns: answers and slowness as in
            :class:`skylarkfold.upstream_load.UpstreamLoad`.
        """
        self.decay(now)
        if self.answers < upstream_load.MINIMUM_ANSWERS:
            return 0.0, 0.0
        answers = min(self.answers, upstream_load.MAXIMUM_ANSWERS)
        mean = min(
            self.slowness / self.answers, upstream_load.MAXIMUM_MEAN_SLOWNESS
        )
        return answers, answers * mean
