"""Runs of one seed or plan."""

from __future__ import annotations

import pathlib

from skylarkfold import explain
from skylarkfold.soak import _environment
from skylarkfold.soak import _plan
from skylarkfold.soak import _plan_executor
from skylarkfold.soak import _session

_ZONES = ('a', 'b', 'c')
INSTANCES = 5
_SESSIONS = 8
# Time for instances to start before traffic begins.
_STARTUP_SECONDS = 3.0
# Minimum share of requests answered in the calm phase.
_MIN_ANSWERED_SHARE = 0.98
# Every instance must apply a configuration change within this time; the
# platform allows 3 s.
_CONFIGURATION_LIMIT_SECONDS = 2.5


class Result:
    """Result of a run.

    :param seed: the seed.
    :param plan: the executed steps.
    :param broken: violated invariants, one line each.
    :param outcomes: the number of requests by outcome.
    """

    __slots__ = ('broken', 'outcomes', 'plan', 'seed')

    def __init__(
        self,
        seed: int,
        plan: list[_plan.Step],
        broken: list[str],
        outcomes: dict[str, int],
    ) -> None:
        self.seed = seed
        self.plan = plan
        self.broken = broken
        self.outcomes = outcomes


def run_seed(
    seed: int,
    folder: pathlib.Path,
    seconds: float = 20.0,
    planned_only: bool = False,
    has_restarts: bool = False,
    has_evacuations: bool = False,
    has_returns: bool = False,
    has_presses: bool = False,
    has_route_changes: bool = False,
    has_damage: bool = False,
    instances: int = INSTANCES,
) -> Result:
    """Draw the plan of a seed and run it.

    :param seed: the seed.
    :param folder: the folder for settings and logs.
    :param seconds: the duration of the traffic.
    :param planned_only: whether to run only planned operations, so that
        every request must be answered.
    :param has_restarts: whether to restart upstreams under their names and
        to write invalid entries to the store.
    :param has_evacuations: whether to evacuate zones.
    :param has_returns: whether to restore the store from older copies.
    :param has_presses: whether to overload instances and drop packets.
    :param has_route_changes: whether to add and drop used routes while
        instances are restarted.
    :param has_damage: whether to write entries that are not valid JSON, also
        before all instances start again.
    :param instances: the number of instances, spread over three zones.
    :returns: the result.
    """
    plan = _plan.draw_plan(seed, seconds, planned_only)
    if has_restarts:
        plan += _plan.draw_restarts(seed, seconds)
    if has_evacuations:
        plan += _plan.draw_evacuations(seed, seconds)
    if has_returns:
        plan += _plan.draw_store_restores(seed, seconds)
    if has_presses:
        plan += _plan.draw_overloads(seed, seconds)
    if has_route_changes:
        plan += _plan.draw_route_changes(seed, seconds)
    if has_damage:
        plan += _plan.draw_damage(seed, seconds)
    return run_plan(plan, seed, folder, seconds, planned_only, instances)


def run_plan(
    plan: list[_plan.Step],
    seed: int,
    folder: pathlib.Path,
    seconds: float,
    planned_only: bool = False,
    instances: int = INSTANCES,
) -> Result:
    """Run a plan.

    :param plan: the steps.
    :param seed: the seed that determines the targets of each step.
    :param folder: the folder for settings and logs.
    :param seconds: the duration of the traffic.
    :param planned_only: whether every request must be answered.
    :param instances: the number of instances, spread over three zones.
    :returns: the result.
    """
    environment = _environment.Environment(
        folder, seed, _distribute_instances(instances)
    )
    executor = _plan_executor.PlanExecutor(environment)
    try:
        environment.start()
        environment.loop.call_later(
            _STARTUP_SECONDS,
            lambda: _begin_traffic(environment, executor, plan),
        )
        calm_start = _STARTUP_SECONDS + 0.85 * seconds
        environment.loop.call_later(
            0.0 if planned_only else calm_start, environment.judge.begin_calm
        )
        environment.loop.call_later(calm_start, environment.configure)
        if 0.15 * seconds >= _CONFIGURATION_LIMIT_SECONDS:
            environment.loop.call_later(
                calm_start + _CONFIGURATION_LIMIT_SECONDS,
                executor.request_versions,
            )
        environment.loop.call_later(
            _STARTUP_SECONDS + seconds, environment.finish
        )
        environment.loop.run()
    finally:
        environment.end()
    broken = [*environment.judge.broken, *_list_violations(environment)]
    broken += environment.judge.judge_calm(
        1.0 if planned_only else _MIN_ANSWERED_SHARE
    )
    return Result(seed, plan, broken, dict(environment.judge.outcomes))


def _distribute_instances(instances: int) -> dict[str, int]:
    """Return the number of instances by zone; the first get the remainder."""
    count = len(_ZONES)
    return {
        zone: (instances + count - 1 - index) // count
        for index, zone in enumerate(_ZONES)
    }


def _begin_traffic(
    environment: _environment.Environment,
    executor: _plan_executor.PlanExecutor,
    plan: list[_plan.Step],
) -> None:
    for caller in environment.callers:
        for _ in range(_SESSIONS):
            _session.Session(environment, caller).begin()
    for step in plan:
        environment.loop.call_later(
            step.at, lambda step=step: executor.perform(step)
        )


def _list_violations(environment: _environment.Environment) -> list[str]:
    broken = []
    for instance in environment.instances:
        broken += [
            f'{instance.name} ended by itself with {status}'
            for status in instance.unexpected_exits
        ]
        log = instance.read_log()
        if 'Traceback' in log:
            broken.append(f'{instance.name} logged a failure')
        broken += _list_version_rollbacks(instance.name, log)
    for each in (*environment.callers, *environment.upstreams):
        if each.forged:
            broken.append(f'{each.forged} packets were not as written')
    return broken


def _list_version_rollbacks(name: str, log: str) -> list[str]:
    """List the log lines that return to an older version of the routes."""
    broken = []
    version = -1
    for line in explain.read_lines(log.splitlines()):
        if line.message == 'started':
            version = -1
        if line.message != 'routes':
            continue
        new_version = int(line.get('version'))
        if new_version < version:
            broken.append(f'{name} went back from {version} to {new_version}')
        version = new_version
    return broken
