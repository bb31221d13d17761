"""Max-min fair division of slots."""

from __future__ import annotations

from collections.abc import Iterable


class ShareRequest:
    """The demand of one caller, or of several with the same one.

    :param demand: the demand of each of them, in slots.
    :param weight: the multiple of the fill level that each may have.
    :param cap: the largest share of each, in slots.
    :param count: the number of callers.
    """

    __slots__ = ('cap', 'count', 'demand', 'weight')

    def __init__(
        self,
        demand: float,
        weight: float = 1.0,
        cap: float = float('inf'),
        count: float = 1.0,
    ) -> None:
        self.demand = demand
        self.weight = weight
        self.cap = cap
        self.count = count

    @property
    def wanted(self) -> float:
        """The most slots that one of them can be given."""
        return min(self.demand, self.cap)


def compute_fill_level(
    available_slots: float, requests: Iterable[ShareRequest]
) -> float:
    """Compute the max-min fair share of a caller with a weight of one.

    Each request gets the least of its demand, its cap and the level times
    its weight; together they use all available slots.

    :param available_slots: the slots to divide.
    :param requests: the demands.
    :returns: the level in slots; infinite if all demands can be met.
    """
    # In the order of the levels at which they are satisfied.
    ordered = sorted(requests, key=lambda each: each.wanted / each.weight)
    remaining_slots = max(0.0, available_slots)
    total_weight = sum(each.weight * each.count for each in ordered)
    for each in ordered:
        if each.wanted * total_weight > remaining_slots * each.weight:
            return remaining_slots / total_weight
        remaining_slots = max(0.0, remaining_slots - each.wanted * each.count)
        total_weight -= each.weight * each.count
    return float('inf')
