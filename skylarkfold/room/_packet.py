"""The fields of a caller's packet that this package reads."""

from __future__ import annotations

from skylarkfold import light_imports


class CallerPacket(light_imports.Protocol):
    """A packet from a caller.

    :ivar flow: the flow's key.
    :ivar address: the packed destination address and port.
    :ivar sequence: the sequence number of its first byte, modulo 2**32.
    :ivar acknowledged: the sequence number of the next byte that the caller
        expects; in a first packet, how often it was retransmitted.
    :ivar length: the number of data bytes.
    :ivar is_last: whether the caller closes the flow with it.
    """

    flow: bytes
    address: bytes
    sequence: int
    acknowledged: int
    length: int
    is_last: bool
