"""Settings of the forwarder that are not in the platform's settings file.

The file is JSON with comments: lines that begin with ``//`` are ignored. All
fields are optional; the settings classes hold the defaults.
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

_COMMENT_PREFIX = '//'
# The section with tables keyed by network, which must not hold duplicates.
_NETWORKS_SECTION = '"shares"'
_MAX_PORT = 65535
# The share of the link that may be used to serve peers.
_PEER_SERVING_SHARE = 0.5


class LogSettings:
    """Limits of the log.

    :param lines_per_second: the average rate of lines about single flows;
        other lines are not limited.
    :param burst_lines: how many lines may exceed that rate in a burst.
    :param waiting_lines: lines queued for a slow reader; more are dropped.
        At 250 bytes a line, the default takes 1 MB.
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
    """The settings of a forwarder.

    :param metrics_port: the port that serves metrics; 0 to serve none.
    :param log: limits of the log.
    :param affinity: limits of placement and health.
    :param relay: how the store's objects are followed.
    :param room: when the instance's link counts as overloaded.
    :param shares: how callers are limited to their shares; None if not set.
    :ivar path: the file that the settings were read from; empty for none.
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
    """Read the settings from a file.

    :param path: the file; empty for the defaults.
    :returns: the settings.
    :raises SettingsError: with the file, the field's path, a reason and a
        code, if the file can't be read or is invalid.
    """
    if not path:
        return ForwarderSettings()
    try:
        text = files.read_bytes(path).decode()
    except UnicodeDecodeError as error:
        raise errors.SettingsUnreadableError(str(error), path) from None
    forwarder_settings = parse_forwarder_settings(text, path)
    forwarder_settings.path = path
    return forwarder_settings


def apply_machine_settings(
    forwarder_settings: ForwarderSettings, settings: machine.MachineSettings
) -> None:
    """Copy limits from the platform's settings into the forwarder's.

    :param forwarder_settings: the settings to update.
    :param settings: the settings from the platform's file.
    """
    affinity_settings = forwarder_settings.affinity
    affinity_settings.flow_seconds = settings.flow_seconds
    affinity_settings.follows_evacuations = (
        settings.evacuation_seconds is not None
    )
    affinity_settings.limits_warm_up = settings.warm_up_slack is not None
    affinity_settings.warm_up_factor = settings.warm_up_factor
    affinity_settings.warm_up_slack = settings.warm_up_slack or 0.0
    link_rate = settings.link_bytes_per_second
    forwarder_settings.relay.serve_bytes_per_second = (
        _PEER_SERVING_SHARE * link_rate
    )
    forwarder_settings.relay.change_seconds = settings.propagation_seconds
    # After that, a rewritten change is in force on all instances.
    forwarder_settings.relay.lasting_seconds = (
        settings.change_seconds + settings.disturbed_seconds
    )


def parse_forwarder_settings(text: str, source: str) -> ForwarderSettings:
    """Parse the settings.

    :param text: JSON with comment lines.
    :param source: the file's name for error messages.
    :returns: the settings.
    :raises SettingsError: as :func:`read_forwarder_settings` does.
    """
    # Comments become empty lines, so that errors name the right line number.
    lines = [
        '' if line.lstrip().startswith(_COMMENT_PREFIX) else line
        for line in text.split('\n')
    ]
    try:
        fields = _parse('\n'.join(lines))
    except (ValueError, RecursionError) as error:
        raise errors.SettingsSyntaxError(str(error), source) from None
    _check_object(fields, source, '$')
    values: dict[str, object] = {}
    for name, value in fields.items():
        field_path = f'$.{name}'
        if name in _SECTIONS:
            values[name] = _convert_section(
                _SECTIONS[name], value, source, field_path
            )
        elif name == 'shares':
            _check_object(value, source, field_path)
            # Imported only if used, since it slows down the start.
            from skylarkfold.forwarder import _shares_settings

            values[name] = _shares_settings.convert_shares(
                value, source, field_path
            )
        elif name == 'metrics_port':
            values[name] = _check_port(value, source, field_path)
        else:
            known = ', '.join(sorted([*_SECTIONS, 'metrics_port', 'shares']))
            raise errors.UnknownFieldError(
                f'known: {known}', source, field_path
            )
    return ForwarderSettings(**values)


def _convert_section(
    kind: type, fields: object, source: str, path: str
) -> object:
    _check_object(fields, source, path)
    defaults = kind()
    values = {}
    for name, value in fields.items():
        field_path = f'{path}.{name}'
        default = getattr(defaults, name, None)
        if isinstance(default, bool) or not isinstance(default, (int, float)):
            known = ', '.join(kind.__slots__)
            raise errors.UnknownFieldError(
                f'known: {known}', source, field_path
            )
        values[name] = _check_number(value, type(default), source, field_path)
    return kind(**values)


class _JsonObject(dict):
    """A JSON object that remembers duplicate names.

    :ivar twice: names that occur more than once in it.
    """

    __slots__ = ('twice',)


def _parse(text: str) -> object:
    """Parse JSON; detect duplicate names if it has tables of networks."""
    if _NETWORKS_SECTION not in text:
        return light_imports.parse_json(text)
    import json

    return json.loads(text, object_pairs_hook=_build_json_object)


def _build_json_object(pairs: list[tuple[str, object]]) -> _JsonObject:
    built = _JsonObject(pairs)
    names = [name for name, _ in pairs]
    built.twice = sorted({name for name in names if names.count(name) > 1})
    return built


def _check_object(value: object, source: str, path: str) -> None:
    if not isinstance(value, dict):
        raise errors.SettingsError('expected an object', source, path)
    for name in getattr(value, 'twice', ()):
        raise errors.DuplicateError(
            'duplicate field', source, f'{path}.{name}'
        )


def _check_port(value: object, source: str, path: str) -> int:
    port = _check_number(value, int, source, path)
    if port > _MAX_PORT:
        raise errors.SettingsError('out of range', source, path)
    return port


def _check_number(
    value: object, kind: type, source: str, path: str
) -> int | float:
    is_number = isinstance(value, (int, float)) and value is not True
    if not is_number or value is False:
        raise errors.SettingsError('expected a number', source, path)
    if kind is int and not isinstance(value, int):
        raise errors.SettingsError('expected an integer', source, path)
    if not 0 <= value < 1e9:
        raise errors.SettingsError('out of range', source, path)
    return kind(value)
