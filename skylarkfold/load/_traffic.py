"""Traffic that callers generate, and the plan of a caller process."""

from __future__ import annotations

import msgspec


class Traffic(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag_field='kind',
):
    """Traffic entry of a scenario, for one service.

    :param name: the name in reports.
    :param service: the service's name.
    :param start_seconds: the delay after the start of all traffic.
    """

    name: str
    service: str
    start_seconds: float = 0.0


class Datagrams(Traffic, tag='datagrams', frozen=True, kw_only=True):
    """Datagram flows that are held for the whole run.

    :param flows: the number of concurrent flows.
    :param interval_seconds: the interval between datagrams of a flow.
    :param ramp_seconds: the time over which the flows are started.
    :param lifetime_seconds: the time after which a flow is replaced by a new
        one; 0 for never.
    """

    flows: int
    interval_seconds: float = 0.5
    ramp_seconds: float = 1.0
    lifetime_seconds: float = 0.0


class Streams(Traffic, tag='streams', frozen=True, kw_only=True):
    """TCP streams that are held for the whole run.

    :param streams: the number of streams.
    :param interval_seconds: the pause between messages on a stream.
    """

    streams: int
    interval_seconds: float = 1.0


class Requests(Traffic, tag='requests', frozen=True, kw_only=True):
    """Independent requests at a constant rate.

    :param rate_per_second: the rate at which requests start, regardless of
        open requests.
    :param repeatable: whether a request may run more than once; otherwise all
        its attempts have the same key.
    :param timeout_seconds: the deadline of an attempt.
    :param attempts: the maximum number of attempts of a request.
    :param urgency: the urgency of RFC 9218, from 0 (most urgent) to 7.
    :param body_bytes: the size of the body.
    :param answer_bytes: the size of the padding in the answer.
    """

    rate_per_second: float
    repeatable: bool = True
    timeout_seconds: float = 3.0
    attempts: int = 4
    urgency: int = 3
    body_bytes: int = 20
    answer_bytes: int = 0


AnyTraffic = Datagrams | Streams | Requests


class ServicePorts(msgspec.Struct, frozen=True):
    """Ports of a service on every instance.

    :param port: the port for datagrams and streams.
    :param request_port: the port for requests.
    """

    port: int
    request_port: int


class CallerPlan(msgspec.Struct, frozen=True):
    """Input of a caller process.

    :param seed: the seed of its random choices.
    :param host: the source address of flows and streams.
    :param services: the ports of the services, by name.
    :param targets: the hosts of the instances.
    :param traffic: the traffic to generate.
    """

    seed: int
    host: str
    services: dict[str, ServicePorts]
    targets: list[str]
    traffic: list[AnyTraffic]
