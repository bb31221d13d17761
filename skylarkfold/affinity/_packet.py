"""The fields of a caller's packet that decisions use."""

from __future__ import annotations

from skylarkfold import light_imports

# Offsets in a packed flow: the caller's address and port, then the service's,
# as in an IP header.
_CALLER_BYTES = 6
_HOST_BYTES = 4


class Packet:
    """A packet from a caller.

    :param flow: the packed flow in 12 bytes: the caller's address and port,
        then the ones it is sent to.
    :param token: the token; 0 for none.
    :param sequence: the sequence number of its first byte, modulo 2**32.
    :param acknowledged: the acknowledgement number; for a first packet, how
        often it has been repeated.
    :param length: the number of bytes of data.
    :param is_first: whether it opens a flow.
    :param is_last: whether the caller ends the flow with it.
    :param data: the whole packet as received.
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
        """The packed address and port that it was sent to."""
        return self.flow[_CALLER_BYTES:]


def get_caller(flow: bytes) -> bytes:
    """Return the caller's host of a packed flow.

    :param flow: as in :attr:`Packet.flow`.
    :returns: the packed host.
    """
    return flow[:_HOST_BYTES]


def get_address(flow: bytes) -> bytes:
    """Return the service's address of a packed flow.

    :param flow: as in :attr:`Packet.flow`.
    :returns: the packed address and port that the caller sends to.
    """
    return flow[_CALLER_BYTES:]


def pack_address(host: str, port: int) -> bytes:
    """Pack an address and port as in :attr:`Packet.address`.

    :param host: an IPv4 address.
    :param port: the port.
    :returns: 6 bytes.
    :raises OSError: if the host is not an IPv4 address.
    :raises OverflowError: if the port is out of range.
    """
    return light_imports.inet_aton(host) + port.to_bytes(2, 'big')


def format_host(packed: bytes) -> str:
    """Format a packed host.

    :param packed: 4 bytes.
    :returns: for example ``192.0.2.7``.
    """
    return light_imports.inet_ntoa(packed)


def format_address(packed: bytes) -> str:
    """Format a packed address and port.

    :param packed: 6 bytes.
    :returns: for example ``192.0.2.7:443``.
    """
    host = format_host(packed[:_HOST_BYTES])
    port = int.from_bytes(packed[_HOST_BYTES:_CALLER_BYTES], 'big')
    return f'{host}:{port}'


def format_flow(flow: bytes) -> str:
    """Format a packed flow.

    :param flow: 12 bytes.
    :returns: for example ``192.0.2.7:40001>198.51.100.1:443``.
    """
    caller = format_address(flow[:_CALLER_BYTES])
    return f'{caller}>{format_address(flow[_CALLER_BYTES:])}'
