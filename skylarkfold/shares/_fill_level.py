"""Max-min fair shares of a room."""

from __future__ import annotations

from collections.abc import Iterable


class ShareRequest:
    """What one caller, or several alike, ask for.

    :param demand: of one of them, in slots.
    :param weight: its share is this many times the level.
    :param cap: its share is not above this, in slots.
    :param count: how many of them there are.
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
        """What one of them may have at most."""
        return min(self.demand, self.cap)


def compute_fill_level(
    available_slots: float, requests: Iterable[ShareRequest]
) -> float:
    """Compute up to which level a room is filled.

    Each claim gets the least of its demand, its cap and the level times its
    weight; together they fill the room.

    :param room: in slots.
    :param claims: who wants it.
    :returns: slots for a weight of one; infinite where all find room.
    """
    # Those that are satisfied at the lowest level come first.
    ordered = sorted(requests, key=lambda each: each.wanted / each.weight)
    remaining_slots = max(0.0, available_slots)
    total_weight = sum(each.weight * each.count for each in ordered)
    for each in ordered:
        if each.wanted * total_weight > remaining_slots * each.weight:
            return remaining_slots / total_weight
        remaining_slots = max(0.0, remaining_slots - each.wanted * each.count)
        total_weight -= each.weight * each.count
    return float('inf')
