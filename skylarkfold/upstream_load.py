"""What instances tell one another of the load of an upstream."""

from __future__ import annotations

from typing import NamedTuple


class UpstreamLoad(NamedTuple):
    """What an instance, or all of an availability zone, carry of it.

    :ivar flows: flows that were seen lately.
    :ivar busy: requests of these that the upstream had at a time, on
        average since the word before.
    """

    flows: int
    busy: float

    def add(self, other: 'UpstreamLoad') -> 'UpstreamLoad':
        """Add what others carry of the same upstream.

        :param other: the others' load.
        :returns: both together.
        """
        return UpstreamLoad(self.flows + other.flows, self.busy + other.busy)


NOTHING = UpstreamLoad(0, 0.0)
