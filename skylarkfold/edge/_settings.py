"""Settings of the daemon's sockets."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EdgeSettings:
    """Limits on sizes, times and rates of the daemon's sockets.

    :param default_timeout_seconds: the timeout of requests without the
        timeout header.
    :param maximum_timeout_seconds: the maximum timeout of a request.
    :param maximum_body_bytes: the maximum size of a request body.
    :param maximum_answer_bytes: the maximum size of an answer's body.
    :param connect_seconds: the timeout for connecting to an upstream.
    :param tick_seconds: the interval of the node's timer events.
    :param probe_seconds: the interval between probes of one upstream.
    :param probes_per_second: the maximum rate of this instance's probes.
    :param stop_seconds: the maximum duration of a graceful stop.
    :param drain_seconds: how long a stream may continue on a draining
        upstream, 0 for no limit.
    :param peer_queue_bytes: the maximum size of one peer's send queue.
    """

    default_timeout_seconds: float = 10.0
    maximum_timeout_seconds: float = 30.0
    maximum_body_bytes: int = 1024 * 1024
    maximum_answer_bytes: int = 8 * 1024 * 1024
    connect_seconds: float = 1.0
    tick_seconds: float = 0.05
    probe_seconds: float = 1.0
    probes_per_second: float = 20.0
    stop_seconds: float = 30.0
    drain_seconds: float = 0.0
    peer_queue_bytes: int = 4 * 1024 * 1024
