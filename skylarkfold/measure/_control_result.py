"""What ``measure control`` reports."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses


@dataclasses.dataclass(slots=True)
class ControlResult:
    """One scenario with one size of fleet.

    A field that the scenario does not measure is None.

    :param nodes: how many instances.
    :param scenario: its name.
    :param virtual_seconds: how much time passed for the instances.
    :param propagation_p99_s: from a write at the platform until it is in
        force on an instance.
    :param propagation_max_s: the same, the last instance.
    :param known_everywhere_max_s: from the write until the last instance
        knows that it is in force everywhere.
    :param bytes_per_node_second: sent and received, the mean instance.
    :param bytes_worst_node_second: the same, the busiest instance.
    :param core_share: processor seconds of decisions and codec for each
        second and instance.
    :param core_worst_share: the same, the busiest instance.
    :param memory_mb: state for each instance, without the interpreter.
    :param platform_reads_per_second: calls tried by the whole fleet, each
        waiting watch as one.
    :param platform_writes_per_second: writes by the fleet itself.
    :param false_deaths: times that an instance took another one that ran
        for dead.
    :param detection_p99_s: from an unannounced end until an instance
        takes it for dead.
    :param detection_max_s: the same, the last instance.
    :param reverts: objects that went back on any instance.
    :param lagging: instances that were not current at the end.
    """

    nodes: int
    scenario: str
    virtual_seconds: float
    propagation_p99_s: float | None = None
    propagation_max_s: float | None = None
    known_everywhere_max_s: float | None = None
    bytes_per_node_second: float | None = None
    bytes_worst_node_second: float | None = None
    core_share: float | None = None
    core_worst_share: float | None = None
    memory_mb: float | None = None
    platform_reads_per_second: float | None = None
    platform_writes_per_second: float = 0.0
    false_deaths: int = 0
    detection_p99_s: float | None = None
    detection_max_s: float | None = None
    reverts: int = 0
    lagging: int = 0


def compute_percentile(
    values: Sequence[float], percent: float
) -> float | None:
    """Find the value that a share of all values does not exceed.

    :param values: any values.
    :param percent: the share, 0 to 100.
    :returns: the value, or None if there are none.
    """
    if not values:
        return None
    ordered = sorted(values)
    place = int(len(ordered) * percent / 100)
    return round(ordered[min(place, len(ordered) - 1)], 4)
