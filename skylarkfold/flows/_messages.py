"""What instances tell each other about flows."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from skylarkfold import message


class Redirect(message.PeerMessage, tag=1):
    """A caller's datagram that the sender could not answer alone.

    :param service: the service's name, as the first receiver found it.
    :param host: the caller's address.
    :param port: the caller's port.
    :param payload: the datagram.
    :param is_first: the mark that it came with.
    :param visited: the instances that it passed through, in order.
    :param wants_answer: whether the first of them asks for the upstream.
    :param hint: the index of the upstream that one of them knows the flow
        on, -1 for none; the home goes by it where it knows nothing.
    :param is_returned: whether all that might know the flow were asked;
        the receiver has to decide.
    :param home: the first of them that found itself the flow's home; it
        gets the datagram back to decide.
    """

    service: str
    host: str
    port: int
    payload: bytes
    is_first: bool | None
    visited: list[str]
    wants_answer: bool = False
    hint: int = -1
    is_returned: bool = False
    home: str = ''


class PinGroup(msgspec.Struct, frozen=True, array_like=True):
    """Flows on one upstream.

    :param upstream: its index in the service's table.
    :param flows: their hashes.
    """

    upstream: int
    flows: list[int]


class PinUpdate(message.PeerMessage, tag=2):
    """Flows that the sender pinned or holds pins of."""

    service: str
    groups: list[PinGroup]


class HandoverDone(message.PeerMessage, tag=3):
    """The sender has handed on all pins that it held in some slots.

    :param slots: a bit for each slot, the lowest first.
    """

    slots: bytes


def pack_slots(slots: Iterable[int]) -> bytes:
    """Pack slot numbers for :class:`HandOnDone`.

    :param slots: the numbers.
    :returns: a bit for each slot.
    """
    bits = sum(1 << slot for slot in set(slots))
    return bits.to_bytes((bits.bit_length() + 7) // 8, 'little')


def unpack_slots(packed: bytes) -> list[int]:
    """Unpack slot numbers of :class:`HandOnDone`.

    :param packed: a bit for each slot.
    :returns: the numbers, rising.
    """
    bits = int.from_bytes(packed, 'little')
    return [slot for slot in range(bits.bit_length()) if bits >> slot & 1]


class FlowAnswer(message.PeerMessage, tag=4):
    """Where flows go that the receiver asked for."""

    service: str
    groups: list[PinGroup]


class TableApplied(message.PeerMessage, tag=5):
    """The version of a service's table in force on the sender."""

    service: str
    version: int


class BucketsMigrated(message.PeerMessage, tag=6):
    """All flows of these buckets are on their target, says their home.

    :param service: the service's name.
    :param version: of the table that the sender went by.
    :param buckets: the buckets' numbers.
    """

    service: str
    version: int
    buckets: list[int]


class UpstreamHealth(message.PeerMessage, tag=7):
    """Whether the sender finds an upstream healthy.

    :param service: the service's name.
    :param upstream: the upstream's name.
    :param healthy: what the sender found.
    """

    service: str
    upstream: str
    healthy: bool


class PreparationDone(message.PeerMessage, tag=8):
    """All instances ask homes about buckets that this version prepares.

    :param service: the service's name.
    :param version: the table version that is in force everywhere.
    """

    service: str
    version: int


MESSAGES = (
    Redirect
    | PinUpdate
    | HandoverDone
    | FlowAnswer
    | TableApplied
    | BucketsMigrated
    | UpstreamHealth
    | PreparationDone
)
