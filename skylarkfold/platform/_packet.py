"""The header of a packet.

32 bytes, big-endian. What misleads: ``ack`` counts copies in a first
packet, ``sum`` does not cover ``echo``, and ``echo`` is where the token of
the flow's upstream travels: whatever the system writes into a first
packet, both ends repeat in all later ones.
"""

from __future__ import annotations

import struct

from skylarkfold import affinity
from skylarkfold import light_imports

# seq, ack, flags, pad, dst, sport, dport, src, echo, sum, len
_HEADER = struct.Struct('>IIBB4s2s2s4sIIH')
_ECHO_BEGIN = 22
_ECHO_END = 26
_ID_BYTES = 8

_FIN = 8
_SYN = 16
_RST = 32


def decode(data: bytes) -> affinity.Packet | None:
    """Read a caller's packet.

    :param data: the datagram.
    :returns: what decisions need of it; None if it is no packet.
    """
    if len(data) < _HEADER.size:
        return None
    (
        sequence,
        acknowledged,
        flags,
        _,
        host,
        caller_port,
        port,
        caller,
        echo,
        _,
        length,
    ) = _HEADER.unpack_from(data)
    if length != len(data) - _HEADER.size:
        return None
    return affinity.Packet(
        caller + caller_port + host + port,
        echo,
        sequence,
        acknowledged,
        length,
        flags & _SYN != 0,
        flags & (_FIN | _RST) != 0,
        data,
    )


def encode_forward(upstream: affinity.Upstream, data: bytes) -> bytes:
    """Make the datagram that carries a packet to its upstream.

    :param upstream: who is meant; others at its address ignore it.
    :param data: the caller's packet.
    :returns: the upstream's number, then the packet with its token.
    """
    return b''.join(
        (
            upstream.number.to_bytes(_ID_BYTES, 'big'),
            data[:_ECHO_BEGIN],
            upstream.token.to_bytes(_ECHO_END - _ECHO_BEGIN, 'big'),
            data[_ECHO_END:],
        )
    )


def encode_reset(
    flow: bytes, acknowledged: int, caller_port: int
) -> tuple[bytes, tuple[str, int]]:
    """Make a reset from the service's address to a caller.

    :param flow: the packed flow.
    :param acknowledged: the caller's last acknowledgement, which shows
        that the reset is none of an earlier flow.
    :param caller_port: the port at which every caller takes packets.
    :returns: the packet, and where to send it.
    """
    caller, sport, host, port = flow[:4], flow[4:6], flow[6:10], flow[10:]
    packet = _HEADER.pack(
        acknowledged, 0, _RST, 0, caller, port, sport, host, 0, 0, 0
    )
    return packet, (light_imports.inet_ntoa(caller), caller_port)
