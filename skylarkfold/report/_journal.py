"""What changed between two runs of the users' bench."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import pathlib
import statistics

import msgspec

from skylarkfold.report import _results

# Days of this kind have no trouble.
_QUIET = 'quiet'


class Day(msgspec.Struct, frozen=True):
    """One day of a journal entry.

    :param name: its name; entries are compared day by day.
    :param worth: credit earned of credit owed, less prices.
    :param kind: what sort of day it is.
    :param parts: what the worth is made of: name, weight and share.
    :param prices: what is taken off: name, amount and worth.
    :param rules: how often rules were broken, by rule.
    :param balancers: how many instances it has; 0 where that is not said.
    :param by_class: the share that was served of each kind of request;
        None for a kind that was not asked for.
    :param by_zone: the same of each availability zone's callers.
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
    :param score: of all days; None where it was not a whole score.
    :param days: the days.
    :param id: its name in the journal.
    :param ok: whether it ended as planned.
    :param error: why it did not.
    :param days_left_out: days that were given up.
    :param why: what it was played for.
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
    """One figure of two entries.

    :param figure: what it is: a day's worth, or a mean over the days with
        trouble.
    :param before: in the earlier entry; None where it has none.
    :param after: in the later one.
    :param change: the second less the first.
    """

    figure: str
    before: float | None
    after: float | None
    change: float | None


def read_entry(path: str | pathlib.Path) -> Entry:
    """Read a journal entry.

    :param path: the file.
    :returns: the entry.
    :raises SettingsError: if it can't be read or is none.
    """
    return _results.read_typed(path, Entry)


def is_entry(path: str | pathlib.Path) -> bool:
    """Tell a journal entry from a results file.

    :param path: the file.
    :returns: whether it has days.
    """
    try:
        fields = msgspec.json.decode(pathlib.Path(path).read_bytes())
    except (OSError, msgspec.MsgspecError):
        return False
    return isinstance(fields, dict) and 'days' in fields


def compare_entries(before: Entry, after: Entry) -> list[Effect]:
    """Tell what a change did.

    :param before: the earlier entry.
    :param after: the later one.
    :returns: the worth of each day that both played, then means of worth,
        parts and prices over those with trouble, then broken rules.
    """
    known = {each.name: each for each in before.days}
    later = {each.name: each for each in after.days}
    names = [name for name in known if name in later]
    effects = [
        _build(f'worth of {name}', known[name].worth, later[name].worth)
        for name in names
    ]
    effects.append(_build('score', before.score, after.score))
    names = [name for name in names if known[name].kind != _QUIET]
    pairs = [[each[name] for name in names] for each in (known, later)]
    effects.append(_compare_means('mean worth', pairs, _get_worth))
    for part in _list_names(pairs, lambda day: day.parts):
        effects.append(_compare_means(part, pairs, _get_part(part)))
    for price in _list_names(pairs, lambda day: day.prices):
        effect = _compare_means(f'price of {price}', pairs, _get_price(price))
        if effect.before or effect.after:
            effects.append(effect)
    broken = [sum(map(_count_broken, each.days)) for each in (before, after)]
    effects.append(_build('rules broken, all days', *broken))
    return effects


def _build(figure: str, before: float | None, after: float | None) -> Effect:
    change = None
    if before is not None and after is not None:
        change = round(after - before, 4)
    return Effect(figure, before, after, change)


def _compare_means(
    figure: str, pairs: list[list[Day]], get: Callable[[Day], float]
) -> Effect:
    means = [
        round(statistics.fmean(map(get, days)), 4) if days else None
        for days in pairs
    ]
    return _build(figure, *means)


def _list_names(
    pairs: list[list[Day]],
    get: Callable[[Day], list[tuple[str, float, float]]],
) -> list[str]:
    names = {
        row[0]: None for days in pairs for day in days for row in get(day)
    }
    return list(names)


def _get_worth(day: Day) -> float:
    return day.worth


def _get_part(name: str) -> Callable[[Day], float]:
    return lambda day: sum(row[2] for row in day.parts if row[0] == name)


def _get_price(name: str) -> Callable[[Day], float]:
    return lambda day: sum(row[2] for row in day.prices if row[0] == name)


def _count_broken(day: Day) -> int:
    return sum(day.rules.values())
