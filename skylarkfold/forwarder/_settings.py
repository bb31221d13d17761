"""The settings that are skylarkfold's own, beside the platform's.

JSON with comments: lines that begin with ``//`` are left out. All fields
may be; the defaults are those of the settings classes.
"""

from __future__ import annotations

from skylarkfold import affinity
from skylarkfold import errors
from skylarkfold import files
from skylarkfold import light_imports
from skylarkfold import machine
from skylarkfold import relay
from skylarkfold import room as rooms

if light_imports.TYPE_CHECKING:
    from skylarkfold import shares

_COMMENT = '//'
# The section whose tables name networks.
_NETWORKS = '"shares"'
_MOST_PORT = 65535
# Of an instance's link: the rest is for its callers.
_SERVE_SHARE = 0.5


class LogSettings:
    """How much is logged.

    :param lines_per_second: decision lines in the long run; lines about
        health, settings, the store and the process come on top.
    :param burst_lines: how many may come at once after a rest.
    :param waiting_lines: lines that wait for a reader that stands still;
        more are left out. At 250 bytes a line, 1 MB.
    """

    __slots__ = ('burst_lines', 'lines_per_second', 'waiting_lines')

    def __init__(
        self,
        lines_per_second: float = 200.0,
        burst_lines: int = 1000,
        waiting_lines: int = 4096,
    ) -> None:
        self.lines_per_second = lines_per_second
        self.burst_lines = burst_lines
        self.waiting_lines = waiting_lines


class ForwarderSettings:
    """All of them.

    :param metrics_port: where metrics are shown; 0 for nowhere.
    :param log: how much is logged.
    :param affinity: limits of placement and health.
    :param relay: how the store's objects are followed.
    :param room: when the instance's own link is taken to be short of room.
    :param shares: how callers are kept to shares; None where nothing is said
        of it.
    :ivar path: the file that they were read from; empty for none.
    """

    __slots__ = (
        'affinity',
        'log',
        'metrics_port',
        'path',
        'relay',
        'room',
        'shares',
    )

    def __init__(
        self,
        metrics_port: int = 0,
        log: LogSettings | None = None,
        affinity: affinity.AffinitySettings | None = None,
        relay: relay.RelaySettings | None = None,
        room: rooms.RoomSettings | None = None,
        shares: shares.SharesSettings | None = None,
    ) -> None:
        self.path = ''
        self.shares = shares
        self.metrics_port = metrics_port
        self.log = log or LogSettings()
        self.affinity = affinity or _AFFINITY()
        self.relay = relay or _RELAY()
        self.room = room or rooms.RoomSettings()


_AFFINITY = affinity.AffinitySettings
_RELAY = relay.RelaySettings
_SECTIONS = {
    'log': LogSettings,
    'affinity': _AFFINITY,
    'relay': _RELAY,
    'room': rooms.RoomSettings,
}


def read_forwarder_settings(path: str) -> ForwarderSettings:
    """Read the settings.

    :param path: the file; empty for all defaults.
    :returns: the settings.
    :raises SettingsError: with file, place, reason and code, if they can't
        be read or used.
    """
    if not path:
        return ForwarderSettings()
    try:
        text = files.read_bytes(path).decode()
    except UnicodeDecodeError as error:
        raise errors.SettingsUnreadableError(str(error), path) from None
    own = parse_forwarder_settings(text, path)
    own.path = path
    return own


def apply_machine_settings(
    own: ForwarderSettings, settings: machine.MachineSettings
) -> None:
    """Take the bounds that the platform's settings file names.

    :param own: the settings to complete.
    :param settings: what an instance is told of its machine.
    """
    limits = own.affinity
    limits.flow_seconds = settings.flow_seconds
    limits.follows_evacuations = settings.evacuation_seconds is not None
    limits.limits_warm_up = settings.warm_up_slack is not None
    limits.warm_up_factor = settings.warm_up_factor
    limits.warm_up_slack = settings.warm_up_slack or 0.0
    link = settings.link_bytes_per_second
    own.relay.serve_bytes_per_second = _SERVE_SHARE * link
    # By then a change that is written again is in force everywhere.
    own.relay.lasting_seconds = (
        settings.change_seconds + settings.disturbed_seconds
    )


def parse_forwarder_settings(text: str, source: str) -> ForwarderSettings:
    """Read the settings from a text.

    :param text: JSON with comment lines.
    :param source: the file, for messages.
    :returns: the settings.
    :raises SettingsError: as :func:`read_forwarder_settings` does.
    """
    # Comments become empty lines, so that errors name the right line.
    lines = [
        '' if line.lstrip().startswith(_COMMENT) else line
        for line in text.split('\n')
    ]
    try:
        fields = _parse('\n'.join(lines))
    except (ValueError, RecursionError) as error:
        raise errors.SettingsSyntaxError(str(error), source) from None
    _check_object(fields, source, '$')
    values: dict[str, object] = {}
    for name, value in fields.items():
        place = f'$.{name}'
        if name in _SECTIONS:
            values[name] = _convert(_SECTIONS[name], value, source, place)
        elif name == 'shares':
            _check_object(value, source, place)
            # Few have it, and it takes time at the start.
            from skylarkfold.forwarder import _shares_settings

            values[name] = _shares_settings.convert_shares(
                value, source, place
            )
        elif name == 'metrics_port':
            values[name] = _check_port(value, source, place)
        else:
            known = ', '.join(sorted([*_SECTIONS, 'metrics_port', 'shares']))
            raise errors.UnknownFieldError(f'known: {known}', source, place)
    return ForwarderSettings(**values)


def _convert(kind: type, fields: object, source: str, path: str) -> object:
    _check_object(fields, source, path)
    defaults = kind()
    values = {}
    for name, value in fields.items():
        place = f'{path}.{name}'
        default = getattr(defaults, name, None)
        if isinstance(default, bool) or not isinstance(default, (int, float)):
            known = ', '.join(kind.__slots__)
            raise errors.UnknownFieldError(f'known: {known}', source, place)
        values[name] = _check_number(value, type(default), source, place)
    return kind(**values)


class _Object(dict):
    """An object of the file.

    :ivar twice: names that stand more than once in it.
    """

    __slots__ = ('twice',)


def _parse(text: str) -> object:
    """Read JSON; networks that are named twice contradict one another."""
    if _NETWORKS not in text:
        return light_imports.parse_json(text)
    import json

    return json.loads(text, object_pairs_hook=_build_object)


def _build_object(pairs: list[tuple[str, object]]) -> _Object:
    built = _Object(pairs)
    names = [name for name, _ in pairs]
    built.twice = sorted({name for name in names if names.count(name) > 1})
    return built


def _check_object(value: object, source: str, path: str) -> None:
    if not isinstance(value, dict):
        raise errors.SettingsError('an object is wanted', source, path)
    for name in getattr(value, 'twice', ()):
        raise errors.DuplicateError(
            'it stands twice', source, f'{path}.{name}'
        )


def _check_port(value: object, source: str, path: str) -> int:
    port = _check_number(value, int, source, path)
    if port > _MOST_PORT:
        raise errors.SettingsError('out of range', source, path)
    return port


def _check_number(
    value: object, kind: type, source: str, path: str
) -> int | float:
    is_number = isinstance(value, (int, float)) and value is not True
    if not is_number or value is False:
        raise errors.SettingsError('a number is wanted', source, path)
    if kind is int and not isinstance(value, int):
        raise errors.SettingsError('a whole number is wanted', source, path)
    if not 0 <= value < 1e9:
        raise errors.SettingsError('out of range', source, path)
    return kind(value)
