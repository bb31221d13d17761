"""Figures that the control measure prints at the full size."""

from __future__ import annotations

import dataclasses

from skylarkfold.report import _target_size

DAILY = '1200-changes-a-day'


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A figure that a measure prints as it is.

    :param name: what the page calls it.
    :param unit: its unit.
    :param field: its name in the measure's results.
    :param limit: how much there may be; None for no limit.
    :param scenario: the scenario; empty for the worst of all.
    """

    name: str
    unit: str
    field: str
    limit: float | None = None
    scenario: str = ''


def list_control_lines(budget: _target_size.Budget) -> list[Line]:
    """List the figures of membership and distribution.

    :param budget: what there may be.
    :returns: the lines.
    """
    traffic, core = budget.bytes_per_second, budget.core_share
    return [
        Line(
            'traffic at 1,200 changes a day, mean instance',
            'bytes/s',
            'bytes_per_node_second',
            traffic,
            DAILY,
        ),
        Line(
            'processor time at 1,200 changes a day, mean instance',
            'cores',
            'core_share',
            core,
            DAILY,
        ),
        Line(
            'traffic for seconds of the worst scenario, mean instance',
            'bytes/s',
            'bytes_per_node_second',
            traffic,
        ),
        Line(
            'traffic for seconds of the worst scenario, busiest instance',
            'bytes/s',
            'bytes_worst_node_second',
            traffic,
        ),
        Line(
            'processor time, busiest instance, worst scenario',
            'cores',
            'core_worst_share',
            core,
        ),
        Line(
            'memory of membership and distribution',
            'MiB',
            'memory_mb',
            budget.memory_mb,
        ),
        Line(
            'a change in force on the last instance, worst scenario',
            's',
            'propagation_max_s',
            budget.propagation_seconds,
        ),
        Line(
            'an unannounced end known, 99th percentile', 's', 'detection_p99_s'
        ),
        Line('instances taken for dead that ran', 'count', 'false_deaths'),
    ]


def list_platform_lines(budget: _target_size.Budget) -> list[Line]:
    """List the figures of calls to the platform.

    :param budget: what there may be.
    :returns: the lines.
    """
    return [
        Line(
            'reads, waiting watches included',
            'calls/s',
            'platform_reads_per_second',
            budget.platform_reads_per_second,
        ),
        Line(
            'writes by membership and distribution',
            'calls/s',
            'platform_writes_per_second',
            budget.platform_writes_per_second,
        ),
    ]
