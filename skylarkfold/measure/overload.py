"""Measures who waits, who is refused and where work goes under heavy load.

The product's decisions on a virtual clock, between modelled callers and
upstreams; no sockets. Beside them in the same run: no policy at all, an
oracle that knows every queue, and, where asked for, an earlier version of
the product.
"""

from __future__ import annotations

import dataclasses
import math
import random

from skylarkfold import affinity
from skylarkfold import errors
from skylarkfold.measure import _overload_callers
from skylarkfold.measure import _overload_earlier
from skylarkfold.measure import _overload_fleet
from skylarkfold.measure import _overload_oracle
from skylarkfold.measure import _overload_pattern
from skylarkfold.measure import _overload_random
from skylarkfold.measure import _overload_trouble

End = _overload_callers.End
Change = _overload_pattern.Change

# The version that is played beside this one: the last one before zones were
# evacuated.
BASELINE = '53128f3'
# After the end of a trouble its consequences still count for so long.
_AFTER_SECONDS = 1.0
_MOST_WORK_TIMES = 6.5
# Callers by zone, and how much each zone's share of the load is.
_CALLERS = (33, 26, 39)
# What makes a zone's upstreams useless until it is over.
_TAKES_ZONE = (Change.EVACUATE, Change.COLD_RETURN, Change.LOSS)
# How often the load of a zone that swings rises and falls.
_SWING_SECONDS = 11.0


@dataclasses.dataclass(frozen=True, slots=True)
class OverloadResult:
    """One pattern under one policy.

    :param pattern: its name.
    :param policy: ``product``, ``none``, or an earlier version.
    :param worth: credit over what was owed, all the time.
    :param worth_in_trouble: the same of what was asked during the trouble
        and one second after.
    :param reached: what the oracle's schedule earns of that.
    :param bound: what no schedule exceeds.
    :param live: worth in trouble of live requests.
    :param report: worth in trouble of reports.
    :param late: share of the requests in trouble that were answered late.
    :param refused: share of them that were refused.
    :param failed: share of them that failed otherwise.
    :param busiest: requests of the busiest upstream over the mean, each by
        its slots and speed.
    :param connections: flows that upstreams opened, for each request.
    """

    pattern: str
    policy: str
    worth: float
    worth_in_trouble: float
    reached: float
    bound: float
    live: float
    report: float
    late: float
    refused: float
    failed: float
    busiest: float
    connections: float


def measure(
    seed: int = 1,
    patterns: tuple[str, ...] = (),
    policies: tuple[str, ...] = (),
    against: str = BASELINE,
) -> list[OverloadResult]:
    """Measure patterns.

    :param seed: of all that is drawn.
    :param patterns: their names; empty for all.
    :param policies: ``product`` and ``none``; empty for both.
    :param against: a revision of this repository that is played as well;
        empty for none.
    :returns: one result a pattern and policy.
    :raises UsageError: if there is no such pattern, policy or revision.
    """
    chosen = [find_pattern(name) for name in _list_names(patterns)]
    names = _list_names(policies) or list(_POLICIES)
    for name in names:
        if name not in _POLICIES:
            known = ', '.join(_POLICIES)
            raise errors.UsageError(f'no policy {name!r}; there are {known}')
    results = [
        play(pattern, name, seed)
        for pattern in chosen or _overload_pattern.PATTERNS
        for name in names
    ]
    if against:
        earlier = _overload_earlier.play(
            str(against), [each.name for each in chosen], seed
        )
        for fields in earlier:
            results.append(OverloadResult(**{**fields, 'policy': against}))
        order = [each.name for each in _overload_pattern.PATTERNS]
        results.sort(key=lambda each: order.index(each.pattern))
    return results


def find_pattern(name: str) -> _overload_pattern.Pattern:
    """Find a pattern.

    :param name: its name.
    :returns: the pattern.
    :raises UsageError: if there is none, with the names that there are.
    """
    for each in _overload_pattern.PATTERNS:
        if each.name == name:
            return each
    known = ', '.join(each.name for each in _overload_pattern.PATTERNS)
    raise errors.UsageError(f'no pattern {name!r}; there are {known}')


def play(
    pattern: _overload_pattern.Pattern, policy: str, seed: int
) -> OverloadResult:
    """Play one pattern under one policy.

    :param pattern: the pattern.
    :param policy: its name.
    :param seed: of all that is drawn.
    :returns: how it went.
    """
    return _judge(pattern, policy, play_fleet(pattern, policy, seed))


def play_with(
    pattern: _overload_pattern.Pattern,
    settings: affinity.AffinitySettings,
    seed: int,
) -> OverloadResult:
    """Play one pattern with other settings of the product.

    :param pattern: the pattern.
    :param settings: the settings.
    :param seed: of all that is drawn.
    :returns: how it went.
    """
    policy = _overload_fleet.Policy(settings)
    return _judge(pattern, 'product', _play(pattern, policy, seed))


def play_fleet(
    pattern: _overload_pattern.Pattern, policy: str, seed: int
) -> _overload_fleet.Fleet:
    """Play one pattern and keep all that was in it.

    :param pattern: the pattern.
    :param policy: the policy's name.
    :param seed: of all that is drawn.
    :returns: the fleet with its requests, at the end.
    """
    return _play(pattern, _POLICIES[policy](), seed)


