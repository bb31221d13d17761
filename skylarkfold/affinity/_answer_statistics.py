"""Decaying statistics of the answer times of an upstream."""

from __future__ import annotations

from skylarkfold import upstream_load

# Short enough to detect an upstream that becomes slow within two seconds.
_HALF_LIFE_SECONDS = 1.5


class AnswerStatistics:
    """Answer times of one upstream as seen by this instance.

    :ivar started_at: when the first answer was seen.
    :ivar answers: the weight of the answers, which halves with each half-life.
    :ivar slowness: the weighted sum of the logarithms of their relative times.
    :ivar mean_in_flight: the mean number of requests in flight.
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
        """Reduce the weight of all answers by their age.

        :param now: the time.
        """
        share = 0.5 ** ((now - self._at) / _HALF_LIFE_SECONDS)
        self._at = now
        self.answers *= share
        self.slowness *= share

    def add(self, now: float, logarithm: float) -> None:
        """Add an answer.

        :param now: the time.
        :param logarithm: the logarithm of its relative time, bounded.
        """
        self.decay(now)
        self.answers += 1.0
        self.slowness += logarithm

    def record_in_flight(self, now: float, in_flight: float) -> None:
        """Update the mean number of requests in flight.

        :param now: the time.
        :param in_flight: the present number, here and at peers.
        """
        share = 0.0
        if self._sampled_at is not None:
            seconds = now - self._sampled_at
            share = 0.5 ** (seconds / _HALF_LIFE_SECONDS)
        self._sampled_at = now
        self.mean_in_flight += (1 - share) * (in_flight - self.mean_in_flight)

    def export(self, now: float) -> tuple[float, float]:
        """Return the statistics for peers, with a bounded weight.

        :param now: the time.
        :returns: ``answers`` and ``slowness`` as in
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
