"""Measures what each mechanism of placement and refusal is worth.

Each is switched off by its settings, one at a time, and all patterns of
heavy load are played with the same requests as with it: in the model, or on
the users' bench, whose journal is read then.
"""

from __future__ import annotations

import dataclasses

from skylarkfold import affinity
from skylarkfold import errors
from skylarkfold.measure import _ablation_journal
from skylarkfold.measure import _mechanism
from skylarkfold.measure import _overload_pattern
from skylarkfold.measure import overload


@dataclasses.dataclass(frozen=True, slots=True)
class AblationResult:
    """One mechanism in one pattern, or on one day of the bench.

    :param mechanism: what was switched off.
    :param pattern: the pattern or day.
    :param seeds: how many seeds it was played with, with it and without.
    :param with_it: credit in the trouble with it, or the day's worth, mean
        of the seeds.
    :param without: the same without it.
    :param worth: the difference.
    :param least: the least difference of a seed.
    :param most: the largest one.
    """

    mechanism: str
    pattern: str
    seeds: int
    with_it: float
    without: float
    worth: float
    least: float
    most: float


def measure(
    seed: int = 1,
    seeds: int = 3,
    patterns: tuple[str, ...] = (),
    journal: str = '',
    settings: str = '',
    into: str = '',
) -> list[AblationResult]:
    """Measure all mechanisms in all patterns.

    :param seed: the first of the seeds.
    :param seeds: how many.
    :param patterns: names of patterns; empty for all.
    :param journal: a folder of the bench's journal: what its runs with
        ``--why 'ablation NAME seed N DAY'`` show, as far as they have come.
    :param settings: own settings that are written without each mechanism,
        in place of measuring.
    :param into: the folder where, one file ``NAME.json`` each; ``none`` has
        all mechanisms.
    :returns: one result a mechanism and pattern.
    :raises UsageError: if there is no such pattern, or no such run.
    """
    if settings:
        _write_settings(settings, into)
        return []
    if journal:
        return _read_journal(journal)
    names = [patterns] if isinstance(patterns, str) else patterns
    chosen = [overload.find_pattern(name) for name in names]
    drawn = range(seed, seed + seeds)
    results = []
    for pattern in chosen or _overload_pattern.PATTERNS:
        known = [_play(pattern, {}, each) for each in drawn]
        for mechanism in _mechanism.MECHANISMS.values():
            fields = mechanism.without
            without = [_play(pattern, fields, each) for each in drawn]
            results.append(
                _compare(mechanism.title, pattern.name, known, without)
            )
    return results


def _write_settings(settings: str, into: str) -> None:
    if not into:
        raise errors.UsageError('--into names no folder')
    for path in _mechanism.write_settings(settings, into):
        print(path)


def _read_journal(journal: str) -> list[AblationResult]:
    runs = _ablation_journal.read_runs(journal)
    if not runs:
        raise errors.UsageError(f'{journal}: no run of an ablation')
    results = []
    for name, mechanism in _mechanism.MECHANISMS.items():
        for day in sorted({run.day for run in runs}):
            known = _ablation_journal.list_worths(runs, day)
            without = _ablation_journal.list_worths(runs, day, name)
            both = sorted(known.keys() & without.keys())
            if both:
                results.append(
                    _compare(
                        mechanism.title,
                        day,
                        [known[seed] for seed in both],
                        [without[seed] for seed in both],
                    )
                )
    return results


def _play(
    pattern: _overload_pattern.Pattern, fields: dict[str, float], seed: int
) -> float:
    settings = affinity.AffinitySettings(**fields)
    return overload.play_with(pattern, settings, seed).worth_in_trouble


def _compare(
    mechanism: str, pattern: str, known: list[float], without: list[float]
) -> AblationResult:
    changes = [one - other for one, other in zip(known, without)]
    return AblationResult(
        mechanism,
        pattern,
        len(known),
        round(sum(known) / len(known), 4),
        round(sum(without) / len(without), 4),
        round(sum(changes) / len(changes), 4),
        round(min(changes), 4),
        round(max(changes), 4),
    )