def _play(
    pattern: _overload_pattern.Pattern,
    policy: _overload_fleet.Policy,
    seed: int,
) -> _overload_fleet.Fleet:
    requests = draw_requests(pattern, seed)
    fleet = _overload_fleet.Fleet(pattern, policy, requests, seed)
    _overload_trouble.Troubles(fleet, pattern)
    fleet.run(_overload_pattern.SECONDS)
    return fleet


def draw_requests(
    pattern: _overload_pattern.Pattern, seed: int
) -> list[_overload_callers.Request]:
    """Draw what callers ask.

    :param pattern: the pattern.
    :param seed: of the draw; the same seed gives the same requests.
    :returns: the requests by time.
    """
    draw = random.Random(f'requests {pattern.name} {seed}')
    drawn = []
    for kind in pattern.kinds:
        for zone, callers in zip(_overload_pattern.ZONES, _CALLERS):
            share = callers / sum(_CALLERS)
            now = 0.0
            while True:
                rate = kind.per_second * share
                rate *= _compute_times(pattern, kind.name, zone, now)
                now += draw.expovariate(rate)
                if now > _overload_pattern.SECONDS - kind.deadline_seconds:
                    break
                caller = draw.randrange(callers)
                drawn.append((now, kind, zone, caller, _draw_work(draw, kind)))
    drawn.sort(key=lambda each: each[0])
    return [
        _overload_callers.Request(number, kind, zone, caller, now, work)
        for number, (now, kind, zone, caller, work) in enumerate(drawn)
    ]


def _compute_times(
    pattern: _overload_pattern.Pattern, kind: str, zone: str, now: float
) -> float:
    times = 1.0
    for each in pattern.troubles:
        is_on = each.at <= now < each.at + each.seconds
        is_hit = each.kind in ('', kind) and each.zone in ('', zone)
        if each.change == Change.BURST and is_on and is_hit:
            times *= each.times
    place = _overload_pattern.ZONES.index(zone)
    phase = now / _SWING_SECONDS + place / len(_overload_pattern.ZONES)
    return times * (1 + pattern.swing * math.sin(2 * math.pi * phase))


def _draw_work(draw: random.Random, kind: _overload_pattern.Kind) -> float:
    mu = math.log(kind.work_seconds) - kind.work_sigma**2 / 2
    drawn = draw.lognormvariate(mu, kind.work_sigma)
    return min(drawn, _MOST_WORK_TIMES * kind.work_seconds)


def _judge(
    pattern: _overload_pattern.Pattern,
    policy: str,
    fleet: _overload_fleet.Fleet,
) -> OverloadResult:
    began, ended = pattern.began_at, pattern.ended_at + _AFTER_SECONDS
    hit = [each for each in fleet.requests if began <= each.asked_at < ended]
    free_at = _list_free(pattern)
    owed = sum(each.kind.worth for each in hit)
    reached = _overload_oracle.compute_reached(hit, free_at)
    until = max(each.deadline for each in hit)
    bound = _overload_oracle.compute_bound(hit, free_at, until)
    taken = [each.taken / each.slots / each.speed for each in fleet.upstreams]
    opened = sum(each.opened for each in fleet.upstreams)
    by_kind = {
        kind.name: _compute_worth([each for each in hit if each.kind is kind])
        for kind in pattern.kinds
    }
    return OverloadResult(
        pattern.name,
        policy,
        round(_compute_worth(fleet.requests), 4),
        round(_compute_worth(hit), 4),
        round(reached / owed, 4),
        round(bound / owed, 4),
        round(by_kind[_overload_pattern.LIVE], 4),
        round(by_kind[_overload_pattern.REPORT], 4),
        _compute_share(hit, End.LATE),
        _compute_share(hit, End.REFUSED),
        _compute_share(hit, End.FAILED),
        round(max(taken) / (sum(taken) / len(taken)), 3),
        round(opened / len(fleet.requests), 3),
    )


def _list_free(pattern: _overload_pattern.Pattern) -> list[float]:
    """List when each slot can serve at first.

    Slow and failing upstreams count as good ones, newcomers as warm.
    """
    began = pattern.began_at
    joined = []
    lost = 0
    for each in pattern.troubles:
        if each.change == Change.OUTAGE:
            began = max(began, each.at + each.seconds)
        if each.change == Change.JOIN:
            slots = each.count * _overload_trouble.JOINING_SLOTS
            joined += [each.at] * slots
        if each.change in _TAKES_ZONE:
            place = _overload_pattern.ZONES.index(each.zone)
            lost = sum(pattern.slots[place :: len(_overload_pattern.ZONES)])
            joined += [each.at + each.seconds] * lost
    return [began] * (sum(pattern.slots) - lost) + joined


def _compute_worth(requests: list[_overload_callers.Request]) -> float:
    owed = sum(each.kind.worth for each in requests)
    return sum(each.credit for each in requests) / owed if owed else 1.0


def _compute_share(
    requests: list[_overload_callers.Request], end: str
) -> float:
    count = sum(1 for each in requests if each.end == end)
    return round(count / len(requests), 4)


def _list_names(names: tuple[str, ...] | str) -> list[str]:
    # A command line gives one name as a text, several as a list.
    return [names] if isinstance(names, str) else list(names)


_POLICIES = {
    'product': _overload_fleet.Policy,
    'none': _overload_random.RandomPolicy,
}
