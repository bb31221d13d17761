"""What instances tell one another of callers, and its bytes."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import math
import struct

from skylarkfold.shares import _count

# Digest of the service, priority, callers that follow, callers known, the
# sender's total and the mean of its neighbours'; then of each caller address,
# the sender's and the mean demand.
_KIND = struct.Struct('!IBBHee')
_CALLER = struct.Struct('!4see')
# Half-precision floats end above it.
_MOST_SLOTS = 60000.0
_MOST_KINDS = 8
_MOST_PRIORITY = 255
_MOST_KNOWN = (1 << 16) - 1
MOST_CALLERS = 64


class Demand:
    """What is asked for of one kind of requests.

    :param total: by all callers, in slots.
    :param callers: the same by the heaviest of them.
    """

    __slots__ = ('callers', 'total')

    def __init__(self, total: float, callers: Mapping[bytes, float]) -> None:
        self.total = total
        self.callers = callers


NOTHING = Demand(0.0, {})


class Told:
    """What a word tells of one kind.

    :param known: how many callers ask for it, as far as the sender knows.
    :param own: the sender's demand; the zone's, in a word of a zone.
    :param near: the mean of the sender's and its neighbours'.
    """

    __slots__ = ('known', 'near', 'own')

    def __init__(
        self, known: int, own: Demand, near: Demand = NOTHING
    ) -> None:
        self.known = known
        self.own = own
        self.near = near


Word = dict[_count.Kind, Told]
NO_WORD: Word = {}


def average(own: Demand, others: Iterable[Demand]) -> Demand:
    """Average demands of several instances.

    A word names few callers: of one that it leaves out it says nothing. The
    mean of such a caller is that of the instances that name it.

    :param own: counted here, of all callers.
    :param others: told by others.
    :returns: their mean; the callers' never sum up to more than the total.
    """
    others = list(others)
    total = own.total + sum(each.total for each in others)
    sums = dict(own.callers)
    counts: dict[bytes, int] = {}
    for each in others:
        for caller, slots in each.callers.items():
            sums[caller] = sums.get(caller, 0.0) + slots
            counts[caller] = counts.get(caller, 0) + 1
    callers = {
        name: one / (1 + counts.get(name, 0)) for name, one in sums.items()
    }
    mean = total / (1 + len(others))
    most = sum(callers.values())
    if most > mean:
        callers = {name: one * mean / most for name, one in callers.items()}
    return Demand(mean, callers)


def scale(demand: Demand, factor: float) -> Demand:
    """Multiply a demand.

    :param demand: the demand.
    :param factor: by what.
    :returns: the product.
    """
    callers = {name: one * factor for name, one in demand.callers.items()}
    return Demand(demand.total * factor, callers)


def add(one: Demand, other: Demand) -> Demand:
    """Add two demands.

    :param one: a demand.
    :param other: another.
    :returns: both together.
    """
    callers = dict(one.callers)
    for caller, slots in other.callers.items():
        callers[caller] = callers.get(caller, 0.0) + slots
    return Demand(one.total + other.total, callers)


def pack(word: Word) -> bytes:
    """Write a word.

    :param word: by kind; the kinds with the largest demand are written, of
        these the callers named first.
    :returns: its bytes.
    """
    parts = []
    left = MOST_CALLERS
    kinds = sorted(word, key=lambda kind: -word[kind].own.total)
    for kind in kinds[:_MOST_KINDS]:
        told = word[kind]
        own, near = told.own, told.near
        names = list(dict.fromkeys([*own.callers, *near.callers]))
        names = names[:left]
        left -= len(names)
        digest, priority = kind
        totals = _bound(own.total), _bound(near.total)
        priority = min(_MOST_PRIORITY, priority)
        known = min(_MOST_KNOWN, told.known)
        head = (digest, priority, len(names), known, *totals)
        parts.append(_KIND.pack(*head))
        parts += [
            _CALLER.pack(
                name,
                _bound(own.callers.get(name, 0.0)),
                _bound(near.callers.get(name, 0.0)),
            )
            for name in names
        ]
    return b''.join(parts)


def unpack(data: bytes) -> Word | None:
    """Read a word.

    :param data: its bytes.
    :returns: the word; None where any of it can't be true.
    """
    word: Word = {}
    place = 0
    while place < len(data):
        if len(word) == _MOST_KINDS or len(data) - place < _KIND.size:
            return None
        head = _KIND.unpack_from(data, place)
        digest, priority, count, known, total, mean = head
        place += _KIND.size
        end = place + count * _CALLER.size
        if count > MOST_CALLERS or end > len(data):
            return None
        entries = list(_CALLER.iter_unpack(data[place:end]))
        place = end
        own = Demand(total, {name: slots for name, slots, _ in entries})
        near = Demand(mean, {name: slots for name, _, slots in entries})
        if not _is_sound(own) or not _is_sound(near):
            return None
        word[(digest, priority)] = Told(known, own, near)
    return word


def _bound(slots: float) -> float:
    return min(_MOST_SLOTS, max(0.0, slots))


def _is_sound(demand: Demand) -> bool:
    values = (demand.total, *demand.callers.values())
    if not all(math.isfinite(each) and each >= 0.0 for each in values):
        return False
    # Rounding may put the parts a little above their sum.
    return sum(demand.callers.values()) <= 1.01 * demand.total + 1e-3
