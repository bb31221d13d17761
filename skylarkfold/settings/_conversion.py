"""Conversion of plain values into settings dataclasses."""

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
    value: Any, target_type: Any, source: str, path: str = '$'
) -> Any:
    """Convert a plain value into an instance of a settings type.

    Dataclasses are built from objects without unknown fields, endpoints
    from strings of the form ``host:port``; numbers must be finite and not
    negative. :func:`msgspec.convert` checks all other types.

    :param value: the plain value.
    :param target_type: the type to convert it to.
    :param source: the file or object path, for error messages.
    :param path: the value's path in the source.
    :returns: the converted value.
    :raises SettingsError: if the value is invalid; its subclasses tell why.
    """
    try:
        return _find_converter(target_type)(value, source)
    except errors.SettingsError as error:
        error.path = path + error.path
        raise


@functools.cache
def _find_converter(target_type: Any) -> _Converter:
    if dataclasses.is_dataclass(target_type):
        return _DataclassConverter(target_type).convert
    if target_type is endpoint.Endpoint:
        return _convert_endpoint
    origin = typing.get_origin(target_type)
    if origin in (types.UnionType, typing.Union):
        return functools.partial(
            _convert_optional, _find_optional_converter(target_type)
        )
    if origin is dict:
        converter = _find_converter(typing.get_args(target_type)[1])
        return functools.partial(_convert_mapping, converter)
    if origin in (tuple, list):
        converter = _find_converter(typing.get_args(target_type)[0])
        return functools.partial(_convert_sequence, origin, converter)
    return functools.partial(_convert_builtin, target_type)


def _find_optional_converter(target_type: Any) -> _Converter:
    value_types = [
        each for each in typing.get_args(target_type) if each is not type(None)
    ]
    return _find_converter(value_types[0])


def _convert_member(
    converter: _Converter, value: Any, source: str, key: str | int
) -> Any:
    """Convert a member of a value, adding its key to an error's path.

    The path is built only while an error propagates, which keeps the
    conversion of valid settings fast.
    """
    try:
        return converter(value, source)
    except errors.SettingsError as error:
        error.path = _document.join_path('', key) + error.path
        raise


class _DataclassConverter:
    """Converter of objects into a dataclass.

    :param target_type: the dataclass.
    """

    __slots__ = ('_dataclass', '_fields', '_required')

    def __init__(self, target_type: type) -> None:
        hints = typing.get_type_hints(target_type, include_extras=True)
        fields = [
            each for each in dataclasses.fields(target_type) if each.init
        ]
        self._dataclass = target_type
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
        members = _convert_builtin(dict, value, source)
        self._check_field_names(members, source)
        converted = {
            name: _convert_member(self._fields[name], member, source, name)
            for name, member in members.items()
        }
        try:
            return self._dataclass(**converted)
        except errors.SettingsError as error:
            raise errors.SettingsError(error.reason, source, '') from None
        except ValueError as error:
            raise errors.SettingsError(str(error), source, '') from None

    def _check_field_names(self, members: dict[str, Any], source: str) -> None:
        for name in members:
            if name not in self._fields:
                known = ', '.join(sorted(self._fields))
                reason = f'unknown field; known fields are {known}'
                field_path = _document.join_path('', name)
                raise errors.UnknownFieldError(reason, source, field_path)
        for name in self._required:
            if name not in members:
                field_path = _document.join_path('', name)
                raise errors.MissingFieldError(
                    'required field is missing', source, field_path
                )


def _convert_endpoint(value: Any, source: str) -> endpoint.Endpoint:
    text = _convert_builtin(str, value, source)
    try:
        return endpoint.parse_endpoint(text)
    except ValueError as error:
        raise errors.SettingsError(str(error), source, '') from None


def _convert_optional(converter: _Converter, value: Any, source: str) -> Any:
    if value is None or value == '':
        return None
    return converter(value, source)


def _convert_mapping(converter: _Converter, value: Any, source: str) -> Any:
    members = _convert_builtin(dict, value, source)
    return {
        key: _convert_member(converter, member, source, key)
        for key, member in members.items()
    }


def _convert_sequence(
    origin: type, converter: _Converter, value: Any, source: str
) -> Any:
    members = _convert_builtin(list[Any], value, source)
    return origin(
        _convert_member(converter, member, source, index)
        for index, member in enumerate(members)
    )


def _convert_builtin(target_type: Any, value: Any, source: str) -> Any:
    if target_type is str and type(value) is str:
        return value
    try:
        converted = msgspec.convert(value, target_type)
    except msgspec.ValidationError as error:
        raise errors.SettingsError(str(error), source, '') from None
    if isinstance(converted, bool) or not isinstance(converted, (int, float)):
        return converted
    if not math.isfinite(converted) or not 0 <= converted <= _MAXIMUM_NUMBER:
        reason = f'{converted!r} is not between 0 and {_MAXIMUM_NUMBER}'
        raise errors.SettingsError(reason, source, '')
    return converted
