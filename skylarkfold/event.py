"""Events, the only inputs of a node besides the time."""

from __future__ import annotations

import dataclasses

from skylarkfold import configuration as configuration_module
from skylarkfold import endpoint
from skylarkfold import member
from skylarkfold import message as message_module
from skylarkfold import platform_api
from skylarkfold import request as request_module


@dataclasses.dataclass(slots=True)
class Tick:
    """The timer fired, several times a second."""


@dataclasses.dataclass(slots=True)
class DatagramReceived:
    """A caller's datagram arrived at a service's address.

    :param address: the service's address that it was sent to.
    :param caller: the address of the sender.
    :param payload: the content.
    :param is_first: whether it is marked as the first datagram of its flow;
        None if the protocol has no such mark.
    """

    address: endpoint.Endpoint
    caller: endpoint.Endpoint
    payload: bytes
    is_first: bool | None = None


@dataclasses.dataclass(slots=True)
class StreamOpened:
    """A caller opened a TCP stream to a service's address."""

    stream: int
    address: endpoint.Endpoint
    caller: endpoint.Endpoint


@dataclasses.dataclass(slots=True)
class StreamClosed:
    """A relayed stream ended, or its upstream could not be reached.

    :param stream: the number given with :class:`StreamOpened`.
    :param failed: whether the upstream refused or could not be reached.
    """

    stream: int
    failed: bool = False


@dataclasses.dataclass(slots=True)
class RequestReceived:
    """A caller's request arrived completely."""

    request: request_module.Request


@dataclasses.dataclass(slots=True)
class RequestCancelled:
    """The caller disconnected before its request was answered.

    :param request: the request's number.
    """

    request: int


@dataclasses.dataclass(slots=True)
class AttemptEnded:
    """An attempt to run a request on an upstream ended.

    :param attempt: the number given with
        :class:`skylarkfold.effect.DispatchAttempt`.
    :param outcome: how it ended.
    :param answer: the upstream's complete answer, for outcomes that have one.
    """

    attempt: int
    outcome: request_module.Outcome
    answer: request_module.Answer | None = None


@dataclasses.dataclass(slots=True)
class LoadReported:
    """The result of probing an upstream's health and load endpoints.

    The upstream's own figures may be wrong.

    :param service: the service's name.
    :param upstream: the upstream's name.
    :param healthy: the state that its health endpoint reported.
    :param running: the number of running requests that it reported.
    :param flows: the number of flows that it reported.
    :param reachable: whether it answered at all. An upstream that answers
        is not considered dead, whatever it reports.
    """

    service: str
    upstream: str
    healthy: bool
    running: int
    flows: int
    reachable: bool = True


@dataclasses.dataclass(slots=True)
class PeerMessageReceived:
    """A peer's message arrived.

    :param sender: the peer's name, as authenticated by its certificate.
    :param message: the decoded message.
    """

    sender: str
    message: message_module.PeerMessage


@dataclasses.dataclass(slots=True)
class PeerConnected:
    """A stream to a peer was established."""

    peer: str


@dataclasses.dataclass(slots=True)
class PeerLost:
    """The stream to a peer ended or could not be opened."""

    peer: str


@dataclasses.dataclass(slots=True)
class PlatformAnswered:
    """A platform call ended.

    :param call: the number given with
        :class:`skylarkfold.effect.CallPlatform`.
    :param answer: the platform's answer.
    """

    call: int
    answer: platform_api.PlatformAnswer


@dataclasses.dataclass(slots=True)
class ConfigurationChanged:
    """A newer configuration took effect on this instance."""

    configuration: configuration_module.Configuration


@dataclasses.dataclass(slots=True)
class ObjectChanged:
    """This instance learned of a newer version of a stored object."""

    stored: platform_api.StoredObject


@dataclasses.dataclass(slots=True)
class RevisionReached:
    """All objects up to a revision of the store are known here."""

    revision: int


@dataclasses.dataclass(slots=True)
class WriteRequested:
    """Another core of this instance requested a conditional write."""

    write: platform_api.WriteObject


@dataclasses.dataclass(slots=True)
class WriteEnded:
    """A write that a core requested has a final outcome.

    If the answer to a write is lost, its outcome is determined before this
    event is sent: the status is ``UNKNOWN`` only if the platform remained
    unavailable. ``REFUSED`` means that the write did not take effect and
    that there was no conflict.

    :param path: the path of the object.
    :param status: how the write ended.
    :param current: the object that is now stored; None if there is none or
        it was not read. After a conflict it usually is not read; the next
        :class:`ObjectChanged` contains it.
    :param may_have_stood: for ``CONFLICT``, whether the written value may
        have been stored before another writer replaced it.
    """

    path: str
    status: platform_api.PlatformStatus
    current: platform_api.StoredObject | None
    may_have_stood: bool = False


@dataclasses.dataclass(slots=True)
class MembershipChanged:
    """A member was added or removed, or the state of one changed."""

    membership: member.Membership


@dataclasses.dataclass(slots=True)
class StopRequested:
    """The instance is to finish or hand over its work, then leave."""
