"""What a stand-in upstream did, for those who check the promises.

Times are of the monotonic clock, which all processes of one machine
share.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class FlowRecord:
    """One flow as its upstream saw it.

    :param first_seen: when its first datagram came, in seconds.
    :param last_seen: when its last datagram came, in seconds.
    :param datagrams: how many came.
    """

    first_seen: float
    last_seen: float
    datagrams: int = 1


@dataclasses.dataclass(slots=True)
class UpstreamRecord:
    """All that an upstream did.

    :param service: its service.
    :param address: where it takes datagrams and streams.
    :param request_port: its HTTP port.
    :param runs: by request key, when each run began, in seconds.
    :param refused: by reason, how many requests it refused unrun.
    :param cancelled: requests whose caller went before they began.
    :param flows: by caller's address.
    :param streams: by caller's address, when each was opened, in seconds.
    :param misdelivered: datagrams and requests meant for another service.
    :param malformed: datagrams without a valid PROXY header.
    :param started: when it started, in seconds.
    :param stopped: when it stopped, in seconds; None while it runs.
    """

    service: str
    address: str
    request_port: int
    runs: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    refused: dict[str, int] = dataclasses.field(default_factory=dict)
    cancelled: int = 0
    flows: dict[str, FlowRecord] = dataclasses.field(default_factory=dict)
    streams: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    misdelivered: int = 0
    malformed: int = 0
    started: float = 0.0
    stopped: float | None = None

    def record_datagram(self, now: float, caller: str) -> None:
        """Record a flow's datagram."""
        flow = self.flows.get(caller)
        if flow is None:
            self.flows[caller] = FlowRecord(now, now)
            return
        flow.last_seen = now
        flow.datagrams += 1

    def record_refusal(self, reason: str) -> None:
        """Record a request that was refused unrun."""
        self.refused[reason] = self.refused.get(reason, 0) + 1
