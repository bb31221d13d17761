"""Messages between instances and the coordinator of a service's slots."""

from __future__ import annotations

from collections.abc import Iterable
import enum

import msgspec
import xxhash

from skylarkfold import message
from skylarkfold import request

_MAXIMUM_UNIQUE_NUMBERS = 64
_ONE_BYTE_NUMBERS = 128
_TWO_BYTE_NUMBERS = 65536


def compute_service_number(name: str) -> int:
    """Return the 32-bit number of a service, the same on all instances."""
    return _hash_name(name)


def assign_upstream_numbers(names: Iterable[str]) -> dict[str, int]:
    """Assign short numbers to a service's upstreams.

    Instances with the same configuration assign the same numbers. Up to
    64 upstreams get distinct numbers of one byte, of which a few may
    differ between instances while their configurations differ. Beyond
    that, two upstreams may share a number and are counted together. Either
    only makes slot counts inexact for a while, and slots are advisory.

    :param names: the names of the upstreams.
    :returns: the numbers by name.
    """
    ordered = sorted(names)
    if len(ordered) > _MAXIMUM_UNIQUE_NUMBERS:
        return {name: _hash_name(name) % _TWO_BYTE_NUMBERS for name in ordered}
    numbers: dict[str, int] = {}
    taken: set[int] = set()
    for name in ordered:
        number = _hash_name(name) % _ONE_BYTE_NUMBERS
        while number in taken:
            number = (number + 1) % _ONE_BYTE_NUMBERS
        taken.add(number)
        numbers[name] = number
    return numbers


def _hash_name(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode())


class OutcomeCode(enum.IntEnum):
    """The number of an outcome in messages."""

    ANSWERED = 0
    REFUSED = 1
    UNREACHABLE = 2
    BROKEN = 3
    TIMED_OUT = 4
    CANCELLED = 5

    @property
    def outcome(self) -> request.Outcome:
        """The outcome with this number."""
        return request.Outcome[self.name]


class HeldSlots(msgspec.Struct, frozen=True, array_like=True):
    """The number of slots of one upstream that an instance holds."""

    upstream: int
    count: int


class AttemptOutcome(msgspec.Struct, frozen=True, array_like=True):
    """The outcome of one attempt.

    :param upstream: the upstream's number.
    :param code: how it ended.
    :param elapsed_milliseconds: the time since its dispatch.
    """

    upstream: int
    code: OutcomeCode
    elapsed_milliseconds: int


class SlotDemand(message.PeerMessage, tag=30):
    """Held slots and waiting requests of an instance.

    Sent to the service's coordinator. Each message has the full state, so
    that a lost or duplicated one has no lasting effect.

    :param service: the service's number.
    :param seen: the sequence number of the last grant received.
    :param alerts: the number of waiting alerts.
    :param exchanges: the number of waiting exchanges.
    :param bulk: the number of waiting bulk requests.
    :param held: all held slots, idle or in use.
    :param outcomes: attempts that ended since the last message.
    :param excluded: numbers of upstreams that the waiting request must
        not use.
    """

    service: int
    seen: int
    alerts: int
    exchanges: int
    bulk: int
    held: tuple[HeldSlots, ...] = ()
    outcomes: tuple[AttemptOutcome, ...] = ()
    excluded: tuple[int, ...] = ()


class SlotGrant(message.PeerMessage, tag=31):
    """A slot granted to an instance by the service's coordinator.

    :param service: the service's number.
    :param sequence: the sequence number of grants to this instance.
    :param upstream: the upstream's number.
    :param priority: the class that it was granted for.
    :param uses: requests that may use it one after the other; it is
        returned earlier if none waits.
    """

    service: int
    sequence: int
    upstream: int
    priority: int
    uses: int


class SlotNotice(message.PeerMessage, tag=32):
    """A keepalive from the coordinator to an instance without a grant.

    :param service: the service's number.
    :param alone_milliseconds: how long the instance is to choose without
        the coordinator, whose byte budget is spent; 0 to keep waiting.
    """

    service: int
    alone_milliseconds: int = 0


MESSAGES = SlotDemand | SlotGrant | SlotNotice
