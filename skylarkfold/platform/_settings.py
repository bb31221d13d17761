"""The platform's settings file.

Imports little: the packet socket is bound from it before the rest of the
program is loaded.
"""

from __future__ import annotations

import os
import tomllib

from skylarkfold import errors

# The environment variable that holds the file's path.
PATH_VARIABLE = 'SKYLARKFOLD_CONFIG'
_MAXIMUM_PORT = 65535
# What the pages' example has, for files that leave them out.
_GRACE_SECONDS = 6.0
_FLOW_SECONDS = 60.0


class PlatformSettings:
    """What the file says, in the product's terms.

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
    """

    __slots__ = (
        'cores',
        'flow_seconds',
        'grace_seconds',
        'link_mbps',
        'name',
        'packet_address',
        'peer_address',
        'ready_address',
        'seeds',
        'store_address',
        'zone',
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


def find_path() -> str:
    """Find the settings file.

    :returns: its path.
    :raises SettingsError: if the environment does not name one.
    """
    path = os.environ.get(PATH_VARIABLE, '')
    if not path:
        raise errors.SettingsError(f'{PATH_VARIABLE} is not set')
    return path


def identify(path: str) -> tuple[int, ...]:
    """Tell a file from what it was before.

    :param path: the file.
    :returns: what changes with it; empty if it can't be looked at.
    """
    try:
        found = os.stat(path)
    except OSError:
        return ()
    return (found.st_mtime_ns, found.st_size, found.st_ino)


def read_settings(path: str) -> PlatformSettings:
    """Read the settings file.

    :param path: the file, in TOML.
    :returns: the settings.
    :raises SettingsError: with the place and the reason, if it can't be
        read or used.
    """
    try:
        with open(path, 'rb') as file:
            fields = tomllib.load(file)
    except OSError as error:
        reason = error.strerror or str(error)
        raise errors.SettingsUnreadableError(reason, path) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise errors.SettingsSyntaxError(str(error), path) from None
    return _convert(_Section(fields, path, '$'))


def _convert(fields: _Section) -> PlatformSettings:
    listen = fields.get_section('listen_addrs')
    bounds = fields.get_section('bounds')
    limits = fields.get_section('limits')
    share = limits.get_number('cpu_share', 1.0)
    return PlatformSettings(
        name=fields.get_text('node_name'),
        zone=fields.get_text('zone'),
        packet_address=listen.get_address('datagram_addr'),
        ready_address=listen.get_address('ready_addr'),
        peer_address=(fields.get_text('ip'), fields.get_port()),
        seeds=fields.get_hosts('seeds'),
        store_address=fields.get_section('platform').get_address('address'),
        cores=share * limits.get_number('cores', 1.0),
        link_mbps=limits.get_number('link_mbps', 0.0),
        grace_seconds=bounds.get_number('grace_s', _GRACE_SECONDS),
        flow_seconds=bounds.get_number('max_flow_s', _FLOW_SECONDS),
    )


class _Section:
    """A table of the file, with its place for messages."""

    __slots__ = ('_fields', '_path', '_source')

    def __init__(
        self, fields: dict[str, object], source: str, path: str
    ) -> None:
        self._fields = fields
        self._source = source
        self._path = path

    def get_section(self, name: str) -> _Section:
        value = self._fields.get(name)
        if not isinstance(value, dict):
            raise self._complain(name, 'a table is wanted')
        return _Section(value, self._source, f'{self._path}.{name}')

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

    def get_address(self, name: str) -> tuple[str, int]:
        host, _, port = self.get_text(name).rpartition(':')
        if not host or not port.isdecimal() or int(port) > _MAXIMUM_PORT:
            raise self._complain(name, 'host:port is wanted')
        return (host, int(port))

    def get_port(self) -> int:
        """Read the first of the ports that are free between instances."""
        ports = self._fields.get('internal_ports')
        is_range = isinstance(ports, list) and len(ports) == 2
        if not is_range or not all(type(each) is int for each in ports):
            raise self._complain('internal_ports', 'two ports are wanted')
        if not 0 < ports[0] <= ports[1] <= _MAXIMUM_PORT:
            raise self._complain('internal_ports', 'out of range')
        return ports[0]

    def get_hosts(self, name: str) -> tuple[str, ...]:
        """Read a list of addresses, of which only the hosts count."""
        values = self._fields.get(name, [])
        if not isinstance(values, list):
            raise self._complain(name, 'a list is wanted')
        return tuple(str(each).rpartition(':')[0] for each in values)

    def _complain(self, name: str, reason: str) -> errors.SettingsError:
        place = f'{self._path}.{name}'
        return errors.SettingsError(reason, self._source, place)
