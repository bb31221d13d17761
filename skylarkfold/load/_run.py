"""Runs of a scenario, with the checks of its results."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import itertools
import pathlib
import time

from skylarkfold.load import _action_executor
from skylarkfold.load import _deployment
from skylarkfold.load import _latency
from skylarkfold.load import _promises
from skylarkfold.load import _result
from skylarkfold.load import _scenario

PROGRESS_INTERVAL_SECONDS = 5.0
MAXIMUM_DETAILS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """Result of a scenario's run.

    :param scenario: the scenario's name.
    :param promises: counts of broken promises.
    :param latencies: latency summaries by traffic name.
    :param failures: messages of the actions that failed.
    :param details: descriptions of some of the broken promises.
    :param platform_calls: the platform's call counts.
    :param seconds: the duration of the whole run.
    """

    scenario: str
    promises: _promises.Promises
    latencies: dict[str, _latency.LatencySummary]
    failures: tuple[str, ...]
    details: tuple[str, ...]
    platform_calls: dict[str, int]
    seconds: float

    @property
    def passed(self) -> bool:
        """Whether all promises held and no action failed."""
        return self.promises.hold and not self.failures


async def run_scenario(
    scenario: _scenario.Scenario,
    folder: pathlib.Path,
    report: Callable[[str], None],
) -> RunResult:
    """Run a scenario in a deployment of its own.

    :param scenario: the scenario to run.
    :param folder: the folder for settings and logs.
    :param report: the function that is called with progress lines.
    :returns: the result.
    :raises ProcessError: if a process can't be started.
    """
    started = time.monotonic()
    async with _deployment.Deployment(scenario, folder) as deployment:
        await deployment.start()
        report(
            f'{scenario.name}: ready after {time.monotonic() - started:.1f} s'
        )
        executor = _action_executor.ActionExecutor(deployment, report)
        results = await _run_traffic(scenario, deployment, executor, report)
        records = await deployment.read_records()
        counts = await deployment.read_platform_counts()
    steady = {name: tuple(each) for name, each in deployment.steady.items()}
    evidence = _promises.Evidence(
        results,
        records,
        tuple(executor.drains),
        steady,
        frozenset(deployment.stopped_hosts),
    )
    return RunResult(
        scenario=scenario.name,
        promises=_promises.judge(evidence),
        latencies=_summarize(results),
        failures=tuple(executor.failures),
        details=tuple(
            itertools.islice(_promises.describe(evidence), MAXIMUM_DETAILS)
        ),
        platform_calls=counts,
        seconds=round(time.monotonic() - started, 1),
    )


async def _run_traffic(
    scenario: _scenario.Scenario,
    deployment: _deployment.Deployment,
    executor: _action_executor.ActionExecutor,
    report: Callable[[str], None],
) -> _result.CallerResults:
    await deployment.start_traffic()
    progress = asyncio.create_task(_report_progress(scenario, report))
    actions = asyncio.create_task(executor.run_actions(scenario.actions))
    await asyncio.sleep(scenario.duration_seconds)
    await actions
    progress.cancel()
    results = await deployment.finish_traffic()
    await asyncio.sleep(scenario.settle_seconds)
    return results


async def _report_progress(
    scenario: _scenario.Scenario, report: Callable[[str], None]
) -> None:
    elapsed = 0.0
    while True:
        await asyncio.sleep(PROGRESS_INTERVAL_SECONDS)
        elapsed += PROGRESS_INTERVAL_SECONDS
        report(f'{elapsed:5.1f} s of {scenario.duration_seconds:g} s')


def _summarize(
    results: _result.CallerResults,
) -> dict[str, _latency.LatencySummary]:
    encoded = collections.defaultdict(list)
    for name, each in results.latencies.items():
        encoded[name].append(each)
    return {name: _latency.summarize(each) for name, each in encoded.items()}
