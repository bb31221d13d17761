"""Execution of measures, each in a process of its own."""

from __future__ import annotations

from collections.abc import Callable
import pathlib
import pkgutil
import subprocess
import sys
import time

import msgspec

from skylarkfold import measure
from skylarkfold.report import _results

TIMEOUT_SECONDS = 900.0
MAX_ERROR_LENGTH = 500


def list_measures() -> list[str]:
    """Return the names of all measures."""
    return [
        each.name.replace('_', '-')
        for each in pkgutil.iter_modules(measure.__path__)
        if not each.name.startswith('_')
    ]


def run_measures(
    names: list[str],
    before: _results.Results | None,
    report: Callable[[str], None],
    keep: Callable[[_results.Results], None],
) -> _results.Results:
    """Run measures one after another.

    :param names: the measures to run; others keep their earlier results.
    :param before: the earlier results, if there are any.
    :param report: the function that prints a line on each finished measure.
    :param keep: the function that stores all results; called after each
        measure, so that an interrupted run loses none.
    :returns: the results of all measures.
    """
    measured = dict(before.measures) if before else {}
    for name in names:
        measured[name] = _run_measure(name)
        seconds = measured[name].seconds
        outcome = measured[name].error or f'{len(measured[name].rows)} rows'
        report(f'{name}: {outcome} ({seconds:.0f} s)')
        keep(_results.Results(dict(sorted(measured.items()))))
    return _results.Results(dict(sorted(measured.items())))


def _run_measure(name: str) -> _results.Measured:
    command = ['-m', 'skylarkfold', 'measure', name, '--json']
    started_at = time.monotonic()
    date = _results.describe_date()
    rows: list[_results.Row] = []
    try:
        ended = subprocess.run(
            [sys.executable, *command],
            capture_output=True,
            timeout=TIMEOUT_SECONDS,
        )
        error = '' if ended.returncode == 0 else _read_error(ended)
        rows = read_rows(ended.stdout)
    except subprocess.TimeoutExpired:
        error = f'not done after {TIMEOUT_SECONDS:g} s'
    return _results.Measured(
        command=f'skylarkfold measure {name} --json',
        date=date,
        commit=_results.describe_commit(pathlib.Path.cwd()),
        machine=_results.describe_machine(),
        seconds=round(time.monotonic() - started_at, 1),
        rows=rows,
        error=error,
    )


def _read_error(ended: subprocess.CompletedProcess[bytes]) -> str:
    text = ended.stderr.decode(errors='replace')[-MAX_ERROR_LENGTH:]
    return f'exit status {ended.returncode}: {text.strip()}'


def read_rows(output: bytes) -> list[_results.Row]:
    """Parse the output of a measure, with one JSON object per line.

    :param output: its standard output.
    :returns: the rows; lines that are not JSON objects are skipped.
    """
    rows = []
    for line in output.splitlines():
        try:
            rows.append(msgspec.json.decode(line, type=_results.Row))
        except msgspec.MsgspecError:
            continue
    return rows
