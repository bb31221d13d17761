"""Datagram sockets."""

from __future__ import annotations

from skylarkfold import light_imports

# What may wait in the kernel while the process has no processor or still
# loads its modules: at 4 KB a packet there, 250 packets.
_RECEIVE_BYTES = 1024 * 1024


def bind(address: tuple[str, int]) -> light_imports.Socket:
    """Bind a socket for datagrams.

    :param address: host and port.
    :returns: the socket, which never blocks.
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
