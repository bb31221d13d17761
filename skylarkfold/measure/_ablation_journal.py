"""The runs of an ablation in the journal of the users' bench."""

from __future__ import annotations

from collections.abc import Iterable
import pathlib
import re

import msgspec

from skylarkfold import errors
from skylarkfold.measure import _mechanism
from skylarkfold import report

# What a run says that it was played for.
_WHY = re.compile(r'ablation (?P<name>\S+) seed (?P<seed>\d+) (?P<day>\S+)')


class _Purpose(msgspec.Struct, frozen=True):
    """The part of an entry that says what it was played for."""

    why: str = ''


class Run:
    """One day that was played without a mechanism, or with all.

    :param name: the mechanism's name, as files have it.
    :param seed: the day's seed.
    :param day: the day's name.
    :param worth: credit earned of credit owed, less prices; 0 where a rule
        was broken.
    """

    __slots__ = ('day', 'name', 'seed', 'worth')

    def __init__(self, name: str, seed: int, day: str, worth: float) -> None:
        self.name = name
        self.seed = seed
        self.day = day
        self.worth = worth


def read_runs(folder: str) -> list[Run]:
    """Read all finished runs of an ablation.

    :param folder: of the journal; other entries in it are passed over.
    :returns: the runs.
    :raises SettingsError: if an entry can't be read.
    :raises UsageError: if a run names no known mechanism.
    """
    runs = []
    for path in sorted(pathlib.Path(folder).glob('*.json')):
        found = _WHY.fullmatch(_read_why(path))
        if found is None:
            continue
        entry = report.read_entry(path)
        if entry.error or not entry.ok or not entry.days:
            continue
        name = found['name']
        if name not in (*_mechanism.MECHANISMS, _mechanism.WITH_ALL):
            raise errors.UsageError(f'{path}: no mechanism {name!r}')
        day = entry.days[0]
        worth = 0.0 if day.rules else day.worth
        runs.append(Run(name, int(found['seed']), found['day'], worth))
    return runs


def _read_why(path: pathlib.Path) -> str:
    """Read what an entry was played for; empty where it does not say."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=_Purpose).why
    except msgspec.MsgspecError:
        # No entry; other runs may have failed before there was a day.
        return ''


def list_worths(
    runs: Iterable[Run], day: str, name: str = _mechanism.WITH_ALL
) -> dict[int, float]:
    """List what a day was worth.

    :param runs: all runs.
    :param day: the day's name.
    :param name: the mechanism that was off.
    :returns: the worth by seed; of several plays the last.
    """
    return {
        run.seed: run.worth
        for run in runs
        if run.day == day and run.name == name
    }
