"""How long a request takes a slot of its upstream."""

from __future__ import annotations

# A step of the estimate towards each new value, as a part of itself: the
# first ones are larger, so that a wrong first value is left within them.
_STEP = 0.02
_FIRST_STEP = 0.2
_FIRST_VALUES = 16


class WorkTime:
    """The median of how long requests take, without those that waited.

    A median, since answers that are much too fast (an upstream that is full
    or fails) or late (one that is slow) say nothing of the others.

    :ivar seconds: the median; 0 before the first value.
    """

    __slots__ = ('_count', 'seconds')

    def __init__(self) -> None:
        self.seconds = 0.0
        self._count = 0

    def note(self, seconds: float) -> None:
        """Take a value.

        :param seconds: how long a request took.
        """
        if not self._count:
            self.seconds = seconds
        self._count += 1
        step = max(_STEP, _FIRST_STEP / self._count)
        if seconds > self.seconds:
            self.seconds *= 1 + step
        elif seconds < self.seconds:
            self.seconds /= 1 + step
