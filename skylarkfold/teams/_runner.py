"""The operators' commands against a real platform."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Protocol
from typing import TypeVar

from skylarkfold import member
from skylarkfold import platform_api
from skylarkfold import service
from skylarkfold import settings
from skylarkfold.teams import _apply
from skylarkfold.teams import _preview
from skylarkfold.teams import _session
from skylarkfold.teams import _snapshot
from skylarkfold.teams import _status
from skylarkfold.teams import _subtree

_Result = TypeVar('_Result')


class PlatformClient(Protocol):
    """What performs calls to the platform."""

    async def call(
        self, request: platform_api.PlatformCall, timeout_seconds: float
    ) -> platform_api.PlatformAnswer:
        """Perform one call.

        :param request: what to ask.
        :param timeout_seconds: how long to wait.
        :returns: the answer, ``UNKNOWN`` where none came.
        """


async def run_steps(
    client: PlatformClient,
    steps: _session.Steps[_Result],
    timeout_seconds: float,
) -> _Result:
    """Perform the calls and pauses of steps.

    :param client: the platform.
    :param steps: what to perform.
    :param timeout_seconds: how long each call may take.
    :returns: the steps' result.
    """
    answer = None
    while True:
        try:
            wanted = steps.send(answer)
        except StopIteration as ended:
            return ended.value
        answer = None
        if isinstance(wanted, _session.Pause):
            await asyncio.sleep(wanted.seconds)
        else:
            answer = await client.call(wanted, timeout_seconds)


async def preview_change(
    client: PlatformClient,
    operator: _apply.Operator,
    text: str | bytes,
    source: str,
    retry: _session.RetrySettings = _session.RetrySettings(),
) -> _preview.Preview:
    """Tell what a settings file would change.

    :param client: the platform.
    :param operator: who asks.
    :param text: the file, in JSON with comments.
    :param source: its name, for messages.
    :param retry: how long to go on trying.
    :returns: the differences, warnings and the version to apply it to.
    :raises SettingsError: if the file can't be used.
    :raises PlatformError: if the platform does not answer.
    """
    new = settings.read_team_settings(text, source, operator.team)
    session = _session.Session(f'{operator.name}/preview', retry)
    steps = _apply.preview(session, operator, new)
    return await run_steps(client, steps, retry.timeout_seconds)


async def apply_settings(
    client: PlatformClient,
    operator: _apply.Operator,
    text: str | bytes,
    source: str,
    write_id: str,
    expected_version: int | None = None,
    retry: _session.RetrySettings = _session.RetrySettings(),
) -> _apply.Applied:
    """Put a settings file in the place of the operator's team's subtree.

    :param client: the platform.
    :param operator: who asks.
    :param text: the file, in JSON with comments.
    :param source: its name, for messages.
    :param write_id: a fresh identity, such as a random UUID.
    :param expected_version: the version that was previewed; None for
        whatever is in force.
    :param retry: how long to go on trying.
    :returns: the version that it became and what it changed.
    :raises SettingsError: if the file can't be used.
    :raises ConflictError: if another operator was first.
    :raises ClaimError: if another team holds a name or an address.
    :raises OutcomeUnknownError: if it may or may not have taken effect.
    :raises PlatformError: if the platform did not answer before anything
        was changed.
    """
    new = settings.read_team_settings(text, source, operator.team)
    services = settings.parse_document(text, source)['services']
    session = _session.Session(write_id, retry)
    steps = _apply.apply(session, operator, new, services, expected_version)
    return await run_steps(client, steps, retry.timeout_seconds)


async def set_upstream_state(
    client: PlatformClient,
    operator: _apply.Operator,
    service_name: str,
    upstream_name: str,
    state: service.UpstreamState,
    write_id: str,
    retry: _session.RetrySettings = _session.RetrySettings(),
) -> _apply.Applied:
    """Drain an upstream, or put it into service again.

    :param client: the platform.
    :param operator: who asks.
    :param service_name: the service.
    :param upstream_name: its upstream.
    :param state: the new state.
    :param write_id: a fresh identity, such as a random UUID.
    :param retry: how long to go on trying.
    :returns: the version that it became.
    :raises SettingsError: if there is no such upstream.
    :raises ConflictError: if others were first at each try.
    :raises OutcomeUnknownError: if it may or may not have taken effect.
    :raises PlatformError: if the platform did not answer before anything
        was changed.
    """
    session = _session.Session(write_id, retry)
    steps = _apply.set_upstream_state(
        session, operator, service_name, upstream_name, state
    )
    return await run_steps(client, steps, retry.timeout_seconds)


async def read_settings(
    client: PlatformClient,
    team: str,
    retry: _session.RetrySettings = _session.RetrySettings(),
) -> _subtree.Subtree:
    """Read a team's subtree.

    :param client: the platform.
    :param team: the team.
    :param retry: how long to go on trying.
    :returns: the version in the store; version 0 where there is none.
    :raises PlatformError: if the platform does not answer.
    """
    session = _session.Session(f'{team}/read', retry)
    steps = session.read(_subtree.build_subtree_path(team))
    found = await run_steps(client, steps, retry.timeout_seconds)
    return _subtree.read_subtree(team, found)


async def collect_status(
    client: PlatformClient,
    members: Iterable[member.Member],
    retry: _session.RetrySettings = _session.RetrySettings(),
) -> _status.Status:
    """Tell which version of each subtree is in force where.

    :param client: the platform.
    :param members: the instances, as one of them reports them.
    :param retry: how long to go on trying.
    :returns: the rows for operators.
    :raises PlatformError: if the platform does not answer.
    """
    session = _session.Session('status', retry)
    steps = _snapshot.read_all(session)
    subtrees, claims = await run_steps(client, steps, retry.timeout_seconds)
    return _status.build_status(subtrees, claims, members)
