"""How long requests take a slot of their upstream."""

from __future__ import annotations

# A step of the estimate towards each new value, as a part of itself: the
# first ones are larger, so that a wrong first value is left within them.
_STEP = 0.02
_INITIAL_STEP = 0.2


class RequestTime:
    """The median of how long requests take, without those that waited.

    A median, since answers that are much too fast (an upstream that is full
    or fails) or late (one that is slow) say nothing of the others.

    :ivar seconds: the median; 0 before the first value.
    """

    __slots__ = ('_count', 'seconds')

    def __init__(self) -> None:
        self.seconds = 0.0
        self._count = 0

    def record(self, seconds: float) -> None:
        """Take a value.

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
    """How soon a request would be answered.

    :param own_seconds: how long it takes a slot.
    :param wait_seconds: until it has one.
    :param usual_seconds: how long requests of its service take a slot.
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
        """Until its answer."""
        return self.run_seconds + self.wait_seconds

    def compute_weighted_seconds(self, maximum_weight: float) -> float:
        """Compute the same with the wait weighed by the request's length.

        Where not all can be served, a slot's time answers several short
        requests or one long one: the long ones make room first.

        :param most: the largest weight.
        :returns: seconds.
        """
        weight = 1.0
        if self.typical_seconds:
            weight = max(1.0, self.run_seconds / self.typical_seconds)
        return self.run_seconds + self.wait_seconds * min(
            weight, maximum_weight
        )
