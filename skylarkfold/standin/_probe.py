"""What callers send to stand-in upstreams and get back."""

from __future__ import annotations

import msgspec


class Probe(msgspec.Struct, frozen=True, array_like=True):
    """A caller's datagram, which says what service it is meant for.

    :param sequence: the datagram's number within its flow, from 1; it
        comes first, so that the first datagram can be told by how it
        starts.
    :param service: the service's name.
    :param flow: the flow's number with this caller.
    """

    sequence: int
    service: str
    flow: int


FIRST_DATAGRAM = msgspec.msgpack.encode(Probe(1, '', 0))[:2]


class EchoReply(msgspec.Struct, frozen=True, array_like=True):
    """An upstream's answer to a datagram.

    :param caller: the caller's address as the upstream was told.
    :param service: the upstream's service.
    :param upstream: the upstream's name.
    :param payload: what it was sent.
    """

    caller: str
    service: str
    upstream: str
    payload: bytes


class RunAnswer(msgspec.Struct, frozen=True):
    """An upstream's answer to a request that it ran.

    :param service: the upstream's service.
    :param upstream: the upstream's name.
    :param key: the request's key as the upstream saw it.
    :param echo: the request's body, decoded as UTF-8.
    :param fill: as many letters as the request asked for, made from its
        key.
    """

    service: str
    upstream: str
    key: str
    echo: str
    fill: str = ''


def make_fill(key: str, length: int) -> str:
    """Make a long answer's text, different for each key.

    :param key: the request's key.
    :param length: how many letters.
    :returns: the text.
    """
    pattern = f'{key}|'
    return (pattern * (length // len(pattern) + 1))[:length]
