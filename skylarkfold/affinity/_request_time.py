"""Learnt time that requests occupy a slot of their upstream."""

from __future__ import annotations

# Relative step of the estimate towards each new value. The first steps are
# larger, to leave a wrong initial value quickly.
_STEP = 0.02
_INITIAL_STEP = 0.2


class RequestTime:
    """A running median of how long requests take, without waiting.

    A median, because answers that are much too early (from an overloaded or
    failing upstream) or late (from a slow one) say nothing about the others.

    :ivar seconds: the median; 0 before the first value.
    """

    __slots__ = ('_count', 'seconds')

    def __init__(self) -> None:
        self.seconds = 0.0
        self._count = 0

    def record(self, seconds: float) -> None:
        """Update the median with a value.

        :param seconds: how long a request took.
        """
        if not self.seconds:
            self.seconds = seconds
        self._count += 1
        step = max(_STEP, _INITIAL_STEP / self._count)
        if seconds > self.seconds:
            self.seconds *= 1 + step
        elif seconds < self.seconds:
            self.seconds /= 1 + step


class AnswerEstimate:
    """The estimated time until a request is answered.

    :param run_seconds: how long it occupies a slot.
    :param wait_seconds: how long it waits for a slot.
    :param typical_seconds: how long requests of its service occupy a slot.
    """

    __slots__ = ('run_seconds', 'typical_seconds', 'wait_seconds')

    def __init__(
        self, run_seconds: float, wait_seconds: float, typical_seconds: float
    ) -> None:
        self.run_seconds = run_seconds
        self.wait_seconds = wait_seconds
        self.typical_seconds = typical_seconds

    @property
    def seconds(self) -> float:
        """The time until the answer."""
        return self.run_seconds + self.wait_seconds

    def compute_weighted_seconds(self, maximum_weight: float) -> float:
        """Compute the time with the wait weighted by the request's length.

        Under overload, a slot can answer several short requests in the time of
        one long request: long ones are refused first.

        :param maximum_weight: the largest weight.
        :returns: seconds.
        """
        weight = 1.0
        if self.typical_seconds:
            weight = max(1.0, self.run_seconds / self.typical_seconds)
        return self.run_seconds + self.wait_seconds * min(
            weight, maximum_weight
        )
