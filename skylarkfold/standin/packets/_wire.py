"""Packets as callers and upstreams make them."""

from __future__ import annotations

import socket
import struct

HEADER = struct.Struct('>IIBB4sHH4sIIH')
ACK = 2
FIN = 8
SYN = 16
RST = 32
MAXIMUM_DATA = 1200
ID_BYTES = 8


class Segment:
    """One packet, as its sender wrote it."""

    __slots__ = (
        'ack',
        'data',
        'destination',
        'echo',
        'flags',
        'seq',
        'source',
        'sum',
    )

    def __init__(
        self,
        source: tuple[str, int],
        destination: tuple[str, int],
        flags: int,
        seq: int,
        ack: int,
        echo: int = 0,
        data: bytes = b'',
    ) -> None:
        self.source = source
        self.destination = destination
        self.flags = flags
        self.seq = seq
        self.ack = ack
        self.echo = echo
        self.data = data
        self.sum = 0

    def pack(self) -> bytes:
        """Write the packet with its sum."""
        head = HEADER.pack(
            self.seq,
            self.ack,
            self.flags,
            0,
            socket.inet_aton(self.destination[0]),
            self.source[1],
            self.destination[1],
            socket.inet_aton(self.source[0]),
            self.echo,
            compute_sum(self),
            len(self.data),
        )
        return head + self.data


def unpack(data: bytes) -> Segment | None:
    """Read a packet.

    :param data: the datagram.
    :returns: the packet; None if it is none.
    """
    if len(data) < HEADER.size:
        return None
    seq, ack, flags, _, dst, sport, dport, src, echo, total, length = (
        HEADER.unpack_from(data)
    )
    if length != len(data) - HEADER.size:
        return None
    segment = Segment(
        (socket.inet_ntoa(src), sport),
        (socket.inet_ntoa(dst), dport),
        flags,
        seq,
        ack,
        echo,
        data[HEADER.size :],
    )
    segment.sum = total
    return segment


def compute_sum(segment: Segment) -> int:
    """Sum up all that the way may not change.

    :param segment: the packet.
    :returns: 32 bits; never 0, which marks a reset of the system's own.
    """
    text = (
        f'{segment.source}{segment.destination}{segment.flags}'
        f'{segment.seq}{segment.ack}'
    )
    return (hash_bytes(text.encode() + segment.data) & 0xFFFFFFFF) or 1


def hash_bytes(data: bytes) -> int:
    """Hash bytes alike in every process (FNV-1a, 64 bits)."""
    value = 0xCBF29CE484222325
    for byte in data:
        value = ((value ^ byte) * 0x100000001B3) & 0xFFFFFFFFFFFFFFFF
    return value
