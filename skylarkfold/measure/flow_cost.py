"""Measures what the decision for one packet costs, and a flow's memory."""

from __future__ import annotations

import dataclasses
import gc
import itertools
import time
import tracemalloc

from collections.abc import Callable

from skylarkfold import endpoint
from skylarkfold import event
from skylarkfold import flow
from skylarkfold import flows
from skylarkfold.measure import _flow_cores
from skylarkfold.measure import _flow_workload
from skylarkfold import service as service_module

PACKETS = 5000
DISTINCT_CALLERS = 1000
TICK_SECONDS = 0.25
TICKED_SECONDS = 120.0
LEAST_FLOWS = 10_000
LEAST_MEMBERS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class CostResult:
    """Costs at one size, as multiples of one hash and dict look-up.

    The reference and the decisions are timed in turn, and the least of
    all repeats counts.

    :param flows: pins kept on the instance.
    :param members: instances that it knows.
    :param known_flow_ratio: the fast path's decision for a pinned flow.
    :param closed_bucket_ratio: the same for a flow of a closed bucket.
    :param handled_known_ratio: the whole event with its effects, for a
        pinned flow.
    :param handled_closed_ratio: the same for a closed bucket.
    :param known_flow_slope: the first over its value at the first size.
    :param closed_bucket_slope: the second over its value there.
    :param bytes_per_flow: traced memory of the pins by their number.
    :param mean_tick_ratio: one tick, averaged over two minutes.
    :param longest_tick_ratio: the longest of these ticks.
    :param membership_change_ratio: taking a membership with one instance
        gone.
    """

    flows: int
    members: int
    known_flow_ratio: float
    closed_bucket_ratio: float
    handled_known_ratio: float
    handled_closed_ratio: float
    known_flow_slope: float
    closed_bucket_slope: float
    bytes_per_flow: float
    mean_tick_ratio: float
    longest_tick_ratio: float
    membership_change_ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Subject:
    """A core with callers whose packets it can answer alone."""

    core: flows.FlowCore
    service: service_module.Service
    callers: list[endpoint.Endpoint]


def measure(
    seed: int = 1,
    repeats: int = 40,
    most_flows: int = 450_000,
    most_members: int = 600,
) -> list[CostResult]:
    """Measure at the least size, with the most flows, the most members.

    :param seed: unused; nothing is drawn.
    :param repeats: how often each cost is timed.
    :param most_flows: the largest number of pins.
    :param most_members: the largest number of instances.
    :returns: one result for each size.
    """
    sizes = (
        (LEAST_FLOWS, LEAST_MEMBERS),
        (most_flows, LEAST_MEMBERS),
        (LEAST_FLOWS, most_members),
    )
    results: list[CostResult] = []
    for flow_count, members in sizes:
        first = results[0] if results else None
        results.append(_measure_size(flow_count, members, repeats, first))
    return results


def _measure_size(
    flow_count: int, members: int, repeats: int, first: CostResult | None
) -> CostResult:
    known, memory = _make_known(flow_count, members)
    closed = _make_closed(flow_count, members)
    times = _time_in_turn(
        [
            _list_lookups(known),
            _list_routes(known),
            _list_routes(closed),
            _list_events(known),
            _list_events(closed),
        ],
        repeats,
    )
    lookup, *decisions = times
    ratios = [round(each / lookup, 2) for each in decisions]
    mean_tick, longest_tick = _time_ticks(known.core)
    return CostResult(
        flow_count,
        members,
        *ratios,
        known_flow_slope=_divide(ratios[0], first and first.known_flow_ratio),
        closed_bucket_slope=_divide(
            ratios[1], first and first.closed_bucket_ratio
        ),
        bytes_per_flow=round(memory / flow_count, 1),
        mean_tick_ratio=round(mean_tick / lookup, 1),
        longest_tick_ratio=round(longest_tick / lookup),
        membership_change_ratio=round(
            _time_membership(known.core, members) / lookup
        ),
    )


def _divide(value: float, by: float | None) -> float:
    return round(value / by, 2) if by else 1.0


def _make_known(flow_count: int, members: int) -> tuple[_Subject, int]:
    service = _flow_cores.make_service(service_module.Preference.BALANCE)
    settings = flows.FlowSettings(balance_free_share=1.0)
    core = _flow_cores.make_core(service, settings, members)
    callers = list(map(_flow_workload.make_caller, range(flow_count)))
    gc.collect()
    tracemalloc.start()
    _flow_cores.give_pins(core, service, callers)
    gc.collect()
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    answered = _filter_answered(core, service, callers)
    return _Subject(core, service, answered), memory


def _make_closed(flow_count: int, members: int) -> _Subject:
    service = _flow_cores.make_service(service_module.Preference.CONTINUITY)
    core = _flow_cores.make_core(service, flows.FlowSettings(), members)
    callers = list(map(_flow_workload.make_caller, range(flow_count)))
    return _Subject(core, service, _filter_answered(core, service, callers))


def _filter_answered(
    core: flows.FlowCore,
    service: service_module.Service,
    callers: list[endpoint.Endpoint],
) -> list[endpoint.Endpoint]:
    answered = [
        caller
        for caller in callers
        if core.route(0.0, service.name, caller) is not None
    ]
    if not answered:
        raise RuntimeError('the core answers no flow alone')
    # As many at each size: a look-up costs more where more are in turn.
    chosen = answered[:DISTINCT_CALLERS]
    return list(itertools.islice(itertools.cycle(chosen), PACKETS))


def _list_lookups(subject: _Subject) -> Callable[[], None]:
    keys = [
        flow.FlowKey(subject.service.name, caller)
        for caller in subject.callers
    ]
    table = {flow.hash_flow(key): 1 for key in keys}
    hash_flow = flow.hash_flow

    def look_up() -> None:
        for key in keys:
            table.get(hash_flow(key))

    return look_up


def _list_routes(subject: _Subject) -> Callable[[], None]:
    route = subject.core.route
    name = subject.service.name
    callers = subject.callers

    def decide() -> None:
        for caller in callers:
            route(0.0, name, caller)

    return decide


def _list_events(subject: _Subject) -> Callable[[], None]:
    handle = subject.core.handle
    events = [
        event.DatagramReceived(_flow_cores.ADDRESS, caller, b'', False)
        for caller in subject.callers
    ]

    def decide() -> None:
        for each in events:
            handle(0.0, each)

    return decide


def _time_in_turn(
    batches: list[Callable[[], None]], repeats: int
) -> list[float]:
    """Time batches in turn.

    :returns: for each the least seconds for one packet.
    """
    least = [float('inf')] * len(batches)
    for _ in range(repeats):
        for position, batch in enumerate(batches):
            spent = _time(batch)
            least[position] = min(least[position], spent)
    return [each / PACKETS for each in least]


def _time(act: Callable[[], object]) -> float:
    begin = time.perf_counter()
    act()
    return time.perf_counter() - begin


def _time_ticks(core: flows.FlowCore) -> tuple[float, float]:
    tick = event.Tick()
    count = int(TICKED_SECONDS / TICK_SECONDS)
    begin = 100.0
    spent = [
        _time(lambda now=begin + number * TICK_SECONDS: core.handle(now, tick))
        for number in range(count)
    ]
    return sum(spent) / count, max(spent)


def _time_membership(core: flows.FlowCore, members: int) -> float:
    fewer = _flow_cores.make_membership(members - 1, 2)
    changed = event.MembershipChanged(fewer)
    now = 100.0 + TICKED_SECONDS
    return _time(lambda: core.handle(now, changed))
