"""The settings file that describes an instance's machine.

The platform generates the file from ``deploy/settings.template``, which maps
the platform's names to those used here. The format is JSON because parsing
TOML would take a tenth of the startup time. This module imports little: the
packet socket is bound from these settings before the rest of the program is
loaded.
"""

from __future__ import annotations

import os

from skylarkfold import errors
from skylarkfold import files
from skylarkfold import light_imports

_MAXIMUM_PORT = 65535
# Defaults for fields that a file omits, as in the platform's example file.
_DEFAULT_GRACE_SECONDS = 6.0
_DEFAULT_FLOW_SECONDS = 60.0
_DEFAULT_CHANGE_SECONDS = 3.0
_DEFAULT_DRAIN_SECONDS = 3.0
_DEFAULT_DISTURBED_SECONDS = 12.0
# Processor time and bandwidth that make up one unit of capacity.
_CORES_PER_UNIT = 0.1
_MBPS_PER_UNIT = 10.0
_MAXIMUM_CAPACITY = 20
_BYTES_PER_MBIT = 1e6 / 8


class MachineSettings:
    """An instance's identity, addresses and limits.

    :param name: the instance's name.
    :param zone: its availability zone.
    :param packet_address: the address that receives callers' packets; every
        caller receives packets at the same port.
    :param ready_address: the address of the readiness endpoint.
    :param peer_address: the address that receives messages from other
        instances.
    :param seeds: hosts on which to look for other instances.
    :param store_address: the address of the platform's store.
    :param cores: the processor time that it may use, in cores.
    :param link_mbps: the bandwidth of its link, in Mbit/s.
    :param grace_seconds: how long a planned stop may take.
    :param flow_seconds: the maximum lifetime of a flow.
    :param zones: all availability zones.
    :param evacuation_seconds: the time within which the evacuation of a zone
        must be in force; None if zones are not evacuated.
    :param warm_up_factor: the multiple of its service's rated load that an
        upstream may be sent in any second while it warms up.
    :param warm_up_slack: the number of requests that it may be sent on top
        of that; None if there is no limit.
    :param change_seconds: the time within which a change of the routes must
        be in force.
    :param drain_seconds: the time within which upstreams that are draining or
        gone must get no more requests.
    :param disturbed_seconds: the additional time allowed after the store was
        disturbed.
    :param terms: other requirements of the deployment, in the platform's
        terms.
    """

    __slots__ = (
        'change_seconds',
        'cores',
        'disturbed_seconds',
        'drain_seconds',
        'evacuation_seconds',
        'flow_seconds',
        'grace_seconds',
        'link_mbps',
        'name',
        'packet_address',
        'peer_address',
        'ready_address',
        'seeds',
        'store_address',
        'terms',
        'warm_up_factor',
        'warm_up_slack',
        'zone',
        'zones',
    )

    def __init__(
        self,
        name: str,
        zone: str,
        packet_address: tuple[str, int],
        ready_address: tuple[str, int],
        peer_address: tuple[str, int],
        seeds: tuple[str, ...],
        store_address: tuple[str, int],
        cores: float,
        link_mbps: float,
        grace_seconds: float,
        flow_seconds: float,
        zones: tuple[str, ...] = (),
        evacuation_seconds: float | None = None,
        warm_up_factor: float = 1.0,
        warm_up_slack: float | None = None,
        change_seconds: float = _DEFAULT_CHANGE_SECONDS,
        drain_seconds: float = _DEFAULT_DRAIN_SECONDS,
        disturbed_seconds: float = _DEFAULT_DISTURBED_SECONDS,
        terms: tuple[str, ...] = (),
    ) -> None:
        self.name = name
        self.zone = zone
        self.packet_address = packet_address
        self.ready_address = ready_address
        self.peer_address = peer_address
        self.seeds = seeds
        self.store_address = store_address
        self.cores = cores
        self.link_mbps = link_mbps
        self.grace_seconds = grace_seconds
        self.flow_seconds = flow_seconds
        self.zones = zones
        self.evacuation_seconds = evacuation_seconds
        self.warm_up_factor = warm_up_factor
        self.warm_up_slack = warm_up_slack
        self.change_seconds = change_seconds
        self.drain_seconds = drain_seconds
        self.disturbed_seconds = disturbed_seconds
        self.terms = terms

    @property
    def capacity(self) -> int:
        """The capacity that the machine has for duties.

        The scarcer resource decides. Bandwidth counts because an instance
        that watches the store downloads whole configurations: 400 KB take a
        third of a second on the smallest links.
        """
        core_units = self.cores / _CORES_PER_UNIT
        link_units = self.link_mbps / _MBPS_PER_UNIT
        return int(min(core_units, link_units, _MAXIMUM_CAPACITY))

    @property
    def propagation_seconds(self) -> float:
        """The time within which any change in the store must be in force."""
        bounds = [self.change_seconds, self.drain_seconds]
        if self.evacuation_seconds is not None:
            bounds.append(self.evacuation_seconds)
        return min(bounds)

    @property
    def link_bytes_per_second(self) -> float:
        """The bandwidth of the link, in bytes per second."""
        return self.link_mbps * _BYTES_PER_MBIT

    def list_addresses(self) -> tuple[tuple[str, int], ...]:
        """List the addresses that sockets bind or connect to."""
        return (
            self.packet_address,
            self.ready_address,
            self.peer_address,
            self.store_address,
        )


