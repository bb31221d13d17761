"""What instances need at the full size whose packets carry tokens."""

from __future__ import annotations

from collections.abc import Iterator

from skylarkfold.report import _figure
from skylarkfold.report import _measured_figures
from skylarkfold.report import _target_size

_ROLE = 'Instance whose packets carry tokens'
_RELAY = 'beacons and watchers: relay/'
_FORWARDING = 'token of a packet: affinity/'


def list_token_figures(
    slopes: _measured_figures.Slopes,
    size: _target_size.Size,
    budget: _target_size.Budget,
) -> Iterator[_figure.Figure]:
    """List the figures of affinity by token and the relay.

    :param slopes: what the measures printed.
    :param size: the full size.
    :param budget: what there may be.
    :returns: the figures.
    """

    def find(name: str, scenario: str) -> float | None:
        return slopes.find(
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
        yield build(name, value, unit, source, _RELAY, limit, True)
    change = find('bytes_a_change', 'routes')
    rest = find('bytes_per_second', 'rest')
    lasting = None
    if change is not None and rest is not None:
        lasting = (
            rest + change * size.changes_per_day / _target_size.DAY_SECONDS
        )
    yield build(
        f'traffic at {size.changes_per_day:,} changes of the routes a day',
        lasting,
        'bytes/s',
        'relay: bytes_a_change, routes, and bytes_per_second, rest',
        _RELAY,
        traffic,
    )
    packet = slopes.find('token', 'microseconds', packet='known flow')
    new = slopes.find('token', 'microseconds', packet='new flow')
    if packet is not None and new is not None:
        needed = size.packets_per_node_second * packet
        needed += size.new_flows_per_node_second * new
        yield build(
            f'processor time for {size.packets_per_node_second:,.0f} packets '
            f'and {size.new_flows_per_node_second:,.0f} new flows a second, '
            'decisions and codec',
            needed / 1e6,
            'cores',
            'token: microseconds',
            _FORWARDING,
            1.0,
        )
