"""What the decisions need to know of a caller's packet."""

from __future__ import annotations

from skylarkfold import light_imports

# Positions in a packed flow: the caller's address and port, then the
# service's, as they stand in an IP header.
_CALLER_BYTES = 6
_HOST_BYTES = 4


class Packet:
    """One packet of a caller.

    :param flow: the flow: the caller's address and port, then those it
        sent to, packed in 12 bytes.
    :param token: the token that it carries; 0 for none.
    :param sequence: the number of its first byte, modulo 2**32.
    :param acknowledged: the number of the next byte that the caller
        expects; for a first packet, how often it was repeated.
    :param length: bytes of data in it.
    :param is_first: whether it begins a flow.
    :param is_last: whether the caller ends the flow.
    :param data: the whole packet as it came.
    """

    __slots__ = (
        'acknowledged',
        'data',
        'flow',
        'is_first',
        'is_last',
        'length',
        'sequence',
        'token',
    )

    def __init__(
        self,
        flow: bytes,
        token: int,
        sequence: int,
        acknowledged: int,
        length: int,
        is_first: bool,
        is_last: bool,
        data: bytes,
    ) -> None:
        self.flow = flow
        self.token = token
        self.sequence = sequence
        self.acknowledged = acknowledged
        self.length = length
        self.is_first = is_first
        self.is_last = is_last
        self.data = data

    @property
    def address(self) -> bytes:
        """The address and port that it was sent to, packed."""
        return self.flow[_CALLER_BYTES:]


def get_caller(flow: bytes) -> bytes:
    """Get the caller's address of a packed flow.

    :param flow: as in :attr:`Packet.flow`.
    :returns: its host, packed.
    """
    return flow[:_HOST_BYTES]


def get_address(flow: bytes) -> bytes:
    """Get the service's address of a packed flow.

    :param flow: as in :attr:`Packet.flow`.
    :returns: the address and port that its caller sends to, packed.
    """
    return flow[_CALLER_BYTES:]


def pack_address(host: str, port: int) -> bytes:
    """Pack an address and port as they stand in :attr:`Packet.address`.

    :param host: an IPv4 address.
    :param port: the port.
    :returns: 6 bytes.
    :raises OSError: if the host is no IPv4 address.
    :raises OverflowError: if the port is none.
    """
    return light_imports.inet_aton(host) + port.to_bytes(2, 'big')


def format_host(packed: bytes) -> str:
    """Write a packed host for a person.

    :param packed: 4 bytes.
    :returns: for example ``192.0.2.7``.
    """
    return light_imports.inet_ntoa(packed)


def format_address(packed: bytes) -> str:
    """Write a packed address for a person.

    :param packed: 6 bytes.
    :returns: for example ``192.0.2.7:443``.
    """
    host = format_host(packed[:_HOST_BYTES])
    port = int.from_bytes(packed[_HOST_BYTES:_CALLER_BYTES], 'big')
    return f'{host}:{port}'


def format_flow(flow: bytes) -> str:
    """Write a flow for a person.

    :param flow: 12 bytes.
    :returns: for example ``192.0.2.7:40001>198.51.100.1:443``.
    """
    caller = format_address(flow[:_CALLER_BYTES])
    return f'{caller}>{format_address(flow[_CALLER_BYTES:])}'