class SettingsFile:
    """A settings file that is read again when it changes.

    :param path: the path of the file.
    """

    __slots__ = ('_last_stat', '_path')

    def __init__(self, path: str) -> None:
        self._path = path
        self._last_stat: tuple[int, ...] = ()

    def read(self) -> MachineSettings:
        """Read the file.

        :returns: the settings.
        :raises SettingsError: if the file can't be read or is invalid.
        """
        self._last_stat = self._get_stat_key()
        return read_settings(self._path)

    def reread(self, is_forced: bool) -> MachineSettings | None:
        """Read the file again if it has changed.

        :param is_forced: whether to read it even if it has not changed.
        :returns: the settings; None if the file was not read.
        :raises SettingsError: if the file can't be read or is invalid.
        """
        if self._get_stat_key() == self._last_stat and not is_forced:
            return None
        return self.read()

    def _get_stat_key(self) -> tuple[int, ...]:
        """Return values that differ once the file has changed."""
        try:
            status = os.stat(self._path)
        except OSError:
            return ()
        return (status.st_mtime_ns, status.st_size, status.st_ino)


def read_settings(path: str) -> MachineSettings:
    """Read a settings file.

    :param path: the path of the file, which is in JSON.
    :returns: the settings.
    :raises SettingsError: if the file can't be read or is invalid; names
        the field and the reason.
    """
    try:
        fields = light_imports.parse_json(files.read_bytes(path))
    except ValueError as error:
        raise errors.SettingsSyntaxError(str(error), path) from None
    return convert_settings(fields, path)


def convert_settings(fields: object, source: str) -> MachineSettings:
    """Validate and convert the fields of a settings file.

    :param fields: the parsed content of the file.
    :param source: the path of the file, for error messages.
    :returns: the settings.
    :raises SettingsError: if a field is invalid; names the field and the
        reason.
    """
    if not isinstance(fields, dict):
        raise errors.SettingsError('must be a JSON object', source)
    reader = _FieldReader(fields, source)
    host = reader.get_string('host')
    core_share = reader.get_number('core_share', 1.0)
    return MachineSettings(
        name=reader.get_string('name'),
        zone=reader.get_string('zone'),
        packet_address=reader.get_address('packet_address'),
        ready_address=reader.get_address('ready_address'),
        peer_address=(host, reader.get_port('peer_ports')),
        seeds=reader.get_hosts('seeds'),
        store_address=reader.get_address('store_address'),
        cores=core_share * reader.get_number('core_speed', 1.0),
        link_mbps=reader.get_number('link_mbps', 0.0),
        grace_seconds=reader.get_number(
            'grace_seconds', _DEFAULT_GRACE_SECONDS
        ),
        flow_seconds=reader.get_number('flow_seconds', _DEFAULT_FLOW_SECONDS),
        zones=reader.get_strings('zones'),
        evacuation_seconds=reader.get_seconds('evacuation_ms'),
        warm_up_factor=reader.get_number('warm_up_factor', 1.0),
        warm_up_slack=reader.get_optional_number('warm_up_slack'),
        change_seconds=reader.get_seconds(
            'change_ms', _DEFAULT_CHANGE_SECONDS
        ),
        drain_seconds=reader.get_seconds('drain_ms', _DEFAULT_DRAIN_SECONDS),
        disturbed_seconds=reader.get_seconds(
            'disturbed_ms', _DEFAULT_DISTURBED_SECONDS
        ),
        terms=reader.get_strings('terms'),
    )


class _FieldReader:
    """Reads typed fields of a settings file."""

    __slots__ = ('_fields', '_source')

    def __init__(self, fields: dict[str, object], source: str) -> None:
        self._fields = fields
        self._source = source

    def get_string(self, name: str) -> str:
        value = self._fields.get(name)
        if not isinstance(value, str) or not value:
            raise self._build_error(name, 'must be a non-empty string')
        return value

    def get_number(self, name: str, default: float) -> float:
        value = self._fields.get(name, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise self._build_error(name, 'must be a number')
        if not 0 <= value < 1e9:
            raise self._build_error(name, f'{value} is out of range')
        return float(value)

    def get_optional_number(self, name: str) -> float | None:
        """Read a number; None if the field is missing."""
        if name not in self._fields:
            return None
        return self.get_number(name, 0.0)

    def get_seconds(
        self, name: str, default: float | None = None
    ) -> float | None:
        """Convert milliseconds to seconds; the default if missing."""
        milliseconds = self.get_optional_number(name)
        return default if milliseconds is None else milliseconds / 1000

    def get_strings(self, name: str) -> tuple[str, ...]:
        values = self._fields.get(name, [])
        is_list = isinstance(values, list)
        if not is_list or not all(isinstance(each, str) for each in values):
            raise self._build_error(name, 'must be a list of strings')
        return tuple(values)

    def get_address(self, name: str) -> tuple[str, int]:
        host, _, port = self.get_string(name).rpartition(':')
        if not host or not port.isdecimal() or int(port) > _MAXIMUM_PORT:
            raise self._build_error(name, 'must have the form host:port')
        return (host, int(port))

    def get_port(self, name: str) -> int:
        """Read a range of ports and return the first one."""
        ports = self._fields.get(name)
        is_range = isinstance(ports, list) and len(ports) == 2
        if not is_range or not all(type(each) is int for each in ports):
            raise self._build_error(name, 'must be a list of two port numbers')
        if not 0 < ports[0] <= ports[1] <= _MAXIMUM_PORT:
            raise self._build_error(name, 'the port range is out of range')
        return ports[0]

    def get_hosts(self, name: str) -> tuple[str, ...]:
        """Read a list of addresses and return their hosts."""
        values = self._fields.get(name, [])
        if not isinstance(values, list):
            raise self._build_error(name, 'must be a list')
        return tuple(str(each).rpartition(':')[0] for each in values)

    def _build_error(self, name: str, reason: str) -> errors.SettingsError:
        return errors.SettingsError(reason, self._source, f'$.{name}')
