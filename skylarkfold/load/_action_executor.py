"""Carries out what operators do and what fails during a run."""

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

Report = Callable[[str], None]


class Director:
    """Carries out actions on a fleet, each at its time.

    :param fleet: the running processes.
    :param report: takes a line about what happens.
    """

    def __init__(self, fleet: _deployment.Fleet, report: Report) -> None:
        self._fleet = fleet
        self._report = report
        self.drains: list[_promises.Drain] = []
        self._locks: dict[str, asyncio.Lock] = {}
        self.failures: list[str] = []

    async def carry_out(self, actions: list[_action.AnyAction]) -> None:
        """Carry out actions, each at its time from now.

        An action that fails is reported and listed, and ends no other.

        :param actions: what to do.
        """
        await asyncio.gather(*(self._carry_out_one(each) for each in actions))

    async def _carry_out_one(self, action: _action.AnyAction) -> None:
        await asyncio.sleep(action.at_seconds)
        started = time.monotonic()
        try:
            await self._act(action)
        except (_process.ProcessError, OSError, ValueError) as error:
            self.failures.append(f'{action}: {error}')
            self._report(f'FAILED {action}: {error}')
            return
        elapsed = time.monotonic() - started
        self._report(f'{action.at_seconds:5.1f} s  {action} ({elapsed:.1f} s)')

    @functools.singledispatchmethod
    async def _act(self, action: _action.Action) -> None:
        raise NotImplementedError(type(action))

    @_act.register
    async def _(self, action: _action.DrainUpstream) -> None:
        await self._drain(action.service, action.upstream)

    async def _drain(self, service: str, upstream: str) -> None:
        self._forget_steady(service, upstream)
        async with self._lock(upstream):
            await self._fleet.operator.drain(service, upstream)
            now = time.monotonic()
            self.drains.append(_promises.Drain(service, upstream, now))

    def _lock(self, upstream: str) -> asyncio.Lock:
        """Get the lock that keeps an upstream's commands in their order."""
        return self._locks.setdefault(upstream, asyncio.Lock())

    def _forget_steady(self, service: str, upstream: str) -> None:
        steady = self._fleet.steady[service]
        if upstream in steady:
            steady.remove(upstream)

    @_act.register
    async def _(self, action: _action.UndrainUpstream) -> None:
        async with self._lock(action.upstream):
            self._end_drain(action.upstream)
            await self._fleet.operator.undrain(action.service, action.upstream)

    def _end_drain(self, upstream: str) -> None:
        now = time.monotonic()
        self.drains = [
            dataclasses.replace(each, undrained=now)
            if each.upstream == upstream and each.undrained is None
            else each
            for each in self.drains
        ]

    @_act.register
    async def _(self, action: _action.AddUpstream) -> None:
        record = await self._fleet.start_upstream(
            action.service, action.upstream
        )

        def add(settings: dict[str, Any]) -> None:
            upstreams = settings['services'][action.service]['upstreams']
            upstreams[action.upstream] = self._fleet.describe_upstream(
                len(upstreams), record
            )

        await self._fleet.operator.change(add)

    @_act.register
    async def _(self, action: _action.ChangeWeight) -> None:
        self._forget_steady(action.service, action.upstream)

        def change(settings: dict[str, Any]) -> None:
            upstreams = settings['services'][action.service]['upstreams']
            upstreams[action.upstream]['weight'] = action.weight

        await self._fleet.operator.change(change)

    @_act.register
    async def _(self, action: _action.RaceOperators) -> None:
        await asyncio.gather(
            *(
                self._drain(action.service, upstream)
                for upstream in action.upstreams
            )
        )

    @_act.register
    async def _(self, action: _action.KillUpstream) -> None:
        await self._fleet.kill_upstream(action.service, action.upstream)

    @_act.register
    async def _(self, action: _action.ChangeBehaviour) -> None:
        await self._fleet.set_behaviour(action.upstream, action.behaviour)
        if action.for_seconds:
            await asyncio.sleep(action.for_seconds)
            await self._fleet.set_behaviour(action.upstream, action.back)

    @_act.register
    async def _(self, action: _action.ReplaceInstance) -> None:
        status = await self._fleet.stop_instance(action.instance)
        if status:
            raise _process.ProcessError(f'the instance ended with {status}')
        await self._fleet.start_instance(action.instance)

    @_act.register
    async def _(self, action: _action.KillInstance) -> None:
        await self._fleet.kill_instance(action.instance)
        await asyncio.sleep(action.replace_after_seconds)
        await self._fleet.start_instance(action.instance)

    @_act.register
    async def _(self, action: _action.PauseInstance) -> None:
        await self._fleet.pause_instance(action.instance, action.for_seconds)

    @_act.register
    async def _(self, action: _action.BreakPlatform) -> None:
        await self._fleet.set_faults(action.faults, action.zone)
        await asyncio.sleep(action.for_seconds)
        healthy = {
            'delay_ms': 0,
            'down': False,
            'lose_answers': 0,
            'list_lag_s': 0,
            'stale_reads': False,
        }
        await self._fleet.set_faults(healthy, action.zone)
