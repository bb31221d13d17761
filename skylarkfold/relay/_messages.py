"""Messages between instances: beacons by datagram, fetches by stream.

MessagePack arrays that begin with the version of the format. Numbers are
bounded and times are durations, since clocks differ. What can't be read
raises :class:`skylarkfold.errors.DecodeError`.
"""

from __future__ import annotations

from collections.abc import Iterable
import math
import struct
import zlib

import msgpack

from skylarkfold import errors
from skylarkfold.relay import _item

_VERSION = 2
_MOST_NUMBER = 1 << 62
_MOST_LIST = 4096
_NEVER_MILLISECONDS = -1
# A page of 3,800 upstreams is 1 MB before it is packed.
MAXIMUM_PAGE_BYTES = 16 * 1024 * 1024

# An age: the digest of a name, and tenths of a second in one byte, since
# every instance of a zone is told of several times a second.
_AGE = struct.Struct('!IB')
_AGE_STEPS = 10
_MOST_AGE = 255

_IS_LEAVING = 1
_WANTS_ANSWER = 2


class Position:
    """How far the sender knows a topic.

    :param revision: everything up to it is known there.
    :param changed: the revision of the last change among that: a receiver
        that knows it lacks nothing.
    :param age_seconds: how long ago the store confirmed it, as far as the
        sender knows; None for never.
    """

    __slots__ = ('age_seconds', 'changed', 'revision')

    def __init__(
        self, revision: int, changed: int, age_seconds: float | None
    ) -> None:
        self.revision = revision
        self.changed = changed
        self.age_seconds = age_seconds


class News:
    """Changes of one topic that travel with a beacon.

    :param topic: the topic's number.
    :param base: who knows everything up to this revision can take them.
    :param items: what changed after it.
    """

    __slots__ = ('base', 'items', 'topic')

    def __init__(
        self, topic: int, base: int, items: tuple[_item.Item, ...]
    ) -> None:
        self.topic = topic
        self.base = base
        self.items = items


class Hearsay:
    """An instance that the sender knows.

    :param capacity: as in :class:`Beacon`.
    :param age_seconds: how long ago it was last heard by anyone.
    """

    __slots__ = ('age_seconds', 'capacity', 'host', 'name', 'zone')

    def __init__(
        self,
        name: str,
        zone: str,
        host: str,
        capacity: int,
        age_seconds: float,
    ) -> None:
        self.name = name
        self.zone = zone
        self.host = host
        self.capacity = capacity
        self.age_seconds = age_seconds


class LoadReport:
    """The flows that an instance carries, or all of a zone's.

    :param source: the instance or zone.
    :param is_zone: whether it is a zone's.
    :param age_seconds: how old it is.
    :param flows: by token of their upstream.
    """

    __slots__ = ('age_seconds', 'flows', 'is_zone', 'source')

    def __init__(
        self,
        source: str,
        is_zone: bool,
        age_seconds: float,
        flows: dict[int, int],
    ) -> None:
        self.source = source
        self.is_zone = is_zone
        self.age_seconds = age_seconds
        self.flows = flows


class Beacon:
    """What an instance tells its neighbours several times a second.

    :param name: the sender's name.
    :param zone: its availability zone.
    :param capacity: the more of it, the sooner it is given duties.
    :param is_leaving: whether it is about to end.
    :param wants_answer: whether the receiver shall send its own at once.
    :param positions: one for each topic.
    :param news: changes, where they are small.
    :param loads: its own load, and now and then those of zones.
    :param hearsay: some of the instances that it knows.
    :param doubts: tokens of upstreams that the receiver shall say of
        whether it has heard them.
    :param heard: how many seconds ago it heard the upstreams that the
        receiver doubts, by token.
    :param lost: tokens of upstreams that it has just found out of reach.
    :param ages: how many seconds ago instances were last heard by anyone,
        by the digests of their names.
    :param silent: the same for instances that are silent to a neighbour.
    """

    __slots__ = (
        'ages',
        'capacity',
        'doubts',
        'heard',
        'hearsay',
        'is_leaving',
        'loads',
        'lost',
        'name',
        'news',
        'positions',
        'silent',
        'wants_answer',
        'zone',
    )

    def __init__(
        self,
        name: str,
        zone: str,
        capacity: int,
        is_leaving: bool,
        wants_answer: bool,
        positions: tuple[Position, ...],
        news: News | None = None,
        loads: tuple[LoadReport, ...] = (),
        hearsay: tuple[Hearsay, ...] = (),
        doubts: tuple[int, ...] = (),
        heard: dict[int, float] | None = None,
        lost: tuple[int, ...] = (),
        ages: dict[int, float] | None = None,
        silent: dict[int, float] | None = None,
    ) -> None:
        self.name = name
        self.zone = zone
        self.capacity = capacity
        self.is_leaving = is_leaving
        self.wants_answer = wants_answer
        self.positions = positions
        self.news = news
        self.loads = loads
        self.hearsay = hearsay
        self.doubts = doubts
        self.heard = heard or {}
        self.lost = lost
        self.ages = ages or {}
        self.silent = silent or {}


