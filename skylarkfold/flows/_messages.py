"""Messages between the flow cores of the instances."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from skylarkfold import message


class Redirect(message.PeerMessage, tag=1):
    """A caller's datagram that the sender could not route by itself.

    :param service: the service's name, as looked up by the first receiver.
    :param host: the caller's address.
    :param port: the caller's port.
    :param payload: the datagram's payload.
    :param is_first: whether the datagram begins a flow; None if unknown.
    :param visited: the instances that it passed through, in order.
    :param wants_answer: whether the first of them asks for a
        :class:`FlowAnswer`.
    :param hint: the index of the upstream that one of them has for the flow,
        -1 for none; used by the home if it has no pin itself.
    :param is_returned: whether all instances that might know the flow were
        asked, so that the receiver has to place it.
    :param home: the first of them that is the flow's home in its own view;
        the datagram returns to it to be placed.
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
    """Flows on the same upstream.

    :param upstream: the upstream's index in the service's table.
    :param flows: the hashes of the flows.
    """

    upstream: int
    flows: list[int]


class PinUpdate(message.PeerMessage, tag=2):
    """Pins for the receiver to store."""

    service: str
    groups: list[PinGroup]


class HandoverDone(message.PeerMessage, tag=3):
    """Notice that the sender has handed over all its pins of some slots.

    :param slots: a bit for each slot, the lowest first.
    """

    slots: bytes


def pack_slots(slots: Iterable[int]) -> bytes:
    """Pack slot numbers for :class:`HandoverDone`.

    :param slots: the slot numbers.
    :returns: a bit for each slot.
    """
    bits = sum(1 << slot for slot in set(slots))
    return bits.to_bytes((bits.bit_length() + 7) // 8, 'little')


def unpack_slots(packed: bytes) -> list[int]:
    """Unpack the slot numbers of a :class:`HandoverDone`.

    :param packed: a bit for each slot.
    :returns: the slot numbers in ascending order.
    """
    bits = int.from_bytes(packed, 'little')
    return [slot for slot in range(bits.bit_length()) if bits >> slot & 1]


class FlowAnswer(message.PeerMessage, tag=4):
    """The upstreams of flows that the receiver asked for."""

    service: str
    groups: list[PinGroup]


class TableApplied(message.PeerMessage, tag=5):
    """The version of a service's table that the sender has applied."""

    service: str
    version: int


class BucketsMigrated(message.PeerMessage, tag=6):
    """A home's report that all flows of some buckets are on their target.

    :param service: the service's name.
    :param version: the version of the table that the sender has applied.
    :param buckets: the bucket numbers.
    """

    service: str
    version: int
    buckets: list[int]


class UpstreamHealth(message.PeerMessage, tag=7):
    """The sender's vote on the health of an upstream.

    :param service: the service's name.
    :param upstream: the upstream's name.
    :param healthy: whether the sender can reach the upstream.
    """

    service: str
    upstream: str
    healthy: bool


class PreparationDone(message.PeerMessage, tag=8):
    """Notice that all instances have applied a table version.

    From now on they all ask the home about flows of the buckets that this
    version prepares.

    :param service: the service's name.
    :param version: the table version.
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
