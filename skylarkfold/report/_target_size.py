"""The fleet size that the design has to support, and its resource limits."""

from __future__ import annotations

import dataclasses

DAY_SECONDS = 86_400.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSize:
    """Size and load of the fleet.

    :param nodes: the number of entry instances.
    :param upstreams: the number of upstreams of all services.
    :param addresses: the number of services, with one address each.
    :param flows: the number of open flows.
    :param new_flows_per_second: new flows per second.
    :param changes_per_day: configuration changes per day.
    :param failures_per_day: instances per day that fail without notice.
    :param restarts_per_day: instances per day that are restarted or replaced.
    :param zones: the number of availability zones.
    :param packet_gap_seconds: the time between two packets of a flow; an
        assumption, as the requirements do not specify it.
    """

    nodes: int = 600
    upstreams: int = 3_800
    addresses: int = 1_400
    flows: int = 4_900_000
    new_flows_per_second: int = 37_000
    changes_per_day: int = 1_200
    failures_per_day: int = 14
    restarts_per_day: int = 310
    zones: int = 11
    packet_gap_seconds: float = 2.0

    @property
    def flows_per_node(self) -> float:
        """Open flows per instance."""
        return self.flows / self.nodes

    @property
    def new_flows_per_node_second(self) -> float:
        """New flows per instance and second."""
        return self.new_flows_per_second / self.nodes

    @property
    def packets_per_node_second(self) -> float:
        """Packets per instance and second, from the assumed packet gap."""
        return self.flows_per_node / self.packet_gap_seconds


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """Limits of an instance's control work, and of calls to the platform.

    :param core_share: the share of one core.
    :param memory_mb: the memory.
    :param bytes_per_second: the control traffic.
    :param propagation_seconds: the time until a change is in force on every
        instance.
    :param platform_reads_per_second: reads by all users of the platform.
    :param platform_writes_per_second: writes by all users of the platform;
        the requirements say "several hundred".
    """

    core_share: float = 0.029
    memory_mb: float = 256.0
    bytes_per_second: float = 11_000.0
    propagation_seconds: float = 13.0
    platform_reads_per_second: float = 2_000.0
    platform_writes_per_second: float = 300.0
