"""Journal entries of the users' bench, and their comparison."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import pathlib
import statistics

import msgspec

from skylarkfold.report import _results

# Kind of days without faults, which are left out of the means.
_QUIET_KIND = 'quiet'


class Day(msgspec.Struct, frozen=True):
    """One day of a journal entry.

    :param name: its name, by which days of two entries are matched.
    :param worth: the share of the owed credit that was earned, less prices.
    :param kind: the kind of day.
    :param parts: the components of the worth: name, weight and share.
    :param prices: the deductions from the worth: name, amount and worth.
    :param rules: the number of violations, by rule.
    :param balancers: the number of instances; 0 if it is not recorded.
    :param by_class: the share of requests served, by kind of request; None
        for a kind without requests.
    :param by_zone: the share of requests served, by the availability zone of
        the callers.
    """

    name: str
    worth: float = msgspec.field(name='G')
    kind: str = ''
    parts: list[tuple[str, float, float]] = []
    prices: list[tuple[str, float, float]] = []
    rules: dict[str, int] = {}
    balancers: int = 0
    by_class: list[float | None] = []
    by_zone: list[float | None] = []


class Entry(msgspec.Struct, frozen=True):
    """A journal entry.

    :param site: the deployment.
    :param head: the commit that was measured.
    :param score: the score of all days; None if not all days were scored.
    :param days: the days.
    :param id: its identifier in the journal.
    :param ok: whether the run completed.
    :param error: why the run did not complete.
    :param days_left_out: the number of abandoned days.
    :param why: the purpose of the run.
    """

    site: str | None
    head: str
    days: list[Day]
    score: float | None = None
    id: str = ''
    ok: bool = True
    error: str | None = None
    days_left_out: int = 0
    why: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """One figure compared between two journal entries.

    :param figure: a description: a day's worth, the score, a mean over the
        days that are not quiet, or the number of broken rules.
    :param before: the value in the earlier entry; None if it has none.
    :param after: the value in the later entry; None if it has none.
    :param change: ``after`` minus ``before``; None if either is missing.
    """

    figure: str
    before: float | None
    after: float | None
    change: float | None


def read_entry(path: str | pathlib.Path) -> Entry:
    """Read a journal entry.

    :param path: the file.
    :returns: the entry.
    :raises SettingsError: if it can't be read or is not a journal entry.
    """
    return _results.read_typed(path, Entry)


def is_entry(path: str | pathlib.Path) -> bool:
    """Return whether a file is a journal entry, not a results file.

    :param path: the file.
    :returns: whether it is a JSON object with days.
    """
    try:
        fields = msgspec.json.decode(pathlib.Path(path).read_bytes())
    except (OSError, msgspec.MsgspecError):
        return False
    return isinstance(fields, dict) and 'days' in fields


def compare_entries(before: Entry, after: Entry) -> list[Effect]:
    """Compare two journal entries.

    :param before: the earlier entry.
    :param after: the later one.
    :returns: the worth of each day that both contain and the score, then the
        means of worth, parts and prices over those days that are not quiet,
        then the number of broken rules.
    """
    days_before = {each.name: each for each in before.days}
    days_after = {each.name: each for each in after.days}
    names = [name for name in days_before if name in days_after]
    effects = [
        _build_effect(
            f'worth of {name}', days_before[name].worth, days_after[name].worth
        )
        for name in names
    ]
    effects.append(_build_effect('score', before.score, after.score))
    names = [name for name in names if days_before[name].kind != _QUIET_KIND]
    compared_days = [
        [each[name] for name in names] for each in (days_before, days_after)
    ]
    effects.append(_compare_means('mean worth', compared_days, _get_worth))
    for part in _list_names(compared_days, lambda day: day.parts):
        effects.append(
            _compare_means(part, compared_days, _get_part_share(part))
        )
    for price in _list_names(compared_days, lambda day: day.prices):
        effect = _compare_means(
            f'price of {price}', compared_days, _get_price_worth(price)
        )
        if effect.before or effect.after:
            effects.append(effect)
    broken = [sum(map(_count_broken, each.days)) for each in (before, after)]
    effects.append(_build_effect('rules broken, all days', *broken))
    return effects


def _build_effect(
    figure: str, before: float | None, after: float | None
) -> Effect:
    change = None
    if before is not None and after is not None:
        change = round(after - before, 4)
    return Effect(figure, before, after, change)


def _compare_means(
    figure: str, compared_days: list[list[Day]], get: Callable[[Day], float]
) -> Effect:
    means = [
        round(statistics.fmean(map(get, days)), 4) if days else None
        for days in compared_days
    ]
    return _build_effect(figure, *means)


def _list_names(
    compared_days: list[list[Day]],
    get: Callable[[Day], list[tuple[str, float, float]]],
) -> list[str]:
    names = {
        row[0]: None
        for days in compared_days
        for day in days
        for row in get(day)
    }
    return list(names)


def _get_worth(day: Day) -> float:
    return day.worth


def _get_part_share(name: str) -> Callable[[Day], float]:
    return lambda day: sum(row[2] for row in day.parts if row[0] == name)


def _get_price_worth(name: str) -> Callable[[Day], float]:
    return lambda day: sum(row[2] for row in day.prices if row[0] == name)


def _count_broken(day: Day) -> int:
    return sum(day.rules.values())
