"""Figures taken from the control measure at the target size."""

from __future__ import annotations

import dataclasses

from skylarkfold.report import _target_size

DAILY_CHANGES_SCENARIO = '1200-changes-a-day'


@dataclasses.dataclass(frozen=True, slots=True)
class ControlFigure:
    """A figure that the control measure prints directly.

    :param name: its name on the capacity page.
    :param unit: its unit.
    :param field: its name in the measure's results.
    :param limit: the largest allowed value; None for no limit.
    :param scenario: the scenario; empty for the worst of all scenarios.
    """

    name: str
    unit: str
    field: str
    limit: float | None = None
    scenario: str = ''


def list_control_figures(budget: _target_size.Budget) -> list[ControlFigure]:
    """Return the figures of membership and distribution.

    :param budget: the resource limits.
    :returns: the figures.
    """
    traffic, core = budget.bytes_per_second, budget.core_share
    return [
        ControlFigure(
            'traffic at 1,200 changes a day, mean instance',
            'bytes/s',
            'bytes_per_node_second',
            traffic,
            DAILY_CHANGES_SCENARIO,
        ),
        ControlFigure(
            'processor time at 1,200 changes a day, mean instance',
            'cores',
            'core_share',
            core,
            DAILY_CHANGES_SCENARIO,
        ),
        ControlFigure(
            'traffic for seconds of the worst scenario, mean instance',
            'bytes/s',
            'bytes_per_node_second',
            traffic,
        ),
        ControlFigure(
            'traffic for seconds of the worst scenario, busiest instance',
            'bytes/s',
            'bytes_worst_node_second',
            traffic,
        ),
        ControlFigure(
            'processor time, busiest instance, worst scenario',
            'cores',
            'core_worst_share',
            core,
        ),
        ControlFigure(
            'memory of membership and distribution',
            'MiB',
            'memory_mb',
            budget.memory_mb,
        ),
        ControlFigure(
            'a change in force on the last instance, worst scenario',
            's',
            'propagation_max_s',
            budget.propagation_seconds,
        ),
        ControlFigure(
            'an unannounced end known, 99th percentile', 's', 'detection_p99_s'
        ),
        ControlFigure(
            'instances taken for dead that ran', 'count', 'false_deaths'
        ),
    ]


def list_platform_figures(budget: _target_size.Budget) -> list[ControlFigure]:
    """Return the figures of calls to the platform.

    :param budget: the resource limits.
    :returns: the figures.
    """
    return [
        ControlFigure(
            'reads, waiting watches included',
            'calls/s',
            'platform_reads_per_second',
            budget.platform_reads_per_second,
        ),
        ControlFigure(
            'writes by membership and distribution',
            'calls/s',
            'platform_writes_per_second',
            budget.platform_writes_per_second,
        ),
    ]
