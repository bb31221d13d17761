"""Effects, the only outputs of a node."""

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
    """The reason for a routing or placement decision."""

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
    """Drop a caller's datagram and count it by reason."""

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
    """Close a stream that can't be assigned to an upstream."""

    stream: int
    reason: Reason


@dataclasses.dataclass(slots=True)
class DispatchAttempt:
    """Send a request to an upstream.

    :param attempt: a number that identifies the attempt in
        :class:`skylarkfold.event.AttemptEnded`.
    :param request: the request.
    :param service: its service.
    :param upstream: the upstream that is to run it.
    :param timeout_seconds: how long to wait for the answer; also sent to
        the upstream, which must not start the request after that time.
    """

    attempt: int
    request: request_module.Request
    service: service_module.Service
    upstream: service_module.Upstream
    timeout_seconds: float


@dataclasses.dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt and close its connection."""

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
    """Send a message to another instance; drop it if that is unreachable."""

    peer: str
    message: message_module.PeerMessage


@dataclasses.dataclass(slots=True)
class CallPlatform:
    """Call the platform.

    :param call: a number that identifies the call in
        :class:`skylarkfold.event.PlatformAnswered`.
    :param request: the call's type and arguments.
    :param timeout_seconds: how long to wait for the answer.
    """

    call: int
    request: platform_api.PlatformCall
    timeout_seconds: float


@dataclasses.dataclass(slots=True)
class RequestWrite:
    """Ask the store core for a conditional write.

    The store core determines the outcome even if an answer is lost, and
    reports it to the other cores as :class:`skylarkfold.event.WriteEnded`.
    """

    write: platform_api.WriteObject


@dataclasses.dataclass(slots=True)
class PublishWriteEnded:
    """Tell the other cores how a requested write ended."""

    ended: event_module.WriteEnded


@dataclasses.dataclass(slots=True)
class PublishConfiguration:
    """Activate a newer configuration on this instance."""

    configuration: configuration_module.Configuration


@dataclasses.dataclass(slots=True)
class PublishObject:
    """Tell the other cores of a newer object."""

    stored: platform_api.StoredObject


@dataclasses.dataclass(slots=True)
class PublishRevision:
    """Tell the other cores that all objects up to a revision are known."""

    revision: int


@dataclasses.dataclass(slots=True)
class PublishMembership:
    """Tell the other cores of a changed membership."""

    membership: member.Membership


@dataclasses.dataclass(slots=True)
class CountMetric:
    """Add to a counter of :mod:`skylarkfold.metric`."""

    name: str
    amount: int = 1


@dataclasses.dataclass(slots=True)
class RecordDecision:
    """Write one structured log line for a decision.

    :param kind: the type of decision, for example ``placement``.
    :param service: the service's name; empty if there is none.
    :param subject: the flow, request, bucket or member concerned.
    :param upstream: the chosen upstream; empty if there is none.
    :param reason: the reason for the decision.
    """

    kind: str
    service: str
    subject: str
    upstream: str
    reason: str


@dataclasses.dataclass(slots=True)
class StopFinished:
    """All work is finished or handed over; the process may exit."""
