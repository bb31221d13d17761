"""Datagram sockets."""

from __future__ import annotations

import socket

# What may wait in the kernel while the process has no processor or still
# loads its modules: at 4 KB a packet there, 250 packets.
_RECEIVE_BYTES = 1024 * 1024


def bind(address: tuple[str, int]) -> socket.socket:
    """Bind a socket for datagrams.

    :param address: host and port.
    :returns: the socket, which never blocks.
    :raises OSError: if the address can't be bound.
    """
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
    bound.setblocking(False)
    bound.bind(address)
    return bound
