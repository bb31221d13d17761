"""The command ``skylarkfold load``."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import json
import pathlib
import sys
import tempfile

import msgspec

from skylarkfold.load import _process
from skylarkfold.load import _run
from skylarkfold.load import _scenario
from skylarkfold.load import _table

EXIT_PASSED = 0
EXIT_PROMISE_BROKEN = 1
TIMEOUT_FACTOR = 2.0
STARTUP_SECONDS = 60.0


def run(
    file: str, faults: str = '', combine: bool = False, as_json: bool = False
) -> int:
    """Run the scenario of a file.

    :param file: the path of the file, in JSON with comments.
    :param faults: comma-separated names of the file's faults to add.
    :param combine: instead run without faults, with each fault alone and
        with each pair of faults, one after another.
    :param as_json: print one JSON object per run instead of a table.
    :returns: the exit status: 0 if all runs passed, else 1.
    :raises SettingsError: if the file is invalid.
    """
    scenario = _scenario.read_scenario(file)
    passed = True
    for names in _list_fault_sets(scenario, faults, combine):
        selected = _scenario.add_faults(scenario, names)
        passed = _run_scenario(selected, as_json) and passed
    return EXIT_PASSED if passed else EXIT_PROMISE_BROKEN


def _list_fault_sets(
    scenario: _scenario.Scenario, faults: str, combine: bool
) -> Iterator[tuple[str, ...]]:
    if combine:
        yield from _scenario.list_combinations(scenario)
        return
    yield tuple(name for name in faults.split(',') if name)


def _run_scenario(scenario: _scenario.Scenario, as_json: bool) -> bool:
    folder = pathlib.Path(tempfile.mkdtemp(prefix='skylarkfold-load-'))
    print_progress(f'settings and logs are in {folder}')
    try:
        result = asyncio.run(_run_with_timeout(scenario, folder))
    except (_process.ProcessError, TimeoutError, OSError) as error:
        print_progress(f'{scenario.name} could not be run: {error!r}')
        return False
    if as_json:
        print(json.dumps(msgspec.to_builtins(result)), flush=True)
    else:
        print('\n'.join(_table.format_table(result)), flush=True)
    return result.passed


async def _run_with_timeout(
    scenario: _scenario.Scenario, folder: pathlib.Path
) -> _run.RunResult:
    timeout_seconds = (
        scenario.duration_seconds * TIMEOUT_FACTOR + STARTUP_SECONDS
    )
    async with asyncio.timeout(timeout_seconds):
        return await _run.run_scenario(scenario, folder, print_progress)


def print_progress(line: str) -> None:
    """Print a progress line to standard error."""
    print(line, file=sys.stderr, flush=True)
