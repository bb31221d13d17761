"""Points in the history of the platform's store."""

from __future__ import annotations

from skylarkfold import errors

# Both together fit into the 62 bits that messages allow for a number. A store
# that writes a hundred thousand times a second gets to the end of an era
# after ninety years.
_NUMBER_BITS = 48
_ERA_BITS = 14
MAXIMUM_NUMBER = (1 << _NUMBER_BITS) - 1
MAXIMUM_ERA = (1 << _ERA_BITS) - 1
_MOST_ERA_DIGITS = len(str(MAXIMUM_ERA))


class Revision(int):
    """A point in the store's history: its era, then its number in it.

    The store's counter goes back when the store does: whenever it comes back
    from an older copy, a new era begins, and numbers are given out again. So
    only both together tell which of two points is the later one. They are
    one integer, so that no comparison can leave one of them out.

    :param number: the store's counter, up to ``MAXIMUM_NUMBER``.
    :param era: how often the store has come back from an older copy, up to
        ``MAXIMUM_ERA``; 0 where it doesn't say.
    """

    __slots__ = ()

    def __new__(cls, number: int = 0, era: int = 0) -> Revision:
        return super().__new__(cls, era << _NUMBER_BITS | number)

    @property
    def era(self) -> int:
        """The era."""
        return get_era(int(self))

    @property
    def number(self) -> int:
        """The store's counter in that era."""
        return get_number(int(self))

    def __repr__(self) -> str:
        return f'{self.era}:{self.number}'


ZERO = Revision()


def get_era(revision: int) -> int:
    """Tell the era of a revision that came as a plain integer.

    :param revision: the integer.
    :returns: the era.
    """
    return revision >> _NUMBER_BITS


def get_number(revision: int) -> int:
    """Tell the store's counter of one that came as a plain integer.

    :param revision: the integer.
    :returns: the counter.
    """
    return revision & MAXIMUM_NUMBER


def parse_era(text: str) -> int:
    """Read an era as the store writes it.

    :param text: digits.
    :returns: the era.
    :raises DecodeError: if it is no number that fits.
    """
    digits = text.strip()
    is_number = digits.isascii() and digits.isdecimal()
    if not is_number or len(digits) > _MOST_ERA_DIGITS:
        raise errors.DecodeError('the era is no number')
    era = int(digits)
    if era > MAXIMUM_ERA:
        raise errors.DecodeError('the era is out of range')
    return era
