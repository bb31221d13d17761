"""Meter of the loss of probes on an instance's own side."""

from __future__ import annotations

import math

# Prior: one exchange in a hundred is lost, with the weight of one exchange.
_PRIOR_LOSS_SHARE = 0.01
_PRIOR_WEIGHT = 1.0


class LossMeter:
    """Averages the loss of exchanges with live upstreams, with decay.

    :param seconds: the time constant of the decay.
    """

    __slots__ = (
        '_answered',
        '_lost',
        '_seconds',
        '_updated_at',
    )

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._updated_at = 0.0
        self._answered = 0.0
        self._lost = 0.0

    def note(self, now: float, is_answered: bool) -> None:
        """Record the end of an exchange with a live upstream.

        :param now: the time.
        :param is_answered: whether it was answered in time.
        """
        self._decay(now)
        if is_answered:
            self._answered += 1
        else:
            self._lost += 1

    def compute_share(self, now: float) -> float:
        """Compute the share of exchanges that are lost.

        :param now: the time.
        :returns: between 0 and 1, both excluded.
        """
        self._decay(now)
        lost = self._lost + _PRIOR_LOSS_SHARE * _PRIOR_WEIGHT
        return lost / (self._lost + self._answered + _PRIOR_WEIGHT)

    def _decay(self, now: float) -> None:
        if now <= self._updated_at:
            return
        decay_factor = math.exp((self._updated_at - now) / self._seconds)
        self._updated_at = now
        self._answered *= decay_factor
        self._lost *= decay_factor
