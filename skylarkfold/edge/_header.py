"""PROXY protocol v2 headers of datagrams and streams.

The header's source is the caller and its destination the service's
address. An upstream prefixes its answer with the same header, so that any
instance can forward the answer without state.
"""

from __future__ import annotations

import functools
import ipaddress
import socket
import struct
from typing import NamedTuple

import proxyprotocol
from proxyprotocol import result
from proxyprotocol import v2

from skylarkfold import endpoint
from skylarkfold import errors

_FIXED_PART_BYTES = 16
# The header of IPv4 addresses without TLV fields.
_IPV4_HEADER_BYTES = 28
_HEADER_CACHE_SIZE = 65536
_protocol = v2.ProxyProtocolV2()


def _pack_header(
    caller: endpoint.Endpoint,
    address: endpoint.Endpoint,
    kind: socket.SocketKind,
) -> bytes:
    source = (ipaddress.ip_address(caller[0]), caller[1])
    destination = (ipaddress.ip_address(address[0]), address[1])
    result_class = result.ProxyResultIPv4
    if source[0].version == 6:
        result_class = result.ProxyResultIPv6
    return _protocol.pack(result_class(source, destination, protocol=kind))


@functools.lru_cache(maxsize=_HEADER_CACHE_SIZE)
def pack_datagram_header(
    caller: endpoint.Endpoint, address: endpoint.Endpoint
) -> bytes:
    """Build the header of a datagram.

    :param caller: the caller's address.
    :param address: the service's address that the caller sent to.
    :returns: the header's bytes.
    """
    return _pack_header(caller, address, socket.SOCK_DGRAM)


def pack_stream_header(
    caller: endpoint.Endpoint, address: endpoint.Endpoint
) -> bytes:
    """Build the header of a stream.

    :param caller: the caller's address.
    :param address: the service's address that the caller connected to.
    :returns: the header's bytes.
    """
    return _pack_header(caller, address, socket.SOCK_STREAM)


def measure_header(data: bytes) -> int:
    """Return the length of a datagram's header.

    :param data: the datagram.
    :returns: the header's length in bytes.
    :raises DecodeError: if there is no complete header.
    """
    if len(data) < _FIXED_PART_BYTES:
        raise errors.DecodeError('datagram is too short for a PROXY header')
    try:
        header = _protocol.unpack_header(data[:_FIXED_PART_BYTES])
    except proxyprotocol.ProxyProtocolSyntaxError as error:
        raise errors.DecodeError(
            'datagram does not begin with a PROXY header'
        ) from error
    if len(data) < _FIXED_PART_BYTES + header.data_len:
        raise errors.DecodeError('PROXY header is truncated')
    return _FIXED_PART_BYTES + header.data_len


class AddressedPayload(NamedTuple):
    """A payload with the addresses from its header.

    :param caller: the caller's address.
    :param address: the service's address that the caller sent to.
    :param payload: the payload without the header.
    """

    caller: endpoint.Endpoint
    address: endpoint.Endpoint
    payload: bytes


@functools.lru_cache(maxsize=_HEADER_CACHE_SIZE)
def _unpack_ipv4_header(
    header: bytes,
) -> tuple[endpoint.Endpoint, endpoint.Endpoint] | None:
    if measure_header(header) != _IPV4_HEADER_BYTES:
        return None
    return unpack_header(header)


def split(data: bytes) -> AddressedPayload:
    """Split an upstream's answer into header fields and payload.

    :param data: the datagram with its header.
    :returns: the addresses and the payload.
    :raises DecodeError: if the header is malformed.
    """
    try:
        endpoints = _unpack_ipv4_header(data[:_IPV4_HEADER_BYTES])
    except errors.DecodeError:
        endpoints = None
    if endpoints is not None:
        return AddressedPayload(*endpoints, data[_IPV4_HEADER_BYTES:])
    length = measure_header(data)
    return AddressedPayload(*unpack_header(data[:length]), data[length:])


def unpack_header(
    header: bytes,
) -> tuple[endpoint.Endpoint, endpoint.Endpoint]:
    """Decode a header.

    :param header: the header's bytes and nothing else.
    :returns: the caller's and the service's address.
    :raises DecodeError: if the header is malformed or has no IP addresses.
    """
    try:
        parsed = _protocol.unpack(header)
    except (
        proxyprotocol.ProxyProtocolSyntaxError,
        proxyprotocol.ProxyProtocolChecksumError,
        proxyprotocol.ProxyProtocolIncompleteError,
        struct.error,
        ValueError,
    ) as error:
        raise errors.DecodeError('PROXY header is malformed') from error
    if not isinstance(
        parsed, (result.ProxyResultIPv4, result.ProxyResultIPv6)
    ):
        raise errors.DecodeError('PROXY header has no IP addresses')
    return (
        endpoint.Endpoint(str(parsed.source[0]), parsed.source[1]),
        endpoint.Endpoint(str(parsed.dest[0]), parsed.dest[1]),
    )
