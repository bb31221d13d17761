"""Revisions of the platform's store, which include its era."""

from __future__ import annotations

from skylarkfold import errors

# Era and number together fit into the 62 bits that messages allow for an
# integer. At a hundred thousand writes a second, the numbers of an era last
# for ninety years.
_NUMBER_BITS = 48
_ERA_BITS = 14
MAXIMUM_NUMBER = (1 << _NUMBER_BITS) - 1
MAXIMUM_ERA = (1 << _ERA_BITS) - 1
_MAXIMUM_ERA_DIGITS = len(str(MAXIMUM_ERA))


class Revision(int):
    """A revision of the store: its era and the number within the era.

    When the store is restored from an older copy, its counter goes back and
    a new era begins, in which numbers are used again. Only era and number
    together order two revisions. Both are packed into one integer, so every
    comparison includes both.

    :param number: the store's counter, up to ``MAXIMUM_NUMBER``.
    :param era: how often the store was restored from an older copy, up to
        ``MAXIMUM_ERA``; 0 if the store does not report it.
    """

    __slots__ = ()

    def __new__(cls, number: int = 0, era: int = 0) -> Revision:
        return super().__new__(cls, era << _NUMBER_BITS | number)

    @property
    def era(self) -> int:
        """How often the store had been restored from an older copy."""
        return get_era(int(self))

    @property
    def number(self) -> int:
        """The store's counter within the era."""
        return get_number(int(self))

    def __repr__(self) -> str:
        return f'{self.era}:{self.number}'


ZERO = Revision()


def get_era(revision: int) -> int:
    """Return the era of a revision that is given as a plain integer.

    :param revision: the revision.
    :returns: the era.
    """
    return revision >> _NUMBER_BITS


def get_number(revision: int) -> int:
    """Return the number of a revision that is given as a plain integer.

    :param revision: the revision.
    :returns: the store's counter within the era.
    """
    return revision & MAXIMUM_NUMBER


def parse_era(text: str) -> int:
    """Parse an era in the form in which the store sends it.

    :param text: decimal digits.
    :returns: the era.
    :raises DecodeError: if the text is not a number or is out of range.
    """
    digits = text.strip()
    is_number = digits.isascii() and digits.isdecimal()
    if not is_number or len(digits) > _MAXIMUM_ERA_DIGITS:
        raise errors.DecodeError('the store era is not a number')
    era = int(digits)
    if era > MAXIMUM_ERA:
        raise errors.DecodeError('the store era is out of range')
    return era
