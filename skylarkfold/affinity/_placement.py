"""Choice of an upstream for a new flow."""

from __future__ import annotations

from collections.abc import Sequence
import math

import xxhash

from skylarkfold.affinity import _load_trust
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _upstream_state
from skylarkfold.affinity import _warm_up

# Lower bound of the requests in flight per flow, so that the number of flows
# counts when there are few requests.
_MINIMUM_REQUESTS_PER_FLOW = 0.05
# The bits of a flow's hash from here on determine the step of the sample; the
# lower ones determine where it begins.
_STEP_SHIFT = 20
# Lower bound of an upstream's weight, as a part of its fair share, whatever
# its load.
_MINIMUM_SHARE = 0.02
# Resolution of the point that a flow's hash is mapped to.
_POINTS = 1 << 32
_POINT_FACTOR = 0x9E3779B97F4A7C15


def hash_flow(key: bytes) -> int:
    """Hash a flow, with the same result on every instance.

    :param key: the packed flow.
    :returns: a 64-bit hash.
    """
    return xxhash.xxh3_64_intdigest(key)


def choose_upstream(
    now: float,
    states: Sequence[_upstream_state.UpstreamState],
    zone: str,
    flow_hash: int,
    tried: tuple[str, ...],
    settings: _settings.AffinitySettings,
    warm_up_limiter: _warm_up.WarmUpLimiter,
    load_trust: _load_trust.LoadTrust | None = None,
) -> _upstream_state.UpstreamState | None:
    """Choose an upstream for a flow's first packet.

    Good upstreams are preferred, then suspected or deprioritized ones, then
    ones whose entry lapsed recently, then ones that were unreachable a while
    ago. Within a rank, the least loaded one of this zone is chosen, unless its
    load is well above the mean: then the least loaded of all. Of a large
    service only a sample is considered, unless none of it is good.

    :param now: the time.
    :param states: the service's upstreams.
    :param zone: this instance's availability zone.
    :param flow_hash: the flow's hash, which breaks ties.
    :param tried: names of the upstreams that have got the packet already.
    :param settings: limits and weights.
    :param warm_up_limiter: limits first packets to upstreams that warm up.
    :param load_trust: how far reported loads are trusted; None for fully.
    :returns: the upstream, None if none may be tried.
    """
    best: list[_upstream_state.UpstreamState] = []
    if len(states) > settings.choice_sample:
        sample = _draw_sample(states, flow_hash, settings.choice_sample)
        rank, best = _filter_best_rank(
            now, sample, tried, settings, warm_up_limiter
        )
        if rank:
            best = []
    if not best:
        _, best = _filter_best_rank(
            now, states, tried, settings, warm_up_limiter
        )
    if not best:
        return None
    trust = _load_trust.FULL_TRUST
    if load_trust is not None:
        trust = load_trust.record_placement(now, states)
    if trust < _load_trust.FULL_TRUST:
        return _draw_by_load(now, best, zone, flow_hash, settings, trust)
    return _choose_by_load(now, best, zone, flow_hash, settings)


def _draw_by_load(
    now: float,
    states: list[_upstream_state.UpstreamState],
    zone: str,
    flow_hash: int,
    settings: _settings.AffinitySettings,
    trust: float,
) -> _upstream_state.UpstreamState:
    """Draw an upstream by the flow's hash, less often the more loaded."""
    requests_per_flow, mean = _compute_mean(now, states)
    loads = [
        (each, _compute_load(now, each, requests_per_flow, settings))
        for each in states
    ]
    near = [each for each in loads if each[0].upstream.zone == zone]
    if near:
        near_mean = sum(load for _, load in near) / len(near)
        if near_mean <= (1 + settings.near_tolerance) * mean:
            loads, mean = near, near_mean
    weights = []
    for each, load in loads:
        share = max(_MINIMUM_SHARE, 1 + trust * (1 - load / mean))
        weights.append(each.compute_capacity(now) * share)
    point = flow_hash * _POINT_FACTOR % _POINTS / _POINTS * sum(weights)
    for (each, _), weight in zip(loads, weights):
        point -= weight
        if point < 0:
            break
    return each


def _draw_sample(
    states: Sequence[_upstream_state.UpstreamState], flow_hash: int, count: int
) -> list[_upstream_state.UpstreamState]:
    """Draw a sample of the upstreams, a different one for each flow."""
    total = len(states)
    step = 1 + (flow_hash >> _STEP_SHIFT) % (total - 1)
    # A step coprime to the number draws none twice, and not all from one zone
    # when zones alternate in the list.
    while math.gcd(step, total) > 1:
        step += 1
    return [states[(flow_hash + n * step) % total] for n in range(count)]


