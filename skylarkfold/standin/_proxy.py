"""Reading the PROXY protocol v2 header in front of a payload."""

from __future__ import annotations

import struct
from typing import NamedTuple

import proxyprotocol
from proxyprotocol import result as proxy_result
from proxyprotocol import v2

FIXED_BYTES = 16
LENGTH_OFFSET = 14
SIGNATURE = b'\r\n\r\n\x00\r\nQUIT\n'
MAXIMUM_REMEMBERED = 200_000
# The library lets the last one through where the addresses are cut off.
MALFORMED = (
    ValueError,
    proxyprotocol.ProxyProtocolIncompleteError,
    struct.error,
)

_protocol = v2.ProxyProtocolV2()


class Origin(NamedTuple):
    """Where proxied traffic came from and was sent to.

    :param header: the header's bytes.
    :param caller: the caller's address.
    :param address: the service's address.
    """

    header: bytes
    caller: str
    address: str


class HeaderReader:
    """Reads headers, each distinct one only once."""

    __slots__ = ('_remembered',)

    def __init__(self) -> None:
        self._remembered: dict[bytes, Origin] = {}

    def read(self, data: bytes) -> Origin:
        """Read the header at the beginning of some bytes.

        :param data: the bytes.
        :returns: what the header says.
        :raises ValueError: if there is no whole and valid header.
        """
        if len(data) < FIXED_BYTES:
            raise ValueError('shorter than a header')
        length = data[LENGTH_OFFSET] * 256 + data[LENGTH_OFFSET + 1]
        header = data[: FIXED_BYTES + length]
        found = self._remembered.get(header)
        return found if found is not None else self._parse(header)

    def _parse(self, header: bytes) -> Origin:
        try:
            parsed = _protocol.unpack(header)
        except MALFORMED as error:
            raise ValueError(str(error)) from error
        if not proxy_result.is_ipv4(parsed):
            raise ValueError('no IPv4 addresses')
        host, port = parsed.source
        service_host, service_port = parsed.dest
        origin = Origin(
            header, f'{host}:{port}', f'{service_host}:{service_port}'
        )
        if len(self._remembered) >= MAXIMUM_REMEMBERED:
            self._remembered.clear()
        self._remembered[header] = origin
        return origin
