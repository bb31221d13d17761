"""Points in the history of the platform's store."""

from __future__ import annotations

_ERA_BITS = 62
# The numbers that fit; a store that writes a million times a second gets
# there after 146,000 years.
MOST_NUMBER = (1 << _ERA_BITS) - 1
MOST_ERA = (1 << 31) - 1


class Revision(int):
    """A point in the store's history: its era, then its number in it.

    The store's counter goes back when the store does: whenever it comes back
    from an older copy, a new era begins, and numbers are given out again. So
    only both together tell which of two points is the later one. They are
    one integer, so that no comparison can leave one of them out.

    :param number: the store's counter, up to ``MOST_NUMBER``.
    :param era: how often the store has come back from an older copy, up to
        ``MOST_ERA``; 0 where it doesn't say.
    """

    __slots__ = ()

    def __new__(cls, number: int = 0, era: int = 0) -> Revision:
        return super().__new__(cls, era << _ERA_BITS | number)

    @property
    def era(self) -> int:
        """The era."""
        return int(self) >> _ERA_BITS

    @property
    def number(self) -> int:
        """The store's counter in that era."""
        return int(self) & MOST_NUMBER

    def __repr__(self) -> str:
        return f'{self.era}:{self.number}'


NONE = Revision()
