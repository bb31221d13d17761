"""Running a scenario to its judgement."""

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

PROGRESS_SECONDS = 5.0
MAXIMUM_DETAILS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """What came of a scenario.

    :param scenario: its name.
    :param promises: how often each promise was broken.
    :param latencies: by traffic name.
    :param failures: actions that could not be carried out.
    :param details: lines about each broken promise, at most a few.
    :param platform_calls: what the platform counted.
    :param seconds: how long the whole run took.
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
        """Tell whether all promises held and all actions were done."""
        return self.promises.hold and not self.failures


async def run_scenario(
    scenario: _scenario.Scenario,
    folder: pathlib.Path,
    report: Callable[[str], None],
) -> RunResult:
    """Run a scenario with processes of its own.

    :param scenario: what to run.
    :param folder: where settings and logs are kept.
    :param report: takes lines about the progress.
    :returns: what came of it.
    :raises ProcessError: if a process can't be started.
    """
    began = time.monotonic()
    async with _deployment.Fleet(scenario, folder) as fleet:
        await fleet.start()
        report(
            f'{scenario.name}: ready after {time.monotonic() - began:.1f} s'
        )
        director = _action_executor.Director(fleet, report)
        results = await _drive(scenario, fleet, director, report)
        records = await fleet.read_records()
        counts = await fleet.read_platform_counts()
    steady = {name: tuple(each) for name, each in fleet.steady.items()}
    evidence = _promises.Evidence(
        results,
        records,
        tuple(director.drains),
        steady,
        frozenset(fleet.stopped),
    )
    return RunResult(
        scenario=scenario.name,
        promises=_promises.judge(evidence),
        latencies=_summarize(results),
        failures=tuple(director.failures),
        details=tuple(
            itertools.islice(_promises.describe(evidence), MAXIMUM_DETAILS)
        ),
        platform_calls=counts,
        seconds=round(time.monotonic() - began, 1),
    )


async def _drive(
    scenario: _scenario.Scenario,
    fleet: _deployment.Fleet,
    director: _action_executor.Director,
    report: Callable[[str], None],
) -> _result.CallerResults:
    await fleet.start_traffic()
    progress = asyncio.create_task(_show_progress(scenario, report))
    acting = asyncio.create_task(director.carry_out(scenario.actions))
    await asyncio.sleep(scenario.duration_seconds)
    await acting
    progress.cancel()
    results = await fleet.finish_traffic()
    await asyncio.sleep(scenario.settle_seconds)
    return results


async def _show_progress(
    scenario: _scenario.Scenario, report: Callable[[str], None]
) -> None:
    elapsed = 0.0
    while True:
        await asyncio.sleep(PROGRESS_SECONDS)
        elapsed += PROGRESS_SECONDS
        report(f'{elapsed:5.1f} s of {scenario.duration_seconds:g} s')


def _summarize(
    results: _result.CallerResults,
) -> dict[str, _latency.LatencySummary]:
    encoded = collections.defaultdict(list)
    for name, each in results.latencies.items():
        encoded[name].append(each)
    return {name: _latency.summarize(each) for name, each in encoded.items()}
