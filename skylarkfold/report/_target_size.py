"""The size that decides the design, and its budgets."""

from __future__ import annotations

import dataclasses

DAY_SECONDS = 86_400.0


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """How large the fleet and its load are.

    :param nodes: entry instances.
    :param upstreams: upstreams of all services.
    :param addresses: services, one address each.
    :param flows: open flows.
    :param new_flows_per_second: flows that begin.
    :param changes_per_day: changes of the configuration.
    :param failures_per_day: instances that die unannounced.
    :param restarts_per_day: instances that are restarted or replaced.
    :param zones: availability zones.
    :param packet_gap_seconds: between two packets of a flow; the letter
        does not say, so this is an assumption.
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
        """Open flows for each instance."""
        return self.flows / self.nodes

    @property
    def new_flows_per_node_second(self) -> float:
        """Flows that begin for each instance and second."""
        return self.new_flows_per_second / self.nodes

    @property
    def packets_per_node_second(self) -> float:
        """Packets for each instance and second, as assumed."""
        return self.flows_per_node / self.packet_gap_seconds


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """What a node may spend for control, and the platform's limits.

    :param core_share: of one core.
    :param memory_mb: memory.
    :param bytes_per_second: control traffic.
    :param propagation_seconds: until a change is in force everywhere.
    :param platform_reads_per_second: by all users of the platform.
    :param platform_writes_per_second: the same; "several hundred".
    """

    core_share: float = 0.029
    memory_mb: float = 256.0
    bytes_per_second: float = 11_000.0
    propagation_seconds: float = 13.0
    platform_reads_per_second: float = 2_000.0
    platform_writes_per_second: float = 300.0
