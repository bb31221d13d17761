"""Execution of a scenario's actions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import functools
import time
from typing import Any

from skylarkfold.load import _action
from skylarkfold.load import _deployment
from skylarkfold.load import _process
from skylarkfold.load import _promises

ReportProgress = Callable[[str], None]


class ActionExecutor:
    """Executor of actions on a deployment, each at its time.

    :param deployment: the running deployment.
    :param report: the function that is called with progress lines.
    :ivar drains: the drains that were performed.
    :ivar failures: messages of the actions that failed.
    """

    def __init__(
        self, deployment: _deployment.Deployment, report: ReportProgress
    ) -> None:
        self._deployment = deployment
        self._report = report
        self.drains: list[_promises.Drain] = []
        self._locks: dict[str, asyncio.Lock] = {}
        self.failures: list[str] = []

    async def run_actions(self, actions: list[_action.AnyAction]) -> None:
        """Run actions concurrently, each at its time from now.

        A failed action is reported and recorded; the others continue.

        :param actions: the actions.
        """
        await asyncio.gather(*(self._run_action(each) for each in actions))

    async def _run_action(self, action: _action.AnyAction) -> None:
        await asyncio.sleep(action.at_seconds)
        started = time.monotonic()
        try:
            await self._perform(action)
        except (_process.ProcessError, OSError, ValueError) as error:
            self.failures.append(f'{action}: {error}')
            self._report(f'FAILED {action}: {error}')
            return
        elapsed = time.monotonic() - started
        self._report(f'{action.at_seconds:5.1f} s  {action} ({elapsed:.1f} s)')

    @functools.singledispatchmethod
    async def _perform(self, action: _action.Action) -> None:
        raise NotImplementedError(type(action))

    @_perform.register
    async def _(self, action: _action.DrainUpstream) -> None:
        await self._drain(action.service, action.upstream)

    async def _drain(self, service: str, upstream: str) -> None:
        self._remove_from_steady(service, upstream)
        async with self._get_lock(upstream):
            await self._deployment.operator.drain(service, upstream)
            now = time.monotonic()
            self.drains.append(_promises.Drain(service, upstream, now))

    def _get_lock(self, upstream: str) -> asyncio.Lock:
        """Return the lock that serializes the commands for an upstream."""
        return self._locks.setdefault(upstream, asyncio.Lock())

    def _remove_from_steady(self, service: str, upstream: str) -> None:
        steady = self._deployment.steady[service]
        if upstream in steady:
            steady.remove(upstream)

    @_perform.register
    async def _(self, action: _action.UndrainUpstream) -> None:
        async with self._get_lock(action.upstream):
            self._end_drain(action.upstream)
            await self._deployment.operator.undrain(
                action.service, action.upstream
            )

    def _end_drain(self, upstream: str) -> None:
        now = time.monotonic()
        self.drains = [
            dataclasses.replace(each, undrained=now)
            if each.upstream == upstream and each.undrained is None
            else each
            for each in self.drains
        ]

    @_perform.register
    async def _(self, action: _action.AddUpstream) -> None:
        record = await self._deployment.start_upstream(
            action.service, action.upstream
        )

        def add(settings: dict[str, Any]) -> None:
            upstreams = settings['services'][action.service]['upstreams']
            upstreams[action.upstream] = self._deployment.describe_upstream(
                len(upstreams), record
            )

        await self._deployment.operator.change(add)

    @_perform.register
    async def _(self, action: _action.ChangeWeight) -> None:
        self._remove_from_steady(action.service, action.upstream)

        def change(settings: dict[str, Any]) -> None:
            upstreams = settings['services'][action.service]['upstreams']
            upstreams[action.upstream]['weight'] = action.weight

        await self._deployment.operator.change(change)

    @_perform.register
    async def _(self, action: _action.RaceOperators) -> None:
        await asyncio.gather(
            *(
                self._drain(action.service, upstream)
                for upstream in action.upstreams
            )
        )

    @_perform.register
    async def _(self, action: _action.KillUpstream) -> None:
        await self._deployment.kill_upstream(action.service, action.upstream)

    @_perform.register
    async def _(self, action: _action.ChangeBehaviour) -> None:
        await self._deployment.set_behaviour(action.upstream, action.behaviour)
        if action.for_seconds:
            await asyncio.sleep(action.for_seconds)
            await self._deployment.set_behaviour(action.upstream, action.back)

    @_perform.register
    async def _(self, action: _action.ReplaceInstance) -> None:
        status = await self._deployment.stop_instance(action.instance)
        if status:
            raise _process.ProcessError(f'the instance ended with {status}')
        await self._deployment.start_instance(action.instance)

    @_perform.register
    async def _(self, action: _action.KillInstance) -> None:
        await self._deployment.kill_instance(action.instance)
        await asyncio.sleep(action.replace_after_seconds)
        await self._deployment.start_instance(action.instance)

    @_perform.register
    async def _(self, action: _action.PauseInstance) -> None:
        await self._deployment.pause_instance(
            action.instance, action.for_seconds
        )

    @_perform.register
    async def _(self, action: _action.BreakPlatform) -> None:
        await self._deployment.set_faults(action.faults, action.zone)
        await asyncio.sleep(action.for_seconds)
        healthy = {
            'delay_ms': 0,
            'down': False,
            'lose_answers': 0,
            'list_lag_s': 0,
            'stale_reads': False,
        }
        await self._deployment.set_faults(healthy, action.zone)
