"""The identity of a flow and its hash."""

from __future__ import annotations

from typing import NamedTuple

import xxhash

from skylarkfold import endpoint


class FlowKey(NamedTuple):
    """The identity of a flow: the traffic of one caller to one service.

    :param service: the name of the service.
    :param caller: the caller's address and port.
    """

    service: str
    caller: endpoint.Endpoint


def hash_caller(service: str, caller: tuple[str, int]) -> int:
    """Hash a flow to 64 bits, with the same result on every instance.

    Takes the parts of the key, so that the data path need not build a key
    for each datagram.

    :param service: the name of the service.
    :param caller: the caller's address and port.
    :returns: a number from 0 to 2**64 - 1.
    """
    key = f'{service}|{caller[0]}|{caller[1]}'
    return xxhash.xxh3_64_intdigest(key.encode())


def hash_flow(key: FlowKey) -> int:
    """Hash a flow key to 64 bits, with the same result on every instance.

    :param key: the key of the flow.
    :returns: a number from 0 to 2**64 - 1.
    """
    return hash_caller(key.service, key.caller)
