"""Effects: the actions and reports that the relay hands to its caller."""

from __future__ import annotations

from skylarkfold.relay import _messages
from skylarkfold.relay import _store_call
from skylarkfold import revision as revisions
from skylarkfold import upstream_load


class CallStore:
    """Call the platform's store.

    The answer is handed to ``RelayCore.handle_answer``.

    :param call: the call.
    """

    __slots__ = ('call',)

    def __init__(self, call: _store_call.Call) -> None:
        self.call = call


class CancelCall:
    """Cancel the call for a topic that is under way.

    Its answer has the status ``ABANDONED``.

    :param topic: the topic's name.
    """

    __slots__ = ('topic',)

    def __init__(self, topic: str) -> None:
        self.topic = topic


class SendBeacon:
    """Send a beacon to some instances.

    :param hosts: their hosts.
    :param beacon: the beacon.
    """

    __slots__ = ('beacon', 'hosts')

    def __init__(self, hosts: list[str], beacon: _messages.Beacon) -> None:
        self.hosts = hosts
        self.beacon = beacon


class Fetch:
    """Fetch the changes of a topic that this instance lacks from a peer.

    The result is handed to ``RelayCore.handle_page``.

    :param host: the peer's host.
    :param topic: the topic's number.
    :param position: this instance's position.
    :param timeout_seconds: when the fetch fails without an answer.
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

    :param topic: the topic's name.
    :param revision: the position after the change.
    :param source: the host that sent the change; empty for the store.
    :param paths: the paths of the changed objects.
    :param lag_seconds: an upper bound for how long ago they were written: the
        time since the store last confirmed the previous position; None if it
        never did.
    :param base: the position before the change.
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
    """A load report on upstreams has arrived.

    :param source: the instance, or ``zone:NAME`` for a whole zone.
    :param loads: the loads, by incarnation of the upstream.
    """

    __slots__ = ('loads', 'source')

    def __init__(
        self, source: str, loads: dict[int, upstream_load.UpstreamLoad]
    ) -> None:
        self.source = source
        self.loads = loads


class CallerDemandReported:
    """A report on callers' demand has arrived.

    :param source: the instance or the zone; empty for the total of all other
        zones.
    :param is_zone: whether it is the total of a zone or of several zones.
    :param age_seconds: the age of the report.
    :param demand: the demand, encoded by ``shares``.
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
    """A peer asks when upstreams in doubt were last heard from here.

    The answer is sent by ``Announcer.answer``.

    :param host: the peer's host.
    :param incarnations: the upstreams' incarnations.
    """

    __slots__ = ('host', 'incarnations')

    def __init__(self, host: str, incarnations: tuple[int, ...]) -> None:
        self.host = host
        self.incarnations = incarnations


class LastSeenReported:
    """A peer has reported when it last heard from upstreams in doubt.

    :param last_seen: how many seconds ago, by incarnation of the upstream.
    """

    __slots__ = ('last_seen',)

    def __init__(self, last_seen: dict[int, float]) -> None:
        self.last_seen = last_seen


class UnreachableReported:
    """A peer in this zone has found upstreams unreachable.

    :param incarnations: the upstreams' incarnations.
    """

    __slots__ = ('incarnations',)

    def __init__(self, incarnations: tuple[int, ...]) -> None:
        self.incarnations = incarnations


class RecordEvent:
    """Log an event and count it.

    :param reason: the kind of event.
    :param details: the fields of the log line.
    """

    __slots__ = ('details', 'reason')

    def __init__(self, reason: str, **details: object) -> None:
        self.reason = reason
        self.details = details
