"""What is told of a new flow that is refused for its caller's share."""

from __future__ import annotations

# The bits of a flow's hash that are a draw, which falls alike on every
# instance. Not those by which a late answer is refused: whoever passes here
# is not more likely to pass there.
_DRAW_SHIFT = 48
_DRAW_COUNT = 1 << 16


class OverShare:
    """The figures of a refusal.

    :param demand: what the caller asks for, in slots of the service.
    :param share: what it may have.
    :param room: what the service has for requests of this kind.
    :param refused_share: the share of its new flows that are refused.
    :param age_seconds: of the oldest word that was used.
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
        """Tell whether one of the caller's new flows is refused.

        :param hashed: the flow's hash, 64 bits.
        :returns: whether it is.
        """
        draw = ((hashed >> _DRAW_SHIFT) % _DRAW_COUNT) / _DRAW_COUNT
        return draw < self.refused_share
