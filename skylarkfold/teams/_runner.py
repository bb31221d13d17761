"""The operators' commands, run against a platform client."""

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
    """Client that performs calls to the platform."""

    async def call(
        self, request: platform_api.PlatformCall, timeout_seconds: float
    ) -> platform_api.PlatformAnswer:
        """Perform one call.

        :param request: the call.
        :param timeout_seconds: how long to wait for the answer.
        :returns: the answer; its status is ``UNKNOWN`` if none came.
        """


async def run_steps(
    client: PlatformClient,
    steps: _session.Steps[_Result],
    timeout_seconds: float,
) -> _Result:
    """Run a generator of steps, performing its calls and pauses.

    :param client: the client of the platform.
    :param steps: the generator.
    :param timeout_seconds: the timeout of each call.
    :returns: the generator's result.
    """
    answer = None
    while True:
        try:
            request = steps.send(answer)
        except StopIteration as ended:
            return ended.value
        answer = None
        if isinstance(request, _session.Pause):
            await asyncio.sleep(request.seconds)
        else:
            answer = await client.call(request, timeout_seconds)


async def preview_change(
    client: PlatformClient,
    operator: _apply.Operator,
    text: str | bytes,
    source: str,
    retry: _session.RetrySettings = _session.RetrySettings(),
) -> _preview.Preview:
    """Preview the changes of a settings file.

    :param client: the client of the platform.
    :param operator: the operator.
    :param text: the file, in JSON with comments.
    :param source: its name, for error messages.
    :param retry: limits on retries and timeouts.
    :returns: the differences, the warnings and the version to replace.
    :raises SettingsError: if the file is invalid.
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
    """Replace the subtree of the operator's team by a settings file.

    :param client: the client of the platform.
    :param operator: the operator.
    :param text: the file, in JSON with comments.
    :param source: its name, for error messages.
    :param write_id: a new unique id, such as a random UUID.
    :param expected_version: the version that was previewed; None for
        the current one.
    :param retry: limits on retries and timeouts.
    :returns: the new version and its differences.
    :raises SettingsError: if the file is invalid.
    :raises ConflictError: if another write came first.
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
    """Set an upstream's state, for example to drain it.

    :param client: the client of the platform.
    :param operator: the operator.
    :param service_name: the service.
    :param upstream_name: its upstream.
    :param state: the new state.
    :param write_id: a new unique id, such as a random UUID.
    :param retry: limits on retries and timeouts.
    :returns: the new version and its differences.
    :raises SettingsError: if there is no such upstream.
    :raises ConflictError: if every attempt conflicted with another write.
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

    :param client: the client of the platform.
    :param team: the team.
    :param retry: limits on retries and timeouts.
    :returns: the stored version; version 0 if there is none.
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
    """Collect which instances apply which version of each subtree.

    :param client: the client of the platform.
    :param members: the instances, as one of them reports them.
    :param retry: limits on retries and timeouts.
    :returns: the status.
    :raises PlatformError: if the platform does not answer.
    """
    session = _session.Session('status', retry)
    steps = _snapshot.read_all(session)
    subtrees, claims = await run_steps(client, steps, retry.timeout_seconds)
    return _status.build_status(subtrees, claims, members)
