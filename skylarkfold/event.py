"""What a node can be told: its only inputs besides the time."""

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
    """Time has passed; sent a few times a second."""


@dataclasses.dataclass(slots=True)
class DatagramReceived:
    """A caller's datagram arrived at a service's address.

    :param address: the service's address that it was sent to.
    :param caller: who sent it.
    :param payload: its bytes.
    :param is_first: whether it carries a mark that its flow begins;
        None where the protocol has no such mark.
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
    """A caller's request arrived whole."""

    request: request_module.Request


@dataclasses.dataclass(slots=True)
class RequestCancelled:
    """The caller went away before its answer.

    :param request: the request's number.
    """

    request: int


@dataclasses.dataclass(slots=True)
class AttemptEnded:
    """An attempt at an upstream ended.

    :param attempt: the number given with its dispatch.
    :param outcome: how it ended.
    :param answer: the upstream's whole answer, for outcomes that have one.
    """

    attempt: int
    outcome: request_module.Outcome
    answer: request_module.Answer | None = None


@dataclasses.dataclass(slots=True)
class LoadReported:
    """An upstream's health and load endpoints answered; both may lie.

    :param service: the service's name.
    :param upstream: the upstream's name.
    :param healthy: what its health endpoint said.
    :param running: requests it says that it is running.
    :param flows: flows it says that it holds.
    :param reachable: whether it answered at all. One that answers is not
        dead, whatever it says.
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

    :param sender: the peer's name, proved by its certificate.
    :param message: the decoded message.
    """

    sender: str
    message: message_module.PeerMessage


@dataclasses.dataclass(slots=True)
class PeerConnected:
    """A stream to a peer is up."""

    peer: str


@dataclasses.dataclass(slots=True)
class PeerLost:
    """The stream to a peer ended or could not be opened."""

    peer: str


@dataclasses.dataclass(slots=True)
class PlatformAnswered:
    """A platform call ended.

    :param call: the number given with the call's effect.
    :param answer: its outcome.
    """

    call: int
    answer: platform_api.PlatformAnswer


@dataclasses.dataclass(slots=True)
class ConfigurationChanged:
    """A newer configuration is in force on this instance."""

    configuration: configuration_module.Configuration


@dataclasses.dataclass(slots=True)
class ObjectChanged:
    """A newer version of an object of the system's own is known here."""

    stored: platform_api.StoredObject


@dataclasses.dataclass(slots=True)
class RevisionReached:
    """All objects up to a revision of the store are in force here."""

    revision: int


@dataclasses.dataclass(slots=True)
class WriteRequested:
    """Another core of this instance wants a conditional write."""

    write: platform_api.WriteObject


@dataclasses.dataclass(slots=True)
class WriteEnded:
    """A write that a subsystem asked for has a settled outcome.

    Lost answers are settled before this event: the status is never
    ``UNKNOWN`` unless the platform stayed away. ``REFUSED`` says that
    it provably did not happen and was no conflict.

    :param path: the object.
    :param status: how the write ended.
    :param current: what stands there now; None for nothing, and where it
        was not read: a plain conflict costs no read, the object itself
        comes with the next :class:`ObjectChanged`.
    :param may_have_stood: for ``CONFLICT``, whether the written value may
        have stood before another writer replaced it.
    """

    path: str
    status: platform_api.PlatformStatus
    current: platform_api.StoredObject | None
    may_have_stood: bool = False


@dataclasses.dataclass(slots=True)
class MembershipChanged:
    """The set of members or the state of one changed."""

    membership: member.Membership


@dataclasses.dataclass(slots=True)
class StopRequested:
    """The instance is asked to stop: finish, hand on, leave."""
