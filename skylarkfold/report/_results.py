"""The file that holds what the measures printed."""

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
    """What one measure printed in one run.

    :param command: the command that printed it.
    :param date: when, in UTC.
    :param commit: of which sources; ``+`` says that they were changed.
    :param machine: on what machine.
    :param seconds: how long it took.
    :param rows: one for each result.
    :param error: why it failed, empty where it did not.
    """

    command: str
    date: str
    commit: str
    machine: str
    seconds: float
    rows: list[Row]
    error: str = ''


class Results(msgspec.Struct, frozen=True):
    """What all measures printed, by name."""

    measures: dict[str, Measured]


def read_results(path: str | pathlib.Path) -> Results:
    """Read a results file.

    :param path: the file.
    :returns: the results.
    :raises SettingsError: if it can't be read or is none.
    """
    return read_typed(path, Results)


def read_typed(path: str | pathlib.Path, kind: type[_Kind]) -> _Kind:
    """Read a file of JSON.

    :param path: the file.
    :param kind: what it must hold.
    :returns: what it holds.
    :raises SettingsError: if it can't be read or holds something else.
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
    """Describe the machine: processors, memory, interpreter."""
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
    """Tell the present date and time in UTC."""
    return time.strftime('%Y-%m-%d %H:%M', time.gmtime())


def describe_commit(folder: pathlib.Path) -> str:
    """Tell what sources a folder holds.

    :param folder: a work tree.
    :returns: the commit; with ``+`` where files were changed.
    """
    commit = _run_git(folder, 'rev-parse', '--short', 'HEAD')
    changed = _run_git(folder, 'status', '--porcelain', '--', '*.py')
    return f'{commit}+' if changed else commit or 'unknown'


def _run_git(folder: pathlib.Path, *arguments: str) -> str:
    try:
        ended = subprocess.run(
            ['git', *arguments], cwd=folder, capture_output=True, text=True
        )
    except OSError:
        return ''
    return ended.stdout.strip()
