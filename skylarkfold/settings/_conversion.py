"""Plain values turned into settings dataclasses."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import functools
import math
import types
import typing
from typing import Any

import msgspec

from skylarkfold import endpoint
from skylarkfold import errors
from skylarkfold.settings import _document

_MAXIMUM_NUMBER = 2**53


_Converter = Callable[[Any, str], Any]


def convert_section(
    value: Any, kind: Any, source: str, path: str = '$'
) -> Any:
    """Turn a plain value into an instance of a settings type.

    Dataclasses take objects without unknown fields, endpoints take texts
    of the form ``host:port``, numbers are finite and not negative; all
    else is checked by :func:`msgspec.convert`.

    :param value: what the text holds.
    :param kind: the type that is wanted.
    :param source: the file or object path, for messages.
    :param path: where the value stands in it.
    :returns: the value as that type.
    :raises SettingsError: if it does not fit; its subclasses tell why.
    """
    try:
        return _find_converter(kind)(value, source)
    except errors.SettingsError as error:
        error.path = path + error.path
        raise


@functools.cache
def _find_converter(kind: Any) -> _Converter:
    if dataclasses.is_dataclass(kind):
        return _Record(kind).convert
    if kind is endpoint.Endpoint:
        return _convert_endpoint
    origin = typing.get_origin(kind)
    if origin in (types.UnionType, typing.Union):
        return functools.partial(_convert_optional, _find_wanted(kind))
    if origin is dict:
        wanted = _find_converter(typing.get_args(kind)[1])
        return functools.partial(_convert_mapping, wanted)
    if origin in (tuple, list):
        wanted = _find_converter(typing.get_args(kind)[0])
        return functools.partial(_convert_sequence, origin, wanted)
    return functools.partial(_convert_leaf, kind)


def _find_wanted(kind: Any) -> _Converter:
    known = [each for each in typing.get_args(kind) if each is not type(None)]
    return _find_converter(known[0])


def _convert_member(
    converter: _Converter, value: Any, source: str, key: str | int
) -> Any:
    """Convert a part of a value; an error is told where it stands.

    The path is put together only on the way up from an error, since most
    settings have none.
    """
    try:
        return converter(value, source)
    except errors.SettingsError as error:
        error.path = _document.join_path('', key) + error.path
        raise


class _Record:
    """The converter of a dataclass.

    :param kind: the dataclass.
    """

    __slots__ = ('_fields', '_kind', '_required')

    def __init__(self, kind: type) -> None:
        hints = typing.get_type_hints(kind, include_extras=True)
        fields = [each for each in dataclasses.fields(kind) if each.init]
        self._kind = kind
        self._fields = {
            each.name: _find_converter(hints[each.name]) for each in fields
        }
        self._required = tuple(
            each.name
            for each in fields
            if each.default is dataclasses.MISSING
            and each.default_factory is dataclasses.MISSING
        )

    def convert(self, value: Any, source: str) -> Any:
        members = _convert_leaf(dict, value, source)
        self._check_names(members, source)
        converted = {
            name: _convert_member(self._fields[name], member, source, name)
            for name, member in members.items()
        }
        try:
            return self._kind(**converted)
        except errors.SettingsError as error:
            raise errors.SettingsError(error.reason, source, '') from None
        except ValueError as error:
            raise errors.SettingsError(str(error), source, '') from None

    def _check_names(self, members: dict[str, Any], source: str) -> None:
        for name in members:
            if name not in self._fields:
                known = ', '.join(sorted(self._fields))
                reason = f'unknown field; known are {known}'
                place = _document.join_path('', name)
                raise errors.UnknownFieldError(reason, source, place)
        for name in self._required:
            if name not in members:
                place = _document.join_path('', name)
                raise errors.MissingFieldError('must be given', source, place)


def _convert_endpoint(value: Any, source: str) -> endpoint.Endpoint:
    text = _convert_leaf(str, value, source)
    try:
        return endpoint.parse_endpoint(text)
    except ValueError as error:
        raise errors.SettingsError(str(error), source, '') from None


def _convert_optional(wanted: _Converter, value: Any, source: str) -> Any:
    if value is None or value == '':
        return None
    return wanted(value, source)


def _convert_mapping(wanted: _Converter, value: Any, source: str) -> Any:
    members = _convert_leaf(dict, value, source)
    return {
        key: _convert_member(wanted, member, source, key)
        for key, member in members.items()
    }


def _convert_sequence(
    origin: type, wanted: _Converter, value: Any, source: str
) -> Any:
    members = _convert_leaf(list[Any], value, source)
    return origin(
        _convert_member(wanted, member, source, index)
        for index, member in enumerate(members)
    )


def _convert_leaf(kind: Any, value: Any, source: str) -> Any:
    if kind is str and type(value) is str:
        return value
    try:
        converted = msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise errors.SettingsError(str(error), source, '') from None
    if isinstance(converted, bool) or not isinstance(converted, (int, float)):
        return converted
    if not math.isfinite(converted) or not 0 <= converted <= _MAXIMUM_NUMBER:
        reason = f'{converted!r} is not from 0 to {_MAXIMUM_NUMBER}'
        raise errors.SettingsError(reason, source, '')
    return converted
