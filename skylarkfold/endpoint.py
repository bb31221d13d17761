"""A network address with its port."""

from __future__ import annotations

from typing import NamedTuple


class Endpoint(NamedTuple):
    """An IP address and a port.

    A named tuple can be passed to the socket API directly and is cheap to
    create for each datagram.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


def parse_endpoint(text: str) -> Endpoint:
    """Parse an endpoint of the form ``host:port``.

    :param text: the address and port, for example ``127.0.0.1:8080``.
    :returns: the endpoint.
    :raises ValueError: if the text has no port or the port is not a number
        from 0 to 65535.
    """
    host, separator, port = text.rpartition(':')
    if not separator or not host or not port.isdecimal():
        raise ValueError(f'{text!r} is not of the form host:port')
    if int(port) > 65535:
        raise ValueError(f'{port} is out of range for a port')
    return Endpoint(host, int(port))
