"""The choice of an upstream for a new flow."""

from __future__ import annotations

from collections.abc import Sequence
import math

import xxhash

from skylarkfold.affinity import _settings
from skylarkfold.affinity import _standing
from skylarkfold.affinity import _unseen
from skylarkfold.affinity import _warm_up

# Requests at a time that a flow is taken to bring at least, so that flows
# count where few requests come.
_LEAST_RATE = 0.05
# The bits of a flow's hash that draw a sample; the lower ones choose where it
# begins.
_STEP_SHIFT = 20
# What an upstream gets at least of its share, however much it carries.
_LEAST_SHARE = 0.02
# Spreads a flow's hash over this many points of a line.
_POINTS = 1 << 32
_POINT_FACTOR = 0x9E3779B97F4A7C15


def hash_flow(key: bytes) -> int:
    """Hash a flow alike on every instance.

    :param key: the packed flow.
    :returns: 64 bits.
    """
    return xxhash.xxh3_64_intdigest(key)


def choose_upstream(
    now: float,
    standings: Sequence[_standing.Standing],
    zone: str,
    hashed: int,
    tried: tuple[str, ...],
    settings: _settings.AffinitySettings,
    limit: _warm_up.WarmUpLimit,
    unseen: _unseen.Unseen | None = None,
) -> _standing.Standing | None:
    """Choose an upstream for a flow's first packet.

    Good ones first, then ones in doubt or avoided, then ones whose entry has
    lapsed just now, then ones that were out of reach a while ago. Within
    these, the least loaded of this zone unless its load is well above the
    mean, then the least loaded of all. Of very many, only a sample is read,
    unless none of it is good.

    :param now: the time.
    :param standings: the service's upstreams.
    :param zone: this instance's availability zone.
    :param hashed: the flow's hash, which decides between equals.
    :param tried: names of upstreams that got the packet before.
    :param settings: the limits.
    :param limit: of those that warm up.
    :param unseen: how much is placed between words of peers; None where
        there are none.
    :returns: the upstream, None where there is none to try.
    """
    best: list[_standing.Standing] = []
    if len(standings) > settings.choice_sample:
        sample = _draw_sample(standings, hashed, settings.choice_sample)
        rank, best = _find_best(now, sample, tried, settings, limit)
        if rank:
            best = []
    if not best:
        _, best = _find_best(now, standings, tried, settings, limit)
    if not best:
        return None
    trust = _unseen.FULL_TRUST
    if unseen is not None:
        trust = unseen.note_opening(now, standings)
    if trust < _unseen.FULL_TRUST:
        return _draw_by_load(now, best, zone, hashed, settings, trust)
    return _choose_by_load(now, best, zone, hashed, settings)


def _draw_by_load(
    now: float,
    standings: list[_standing.Standing],
    zone: str,
    hashed: int,
    settings: _settings.AffinitySettings,
    trust: float,
) -> _standing.Standing:
    """Draw one by the flow's hash, the less loaded the more often."""
    rate, mean = _compute_mean(now, standings)
    loads = [
        (each, _compute_load(now, each, rate, settings)) for each in standings
    ]
    near = [each for each in loads if each[0].upstream.zone == zone]
    if near:
        near_mean = sum(load for _, load in near) / len(near)
        if near_mean <= (1 + settings.near_tolerance) * mean:
            loads, mean = near, near_mean
    weights = []
    for each, load in loads:
        share = max(_LEAST_SHARE, 1 + trust * (1 - load / mean))
        weights.append(each.compute_capacity(now) * share)
    point = hashed * _POINT_FACTOR % _POINTS / _POINTS * sum(weights)
    for (each, _), weight in zip(loads, weights):
        point -= weight
        if point < 0:
            break
    return each


def _draw_sample(
    standings: Sequence[_standing.Standing], hashed: int, count: int
) -> list[_standing.Standing]:
    """Draw some upstreams, for each flow others."""
    total = len(standings)
    step = 1 + (hashed >> _STEP_SHIFT) % (total - 1)
    # So that none is drawn twice, nor all from one zone where zones take
    # turns in the list.
    while math.gcd(step, total) > 1:
        step += 1
    return [standings[(hashed + n * step) % total] for n in range(count)]


