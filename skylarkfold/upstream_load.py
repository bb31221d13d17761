"""What instances tell one another of the load of an upstream."""

from __future__ import annotations


class UpstreamLoad:
    """What an instance, or all of an availability zone, carry of it.

    :param flows: flows that were seen lately.
    :param busy: requests of these that the upstream had at a time, on
        average since the word before.
    """

    __slots__ = ('busy', 'flows')

    def __init__(self, flows: int, busy: float) -> None:
        self.flows = flows
        self.busy = busy

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, UpstreamLoad):
            return NotImplemented
        return (self.flows, self.busy) == (other.flows, other.busy)

    def __hash__(self) -> int:
        return hash((self.flows, self.busy))

    def add(self, other: 'UpstreamLoad') -> 'UpstreamLoad':
        """Add what others carry of the same upstream.

        :param other: the others' load.
        :returns: both together.
        """
        return UpstreamLoad(self.flows + other.flows, self.busy + other.busy)


NOTHING = UpstreamLoad(0, 0.0)
