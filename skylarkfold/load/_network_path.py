"""The network path from callers to a service."""

from __future__ import annotations

from skylarkfold.load import _fabric
from skylarkfold.load import _latency


class NetworkPath:
    """From an address of callers to one port of every instance.

    :param port: the service's port on every instance.
    :param host: the address that flows and streams come from.
    :param fabric: what chooses an instance.
    :param latency: where latencies are recorded.
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
