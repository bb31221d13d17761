"""Measures what each mechanism of placement and refusal is worth.

Each is switched off by its settings, one at a time, and all patterns of
heavy load are played with the same requests as with it.
"""

from __future__ import annotations

import dataclasses

from skylarkfold import affinity
from skylarkfold.measure import _overload_pattern
from skylarkfold.measure import overload

# More than any estimate or load.
_NEVER = 1e6
# Without a mechanism: the settings that switch it off.
MECHANISMS: dict[str, dict[str, float]] = {
    'refusal': {
        'crowd_share': _NEVER,
        'crowd_limit': 2 * _NEVER,
        'preferred_share': _NEVER,
        'preferred_limit': 2 * _NEVER,
    },
    'preferred routes': {'preferred_share': 0.5, 'preferred_limit': 0.7},
    'room for short requests': {'length_weight': 1.0},
    'no draw to hasty upstreams': {'haste_weight': 0.0},
    'loads of peers': {'load_seconds': 0.0},
    'preference for the zone': {'near_tolerance': -1.0},
    'leaving a crowded zone': {'near_tolerance': _NEVER},
    'hedged first packets': {'open_tries': 1},
    'doubts': {'answer_patience_seconds': 60, 'longest_patience_seconds': 60},
    'avoiding what answers probes only': {'full_seconds': 0.0},
}


@dataclasses.dataclass(frozen=True, slots=True)
class AblationResult:
    """One mechanism in one pattern.

    :param mechanism: what was switched off.
    :param pattern: the pattern.
    :param with_it: credit in the trouble with it, mean of the seeds.
    :param without: the same without it.
    :param worth: the difference.
    :param least: the least difference of a seed.
    :param most: the largest one.
    """

    mechanism: str
    pattern: str
    with_it: float
    without: float
    worth: float
    least: float
    most: float


def measure(
    seed: int = 1, seeds: int = 3, patterns: tuple[str, ...] = ()
) -> list[AblationResult]:
    """Measure all mechanisms in all patterns.

    :param seed: the first of the seeds.
    :param seeds: how many.
    :param patterns: names of patterns; empty for all.
    :returns: one result a mechanism and pattern.
    :raises UsageError: if there is no such pattern.
    """
    names = [patterns] if isinstance(patterns, str) else patterns
    chosen = [overload.find_pattern(name) for name in names]
    drawn = range(seed, seed + seeds)
    results = []
    for pattern in chosen or _overload_pattern.PATTERNS:
        known = [_play(pattern, {}, each) for each in drawn]
        for mechanism, fields in MECHANISMS.items():
            without = [_play(pattern, fields, each) for each in drawn]
            results.append(_compare(mechanism, pattern.name, known, without))
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
        round(sum(known) / len(known), 4),
        round(sum(without) / len(without), 4),
        round(sum(changes) / len(changes), 4),
        round(min(changes), 4),
        round(max(changes), 4),
    )