class Page:
    """The answer to a fetch: everything above the asker's position.

    :param base: the position that was asked from.
    :param revision: the position of the sender.
    :param is_snapshot: whether absent objects are deleted.
    :param age_seconds: as in :class:`Position`.
    :param items: the objects, deleted ones with no value.
    """

    __slots__ = ('age_seconds', 'base', 'is_snapshot', 'items', 'revision')

    def __init__(
        self,
        base: int,
        revision: int,
        is_snapshot: bool,
        age_seconds: float | None,
        items: tuple[_item.Item, ...],
    ) -> None:
        self.base = base
        self.revision = revision
        self.is_snapshot = is_snapshot
        self.age_seconds = age_seconds
        self.items = items


def encode_beacon(beacon: Beacon) -> bytes:
    """Write a beacon.

    :param beacon: the beacon.
    :returns: one datagram.
    """
    flags = (
        beacon.is_leaving * _IS_LEAVING | beacon.wants_answer * _WANTS_ANSWER
    )
    news = beacon.news
    fields = [
        _VERSION,
        beacon.name,
        beacon.zone,
        beacon.capacity,
        flags,
        [
            [each.revision, each.changed, _to_milliseconds(each.age_seconds)]
            for each in beacon.positions
        ],
        None if news is None else [news.topic, news.base, _list(news.items)],
        [
            [
                each.source,
                each.is_zone,
                int(each.age_seconds * 1000),
                each.flows,
            ]
            for each in beacon.loads
        ],
        [
            [
                each.name,
                each.zone,
                each.host,
                each.capacity,
                int(each.age_seconds * 1000),
            ]
            for each in beacon.hearsay
        ],
        beacon.doubts,
        {token: int(age * 1000) for token, age in beacon.heard.items()},
        beacon.lost,
        _pack_ages(beacon.ages),
        _pack_ages(beacon.silent),
    ]
    return msgpack.packb(fields)


def decode_beacon(data: bytes) -> Beacon:
    """Read a beacon.

    :param data: one datagram.
    :returns: the beacon.
    :raises DecodeError: if it can't be read.
    """
    return _decode(data, _convert_beacon)


def encode_fetch(topic: int, position: int) -> bytes:
    """Write a request for what the sender lacks.

    :param topic: the topic's number.
    :param position: the sender's own position.
    :returns: the bytes of the stream.
    """
    return msgpack.packb([_VERSION, topic, position])


def decode_fetch(data: bytes) -> tuple[int, int]:
    """Read a request for what a peer lacks.

    :param data: the bytes of the stream.
    :returns: the topic's number and the peer's position.
    :raises DecodeError: if it can't be read.
    """
    return _decode(data, _convert_fetch)


def encode_page(page: Page) -> bytes:
    """Write the answer to a fetch.

    :param page: the page.
    :returns: all bytes of the stream.
    """
    fields = [
        _VERSION,
        page.base,
        page.revision,
        page.is_snapshot,
        _to_milliseconds(page.age_seconds),
        zlib.compress(msgpack.packb(_list(page.items)), 1),
    ]
    return msgpack.packb(fields)


def decode_page(data: bytes) -> Page:
    """Read the answer to a fetch.

    :param data: all bytes of the stream.
    :returns: the page.
    :raises DecodeError: if it can't be read.
    """
    return _decode(data, _convert_page)


def measure(items: Iterable[_item.Item]) -> int:
    """Tell how large objects are in a message.

    :param items: the objects.
    :returns: bytes.
    """
    return len(msgpack.packb(_list(items)))


