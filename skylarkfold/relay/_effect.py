"""What the relay asks of its surroundings."""

from __future__ import annotations

from skylarkfold.relay import _call
from skylarkfold.relay import _messages
from skylarkfold import revision as revisions
from skylarkfold import upstream_load


class CallStore:
    """Call the platform's store; the answer comes back with the call."""

    __slots__ = ('call',)

    def __init__(self, call: _call.Call) -> None:
        self.call = call


class CancelCall:
    """End the call for a topic that is under way, as one without an answer.

    :param topic: the topic.
    """

    __slots__ = ('topic',)

    def __init__(self, topic: str) -> None:
        self.topic = topic


class SendBeacon:
    """Send a beacon to some instances.

    :param hosts: where.
    :param beacon: what.
    """

    __slots__ = ('beacon', 'hosts')

    def __init__(self, hosts: list[str], beacon: _messages.Beacon) -> None:
        self.hosts = hosts
        self.beacon = beacon


class Fetch:
    """Ask a peer for what is missing here.

    :param host: the peer.
    :param topic: the topic's number.
    :param position: this instance's position.
    :param timeout_seconds: when to give up.
    """

    __slots__ = ('host', 'position', 'timeout_seconds', 'topic')

    def __init__(
        self,
        host: str,
        topic: int,
        position: revisions.Revision,
        timeout_seconds: float,
    ) -> None:
        self.host = host
        self.topic = topic
        self.position = position
        self.timeout_seconds = timeout_seconds


class TopicChanged:
    """The objects of a topic have changed.

    :param topic: the topic.
    :param revision: up to which revision they are known now.
    :param source: the host that told of it; empty for the store.
    :param paths: the names of the objects that changed.
    :param lag_seconds: how long ago they were written at most, by when the
        store last confirmed what was known; None where it never did.
    :param base: up to which revision they were known before.
    """

    __slots__ = (
        'base',
        'lag_seconds',
        'paths',
        'revision',
        'source',
        'topic',
    )

    def __init__(
        self,
        topic: str,
        revision: revisions.Revision,
        source: str,
        paths: list[str],
        lag_seconds: float | None = None,
        base: revisions.Revision = revisions.ZERO,
    ) -> None:
        self.topic = topic
        self.base = base
        self.revision = revision
        self.source = source
        self.paths = paths
        self.lag_seconds = lag_seconds


class PeerLoadReported:
    """Others have told what they carry of upstreams.

    :param source: the instance, or ``zone:NAME`` for all of a zone.
    :param loads: by incarnation of the upstream.
    """

    __slots__ = ('loads', 'source')

    def __init__(
        self, source: str, loads: dict[int, upstream_load.UpstreamLoad]
    ) -> None:
        self.source = source
        self.loads = loads


class CallerDemandReported:
    """A peer has told what callers ask for.

    :param source: the instance or the zone; empty for all other zones
        together.
    :param is_zone: whether it is a zone's sum, or several zones'.
    :param age_seconds: how old it is.
    :param demand: what was said.
    """

    __slots__ = ('age_seconds', 'demand', 'is_zone', 'source')

    def __init__(
        self, source: str, is_zone: bool, age_seconds: float, demand: bytes
    ) -> None:
        self.source = source
        self.is_zone = is_zone
        self.age_seconds = age_seconds
        self.demand = demand


class LastSeenRequested:
    """A peer doubts some upstreams: tell it through ``RelayCore.answer``.

    :param host: the peer's.
    :param incarnations: of the upstreams.
    """

    __slots__ = ('host', 'incarnations')

    def __init__(self, host: str, incarnations: tuple[int, ...]) -> None:
        self.host = host
        self.incarnations = incarnations


class LastSeenReported:
    """A peer has said which upstreams it heard.

    :param last_seen: how many seconds ago, by incarnation.
    """

    __slots__ = ('last_seen',)

    def __init__(self, last_seen: dict[int, float]) -> None:
        self.last_seen = last_seen


class UnreachableReported:
    """A peer of this zone has found upstreams out of reach.

    :param incarnations: of the upstreams.
    """

    __slots__ = ('incarnations',)

    def __init__(self, incarnations: tuple[int, ...]) -> None:
        self.incarnations = incarnations


class RecordEvent:
    """Write a log line and count.

    :param reason: what happened.
    :param details: by name.
    """

    __slots__ = ('details', 'reason')

    def __init__(self, reason: str, **details: object) -> None:
        self.reason = reason
        self.details = details
