"""Parsing of JSON with comments into plain values."""

from __future__ import annotations

import json
from typing import Any

import json5

from skylarkfold import errors

MAXIMUM_TEXT_BYTES = 1024 * 1024
MAXIMUM_COMMENTED_BYTES = 128 * 1024


def parse_document(text: str | bytes, source: str) -> Any:
    """Parse JSON with comments.

    Strict JSON is parsed by the standard library. Any other text is parsed
    by json5, which is much slower and has a lower size limit for that
    reason.

    :param text: the text, or its bytes in UTF-8.
    :param source: the file or object path, for error messages.
    :returns: dicts, lists, strings, numbers, booleans and None.
    :raises SettingsError: if the text is invalid; its subclasses tell why.
    """
    text = _decode_text(text, source)
    try:
        value = _parse_text(text, source)
        if not text.isascii() or '\\u' in text:
            _check_strings(value, '$', source)
    except RecursionError:
        raise errors.SettingsTooLargeError(
            'nested too deeply', source
        ) from None
    return value


def _decode_text(text: str | bytes, source: str) -> str:
    if len(text) > MAXIMUM_TEXT_BYTES:
        reason = f'longer than {MAXIMUM_TEXT_BYTES} bytes'
        raise errors.SettingsTooLargeError(reason, source)
    if isinstance(text, str):
        return text
    try:
        return text.decode()
    except UnicodeDecodeError as error:
        reason = f'invalid UTF-8: {error.reason} at byte {error.start}'
        raise errors.SettingsUnreadableError(reason, source) from None


def _parse_text(text: str, source: str) -> Any:
    try:
        return json.loads(text, object_pairs_hook=_build_object)
    except _DuplicateKeyError as error:
        raise errors.DuplicateError(str(error), source) from None
    except ValueError:
        return _parse_json5(text, source)


def _parse_json5(text: str, source: str) -> Any:
    if len(text) > MAXIMUM_COMMENTED_BYTES:
        reason = f'not strict JSON and over {MAXIMUM_COMMENTED_BYTES} bytes'
        raise errors.SettingsTooLargeError(reason, source)
    try:
        return json5.loads(text, object_pairs_hook=_build_object)
    except _DuplicateKeyError as error:
        raise errors.DuplicateError(str(error), source) from None
    except ValueError as error:
        reason = str(error).removeprefix('<string>:')
        raise errors.SettingsSyntaxError(reason, source) from None


class _DuplicateKeyError(Exception):
    """A key that appears twice in one object."""


def _build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for key, value in pairs:
        if key in values:
            raise _DuplicateKeyError(f'the key {key!a} appears twice')
        values[key] = value
    return values


def _check_strings(value: Any, path: str, source: str) -> None:
    if isinstance(value, str):
        _check_surrogates(value, path, source)
    elif isinstance(value, dict):
        for key, member in value.items():
            _check_surrogates(key, path, source)
            _check_strings(member, join_path(path, key), source)
    elif isinstance(value, list):
        for index, member in enumerate(value):
            _check_strings(member, join_path(path, index), source)


def _check_surrogates(text: str, path: str, source: str) -> None:
    if any('\ud800' <= character <= '\udfff' for character in text):
        reason = 'unpaired surrogate in a string'
        raise errors.SettingsSyntaxError(reason, source, path)


def join_path(path: str, key: str | int) -> str:
    """Append an object key or an array index to a path.

    :param path: for example ``$.services``.
    :param key: for example ``press-desk``.
    :returns: for example ``$.services.press-desk``.
    """
    if isinstance(key, int):
        return f'{path}[{key}]'
    if key.replace('-', '_').isidentifier():
        return f'{path}.{key}'
    return f'{path}[{json.dumps(key)}]'


def encode_services(services: dict[str, Any]) -> str:
    """Encode a plain services object as a team's settings.

    :param services: the value of the field ``services``.
    :returns: strict JSON.
    """
    return json.dumps({'services': services}, separators=(',', ':'))
