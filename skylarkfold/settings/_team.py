"""Settings of a team: its services and their upstreams."""

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
_PositiveInteger = Annotated[int, msgspec.Meta(ge=1, le=1_000_000_000)]
_Weight = Annotated[float, msgspec.Meta(ge=0, le=1000)]
_HexPrefix = Annotated[
    str, msgspec.Meta(pattern='^([0-9a-fA-F]{2})*$', max_length=64)
]
_IdleSeconds = Annotated[float, msgspec.Meta(ge=1, le=86400)]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteEntry:
    """The write that created one version of a subtree.

    :param version: the version.
    :param id: the write's unique id.
    :param operator: the operator who made the write.
    """

    version: _PositiveInteger
    id: str
    operator: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecord:
    """The write that created a subtree's version, and earlier writes.

    If the answer to a write was lost, it shows whether the write took
    effect even after later writes.

    :param version: the version that this record was written with; if the
        stored object has another version, the record was copied.
    :param id: the write's unique id.
    :param operator: the operator who made the write.
    :param history: the earlier writes, latest first.
    """

    version: _PositiveInteger
    id: str
    operator: str = ''
    history: tuple[WriteEntry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TeamSettings:
    """The services of one team.

    :param team: the team's name.
    :param services: the services by name.
    :param write: the write that created this version; None if it was not
        written by the operators' commands.
    """

    team: str
    services: dict[str, service.Service]
    write: WriteRecord | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _UpstreamFields:
    address: endpoint.Endpoint
    zone: str
    request_port: _Port = 0
    slots: _PositiveInteger = 2
    connections: _PositiveInteger = 2000
    weight: _Weight = 1.0
    state: service.UpstreamState = service.UpstreamState.ACTIVE


@dataclasses.dataclass(frozen=True, slots=True)
class _ServiceFields:
    address: endpoint.Endpoint
    upstreams: dict[str, _UpstreamFields]
    request_port: _Port = 0
    preference: service.Preference = service.Preference.CONTINUITY
    flow_idle_seconds: _IdleSeconds = 60.0
    first_datagram: _HexPrefix = ''


@dataclasses.dataclass(frozen=True, slots=True)
class _TeamFields:
    services: dict[str, _ServiceFields]
    write: WriteRecord | None = None


def read_team_settings(
    text: str | bytes, source: str, team: str
) -> TeamSettings:
    """Parse and validate a team's settings.

    :param text: JSON with comments, or its bytes in UTF-8.
    :param source: the file or object path, for error messages.
    :param team: the team's name.
    :returns: the team's validated settings.
    :raises SettingsError: with the path and the reason, if the settings
        are invalid; its subclasses tell why.
    """
    value = _document.parse_document(text, source)
    fields = _conversion.convert_section(value, _TeamFields, source)
    services = {
        name: _build_service(name, team, each, source)
        for name, each in fields.services.items()
    }
    _check_duplicate_endpoints(services, source)
    return TeamSettings(team, services, fields.write)


def _build_service(
    name: str, team: str, fields: _ServiceFields, source: str
) -> service.Service:
    path = _document.join_path('$.services', name)
    _check_name(name, source, path)
    if not fields.upstreams:
        used_path = f'{path}.upstreams'
        raise errors.SettingsError(
            'service has no upstream', source, used_path
        )
    upstreams = [
        _build_upstream(upstream_name, upstream_fields, source, path)
        for upstream_name, upstream_fields in sorted(fields.upstreams.items())
    ]
    return service.Service(
        name=name,
        team=team,
        address=_normalize_endpoint(fields.address, source, f'{path}.address'),
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
        address=_normalize_endpoint(fields.address, source, f'{path}.address'),
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


def _normalize_endpoint(
    original: endpoint.Endpoint, source: str, path: str
) -> endpoint.Endpoint:
    try:
        return _validation.normalize_endpoint(original)
    except ValueError as error:
        raise errors.SettingsError(str(error), source, path) from None


def _check_duplicate_endpoints(
    services: dict[str, service.Service], source: str
) -> None:
    paths_by_endpoint: dict[endpoint.Endpoint, str] = {}
    for name, each in services.items():
        path = _document.join_path('$.services', name)
        _register_endpoints(each, path, paths_by_endpoint, source)
        for upstream in each.upstreams:
            upstream_path = _document.join_path(
                f'{path}.upstreams', upstream.name
            )
            _register_endpoints(
                upstream, upstream_path, paths_by_endpoint, source
            )


def _register_endpoints(
    owner: service.Service | service.Upstream,
    path: str,
    paths_by_endpoint: dict[endpoint.Endpoint, str],
    source: str,
) -> None:
    used_endpoints = [(f'{path}.address', owner.address)]
    if owner.request_port:
        used_endpoint = endpoint.Endpoint(
            owner.address.host, owner.request_port
        )
        used_endpoints.append((f'{path}.request_port', used_endpoint))
    for used_path, used_endpoint in used_endpoints:
        if used_endpoint in paths_by_endpoint:
            reason = (
                f'{used_endpoint} is used at'
                f' {paths_by_endpoint[used_endpoint]} too'
            )
            raise errors.DuplicateError(reason, source, used_path)
        paths_by_endpoint[used_endpoint] = used_path
