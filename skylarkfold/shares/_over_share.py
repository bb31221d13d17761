"""Refusal of new flows of a caller that is above its share."""

from __future__ import annotations

# Position of the bits of a flow's hash that decide on its refusal, alike on
# every instance. Refusals for expected lateness use other bits, so that both
# decisions are independent.
_DRAW_SHIFT = 48
_DRAW_COUNT = 1 << 16


class OverShare:
    """The figures of a refusal.

    :param demand: the caller's demand, in slots of the service.
    :param share: the caller's share, in slots.
    :param room: the slots of the service for requests of this kind.
    :param refused_share: the share of its new flows that are refused.
    :param age_seconds: the age of the oldest report that was used.
    """

    __slots__ = ('age_seconds', 'demand', 'refused_share', 'room', 'share')

    def __init__(
        self,
        demand: float,
        share: float,
        room: float,
        refused_share: float,
        age_seconds: float,
    ) -> None:
        self.demand = demand
        self.share = share
        self.room = room
        self.refused_share = refused_share
        self.age_seconds = age_seconds

    def refuses(self, hashed: int) -> bool:
        """Tell whether a new flow of the caller is refused.

        :param hashed: the flow's hash, 64 bits.
        :returns: whether it is.
        """
        draw = ((hashed >> _DRAW_SHIFT) % _DRAW_COUNT) / _DRAW_COUNT
        return draw < self.refused_share
