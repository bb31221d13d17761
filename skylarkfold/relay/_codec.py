"""Encoding of the messages between instances.

Messages are MessagePack arrays that start with the version of the format.
Beacons are sent as datagrams, fetches and pages over streams. Decoders bound
all numbers and raise :class:`skylarkfold.errors.DecodeError` for a message
that is malformed.
"""

from __future__ import annotations

from collections.abc import Iterable
import math
import zlib

from skylarkfold import errors
from skylarkfold import light_imports
from skylarkfold.relay import _age_codec
from skylarkfold.relay import _item
from skylarkfold.relay import _load_codec
from skylarkfold.relay import _messages
from skylarkfold import revision as revisions

_VERSION = 6
_MAXIMUM_NUMBER = 1 << 62
_MAXIMUM_LIST_LENGTH = 4096
_MAXIMUM_DEMAND_BYTES = 1024
_UNKNOWN_AGE = -1
# Bounds the memory for a decompressed page; one with 3,800 upstreams is 1 MB.
MAXIMUM_PAGE_BYTES = 16 * 1024 * 1024

_IS_LEAVING = 1
_WANTS_ANSWER = 2


def encode_beacon(beacon: _messages.Beacon) -> bytes:
    """Encode a beacon.

    :param beacon: the beacon.
    :returns: the bytes of the datagram.
    """
    flags = (
        beacon.is_leaving * _IS_LEAVING | beacon.wants_answer * _WANTS_ANSWER
    )
    delta = beacon.delta
    fields = [
        _VERSION,
        beacon.name,
        beacon.zone,
        beacon.capacity,
        flags,
        [
            [
                each.revision.era,
                each.revision.number,
                each.changed.number,
                _to_milliseconds(each.age_seconds),
                each.retained,
                each.confirmed_by,
            ]
            for each in beacon.positions
        ],
        None
        if delta is None
        else [
            delta.topic,
            delta.base.era,
            delta.base.number,
            _list_item_fields(delta.items),
        ],
        [
            [
                each.source,
                each.is_zone,
                int(each.age_seconds * 1000),
                {
                    incarnation: _load_codec.list_load(load)
                    for incarnation, load in each.loads.items()
                },
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
            for each in beacon.known_instances
        ],
        beacon.doubts,
        {
            incarnation: int(age * 1000)
            for incarnation, age in beacon.last_seen.items()
        },
        beacon.lost,
        _age_codec.pack_ages(beacon.ages),
        _age_codec.pack_ages(beacon.silent),
    ]
    callers = beacon.callers
    if callers is not None:
        age = _to_milliseconds(callers.age_seconds)
        fields.append([callers.demand, callers.other_zones, age])
    return light_imports.msgpack.packb(fields)


def decode_beacon(data: bytes) -> _messages.Beacon:
    """Decode a beacon.

    :param data: the bytes of the datagram.
    :returns: the beacon.
    :raises DecodeError: if the beacon is malformed.
    """
    return _decode(data, _convert_beacon)


def encode_fetch(topic: int, position: revisions.Revision) -> bytes:
    """Encode a request for the changes that the sender lacks.

    :param topic: the topic's number.
    :param position: the sender's position.
    :returns: the bytes of the stream.
    """
    return light_imports.msgpack.packb(
        [_VERSION, topic, position.era, position.number]
    )


def decode_fetch(data: bytes) -> tuple[int, revisions.Revision]:
    """Decode a request for the changes that a peer lacks.

    :param data: the bytes of the stream.
    :returns: the topic's number and the peer's position.
    :raises DecodeError: if the request is malformed.
    """
    return _decode(data, _convert_fetch)


def encode_page(page: _messages.Page) -> bytes:
    """Encode the answer to a fetch.

    :param page: the page.
    :returns: the bytes of the stream.
    """
    retained = [
        [
            each.item.revision.era,
            int(each.left_seconds * 1000),
            _list_item_fields([each.item]),
        ]
        for each in page.retained_items
    ]
    fields = [
        _VERSION,
        page.base.era,
        page.base.number,
        page.revision.era,
        page.revision.number,
        page.is_snapshot,
        _to_milliseconds(page.age_seconds),
        int(page.era_seconds * 1000),
        retained,
        page.packed or pack_items(page.items),
    ]
    return light_imports.msgpack.packb(fields)


def pack_items(items: Iterable[_item.Item]) -> bytes:
    """Encode and compress the objects of a page.

    :param items: the objects, all of one era.
    :returns: the compressed bytes.
    """
    return zlib.compress(
        light_imports.msgpack.packb(_list_item_fields(items)), 1
    )


def decode_page(data: bytes) -> _messages.Page:
    """Decode the answer to a fetch.

    :param data: the bytes of the stream.
    :returns: the page.
    :raises DecodeError: if the page is malformed.
    """
    return _decode(data, _convert_page)


def measure_items(items: Iterable[_item.Item]) -> int:
    """Return the encoded size of objects.

    :param items: the objects.
    :returns: the size in bytes.
    """
    return len(light_imports.msgpack.packb(_list_item_fields(items)))


def measure_values(values: list[dict[str, object]]) -> int:
    """Return the encoded size of the values of objects.

    :param values: the values.
    :returns: the size in bytes.
    :raises DecodeError: if a value can't be encoded: it has numbers beyond 64
        bits, characters that aren't valid in UTF-8, or is nested too deeply.
    """
    try:
        # Values are nested this deeply in a beacon.
        return len(light_imports.msgpack.packb([[[values]]]))
    except (ArithmeticError, ValueError, RecursionError) as error:
        raise errors.DecodeError(type(error).__name__) from None


def _decode(data, convert):
    try:
        fields = light_imports.msgpack.unpackb(data, strict_map_key=False)
        if fields[0] != _VERSION:
            raise errors.DecodeError(f'version {fields[0]!a}')
        return convert(fields)
    except errors.DecodeError:
        raise
    # The library raises ValueError and its own exceptions; the others stem
    # from fields of an unexpected type or number.
    except (
        light_imports.msgpack.UnpackException,
        ArithmeticError,
        AttributeError,
        LookupError,
        RecursionError,
        TypeError,
        ValueError,
        zlib.error,
    ) as error:
        raise errors.DecodeError(repr(error)) from None


def _convert_beacon(fields: list[object]) -> _messages.Beacon:
    _, name, zone, capacity, flags, positions, *rest = fields
    (
        delta,
        loads,
        known_instances,
        doubts,
        last_seen,
        lost,
        ages,
        silent,
        *optional,
    ) = rest
    (callers,) = optional or (None,)
    return _messages.Beacon(
        _check_text(name),
        _check_text(zone),
        _check_count(capacity),
        bool(flags & _IS_LEAVING),
        bool(flags & _WANTS_ANSWER),
        tuple(
            _messages.Position(
                _check_revision(era, number),
                _check_revision(era, changed),
                _to_seconds(age),
                _check_count(retained),
                _check_count(confirmed_by),
            )
            for (
                era,
                number,
                changed,
                age,
                retained,
                confirmed_by,
            ) in _check_list(positions)
        ),
        None if delta is None else _convert_delta(delta),
        tuple(_convert_load_report(*each) for each in _check_list(loads)),
        tuple(
            _messages.KnownInstance(
                _check_text(name),
                _check_text(zone),
                _check_text(host),
                _check_count(capacity),
                _check_count(age) / 1000,
            )
            for name, zone, host, capacity, age in _check_list(known_instances)
        ),
        tuple(_check_count(each) for each in _check_list(doubts)),
        {
            _check_count(incarnation): _check_count(age) / 1000
            for incarnation, age in last_seen.items()
        },
        tuple(_check_count(each) for each in _check_list(lost)),
        _age_codec.unpack_ages(ages),
        _age_codec.unpack_ages(silent),
        None if callers is None else _convert_caller_report(*callers),
    )


def _convert_caller_report(
    demand: object, other_zones: object, age: object
) -> _messages.CallerReport:
    for each in (demand, other_zones):
        if not isinstance(each, bytes) or len(each) > _MAXIMUM_DEMAND_BYTES:
            raise errors.DecodeError('the demand is not bytes or is too long')
    return _messages.CallerReport(
        demand, other_zones, _check_count(age) / 1000
    )


def _convert_delta(fields: list[object]) -> _messages.TopicDelta:
    topic, era, base, items = fields
    return _messages.TopicDelta(
        _check_count(topic),
        _check_revision(era, base),
        _convert_items(items, era),
    )


def _convert_load_report(
    source: object, is_zone: object, age: object, loads: object
) -> _messages.LoadReport:
    return _messages.LoadReport(
        _check_text(source),
        bool(is_zone),
        _check_count(age) / 1000,
        {
            _check_count(incarnation): _load_codec.convert_load(
                bool(is_zone), *load
            )
            for incarnation, load in loads.items()
        },
    )


def _convert_fetch(fields: list[object]) -> tuple[int, revisions.Revision]:
    _, topic, era, position = fields
    return _check_count(topic), _check_revision(era, position)


def _convert_page(fields: list[object]) -> _messages.Page:
    _, base_era, base, era, revision, is_snapshot, *rest = fields
    age, era_age, retained, packed = rest
    unpacker = zlib.decompressobj()
    unpacked = unpacker.decompress(packed, MAXIMUM_PAGE_BYTES)
    return _messages.Page(
        _check_revision(base_era, base),
        _check_revision(era, revision),
        bool(is_snapshot),
        _to_seconds(age),
        _convert_items(light_imports.msgpack.unpackb(unpacked), era),
        _check_count(era_age) / 1000,
        tuple(_convert_retained(*each) for each in _check_list(retained)),
    )


def _convert_retained(
    era: object, remaining: object, items: object
) -> _messages.RetainedItem:
    (item,) = _convert_items(items, era)
    return _messages.RetainedItem(item, _check_count(remaining) / 1000)


def _list_item_fields(items: Iterable[_item.Item]) -> list[list[object]]:
    # All items of a message share one era, which is encoded once.
    return [
        [each.path, each.revision.number, each.created.number, each.value]
        for each in items
    ]


def _convert_items(
    fields: list[object], era: object
) -> tuple[_item.Item, ...]:
    return tuple(
        _item.Item(
            _check_text(path),
            _check_revision(era, revision),
            _check_revision(era, created),
            _check_value(value),
        )
        for path, revision, created, value in fields
    )


def _check_value(value: object) -> dict[str, object] | None:
    if value is not None and not isinstance(value, dict):
        raise errors.DecodeError('the value of an object is not a map')
    return value


def _check_text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise errors.DecodeError('a text field is empty or not a string')
    return value


def _check_count(value: object) -> int:
    if type(value) is not int or not 0 <= value <= _MAXIMUM_NUMBER:
        raise errors.DecodeError('a number is not an integer in the range')
    return value


def _check_revision(era: object, number: object) -> revisions.Revision:
    if _check_count(era) > revisions.MAXIMUM_ERA:
        raise errors.DecodeError('the era is out of range')
    if _check_count(number) > revisions.MAXIMUM_NUMBER:
        raise errors.DecodeError('the revision is out of range')
    return revisions.Revision(number, era)


def _check_list(value: object) -> list[object]:
    if not isinstance(value, list) or len(value) > _MAXIMUM_LIST_LENGTH:
        raise errors.DecodeError('a list field is not a list or is too long')
    return value


def _to_milliseconds(seconds: float | None) -> int:
    if seconds is None:
        return _UNKNOWN_AGE
    # Rounded up: an age that shrank with every hop would never expire.
    return math.ceil(seconds * 1000)


def _to_seconds(milliseconds: object) -> float | None:
    if milliseconds == _UNKNOWN_AGE:
        return None
    return _check_count(milliseconds) / 1000
