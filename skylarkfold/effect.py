"""What a node can ask its surroundings to do: its only outputs."""

from __future__ import annotations

import dataclasses
import enum

from skylarkfold import configuration as configuration_module
from skylarkfold import endpoint
from skylarkfold import event as event_module
from skylarkfold import member
from skylarkfold import message as message_module
from skylarkfold import platform_api
from skylarkfold import request as request_module
from skylarkfold import service as service_module


class Reason(enum.StrEnum):
    """Why a routing or placement decision fell as it did."""

    CLOSED_BUCKET = 'closed-bucket'
    PINNED = 'pinned'
    CACHED = 'cached'
    PLACED = 'placed'
    UNPINNED = 'unpinned'
    REDIRECTED = 'redirected'
    HELD = 'held'
    NO_SERVICE = 'no-service'
    NO_UPSTREAM = 'no-upstream'
    OVER_LIMIT = 'over-limit'
    STALE_VIEW = 'stale-view'
    DEAD_UPSTREAM = 'dead-upstream'


@dataclasses.dataclass(slots=True)
class ForwardDatagram:
    """Send a caller's datagram to an upstream."""

    service: service_module.Service
    upstream: service_module.Upstream
    caller: endpoint.Endpoint
    payload: bytes
    reason: Reason


@dataclasses.dataclass(slots=True)
class DropDatagram:
    """Drop a caller's datagram, counted by its reason."""

    address: endpoint.Endpoint
    caller: endpoint.Endpoint
    reason: Reason


@dataclasses.dataclass(slots=True)
class ConnectStream:
    """Relay a stream to an upstream."""

    stream: int
    service: service_module.Service
    upstream: service_module.Upstream
    reason: Reason


@dataclasses.dataclass(slots=True)
class RefuseStream:
    """Close a stream that can't be placed."""

    stream: int
    reason: Reason


@dataclasses.dataclass(slots=True)
class DispatchAttempt:
    """Send a request to an upstream.

    :param attempt: a number that comes back with the attempt's end.
    :param request: the request.
    :param service: its service.
    :param upstream: where to send it.
    :param timeout_seconds: how long to wait; it is told to the upstream
        as the deadline, after which it must not begin to run.
    """

    attempt: int
    request: request_module.Request
    service: service_module.Service
    upstream: service_module.Upstream
    timeout_seconds: float


@dataclasses.dataclass(slots=True)
class CancelAttempt:
    """Give up an attempt and close its connection."""

    attempt: int


@dataclasses.dataclass(slots=True)
class SendAnswer:
    """Answer a caller's request.

    :param request: the request's number.
    :param answer: the answer with its verdict.
    """

    request: int
    answer: request_module.Answer


@dataclasses.dataclass(slots=True)
class SendToPeer:
    """Send a message to another instance, or drop it if it is gone."""

    peer: str
    message: message_module.PeerMessage


@dataclasses.dataclass(slots=True)
class CallPlatform:
    """Call the platform.

    :param call: a number that comes back with the answer.
    :param request: what to ask.
    :param timeout_seconds: when to give up waiting.
    """

    call: int
    request: platform_api.PlatformCall
    timeout_seconds: float


@dataclasses.dataclass(slots=True)
class RequestWrite:
    """Ask the platform client for a conditional write.

    The client settles lost answers; its outcome comes back to the other
    subsystems as :class:`skylarkfold.event.WriteEnded`.
    """

    write: platform_api.WriteObject


@dataclasses.dataclass(slots=True)
class PublishWriteEnded:
    """Tell the other subsystems how a requested write ended."""

    ended: event_module.WriteEnded


@dataclasses.dataclass(slots=True)
class PublishConfiguration:
    """Put a newer configuration in force on this instance."""

    configuration: configuration_module.Configuration


@dataclasses.dataclass(slots=True)
class PublishObject:
    """Tell the other subsystems of a newer object."""

    stored: platform_api.StoredObject


@dataclasses.dataclass(slots=True)
class PublishRevision:
    """Tell the other subsystems that a revision is in force here."""

    revision: int


@dataclasses.dataclass(slots=True)
class PublishMembership:
    """Tell the other subsystems of a changed membership."""

    membership: member.Membership


@dataclasses.dataclass(slots=True)
class CountMetric:
    """Add to a counter; its name is listed in ``metric``."""

    name: str
    amount: int = 1


@dataclasses.dataclass(slots=True)
class RecordDecision:
    """Write one structured log line for a decision.

    :param kind: what was decided, for example ``placement``.
    :param service: the service's name, empty where there is none.
    :param subject: the flow, request, bucket or member concerned.
    :param upstream: the upstream chosen, empty where there is none.
    :param reason: why.
    """

    kind: str
    service: str
    subject: str
    upstream: str
    reason: str


@dataclasses.dataclass(slots=True)
class StopFinished:
    """Nothing is left to finish or hand on; the process may end."""
