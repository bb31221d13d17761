"""Codec of the packet header: 32 bytes, big-endian.

In the first packet of a flow, ``ack`` counts retransmissions. ``echo`` carries
the token of the flow's upstream: both ends repeat the value that the system
wrote into the first packet. ``sum`` does not cover ``echo``.
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
    """Decode a caller's packet.

    :param data: the datagram.
    :returns: the packet; None if it is malformed.
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
    """Encode the datagram that forwards a packet to its upstream.

    :param upstream: the receiver; other upstreams at its address ignore it.
    :param data: the caller's packet.
    :returns: the upstream's number, followed by the packet with its token.
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
    """Encode a reset from the service's address to a caller.

    :param flow: the packed flow.
    :param acknowledged: the caller's last acknowledgement, by which the caller
        can tell the reset from one of an earlier flow.
    :param caller_port: the port at which all callers receive packets.
    :returns: the packet and the address to send it to.
    """
    caller, sport, host, port = flow[:4], flow[4:6], flow[6:10], flow[10:]
    packet = _HEADER.pack(
        acknowledged, 0, _RST, 0, caller, port, sport, host, 0, 0, 0
    )
    return packet, (light_imports.inet_ntoa(caller), caller_port)
