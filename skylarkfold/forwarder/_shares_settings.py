"""The section of an instance's own settings on callers' shares."""

from __future__ import annotations

from skylarkfold import errors
from skylarkfold import shares

_IS_ENFORCED = 'is_enforced'
# By network, each with the largest value that makes sense.
_TABLES = {'weights': 1000.0, 'caps_per_second': 1e9}


def convert_shares(
    fields: dict[str, object], source: str, path: str
) -> shares.SharesSettings:
    """Check the section.

    :param fields: what it holds.
    :param source: the file, for messages.
    :param path: where in it the section stands.
    :returns: the settings.
    :raises SettingsError: with the field's place, if one can't be used or
        contradicts another.
    """
    defaults = shares.SharesSettings()
    values: dict[str, object] = {}
    for name, value in fields.items():
        place = f'{path}.{name}'
        if name == _IS_ENFORCED:
            if not isinstance(value, bool):
                raise errors.SettingsError(
                    'true or false is wanted', source, place
                )
            values[name] = value
        elif name in _TABLES:
            values[name] = _convert_table(value, _TABLES[name], source, place)
        elif name in shares.SharesSettings.__slots__:
            kind = type(getattr(defaults, name))
            values[name] = _convert_number(value, kind, source, place)
        else:
            known = ', '.join(shares.SharesSettings.__slots__)
            raise errors.UnknownFieldError(f'known: {known}', source, place)
    settings = shares.SharesSettings(**values)
    _check_order(settings, source, path)
    return settings


def _convert_table(
    value: object, most: float, source: str, path: str
) -> shares.NetworkTable:
    if not isinstance(value, dict):
        raise errors.SettingsError('an object is wanted', source, path)
    twice = getattr(value, 'twice', ())
    if twice:
        raise errors.DuplicateError(
            'it stands twice', source, f'{path}.{twice[0]}'
        )
    known: dict[tuple[int, int], str] = {}
    entries = []
    for text, number in value.items():
        place = f'{path}.{text}'
        try:
            network = shares.Network.parse(text)
        except errors.SettingsError as error:
            raise errors.SettingsError(error.reason, source, place) from None
        other = known.setdefault((network.base, network.length), text)
        if other != text:
            raise errors.DuplicateError(
                f'{other} is the same network', source, place
            )
        checked = _convert_number(number, float, source, place, most)
        entries.append((network, checked))
    return shares.NetworkTable(entries)


def _convert_number(
    value: object,
    kind: type,
    source: str,
    path: str,
    most: float = 1e9,
) -> int | float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise errors.SettingsError('a number is wanted', source, path)
    if kind is int and not isinstance(value, int):
        raise errors.SettingsError('a whole number is wanted', source, path)
    # What is none or negative would shut its callers out.
    if not 0 < value <= most:
        raise errors.SettingsError(
            f'a number above 0, {most:g} at most, is wanted', source, path
        )
    return kind(value)


def _check_order(
    settings: shares.SharesSettings, source: str, path: str
) -> None:
    ordered = ('joined_share', 'short_share', 'filled_share')
    for less, more in zip(ordered, ordered[1:]):
        if getattr(settings, less) > getattr(settings, more):
            raise errors.SettingsError(
                f'it is above {more}', source, f'{path}.{less}'
            )
    if settings.told_callers > settings.callers:
        raise errors.SettingsError(
            'it is above callers', source, f'{path}.told_callers'
        )
