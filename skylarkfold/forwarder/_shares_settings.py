"""The ``shares`` section of the forwarder's settings."""

from __future__ import annotations

from skylarkfold import errors
from skylarkfold import shares

_IS_ENFORCED = 'is_enforced'
# Tables keyed by network, with the largest value allowed in each.
_MAXIMUM_BY_TABLE = {'weights': 1000.0, 'caps_per_second': 1e9}


def convert_shares(
    fields: dict[str, object], source: str, path: str
) -> shares.SharesSettings:
    """Convert the section and check its values.

    :param fields: the section's fields.
    :param source: the file's name for error messages.
    :param path: the section's path in the file.
    :returns: the settings.
    :raises SettingsError: with the field's path, if a field is invalid or
        contradicts another.
    """
    defaults = shares.SharesSettings()
    values: dict[str, object] = {}
    for name, value in fields.items():
        field_path = f'{path}.{name}'
        if name == _IS_ENFORCED:
            if not isinstance(value, bool):
                raise errors.SettingsError(
                    'expected true or false', source, field_path
                )
            values[name] = value
        elif name in _MAXIMUM_BY_TABLE:
            values[name] = _convert_table(
                value, _MAXIMUM_BY_TABLE[name], source, field_path
            )
        elif name in shares.SharesSettings.__slots__:
            kind = type(getattr(defaults, name))
            values[name] = _convert_number(value, kind, source, field_path)
        else:
            known = ', '.join(shares.SharesSettings.__slots__)
            raise errors.UnknownFieldError(
                f'known: {known}', source, field_path
            )
    settings = shares.SharesSettings(**values)
    _check_order(settings, source, path)
    return settings


def _convert_table(
    value: object, maximum: float, source: str, path: str
) -> shares.NetworkTable:
    if not isinstance(value, dict):
        raise errors.SettingsError('expected an object', source, path)
    duplicates = getattr(value, 'twice', ())
    if duplicates:
        raise errors.DuplicateError(
            'duplicate field', source, f'{path}.{duplicates[0]}'
        )
    seen: dict[tuple[int, int], str] = {}
    entries = []
    for text, number in value.items():
        field_path = f'{path}.{text}'
        try:
            network = shares.Network.parse(text)
        except errors.SettingsError as error:
            raise errors.SettingsError(
                error.reason, source, field_path
            ) from None
        other = seen.setdefault((network.base, network.length), text)
        if other != text:
            raise errors.DuplicateError(
                f'{other} names the same network', source, field_path
            )
        checked = _convert_number(number, float, source, field_path, maximum)
        entries.append((network, checked))
    return shares.NetworkTable(entries)


def _convert_number(
    value: object,
    kind: type,
    source: str,
    path: str,
    maximum: float = 1e9,
) -> int | float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise errors.SettingsError('expected a number', source, path)
    if kind is int and not isinstance(value, int):
        raise errors.SettingsError('expected an integer', source, path)
    # With a value of 0 or less, callers would get nothing.
    if not 0 < value <= maximum:
        raise errors.SettingsError(
            f'expected a number from 0 to {maximum:g}, excluding 0',
            source,
            path,
        )
    return kind(value)


def _check_order(
    settings: shares.SharesSettings, source: str, path: str
) -> None:
    ordered = ('joined_share', 'short_share', 'filled_share')
    for lower, upper in zip(ordered, ordered[1:]):
        if getattr(settings, lower) > getattr(settings, upper):
            raise errors.SettingsError(
                f'must not exceed {upper}', source, f'{path}.{lower}'
            )
    if settings.told_callers > settings.callers:
        raise errors.SettingsError(
            'must not exceed callers', source, f'{path}.told_callers'
        )
