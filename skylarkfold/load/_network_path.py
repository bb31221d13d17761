"""Network path from callers to a service."""

from __future__ import annotations

from skylarkfold.load import _fabric
from skylarkfold.load import _latency


class NetworkPath:
    """Path from a caller's address to the service's port on all instances.

    :param port: the service's port on every instance.
    :param host: the source address of flows and streams.
    :param fabric: the fabric that chooses an instance.
    :param latency: the recorder of latencies.
    """

    __slots__ = ('fabric', 'host', 'latency', 'port')

    def __init__(
        self,
        port: int,
        host: str,
        fabric: _fabric.Fabric,
        latency: _latency.LatencyRecorder,
    ) -> None:
        self.port = port
        self.host = host
        self.fabric = fabric
        self.latency = latency