def _find_best(
    now: float,
    standings: Sequence[_standing.Standing],
    tried: tuple[str, ...],
    settings: _settings.AffinitySettings,
    limit: _warm_up.WarmUpLimit,
) -> tuple[int, list[_standing.Standing]]:
    """Find the upstreams of the best rank, which is 0 for good ones."""
    ranked: dict[int, list[_standing.Standing]] = {}
    for each in standings:
        if each.upstream.name in tried:
            continue
        rank = _rank(now, each, settings)
        if rank is None:
            continue
        if now >= each.warming_until or limit.allows(now, each):
            ranked.setdefault(rank, []).append(each)
    if not ranked:
        return 0, []
    best = min(ranked)
    return best, ranked[best]


def _rank(
    now: float,
    standing: _standing.Standing,
    settings: _settings.AffinitySettings,
) -> int | None:
    if standing.is_evacuated:
        return None
    if standing.is_replaced or not standing.has_token:
        return None
    if not standing.takes_new_flows:
        return _rank_lapsed(now, standing, settings)
    if standing.health == _standing.Health.OUT_OF_REACH:
        return None if standing.may_reset(now, settings) else 3
    is_avoided = now < standing.avoided_until
    if is_avoided or standing.health == _standing.Health.DOUBTED:
        return 1
    return 0


def _rank_lapsed(
    now: float,
    standing: _standing.Standing,
    settings: _settings.AffinitySettings,
) -> int | None:
    if standing.lapsed_at is None or standing.upstream.is_draining:
        return None
    if now - standing.lapsed_at > settings.lapsed_seconds:
        return None
    return 2


def _choose_by_load(
    now: float,
    standings: list[_standing.Standing],
    zone: str,
    hashed: int,
    settings: _settings.AffinitySettings,
) -> _standing.Standing:
    # Every new flow passes here: two plain loops over the upstreams.
    rate, mean = _compute_mean(now, standings)
    limit = (1 + settings.near_tolerance) * mean
    least = nearest = None
    least_load = nearest_load = float('inf')
    for each in standings:
        load = _compute_load(now, each, rate, settings)
        if load <= least_load and (
            load < least_load or _goes_before(each, least, hashed)
        ):
            least, least_load = each, load
        if (
            load <= nearest_load
            and each.upstream.zone == zone
            and (load < nearest_load or _goes_before(each, nearest, hashed))
        ):
            nearest, nearest_load = each, load
    return nearest if nearest_load <= limit else least


def _compute_mean(
    now: float, standings: list[_standing.Standing]
) -> tuple[float, float]:
    """Compute what a flow brings on average, and the mean load."""
    flows = 0
    waiting = capacity = 0.0
    for each in standings:
        flows += each.flows + each.remote_flows
        waiting += each.busy + each.remote_busy
        capacity += each.compute_capacity(now)
    rate = max(waiting / flows, _LEAST_RATE) if flows else 0.0
    return rate, (waiting + rate * flows + len(standings)) / capacity


def _compute_load(
    now: float,
    standing: _standing.Standing,
    rate: float,
    settings: _settings.AffinitySettings,
) -> float:
    flows = standing.flows + standing.remote_flows
    work = standing.busy + standing.remote_busy + rate * flows + 1
    load = work / standing.compute_capacity(now)
    # One that fails at once has little to do and would draw all flows.
    return load * (1 + settings.haste_weight * standing.hasty_share)


def _goes_before(
    one: _standing.Standing, other: _standing.Standing, hashed: int
) -> bool:
    """Decide between equals, for each flow in another way."""
    return _mix(one, hashed) < _mix(other, hashed)


def _mix(standing: _standing.Standing, hashed: int) -> int:
    # Any mixture that differs by flow and upstream will do.
    return (hashed ^ standing.upstream.number * 0x9E3779B1) & 0xFFFFFFFF
