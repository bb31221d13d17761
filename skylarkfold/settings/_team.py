"""A team's settings: its services and their upstreams."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import msgspec

from skylarkfold import endpoint
from skylarkfold import errors
from skylarkfold import service
from skylarkfold.settings import _conversion
from skylarkfold.settings import _document
from skylarkfold.settings import _validation

_Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
_Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000_000)]
_Weight = Annotated[float, msgspec.Meta(ge=0, le=1000)]
_Mark = Annotated[
    str, msgspec.Meta(pattern='^([0-9a-fA-F]{2})*$', max_length=64)
]
_IdleSeconds = Annotated[float, msgspec.Meta(ge=1, le=86400)]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteEntry:
    """Who wrote one version of a subtree.

    :param version: the version.
    :param id: the write's identity, unique among all writes.
    :param operator: who asked for it.
    """

    version: _Count
    id: str
    operator: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecord:
    """Who wrote a subtree and the versions before it.

    It lets an operator whose answer was lost find out what became of the
    write after others have written on top.

    :param version: the version that this record was written with; another
        one in the store means that it was copied from there.
    :param id: the write's identity, unique among all writes.
    :param operator: who asked for it.
    :param history: the writes before it, the last one first.
    """

    version: _Count
    id: str
    operator: str = ''
    history: tuple[WriteEntry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TeamSettings:
    """What one team configured.

    :param team: the team's name.
    :param services: by name.
    :param write: who wrote it; None for a file that was not written by
        the operators' commands.
    """

    team: str
    services: dict[str, service.Service]
    write: WriteRecord | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _UpstreamFields:
    address: endpoint.Endpoint
    zone: str
    request_port: _Port = 0
    slots: _Count = 2
    connections: _Count = 2000
    weight: _Weight = 1.0
    state: service.UpstreamState = service.UpstreamState.ACTIVE


@dataclasses.dataclass(frozen=True, slots=True)
class _ServiceFields:
    address: endpoint.Endpoint
    upstreams: dict[str, _UpstreamFields]
    request_port: _Port = 0
    preference: service.Preference = service.Preference.CONTINUITY
    flow_idle_seconds: _IdleSeconds = 60.0
    first_datagram: _Mark = ''


@dataclasses.dataclass(frozen=True, slots=True)
class _TeamFields:
    services: dict[str, _ServiceFields]
    write: WriteRecord | None = None


def read_team_settings(
    text: str | bytes, source: str, team: str
) -> TeamSettings:
    """Read a team's subtree.

    :param text: JSON with comments, or its bytes in UTF-8.
    :param source: the file or object path, for messages.
    :param team: the team's name.
    :returns: the team's services, whole and checked against each other.
    :raises SettingsError: with the place and the reason, if anything in it
        is not as it must be; its subclasses tell what.
    """
    value = _document.parse_document(text, source)
    fields = _conversion.convert_section(value, _TeamFields, source)
    services = {
        name: _build_service(name, team, each, source)
        for name, each in fields.services.items()
    }
    _check_addresses(services, source)
    return TeamSettings(team, services, fields.write)


def _build_service(
    name: str, team: str, fields: _ServiceFields, source: str
) -> service.Service:
    path = _document.join_path('$.services', name)
    _check_name(name, source, path)
    if not fields.upstreams:
        place = f'{path}.upstreams'
        raise errors.SettingsError('needs an upstream', source, place)
    upstreams = [
        _build_upstream(each, upstream_fields, source, path)
        for each, upstream_fields in sorted(fields.upstreams.items())
    ]
    return service.Service(
        name=name,
        team=team,
        address=_normalize(fields.address, source, f'{path}.address'),
        upstreams=tuple(upstreams),
        request_port=fields.request_port,
        preference=fields.preference,
        flow_idle_seconds=fields.flow_idle_seconds,
        first_datagram=bytes.fromhex(fields.first_datagram),
    )


def _build_upstream(
    name: str, fields: _UpstreamFields, source: str, service_path: str
) -> service.Upstream:
    path = _document.join_path(f'{service_path}.upstreams', name)
    _check_name(name, source, path)
    _check_name(fields.zone, source, f'{path}.zone')
    return service.Upstream(
        name=name,
        address=_normalize(fields.address, source, f'{path}.address'),
        zone=fields.zone,
        request_port=fields.request_port,
        slots=fields.slots,
        connections=fields.connections,
        weight=fields.weight,
        state=fields.state,
    )


def _check_name(name: str, source: str, path: str) -> None:
    try:
        _validation.check_name(name)
    except ValueError as error:
        raise errors.SettingsError(str(error), source, path) from None


def _normalize(
    given: endpoint.Endpoint, source: str, path: str
) -> endpoint.Endpoint:
    try:
        return _validation.normalize_endpoint(given)
    except ValueError as error:
        raise errors.SettingsError(str(error), source, path) from None


def _check_addresses(
    services: dict[str, service.Service], source: str
) -> None:
    holders: dict[endpoint.Endpoint, str] = {}
    for name, each in services.items():
        path = _document.join_path('$.services', name)
        _hold_addresses(each, path, holders, source)
        for upstream in each.upstreams:
            upstream_path = _document.join_path(
                f'{path}.upstreams', upstream.name
            )
            _hold_addresses(upstream, upstream_path, holders, source)


def _hold_addresses(
    owner: service.Service | service.Upstream,
    path: str,
    holders: dict[endpoint.Endpoint, str],
    source: str,
) -> None:
    places = [(f'{path}.address', owner.address)]
    if owner.request_port:
        held = endpoint.Endpoint(owner.address.host, owner.request_port)
        places.append((f'{path}.request_port', held))
    for place, held in places:
        if held in holders:
            reason = f'{held} stands at {holders[held]} too'
            raise errors.DuplicateError(reason, source, place)
        holders[held] = place
