"""What is read of a caller's packet here."""

from __future__ import annotations

from skylarkfold import light_imports


class CallerPacket(light_imports.Protocol):
    """A packet of a flow.

    :ivar flow: the flow's key.
    :ivar address: the packed address and port that it was sent to.
    :ivar sequence: the number of its first byte, modulo 2**32.
    :ivar acknowledged: the number of the next byte that its caller expects;
        for a first packet, how often it was repeated.
    :ivar length: bytes of data.
    :ivar is_last: whether its caller ends the flow.
    """

    flow: bytes
    address: bytes
    sequence: int
    acknowledged: int
    length: int
    is_last: bool
