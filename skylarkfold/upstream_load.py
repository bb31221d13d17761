"""What instances tell one another of the load of an upstream."""

from __future__ import annotations

import math

# Answers beyond a quarter or eight times of the usual time count as these:
# one in thirty may take many times as long on a good upstream.
MAXIMUM_FASTNESS = math.log(4.0)
MAXIMUM_SLOWNESS = math.log(8.0)
# What an instance or a zone may say of one on average, either way.
MAXIMUM_MEAN_SLOWNESS = math.log(4.0)
# What an instance's word of an upstream's speed weighs at most, in answers,
# so that a wrong one moves the sum of all little; and a zone's, of 512
# instances.
MAXIMUM_ANSWERS = 8.0
MAXIMUM_ZONE_ANSWERS = 4096.0
# Less is not told.
MINIMUM_ANSWERS = 1 / 8


class UpstreamLoad:
    """What an instance, or all of an availability zone, carry of it.

    :param flows: flows that were seen lately.
    :param busy: requests of these that the upstream had at a time, on
        average since the word before.
    :param answers: the weight of its answers of late that tell its speed;
        one counts less as it ages.
    :param slowness: the sum of what they tell: the natural logarithm of how
        long each took as a multiple of the usual time, weighted alike.
    """

    __slots__ = ('answers', 'busy', 'flows', 'slowness')

    def __init__(
        self,
        flows: int,
        busy: float,
        answers: float = 0.0,
        slowness: float = 0.0,
    ) -> None:
        self.flows = flows
        self.busy = busy
        self.answers = answers
        self.slowness = slowness

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, UpstreamLoad):
            return NotImplemented
        return self._list() == other._list()

    def __hash__(self) -> int:
        return hash(self._list())

    def add(self, other: 'UpstreamLoad') -> 'UpstreamLoad':
        """Add what others carry of the same upstream.

        :param other: the others' load.
        :returns: both together.
        """
        return UpstreamLoad(
            self.flows + other.flows,
            self.busy + other.busy,
            self.answers + other.answers,
            self.slowness + other.slowness,
        )

    def _list(self) -> tuple[float, ...]:
        return (self.flows, self.busy, self.answers, self.slowness)


NO_LOAD = UpstreamLoad(0, 0.0)
