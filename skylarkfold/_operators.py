"""The implementation of the operators' commands."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import getpass
from typing import TypeVar
import uuid

import aiohttp
import msgspec
import uvloop

from skylarkfold import edge
from skylarkfold import endpoint
from skylarkfold import errors
from skylarkfold import files
from skylarkfold import member
from skylarkfold import service
from skylarkfold import settings
from skylarkfold import table
from skylarkfold import teams

_STATUS_SECONDS = 5.0

_Result = TypeVar('_Result')


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """The identity of an operator, as read from an identity file.

    :param name: the operator's name.
    :param team: the operator's team.
    :param platform: the URL of the platform's object API.
    :param token: the operator's access token for the platform; empty for
        none.
    """

    name: str
    team: str
    platform: str
    token: str = ''

    @property
    def operator(self) -> teams.Operator:
        """The operator's name and team, which are stored with changes."""
        return teams.Operator(self.name, self.team)


def read_identity(
    path: str, platform: str = '', team: str = '', name: str = ''
) -> Identity:
    """Return the identity of the operator who runs a command.

    :param path: the identity file, in JSON with comments; empty for none.
    :param platform: the platform's URL, used if there is no file.
    :param team: the team; must match the identity file if there is one.
    :param name: the operator's name, used if there is no file; empty for
        the login name.
    :returns: the identity.
    :raises SettingsError: if the file can't be read or is invalid.
    :raises RightError: if the file belongs to another team.
    :raises UsageError: if the platform's URL is missing.
    """
    if not path:
        identity = Identity(name or getpass.getuser(), team, platform)
    else:
        value = settings.parse_document(files.read_bytes(path), path)
        identity = settings.convert_section(value, Identity, path)
    if not identity.platform:
        raise errors.UsageError('--platform or --identity must be given')
    if team and team != identity.team:
        raise errors.RightError(
            f'{identity.name} belongs to team {identity.team}, not {team}'
        )
    return identity


def run_on_platform(
    identity: Identity,
    work: Callable[[edge.PlatformClient], Awaitable[_Result]],
) -> _Result:
    """Run a coroutine function with a client of the platform.

    :param identity: the operator and the platform's URL.
    :param work: the coroutine function, which takes the client.
    :returns: its result.
    """

    async def run() -> _Result:
        client = edge.PlatformClient(identity.platform, identity.token)
        await client.open()
        try:
            return await work(client)
        finally:
            await client.close()

    return uvloop.run(run())


def preview(identity: Identity, path: str) -> None:
    """Print what a settings file would change.

    :param identity: the operator.
    :param path: the settings file.
    """
    text = files.read_bytes(path)
    result = run_on_platform(
        identity,
        lambda client: teams.preview_change(
            client, identity.operator, text, path
        ),
    )
    for change in result.changes:
        print(change)
    for warning in result.warnings:
        print(f'warning: {warning}')
    print(f'{len(result.changes)} changes to version {result.version}')


def apply(identity: Identity, path: str, version: int | None) -> None:
    """Apply a settings file and print what it changed.

    :param identity: the operator.
    :param path: the settings file.
    :param version: the version that must currently be in force; None for
        any.
    """
    text = files.read_bytes(path)
    write_id = uuid.uuid4().hex
    applied = run_on_platform(
        identity,
        lambda client: teams.apply_settings(
            client, identity.operator, text, path, write_id, version
        ),
    )
    _print_applied(applied)


def drain(identity: Identity, service_name: str, upstream_name: str) -> None:
    """Stop giving new work to an upstream.

    :param identity: the operator.
    :param service_name: the service.
    :param upstream_name: the upstream of the service.
    """
    state = service.UpstreamState.DRAINING
    _set_state(identity, service_name, upstream_name, state)


def undrain(identity: Identity, service_name: str, upstream_name: str) -> None:
    """Give new work to a drained upstream again.

    :param identity: the operator.
    :param service_name: the service.
    :param upstream_name: the upstream of the service.
    """
    state = service.UpstreamState.ACTIVE
    _set_state(identity, service_name, upstream_name, state)


def _set_state(
    identity: Identity,
    service_name: str,
    upstream_name: str,
    state: service.UpstreamState,
) -> None:
    write_id = uuid.uuid4().hex
    applied = run_on_platform(
        identity,
        lambda client: teams.set_upstream_state(
            client,
            identity.operator,
            service_name,
            upstream_name,
            state,
            write_id,
        ),
    )
    _print_applied(applied)


def _print_applied(applied: teams.Applied) -> None:
    for change in applied.changes:
        print(change)
    for name in applied.not_in_force:
        print(f'warning: another team holds what {name} needs')
    print(f'version {applied.version} of team {applied.team} is accepted')


def show(identity: Identity) -> None:
    """Print the settings of a team as they are stored.

    :param identity: the operator.
    """
    result = run_on_platform(
        identity, lambda client: teams.read_settings(client, identity.team)
    )
    print(f'// version {result.version} by {result.operator or "nobody"}')
    text = msgspec.json.encode({'services': result.services})
    print(msgspec.json.format(text, indent=2).decode())


def show_status(identity: Identity, instance: str) -> None:
    """Print the version of each subtree that is in force per instance.

    :param identity: the operator.
    :param instance: the admin address of any instance.
    :raises UsageError: if the admin address is invalid.
    """
    try:
        address = endpoint.parse_endpoint(instance)
    except ValueError as error:
        raise errors.UsageError(str(error)) from error
    status = run_on_platform(
        identity, lambda client: _collect_status(client, address)
    )
    for line in table.format_table(status.teams):
        print(line.rstrip())
    print()
    for line in table.format_table(status.instances):
        print(line.rstrip())


async def _collect_status(
    client: edge.PlatformClient, address: endpoint.Endpoint
) -> teams.Status:
    members = await _read_members(address)
    return await teams.collect_status(client, members)


async def _read_members(address: endpoint.Endpoint) -> list[member.Member]:
    timeout = aiohttp.ClientTimeout(total=_STATUS_SECONDS)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.get(f'http://{address}/status') as response:
                body = await response.read()
        status = msgspec.json.decode(body, type=edge.InstanceStatus)
    except (aiohttp.ClientError, OSError, msgspec.MsgspecError) as error:
        reason = f'{address} did not report its status: {error}'
        raise errors.PlatformError(reason) from error
    return [
        member.Member(
            each.name,
            each.zone,
            '',
            address,
            state=member.MemberState(each.state),
            revision=each.revision,
        )
        for each in status.members
    ]
