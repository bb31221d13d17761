"""The operators' commands, performed against a real platform."""

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
    """Who an operator is, as its identity file says.

    :param name: the operator's name.
    :param team: the team that it belongs to.
    :param platform: the URL of the platform's object API.
    :param token: what the platform knows the operator by; empty for none.
    """

    name: str
    team: str
    platform: str
    token: str = ''

    @property
    def operator(self) -> teams.Operator:
        """The operator as its changes name it."""
        return teams.Operator(self.name, self.team)


def read_identity(
    path: str, platform: str = '', team: str = '', name: str = ''
) -> Identity:
    """Tell who gives a command.

    :param path: the identity file, in JSON with comments; empty for none.
    :param platform: the platform's URL, where there is no file.
    :param team: the team; must be the file's where there is one.
    :param name: the operator's name, where there is no file; empty for
        the name of the login.
    :returns: the identity.
    :raises SettingsError: if the file can't be used.
    :raises RightError: if the file is another team's.
    :raises UsageError: if neither says where the platform is.
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
    """Run work that needs the platform.

    :param identity: who asks, and where the platform is.
    :param work: what to run.
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

    :param identity: who asks.
    :param path: the file.
    """
    text = files.read_bytes(path)
    found = run_on_platform(
        identity,
        lambda client: teams.preview_change(
            client, identity.operator, text, path
        ),
    )
    for change in found.changes:
        print(change)
    for warning in found.warnings:
        print(f'warning: {warning}')
    print(f'{len(found.changes)} changes to version {found.version}')


def apply(identity: Identity, path: str, version: int | None) -> None:
    """Put a settings file in force and print what it changed.

    :param identity: who asks.
    :param path: the file.
    :param version: the version that must be in force; None for any.
    """
    text = files.read_bytes(path)
    write = uuid.uuid4().hex
    applied = run_on_platform(
        identity,
        lambda client: teams.apply_settings(
            client, identity.operator, text, path, write, version
        ),
    )
    _print_applied(applied)


def drain(identity: Identity, service_name: str, upstream_name: str) -> None:
    """Give an upstream no new work.

    :param identity: who asks.
    :param service_name: the service.
    :param upstream_name: its upstream.
    """
    state = service.UpstreamState.DRAINING
    _set_state(identity, service_name, upstream_name, state)


def undrain(identity: Identity, service_name: str, upstream_name: str) -> None:
    """Give a drained upstream new work again.

    :param identity: who asks.
    :param service_name: the service.
    :param upstream_name: its upstream.
    """
    state = service.UpstreamState.ACTIVE
    _set_state(identity, service_name, upstream_name, state)


def _set_state(
    identity: Identity,
    service_name: str,
    upstream_name: str,
    state: service.UpstreamState,
) -> None:
    write = uuid.uuid4().hex
    applied = run_on_platform(
        identity,
        lambda client: teams.set_upstream_state(
            client,
            identity.operator,
            service_name,
            upstream_name,
            state,
            write,
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
    """Print the settings of a team that are in the store.

    :param identity: who asks.
    """
    found = run_on_platform(
        identity, lambda client: teams.read_settings(client, identity.team)
    )
    print(f'// version {found.version} by {found.operator or "nobody"}')
    text = msgspec.json.encode({'services': found.services})
    print(msgspec.json.format(text, indent=2).decode())


def show_status(identity: Identity, instance: str) -> None:
    """Print which version of each subtree is in force where.

    :param identity: who asks.
    :param instance: the admin address of any instance.
    :raises UsageError: if that is no address.
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
        seen = msgspec.json.decode(body, type=edge.InstanceStatus)
    except (aiohttp.ClientError, OSError, msgspec.MsgspecError) as error:
        reason = f'{address} gives no status: {error}'
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
        for each in seen.members
    ]
