"""Load reports on an upstream that instances exchange."""

from __future__ import annotations

import math

# Bounds on the logarithm of a response time relative to the usual one: a
# quarter and eight times. Even a healthy upstream has outliers.
MAXIMUM_FASTNESS = math.log(4.0)
MAXIMUM_SLOWNESS = math.log(8.0)
# The largest mean that a report may contain, in either direction.
MAXIMUM_MEAN_SLOWNESS = math.log(4.0)
# The maximum weight of one instance's speed report, in answers, which limits
# the effect of a wrong report; and of a zone's report, for 512 instances.
MAXIMUM_ANSWERS = 8.0
MAXIMUM_ZONE_ANSWERS = 4096.0
# Reports of a lower weight are not sent.
MINIMUM_ANSWERS = 1 / 8


class UpstreamLoad:
    """The load that an instance or a zone puts on an upstream.

    :param flows: the number of recently active flows.
    :param busy: the mean number of concurrent requests of these flows since
        the previous report.
    :param answers: the total weight of recent answers whose response time
        was measured; the weight of an answer decays with its age.
    :param slowness: the weighted sum of the natural logarithms of these
        response times, each relative to the usual one.
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
        return self._as_tuple() == other._as_tuple()

    def __hash__(self) -> int:
        return hash(self._as_tuple())

    def add(self, other: 'UpstreamLoad') -> 'UpstreamLoad':
        """Return the sum of two loads of the same upstream.

        :param other: the load from other instances.
        :returns: the sum.
        """
        return UpstreamLoad(
            self.flows + other.flows,
            self.busy + other.busy,
            self.answers + other.answers,
            self.slowness + other.slowness,
        )

    def _as_tuple(self) -> tuple[float, ...]:
        return (self.flows, self.busy, self.answers, self.slowness)


NO_LOAD = UpstreamLoad(0, 0.0)
