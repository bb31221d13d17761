"""Validation of names and addresses in settings."""

from __future__ import annotations

import functools
import ipaddress
import re

from skylarkfold import endpoint

# Most addresses of a new settings version were in the previous one too.
_ENDPOINT_CACHE_SIZE = 16384

_NAME_PATTERN = re.compile(r'[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?')


def check_name(name: str) -> str:
    """Check the name of a team, service, upstream, zone or instance.

    :param name: the name.
    :returns: the same name.
    :raises ValueError: if the name is not 1 to 63 lower-case letters,
        digits and inner hyphens.
    """
    if not _NAME_PATTERN.fullmatch(name):
        raise ValueError(
            f'{name!a} is not 1 to 63 of a-z, 0-9 and inner hyphens'
        )
    return name


@functools.lru_cache(maxsize=_ENDPOINT_CACHE_SIZE)
def normalize_endpoint(original: endpoint.Endpoint) -> endpoint.Endpoint:
    """Return an endpoint with its host in canonical form.

    :param original: an endpoint whose host is an IP address; IPv6 with or
        without brackets.
    :returns: the same endpoint with the shortest form of the address.
    :raises ValueError: if the host is not a unicast IP address or the port
        is 0.
    """
    host = original.host.removeprefix('[').removesuffix(']')
    address = ipaddress.ip_address(host)
    if isinstance(address, ipaddress.IPv6Address):
        if address.scope_id:
            raise ValueError(f'{host} has a scope id')
        address = address.ipv4_mapped or address
    if address.is_unspecified or address.is_multicast:
        raise ValueError(f'{host} is not a unicast address')
    if not original.port:
        raise ValueError('port must not be 0')
    return endpoint.Endpoint(str(address), original.port)
