"""The platform's filling of a settings template."""

from __future__ import annotations

import json
import re

_TAG = re.compile(r'\{\{([#^/]?)([^{}|]*)(\|json)?\}\}')


def fill(template: str, fields: object) -> str:
    """Fill in a template as the platform does.

    :param template: text with ``{{a.b}}``, ``{{a.b|json}}``, sections
        ``{{#a}}..{{/a}}`` and ``{{^a}}..{{/a}}``; in a section ``{{.}}`` is
        the entry, ``{{@}}`` its key or index and ``{{,}}`` a comma but
        after the last one.
    :param fields: the platform's settings.
    :returns: the text.
    :raises ValueError: if a section does not end.
    """
    return _fill(template, [fields], is_last=True)


def _fill(text: str, scopes: list[object], is_last: bool) -> str:
    parts = []
    position = 0
    while tag := _TAG.search(text, position):
        parts.append(text[position : tag.start()])
        sign, name, is_json = tag[1], tag[2], bool(tag[3])
        position = tag.end()
        if sign in ('#', '^'):
            end = text.find(f'{{{{/{name}}}}}', position)
            if end < 0:
                raise ValueError(f'section {name} does not end')
            inner = text[position:end]
            parts.append(_fill_section(sign, name, inner, scopes))
            position = end + len(f'{{{{/{name}}}}}')
        elif name == ',':
            parts.append('' if is_last else ',')
        else:
            parts.append(_write(_find(name, scopes), is_json))
    return ''.join(parts) + text[position:]


def _fill_section(
    sign: str, name: str, inner: str, scopes: list[object]
) -> str:
    value = _find(name, scopes)
    if sign == '^':
        is_wanted = value is None or value is False
        return _fill(inner, scopes, True) if is_wanted else ''
    if value is None or value is False:
        return ''
    entries = _list_entries(value)
    return ''.join(
        _fill(inner, [*scopes, {'@': key}, entry], number == len(entries) - 1)
        for number, (key, entry) in enumerate(entries)
    )


def _list_entries(value: object) -> list[tuple[object, object]]:
    if isinstance(value, list):
        return list(enumerate(value))
    if isinstance(value, dict):
        return list(value.items())
    return [(0, value)]


def _find(name: str, scopes: list[object]) -> object:
    if name == '.':
        return scopes[-1]
    first, *rest = name.split('.')
    for scope in reversed(scopes):
        if isinstance(scope, dict) and first in scope:
            value = scope[first]
            for each in rest:
                value = value.get(each) if isinstance(value, dict) else None
            return value
    return None


def _write(value: object, is_json: bool) -> str:
    if value is None:
        return ''
    if is_json or not isinstance(value, str):
        return json.dumps(value)
    return value