def _decode(data, convert):
    try:
        fields = msgpack.unpackb(data, strict_map_key=False)
        if fields[0] != _VERSION:
            raise errors.DecodeError(f'version {fields[0]!a}')
        return convert(fields)
    except errors.DecodeError:
        raise
    # The library raises ValueError and its own; odd shapes the others.
    except (
        msgpack.UnpackException,
        ArithmeticError,
        AttributeError,
        LookupError,
        RecursionError,
        TypeError,
        ValueError,
        zlib.error,
    ) as error:
        raise errors.DecodeError(repr(error)) from None


def _convert_beacon(fields: list[object]) -> Beacon:
    _, name, zone, capacity, flags, positions, *rest = fields
    news, loads, hearsay, doubts, heard, lost, ages, silent = rest
    return Beacon(
        _check_text(name),
        _check_text(zone),
        _check_count(capacity),
        bool(flags & _IS_LEAVING),
        bool(flags & _WANTS_ANSWER),
        tuple(
            Position(
                _check_count(revision),
                _check_count(changed),
                _to_seconds(age),
            )
            for revision, changed, age in _check_list(positions)
        ),
        None if news is None else _convert_news(news),
        tuple(_convert_load(*each) for each in _check_list(loads)),
        tuple(
            Hearsay(
                _check_text(name),
                _check_text(zone),
                _check_text(host),
                _check_count(capacity),
                _check_count(age) / 1000,
            )
            for name, zone, host, capacity, age in _check_list(hearsay)
        ),
        tuple(_check_count(token) for token in _check_list(doubts)),
        {
            _check_count(token): _check_count(age) / 1000
            for token, age in heard.items()
        },
        tuple(_check_count(token) for token in _check_list(lost)),
        _unpack_ages(ages),
        _unpack_ages(silent),
    )


def _pack_ages(ages: dict[int, float]) -> bytes:
    # Rounded up: an age that shrank on its way would keep alive what is not.
    return b''.join(
        _AGE.pack(digest, min(_MOST_AGE, math.ceil(age * _AGE_STEPS)))
        for digest, age in ages.items()
    )


def _unpack_ages(data: object) -> dict[int, float]:
    if not isinstance(data, bytes) or len(data) % _AGE.size:
        raise errors.DecodeError('ages')
    return {digest: age / _AGE_STEPS for digest, age in _AGE.iter_unpack(data)}


def _convert_news(fields: list[object]) -> News:
    topic, base, items = fields
    return News(_check_count(topic), _check_count(base), _convert_items(items))


def _convert_load(
    source: object, is_zone: object, age: object, flows: object
) -> LoadReport:
    return LoadReport(
        _check_text(source),
        bool(is_zone),
        _check_count(age) / 1000,
        {
            _check_count(token): _check_count(count)
            for token, count in flows.items()
        },
    )


def _convert_fetch(fields: list[object]) -> tuple[int, int]:
    _, topic, position = fields
    return _check_count(topic), _check_count(position)


def _convert_page(fields: list[object]) -> Page:
    _, base, revision, is_snapshot, age, packed = fields
    unpacker = zlib.decompressobj()
    unpacked = unpacker.decompress(packed, MAXIMUM_PAGE_BYTES)
    return Page(
        _check_count(base),
        _check_count(revision),
        bool(is_snapshot),
        _to_seconds(age),
        _convert_items(msgpack.unpackb(unpacked)),
    )


def _list(items: Iterable[_item.Item]) -> list[list[object]]:
    return [
        [each.path, each.revision, each.created, each.value] for each in items
    ]


def _convert_items(fields: list[object]) -> tuple[_item.Item, ...]:
    return tuple(
        _item.Item(
            _check_text(path),
            _check_count(revision),
            _check_count(created),
            _check_value(value),
        )
        for path, revision, created, value in fields
    )


def _check_value(value: object) -> dict[str, object] | None:
    if value is not None and not isinstance(value, dict):
        raise errors.DecodeError('a value is no map')
    return value


def _check_text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise errors.DecodeError('a text is wanted')
    return value


def _check_count(value: object) -> int:
    if type(value) is not int or not 0 <= value <= _MOST_NUMBER:
        raise errors.DecodeError('a count is wanted')
    return value


def _check_list(value: object) -> list[object]:
    if not isinstance(value, list) or len(value) > _MOST_LIST:
        raise errors.DecodeError('a short list is wanted')
    return value


def _to_milliseconds(seconds: float | None) -> int:
    if seconds is None:
        return _NEVER_MILLISECONDS
    return int(seconds * 1000)


def _to_seconds(milliseconds: object) -> float | None:
    if milliseconds == _NEVER_MILLISECONDS:
        return None
    return _check_count(milliseconds) / 1000
