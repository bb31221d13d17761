"""Measures the choice of upstreams: policies side by side.

Eight instances with the real cores, seven upstreams in a model with
slots, shedding, cold starts, slowness and misleading reports, on a
virtual clock. Policies see the same requests with the same service
times, and the same bounds of admission and retries; only the choice of
the upstream differs. Random and two choices send a request as soon as it
comes: with a bound on what an instance has in flight they did worse.
"""

from __future__ import annotations

import functools
import math
import random

from skylarkfold import event
from skylarkfold.measure import _request_case
from skylarkfold.measure import _request_fleet
from skylarkfold.measure import _request_tally
from skylarkfold import request as request_module
from skylarkfold import selection

_LOADS = (0.6, 0.9, 1.3)
_ODD_LOADS = (0.6, 0.9)
_GRACE_SECONDS = 20.0

RequestMeasurement = _request_tally.RequestMeasurement


def measure(
    seed: int = 1, requests: int = 8000, slots: int = 2
) -> list[RequestMeasurement]:
    """Run every policy under every load and scenario.

    :param seed: sets all draws.
    :param requests: requests of each run; a third of them in runs with
        an odd upstream.
    :param slots: slots of each upstream.
    :returns: one result for each run.
    """
    return [run_case(case) for case in list_cases(seed, requests, slots)]


def list_cases(
    seed: int, requests: int, slots: int
) -> list[_request_case.Case]:
    """List the runs: each policy in each scenario under each load.

    :param seed: sets all draws.
    :param requests: requests of each run; a third of them in runs with
        an odd upstream.
    :param slots: slots of each upstream.
    :returns: the runs.
    """
    cases = []
    for scenario in _request_case.Scenario:
        is_plain = scenario is _request_case.Scenario.PLAIN
        for load in _LOADS if is_plain else _ODD_LOADS:
            for policy in selection.Policy:
                case = _request_case.Case(
                    policy=policy,
                    load=load,
                    scenario=scenario,
                    seed=seed,
                    requests=requests if is_plain else requests // 3,
                    slots=slots,
                )
                cases.append(case)
    return cases


def run_case(case: _request_case.Case) -> RequestMeasurement:
    """Run one policy under one load in one scenario.

    :param case: the run.
    :returns: its result.
    """
    generator = random.Random(case.seed)
    sent = [_draw_request(case, generator, n) for n in range(case.requests)]
    service_seconds = [_draw_service(case, generator) for _ in sent]
    fleet = _request_fleet.Fleet(case, service_seconds)
    arrivals = _schedule(case, generator, fleet, sent)
    fleet.clock.run(arrivals[-1] + _GRACE_SECONDS)
    return _request_tally.Tally(case, fleet, sent, arrivals).summarize()


def _schedule(
    case: _request_case.Case,
    generator: random.Random,
    fleet: _request_fleet.Fleet,
    sent: list[request_module.Request],
) -> list[float]:
    """Let each request arrive at an instance that the fabric picks."""
    arrivals = []
    arrival = 1.0
    for one in sent:
        arrival += generator.expovariate(case.rate)
        arrivals.append(arrival)
        receiver = generator.choice(fleet.instances)
        received = event.RequestReceived(one)
        fleet.clock.call_later(
            arrival, functools.partial(receiver.handle, received)
        )
    return arrivals


def _draw_request(
    case: _request_case.Case, generator: random.Random, number: int
) -> request_module.Request:
    priority = _draw_priority(case, generator.random())
    timeouts = {
        request_module.Priority.ALERT: case.alert_timeout_seconds,
        request_module.Priority.EXCHANGE: case.exchange_timeout_seconds,
        request_module.Priority.BULK: case.bulk_timeout_seconds,
    }
    return request_module.Request(
        number=number,
        service=_request_fleet.SERVICE,
        method='POST',
        target='/',
        headers=(),
        body=b'',
        key='',
        idempotent=priority is request_module.Priority.BULK,
        priority=priority,
        timeout_seconds=timeouts[priority],
    )


def _draw_priority(
    case: _request_case.Case, drawn: float
) -> request_module.Priority:
    if drawn < case.alert_share:
        return request_module.Priority.ALERT
    if drawn < case.alert_share + case.bulk_share:
        return request_module.Priority.BULK
    return request_module.Priority.EXCHANGE


def _draw_service(case: _request_case.Case, generator: random.Random) -> float:
    sigma = case.service_sigma
    mean = math.log(case.service_seconds) - sigma * sigma / 2
    return generator.lognormvariate(mean, sigma)
