"""The file with the results of all measures."""

from __future__ import annotations

import os
import pathlib
import platform
import subprocess
import time
from typing import TypeVar

import msgspec

from skylarkfold import errors

Value = str | int | float | bool | None
Row = dict[str, Value]

CPU_FILE = pathlib.Path('/proc/cpuinfo')
GIBIBYTE = 1024**3

_Kind = TypeVar('_Kind')


class Measured(msgspec.Struct, frozen=True):
    """The output of one run of a measure.

    :param command: the command that was run.
    :param date: the start of the run, in UTC.
    :param commit: the commit of the sources; ``+`` marks uncommitted changes.
    :param machine: the machine that it ran on.
    :param seconds: the duration.
    :param rows: the rows that it printed.
    :param error: the reason if it failed, otherwise empty.
    """

    command: str
    date: str
    commit: str
    machine: str
    seconds: float
    rows: list[Row]
    error: str = ''


class Results(msgspec.Struct, frozen=True):
    """The results of all measures, by name."""

    measures: dict[str, Measured]


def read_results(path: str | pathlib.Path) -> Results:
    """Read a results file.

    :param path: the file.
    :returns: the results.
    :raises SettingsError: if it can't be read or is not a results file.
    """
    return read_typed(path, Results)


def read_typed(path: str | pathlib.Path, kind: type[_Kind]) -> _Kind:
    """Read a JSON file as a type.

    :param path: the file.
    :param kind: the type to decode it as.
    :returns: the decoded value.
    :raises SettingsError: if it can't be read or does not match the type.
    """
    try:
        return msgspec.json.decode(pathlib.Path(path).read_bytes(), type=kind)
    except (OSError, msgspec.MsgspecError) as error:
        raise errors.SettingsError(str(error), str(path)) from error


def write_results(results: Results, path: pathlib.Path) -> None:
    """Write a results file.

    :param results: the results.
    :param path: the file.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    encoded = msgspec.json.encode(results)
    path.write_bytes(msgspec.json.format(encoded, indent=1) + b'\n')


def describe_machine() -> str:
    """Return a description of the processors, memory and interpreter."""
    memory = os.sysconf('SC_PAGE_SIZE') * os.sysconf('SC_PHYS_PAGES')
    version = platform.python_version()
    return (
        f'{os.cpu_count()} cores ({_read_processor()}), '
        f'{memory / GIBIBYTE:.0f} GiB, CPython {version}'
    )


def _read_processor() -> str:
    for line in CPU_FILE.read_text().splitlines():
        name, _, value = line.partition(':')
        if name.strip() == 'model name':
            return value.strip()
    return platform.machine()


def describe_date() -> str:
    """Return the current date and time in UTC."""
    return time.strftime('%Y-%m-%d %H:%M', time.gmtime())


def describe_commit(folder: pathlib.Path) -> str:
    """Return the commit that is checked out in a folder.

    :param folder: a Git work tree.
    :returns: the short commit, with ``+`` appended if Python files have
        uncommitted changes; ``unknown`` if there is none.
    """
    commit = _run_git(folder, 'rev-parse', '--short', 'HEAD')
    changed = _run_git(folder, 'status', '--porcelain', '--', '*.py')
    return f'{commit}+' if changed else commit or 'unknown'


def _run_git(folder: pathlib.Path, *arguments: str) -> str:
    try:
        process = subprocess.run(
            ['git', *arguments], cwd=folder, capture_output=True, text=True
        )
    except OSError:
        return ''
    return process.stdout.strip()
