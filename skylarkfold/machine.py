"""What an instance is told of its machine, in a settings file.

A platform fills the file in from ``deploy/settings.template``, which
translates its names. JSON, since reading TOML takes a tenth of each start.
Imports little: the packet socket is bound from it before the rest of the
program is loaded.
"""

from __future__ import annotations

import os

from skylarkfold import errors
from skylarkfold import files
from skylarkfold import light_imports

_MAXIMUM_PORT = 65535
# For files that leave them out: what the platform's example has.
_GRACE_SECONDS = 6.0
_FLOW_SECONDS = 60.0
_CHANGE_SECONDS = 3.0
_DISTURBED_SECONDS = 12.0
# A machine's capacity is counted in these.
_CORES_STEP = 0.1
_LINK_STEP_MBPS = 10.0
_MOST_CAPACITY = 20
_BYTES_PER_MBIT = 1e6 / 8


class MachineSettings:
    """An instance's identity, addresses and limits.

    :param name: the instance's name.
    :param zone: its availability zone.
    :param packet_address: where it takes callers' packets; every caller
        takes packets at the same port.
    :param ready_address: where its readiness is asked for.
    :param peer_address: where it takes the messages of other instances.
    :param seeds: hosts where other instances may be found.
    :param store_address: the platform's store.
    :param cores: the processor time that it may use.
    :param link_mbps: the bandwidth of its link, in Mbit/s.
    :param grace_seconds: how long a planned stop may take.
    :param flow_seconds: the longest life of a flow.
    :param zones: all availability zones.
    :param evacuation_seconds: how soon an evacuation of one must be in force;
        None where zones are not evacuated.
    :param warm_up_factor: by how much requests to an upstream that warms up
        may exceed what its service is said to bear, in any second.
    :param warm_up_slack: and how many more they may be; None where they are
        not bounded.
    :param change_seconds: how soon a change of the routes must be in force.
    :param disturbed_seconds: how much later it may be after the store was
        disturbed.
    :param terms: what else the deployment asks for, in the platform's words.
    """

    __slots__ = (
        'change_seconds',
        'cores',
        'disturbed_seconds',
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
        change_seconds: float = _CHANGE_SECONDS,
        disturbed_seconds: float = _DISTURBED_SECONDS,
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
        self.disturbed_seconds = disturbed_seconds
        self.terms = terms

    @property
    def capacity(self) -> int:
        """What the machine has to spare for duties.

        By whichever it has less of: a watcher takes each whole
        configuration from the store, 400 KB on a large day, a third of a
        second on the smallest links.
        """
        tenths = self.cores / _CORES_STEP
        links = self.link_mbps / _LINK_STEP_MBPS
        return int(min(tenths, links, _MOST_CAPACITY))

    @property
    def link_bytes_per_second(self) -> float:
        """The bandwidth of its link, in bytes a second."""
        return self.link_mbps * _BYTES_PER_MBIT

    def list_addresses(self) -> tuple[tuple[str, int], ...]:
        """List what sockets are bound to or opened towards."""
        return (
            self.packet_address,
            self.ready_address,
            self.peer_address,
            self.store_address,
        )


class SettingsFile:
    """A settings file that may change, with or without a signal.

    :param path: the file.
    """

    __slots__ = ('_path', '_read_as')

    def __init__(self, path: str) -> None:
        self._path = path
        self._read_as: tuple[int, ...] = ()

    def read(self) -> MachineSettings:
        """Read the file.

        :returns: the settings.
        :raises SettingsError: if it can't be read or used.
        """
        self._read_as = self._identify()
        return read_settings(self._path)

    def reread(self, is_forced: bool) -> MachineSettings | None:
        """Read the file again if it has changed.

        :param is_forced: whether to read it in any case.
        :returns: the settings, None if nothing has changed.
        :raises SettingsError: if it can't be read or used.
        """
        if self._identify() == self._read_as and not is_forced:
            return None
        return self.read()

    def _identify(self) -> tuple[int, ...]:
        """Tell the file from what it was before."""
        try:
            found = os.stat(self._path)
        except OSError:
            return ()
        return (found.st_mtime_ns, found.st_size, found.st_ino)


def read_settings(path: str) -> MachineSettings:
    """Read the settings file.

    :param path: the file, in JSON.
    :returns: the settings.
    :raises SettingsError: with the place and the reason, if it can't be
        read or used.
    """
    try:
        fields = light_imports.parse_json(files.read_bytes(path))
    except ValueError as error:
        raise errors.SettingsSyntaxError(str(error), path) from None
    return convert_settings(fields, path)


def convert_settings(fields: object, source: str) -> MachineSettings:
    """Check settings.

    :param fields: what the file holds.
    :param source: the file, for messages.
    :returns: the settings.
    :raises SettingsError: with the place and the reason.
    """
    if not isinstance(fields, dict):
        raise errors.SettingsError('an object is wanted', source)
    section = _Section(fields, source)
    host = section.get_text('host')
    share = section.get_number('core_share', 1.0)
    return MachineSettings(
        name=section.get_text('name'),
        zone=section.get_text('zone'),
        packet_address=section.get_address('packet_address'),
        ready_address=section.get_address('ready_address'),
        peer_address=(host, section.get_port('peer_ports')),
        seeds=section.get_hosts('seeds'),
        store_address=section.get_address('store_address'),
        cores=share * section.get_number('core_speed', 1.0),
        link_mbps=section.get_number('link_mbps', 0.0),
        grace_seconds=section.get_number('grace_seconds', _GRACE_SECONDS),
        flow_seconds=section.get_number('flow_seconds', _FLOW_SECONDS),
        zones=section.get_texts('zones'),
        evacuation_seconds=section.get_seconds('evacuation_ms'),
        warm_up_factor=section.get_number('warm_up_factor', 1.0),
        warm_up_slack=section.find_number('warm_up_slack'),
        change_seconds=section.get_seconds('change_ms', _CHANGE_SECONDS),
        disturbed_seconds=section.get_seconds(
            'disturbed_ms', _DISTURBED_SECONDS
        ),
        terms=section.get_texts('terms'),
    )


class _Section:
    """The fields of the file, with its name for messages."""

    __slots__ = ('_fields', '_source')

    def __init__(self, fields: dict[str, object], source: str) -> None:
        self._fields = fields
        self._source = source

    def get_text(self, name: str) -> str:
        value = self._fields.get(name)
        if not isinstance(value, str) or not value:
            raise self._complain(name, 'a text is wanted')
        return value

    def get_number(self, name: str, default: float) -> float:
        value = self._fields.get(name, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise self._complain(name, 'a number is wanted')
        if not 0 <= value < 1e9:
            raise self._complain(name, f'{value} is out of range')
        return float(value)

    def find_number(self, name: str) -> float | None:
        """Read a number; None where there is none."""
        if name not in self._fields:
            return None
        return self.get_number(name, 0.0)

    def get_seconds(
        self, name: str, default: float | None = None
    ) -> float | None:
        """Read a number of milliseconds; the default where there is none."""
        milliseconds = self.find_number(name)
        return default if milliseconds is None else milliseconds / 1000

    def get_texts(self, name: str) -> tuple[str, ...]:
        values = self._fields.get(name, [])
        is_list = isinstance(values, list)
        if not is_list or not all(isinstance(each, str) for each in values):
            raise self._complain(name, 'a list of texts is wanted')
        return tuple(values)

    def get_address(self, name: str) -> tuple[str, int]:
        host, _, port = self.get_text(name).rpartition(':')
        if not host or not port.isdecimal() or int(port) > _MAXIMUM_PORT:
            raise self._complain(name, 'host:port is wanted')
        return (host, int(port))

    def get_port(self, name: str) -> int:
        """Read the first one of a range of ports."""
        ports = self._fields.get(name)
        is_range = isinstance(ports, list) and len(ports) == 2
        if not is_range or not all(type(each) is int for each in ports):
            raise self._complain(name, 'two ports are wanted')
        if not 0 < ports[0] <= ports[1] <= _MAXIMUM_PORT:
            raise self._complain(name, 'out of range')
        return ports[0]

    def get_hosts(self, name: str) -> tuple[str, ...]:
        """Read a list of addresses, of which only the hosts count."""
        values = self._fields.get(name, [])
        if not isinstance(values, list):
            raise self._complain(name, 'a list is wanted')
        return tuple(str(each).rpartition(':')[0] for each in values)

    def _complain(self, name: str, reason: str) -> errors.SettingsError:
        return errors.SettingsError(reason, self._source, f'$.{name}')
