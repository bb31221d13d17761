"""The form of names and addresses in settings."""

from __future__ import annotations

import functools
import ipaddress
import re

from skylarkfold import endpoint

# Most addresses of a new version stood in the one before it.
_KEPT_ENDPOINTS = 16384

_NAME = re.compile(r'[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?')


def check_name(name: str) -> str:
    """Check a name of a team, service, upstream, zone or instance.

    :param name: the name.
    :returns: the same name.
    :raises ValueError: if it is not made of 1 to 63 lower-case letters,
        digits and inner hyphens.
    """
    if not _NAME.fullmatch(name):
        raise ValueError(
            f'{name!a} is no name: 1 to 63 of a-z, 0-9 and inner hyphens'
        )
    return name


@functools.lru_cache(maxsize=_KEPT_ENDPOINTS)
def normalize_endpoint(given: endpoint.Endpoint) -> endpoint.Endpoint:
    """Give an endpoint the one spelling by which it is compared.

    :param given: an IP number, IPv6 with or without brackets, and a port.
    :returns: the same endpoint in its shortest spelling.
    :raises ValueError: if the host is no IP number of one interface or the
        port is 0.
    """
    host = given.host.removeprefix('[').removesuffix(']')
    address = ipaddress.ip_address(host)
    if isinstance(address, ipaddress.IPv6Address):
        if address.scope_id:
            raise ValueError(f'{host} has a scope')
        address = address.ipv4_mapped or address
    if address.is_unspecified or address.is_multicast:
        raise ValueError(f'{host} is not the address of one interface')
    if not given.port:
        raise ValueError('the port must not be 0')
    return endpoint.Endpoint(str(address), given.port)
