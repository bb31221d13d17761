"""A histogram of durations with fixed buckets."""

from __future__ import annotations

import bisect

# Upper bounds in seconds, roughly doubling, from one iteration of the event
# loop to the longest time that callers wait.
BOUNDS = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
)


class Histogram:
    """A histogram of durations.

    :ivar counts: the number of durations in each bucket of
        :data:`BOUNDS`, and above the last bound.
    :ivar total: the sum of all durations, in seconds.
    """

    __slots__ = ('counts', 'total')

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS) + 1)
        self.total = 0.0

    def observe(self, seconds: float) -> None:
        """Record a duration.

        :param seconds: the duration.
        """
        self.counts[bisect.bisect_left(BOUNDS, seconds)] += 1
        self.total += seconds

    @property
    def count(self) -> int:
        """The number of recorded durations."""
        return sum(self.counts)
