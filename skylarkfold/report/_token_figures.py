"""Figures of instances whose packets carry tokens, at the target size."""

from __future__ import annotations

from collections.abc import Iterator

from skylarkfold.report import _figure
from skylarkfold.report import _measured_figures
from skylarkfold.report import _target_size

_ROLE = 'Instance whose packets carry tokens'
_RELAY_MECHANISM = 'beacons and watchers: relay/'
_TOKEN_MECHANISM = 'token of a packet: affinity/'


def list_token_figures(
    measured: _measured_figures.MeasuredFigures,
    size: _target_size.TargetSize,
    budget: _target_size.Budget,
) -> Iterator[_figure.Figure]:
    """Yield the figures of token affinity and of the relay.

    :param measured: the figures that the measures printed.
    :param size: the target size.
    :param budget: the resource limits.
    :returns: the figures.
    """

    def find(name: str, scenario: str) -> float | None:
        return measured.find(
            'relay', name, instances=size.nodes, scenario=scenario
        )

    def build(
        name: str,
        value: float | None,
        unit: str,
        source: str,
        carried_by: str,
        limit: float | None = None,
        is_measured: bool = False,
    ) -> _figure.Figure:
        return _figure.Figure(
            _ROLE, name, value, unit, source, carried_by, limit, is_measured
        )

    traffic, core = budget.bytes_per_second, budget.core_share
    for name, unit, field, scenario, limit in (
        ('traffic at rest', 'bytes/s', 'bytes_per_second', 'rest', traffic),
        (
            'traffic at rest, busiest',
            'bytes/s',
            'bytes_worst_second',
            'rest',
            traffic,
        ),
        ('processor time at rest', 'cores', 'core_share', 'rest', core),
        (
            'processor time at rest, busiest',
            'cores',
            'core_worst_share',
            'rest',
            core,
        ),
        (
            'memory of all objects',
            'MiB',
            'memory_mb',
            'rest',
            budget.memory_mb,
        ),
        (
            'calls to the store, whole fleet, at rest',
            'calls/s',
            'calls_per_second',
            'rest',
            budget.platform_reads_per_second,
        ),
        (
            'calls to the store, whole fleet, one zone cut off',
            'calls/s',
            'calls_per_second',
            'zone-cut',
            budget.platform_reads_per_second,
        ),
        (
            'a change of all routes known to the last instance',
            's',
            'reach_seconds',
            'routes',
            budget.propagation_seconds,
        ),
        (
            'a change of an upstream known to the last instance',
            's',
            'reach_seconds',
            'upstreams',
            budget.propagation_seconds,
        ),
        (
            'all that the store has after its return from an older copy '
            'known to the last instance',
            's',
            'reach_seconds',
            'return',
            budget.propagation_seconds,
        ),
        (
            'traffic for 5 s after such a return, busiest',
            'bytes/s',
            'bytes_worst_second',
            'return',
            traffic,
        ),
        (
            'calls to the store, whole fleet, for 5 s after such a return',
            'calls/s',
            'calls_per_second',
            'return',
            budget.platform_reads_per_second,
        ),
        (
            'an end without a word known to the whole zone',
            's',
            'reach_seconds',
            'ends',
            None,
        ),
    ):
        source = f'relay: {field}, {scenario}'
        value = find(field, scenario)
        yield build(name, value, unit, source, _RELAY_MECHANISM, limit, True)
    change = find('bytes_a_change', 'routes')
    rest = find('bytes_per_second', 'rest')
    daily_traffic = None
    if change is not None and rest is not None:
        daily_traffic = (
            rest + change * size.changes_per_day / _target_size.DAY_SECONDS
        )
    yield build(
        f'traffic at {size.changes_per_day:,} changes of the routes a day',
        daily_traffic,
        'bytes/s',
        'relay: bytes_a_change, routes, and bytes_per_second, rest',
        _RELAY_MECHANISM,
        traffic,
    )
    known_flow_cost = measured.find(
        'token', 'microseconds', packet='known flow'
    )
    new_flow_cost = measured.find('token', 'microseconds', packet='new flow')
    if known_flow_cost is not None and new_flow_cost is not None:
        microseconds = size.packets_per_node_second * known_flow_cost
        microseconds += size.new_flows_per_node_second * new_flow_cost
        yield build(
            f'processor time for {size.packets_per_node_second:,.0f} packets '
            f'and {size.new_flows_per_node_second:,.0f} new flows a second, '
            'decisions and codec',
            microseconds / 1e6,
            'cores',
            'token: microseconds',
            _TOKEN_MECHANISM,
            1.0,
        )