def _filter_best_rank(
    now: float,
    states: Sequence[_upstream_state.UpstreamState],
    tried: tuple[str, ...],
    settings: _settings.AffinitySettings,
    warm_up_limiter: _warm_up.WarmUpLimiter,
) -> tuple[int, list[_upstream_state.UpstreamState]]:
    """Return the best rank, 0 for good upstreams, and its upstreams."""
    ranked: dict[int, list[_upstream_state.UpstreamState]] = {}
    for each in states:
        if each.upstream.name in tried:
            continue
        rank = _rank(now, each, settings)
        if rank is None:
            continue
        if now >= each.warming_until or warm_up_limiter.allows_first_packet(
            now, each
        ):
            ranked.setdefault(rank, []).append(each)
    if not ranked:
        return 0, []
    best = min(ranked)
    return best, ranked[best]


def _rank(
    now: float,
    state: _upstream_state.UpstreamState,
    settings: _settings.AffinitySettings,
) -> int | None:
    if state.is_evacuated:
        return None
    if state.is_replaced or not state.owns_token:
        return None
    if not state.takes_new_flows:
        return _rank_lapsed(now, state, settings)
    if state.health == _upstream_state.Health.UNREACHABLE:
        return None if state.may_reset(now, settings) else 3
    is_deprioritized = now < state.deprioritized_until
    if is_deprioritized or state.health == _upstream_state.Health.SUSPECTED:
        return 1
    return 0


def _rank_lapsed(
    now: float,
    state: _upstream_state.UpstreamState,
    settings: _settings.AffinitySettings,
) -> int | None:
    if state.lapsed_at is None or state.upstream.is_draining:
        return None
    if now - state.lapsed_at > settings.lapsed_seconds:
        return None
    return 2


def _choose_by_load(
    now: float,
    states: list[_upstream_state.UpstreamState],
    zone: str,
    flow_hash: int,
    settings: _settings.AffinitySettings,
) -> _upstream_state.UpstreamState:
    # Runs for every new flow: plain loops over the upstreams.
    requests_per_flow, mean = _compute_mean(now, states)
    maximum_load = (1 + settings.near_tolerance) * mean
    least = nearest = None
    least_load = nearest_load = float('inf')
    for each in states:
        load = _compute_load(now, each, requests_per_flow, settings)
        if load <= least_load and (
            load < least_load or _wins_tie(each, least, flow_hash)
        ):
            least, least_load = each, load
        if (
            load <= nearest_load
            and each.upstream.zone == zone
            and (load < nearest_load or _wins_tie(each, nearest, flow_hash))
        ):
            nearest, nearest_load = each, load
    return nearest if nearest_load <= maximum_load else least


def _compute_mean(
    now: float, states: list[_upstream_state.UpstreamState]
) -> tuple[float, float]:
    """Compute the mean requests in flight per flow, and the mean load."""
    flows = 0
    in_flight = capacity = 0.0
    for each in states:
        flows += each.flows + each.remote_flows
        in_flight += each.busy + each.remote_busy
        capacity += each.compute_capacity(now)
    requests_per_flow = (
        max(in_flight / flows, _MINIMUM_REQUESTS_PER_FLOW) if flows else 0.0
    )
    return requests_per_flow, (
        in_flight + requests_per_flow * flows + len(states)
    ) / capacity


def _compute_load(
    now: float,
    state: _upstream_state.UpstreamState,
    requests_per_flow: float,
    settings: _settings.AffinitySettings,
) -> float:
    flows = state.flows + state.remote_flows
    work = state.busy + state.remote_busy + requests_per_flow * flows + 1
    load = work / state.compute_capacity(now)
    # An upstream that fails at once has a low load and would attract all
    # flows.
    return load * (1 + settings.haste_weight * state.early_answer_share)


def _wins_tie(
    one: _upstream_state.UpstreamState,
    other: _upstream_state.UpstreamState,
    flow_hash: int,
) -> bool:
    """Break a tie between equal loads, differently for each flow."""
    return _compute_tie_breaker(one, flow_hash) < _compute_tie_breaker(
        other, flow_hash
    )


def _compute_tie_breaker(
    state: _upstream_state.UpstreamState, flow_hash: int
) -> int:
    # Any function that differs by flow and upstream will do.
    return (flow_hash ^ state.upstream.number * 0x9E3779B1) & 0xFFFFFFFF
