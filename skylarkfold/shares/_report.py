"""Reports of callers' demand between instances, and their encoding."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import math
import struct

from skylarkfold.shares import _count

# Service digest, priority, number of entries, number of known callers, total
# demand of the sender, mean total of it and its neighbours. Each entry has the
# caller's address, its demand at the sender and its mean demand.
_KIND_HEADER = struct.Struct('!IBBHee')
_CALLER_ENTRY = struct.Struct('!4see')
# Below the largest half-precision float.
_MAX_SLOTS = 60000.0
_MAX_KINDS = 8
_MAX_PRIORITY = 255
_MAX_CALLER_COUNT = (1 << 16) - 1
MOST_CALLERS = 64


class Demand:
    """The demand for one kind of requests, in slots.

    :param total: the demand of all callers.
    :param callers: the demand of the heaviest callers, by address.
    """

    __slots__ = ('callers', 'total')

    def __init__(self, total: float, callers: Mapping[bytes, float]) -> None:
        self.total = total
        self.callers = callers


NO_DEMAND = Demand(0.0, {})


class KindReport:
    """The part of a report on one kind.

    :param caller_count: the number of callers known to the sender.
    :param own: the demand at the sender; in a report of a zone, that of the
        zone.
    :param near: the mean demand at the sender and its neighbours.
    """

    __slots__ = ('caller_count', 'near', 'own')

    def __init__(
        self, caller_count: int, own: Demand, near: Demand = NO_DEMAND
    ) -> None:
        self.caller_count = caller_count
        self.own = own
        self.near = near


Report = dict[_count.Kind, KindReport]
NO_REPORT: Report = {}


def average(own: Demand, others: Iterable[Demand]) -> Demand:
    """Average the demands of several instances.

    Reports name few callers and say nothing about the others, so the mean of
    a caller is taken over the instances that name it.

    :param own: the demand counted here, of all callers.
    :param others: the reported demands.
    :returns: the mean; the sum of its callers is at most its total.
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
    callers_total = sum(callers.values())
    if callers_total > mean:
        callers = {
            name: one * mean / callers_total for name, one in callers.items()
        }
    return Demand(mean, callers)


def scale(demand: Demand, factor: float) -> Demand:
    """Multiply a demand.

    :param demand: the demand.
    :param factor: the factor.
    :returns: the product.
    """
    callers = {name: one * factor for name, one in demand.callers.items()}
    return Demand(demand.total * factor, callers)


def add(one: Demand, other: Demand) -> Demand:
    """Add two demands.

    :param one: a demand.
    :param other: another.
    :returns: the sum.
    """
    callers = dict(one.callers)
    for caller, slots in other.callers.items():
        callers[caller] = callers.get(caller, 0.0) + slots
    return Demand(one.total + other.total, callers)


def pack(report: Report) -> bytes:
    """Encode a report.

    :param report: the report; only the kinds with the largest demand are
        encoded, and of these the callers named first.
    :returns: the bytes.
    """
    chunks = []
    remaining_callers = MOST_CALLERS
    kinds = sorted(report, key=lambda kind: -report[kind].own.total)
    for kind in kinds[:_MAX_KINDS]:
        kind_report = report[kind]
        own, near = kind_report.own, kind_report.near
        names = list(dict.fromkeys([*own.callers, *near.callers]))
        names = names[:remaining_callers]
        remaining_callers -= len(names)
        digest, priority = kind
        totals = _clamp_slots(own.total), _clamp_slots(near.total)
        priority = min(_MAX_PRIORITY, priority)
        caller_count = min(_MAX_CALLER_COUNT, kind_report.caller_count)
        header = (digest, priority, len(names), caller_count, *totals)
        chunks.append(_KIND_HEADER.pack(*header))
        chunks += [
            _CALLER_ENTRY.pack(
                name,
                _clamp_slots(own.callers.get(name, 0.0)),
                _clamp_slots(near.callers.get(name, 0.0)),
            )
            for name in names
        ]
    return b''.join(chunks)


def unpack(data: bytes) -> Report | None:
    """Decode a report.

    :param data: the bytes.
    :returns: the report; None if it is malformed or has impossible values.
    """
    report: Report = {}
    offset = 0
    while offset < len(data):
        if len(report) == _MAX_KINDS or len(data) - offset < _KIND_HEADER.size:
            return None
        header = _KIND_HEADER.unpack_from(data, offset)
        digest, priority, count, caller_count, total, mean = header
        offset += _KIND_HEADER.size
        end = offset + count * _CALLER_ENTRY.size
        if count > MOST_CALLERS or end > len(data):
            return None
        entries = list(_CALLER_ENTRY.iter_unpack(data[offset:end]))
        offset = end
        own = Demand(total, {name: slots for name, slots, _ in entries})
        near = Demand(mean, {name: slots for name, _, slots in entries})
        if not _is_valid(own) or not _is_valid(near):
            return None
        report[(digest, priority)] = KindReport(caller_count, own, near)
    return report


def _clamp_slots(slots: float) -> float:
    return min(_MAX_SLOTS, max(0.0, slots))


def _is_valid(demand: Demand) -> bool:
    values = (demand.total, *demand.callers.values())
    if not all(math.isfinite(each) and each >= 0.0 for each in values):
        return False
    # Rounding may raise the sum of the callers slightly above the total.
    return sum(demand.callers.values()) <= 1.01 * demand.total + 1e-3
