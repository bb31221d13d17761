"""What could have been had by one who knows every queue and all work.

Two figures that the best possible one lies between. *Reached*: all slots as
one pool, each free one given to the request that is worth most a second of
work among those that still end in aim, else among those that end before
their deadline. *Bound*: requests worth most a second of work first, parts of
them allowed, until the slots' time is used up; no schedule earns more, since
none has more time.
"""

from __future__ import annotations

import heapq

from skylarkfold.measure import _overload_callers
from skylarkfold.measure import _overload_world

# A packet to an upstream and its answer.
_ROUND_TRIP_SECONDS = (
    2 * _overload_world.CALLER_SECONDS + _overload_world.NEAR_SECONDS
)
Request = _overload_callers.Request
_Queue = list[tuple[float, int, Request]]


def compute_reached(requests: list[Request], free_at: list[float]) -> float:
    """Compute what a schedule that is greedy by worth earns.

    :param requests: what is asked, by time.
    :param free_at: when each slot of the upstreams is free at first.
    :returns: credit.
    """
    free = list(free_at)
    heapq.heapify(free)
    in_aim: _Queue = []
    late: _Queue = []
    earned = now = 0.0
    coming = list(reversed(requests))
    while coming or in_aim or late:
        now = max(now, free[0])
        if not in_aim and not late:
            now = max(now, coming[-1].asked_at)
        while coming and coming[-1].asked_at <= now:
            _push(in_aim, coming.pop())
        if in_aim:
            chosen = heapq.heappop(in_aim)[2]
            worth = _compute_worth(chosen, now)
            if worth < chosen.kind.worth:
                _push(late, chosen)
                continue
        else:
            chosen = heapq.heappop(late)[2]
            worth = _compute_worth(chosen, now)
        if worth:
            heapq.heapreplace(free, now + chosen.work_seconds)
            earned += worth
    return earned


def compute_bound(
    requests: list[Request], free_at: list[float], until: float
) -> float:
    """Compute what no schedule exceeds.

    :param requests: what is asked.
    :param free_at: when each slot of the upstreams is free at first.
    :param until: the last deadline.
    :returns: credit.
    """
    left = sum(until - each for each in free_at)
    first = min(free_at)
    worths = {
        each: _compute_worth(each, max(first, each.asked_at))
        for each in requests
    }
    earned = 0.0
    for each in sorted(
        requests, key=lambda each: -worths[each] / each.work_seconds
    ):
        share = min(1.0, left / each.work_seconds)
        earned += share * worths[each]
        left -= share * each.work_seconds
        if left <= 0:
            break
    return earned


def _push(queue: _Queue, request: Request) -> None:
    rate = request.kind.worth / request.work_seconds
    heapq.heappush(queue, (-rate, request.number, request))


def _compute_worth(request: Request, now: float) -> float:
    """Compute what a request earns that begins now."""
    ends = now + request.work_seconds + _ROUND_TRIP_SECONDS
    taken = ends - request.asked_at
    if taken <= request.kind.aim_seconds:
        return request.kind.worth
    if taken <= request.kind.deadline_seconds:
        return request.kind.late_worth
    return 0.0
