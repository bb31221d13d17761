"""Datagram sockets."""

from __future__ import annotations

from skylarkfold import light_imports

# Buffers packets while the process is not scheduled or still imports its
# modules. The kernel counts 4 KB per packet, so this holds 250 packets.
_RECEIVE_BYTES = 1024 * 1024


def bind(address: tuple[str, int]) -> light_imports.Socket:
    """Open a datagram socket and bind it.

    :param address: the host and port to bind.
    :returns: the socket, in non-blocking mode.
    :raises OSError: if the address can't be bound.
    """
    bound = light_imports.Socket(
        light_imports.AF_INET, light_imports.SOCK_DGRAM
    )
    bound.setsockopt(
        light_imports.SOL_SOCKET, light_imports.SO_RCVBUF, _RECEIVE_BYTES
    )
    bound.setblocking(False)
    bound.bind(address)
    return bound
