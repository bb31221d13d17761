"""Settings of the upstream stand-in, in JSON with comments."""

from __future__ import annotations

import dataclasses
import pathlib

import json5
import msgspec

from skylarkfold import errors
from skylarkfold.standin import _behaviour


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSettings:
    """One upstream.

    :param address: where it takes datagrams and streams; port 0 for any
        free one.
    :param request_port: its HTTP port on the same host; 0 for any free
        one.
    :param slots: requests that it runs at the same time.
    :param behaviour: how it behaves.
    """

    address: str = '127.0.0.1:0'
    request_port: int = 0
    slots: int = 2
    behaviour: _behaviour.Behaviour = _behaviour.Behaviour()


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSettings:
    """The upstreams of one service, by name."""

    upstreams: dict[str, UpstreamSettings]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamStandinSettings:
    """All upstreams that one process stands in for.

    The form is that of a team's settings, so that such a file serves as
    it is; what concerns only the balancer is ignored.

    :param services: by name.
    """

    services: dict[str, ServiceSettings]


def read_settings(path: str) -> UpstreamStandinSettings:
    """Read settings from a file.

    :param path: the file.
    :returns: the settings.
    :raises SettingsError: if the file can't be read or is invalid.
    """
    try:
        fields = json5.loads(pathlib.Path(path).read_text())
        return msgspec.convert(fields, UpstreamStandinSettings)
    except (OSError, ValueError) as error:
        raise errors.SettingsError(str(error), source=path) from error


def make_settings(
    service: str, count: int, slots: int
) -> UpstreamStandinSettings:
    """Make settings for one service on free ports.

    :param service: its name.
    :param count: how many upstreams.
    :param slots: the slots of each.
    :returns: the settings.
    """
    upstreams = {
        f'{service}-{number}': UpstreamSettings(slots=slots)
        for number in range(1, count + 1)
    }
    return UpstreamStandinSettings({service: ServiceSettings(upstreams)})
