"""Which share of what an instance asks gets lost on its side."""

from __future__ import annotations

import math

# What is believed before anything is known: one in a hundred gets lost, with
# the weight of one exchange.
_USUAL_SHARE = 0.01
_USUAL_WEIGHT = 1.0


class LossMeter:
    """Averages which exchanges with living upstreams were answered.

    :param seconds: over about how long.
    """

    __slots__ = ('_answered', '_at', '_lost', '_seconds')

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._at = 0.0
        self._answered = 0.0
        self._lost = 0.0

    def note(self, now: float, is_answered: bool) -> None:
        """Note the end of an exchange with an upstream that lives.

        :param now: the time.
        :param is_answered: whether its answer came in time.
        """
        self._decay(now)
        if is_answered:
            self._answered += 1
        else:
            self._lost += 1

    def compute_share(self, now: float) -> float:
        """Compute the share that gets lost.

        :param now: the time.
        :returns: between 0 and 1, both excluded.
        """
        self._decay(now)
        lost = self._lost + _USUAL_SHARE * _USUAL_WEIGHT
        return lost / (self._lost + self._answered + _USUAL_WEIGHT)

    def _decay(self, now: float) -> None:
        if now <= self._at:
            return
        kept = math.exp((self._at - now) / self._seconds)
        self._at = now
        self._answered *= kept
        self._lost *= kept
