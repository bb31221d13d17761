"""Counts of durations in buckets."""

from __future__ import annotations

import bisect

# Upper bounds in seconds: from one event-loop turn to a caller's patience,
# each about double the one before.
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
    """How many durations were at most so long.

    :ivar counts: for each of :data:`BOUNDS`, and beyond the last one.
    :ivar total: the sum of all durations, in seconds.
    """

    __slots__ = ('counts', 'total')

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS) + 1)
        self.total = 0.0

    def observe(self, seconds: float) -> None:
        """Count a duration.

        :param seconds: the duration.
        """
        self.counts[bisect.bisect_left(BOUNDS, seconds)] += 1
        self.total += seconds

    @property
    def count(self) -> int:
        """How many durations were counted."""
        return sum(self.counts)
