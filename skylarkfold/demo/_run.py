"""Run of the demo and output of its results."""

from __future__ import annotations

import asyncio
import json
import pathlib
import tempfile

import msgspec

from skylarkfold.demo import _scenario
from skylarkfold import load

TIMEOUT_SECONDS = 44.0
EXIT_PASSED = 0
EXIT_PROMISE_BROKEN = 1
EXIT_ERROR = 3


async def _run(folder: pathlib.Path) -> load.RunResult:
    async with asyncio.timeout(TIMEOUT_SECONDS):
        return await load.run_scenario(
            _scenario.SCENARIO, folder, load.print_progress
        )


def run(json_output: bool = False) -> int:
    """Run the demo.

    :param json_output: whether to print the counts as a JSON object on the
        last line.
    :returns: the exit status: 0 if all promises held and no action failed, 1
        if not, 3 if the demo could not be run.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix='skylarkfold-demo-'))
    load.print_progress(f'settings and logs are in {folder}')
    try:
        result = asyncio.run(_run(folder))
    except (load.ProcessError, TimeoutError, OSError) as error:
        load.print_progress(f'the demo could not be run: {error!r}')
        return EXIT_ERROR
    for line in load.format_table(result):
        print(line)
    if json_output:
        print(json.dumps(msgspec.to_builtins(result.promises)))
    return EXIT_PASSED if result.passed else EXIT_PROMISE_BROKEN
