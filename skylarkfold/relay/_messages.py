"""Messages between instances: beacons and pages of objects.

Messages hold ages instead of times, since the clocks of instances differ.
"""

from __future__ import annotations

from skylarkfold.relay import _item
from skylarkfold import revision as revisions
from skylarkfold import upstream_load


class RetainedItem:
    """An object that the sender retains from a former era of the store.

    :param item: the object; without a value if it was deleted.
    :param left_seconds: the remaining retention time, after which the next
        answer of the store ends it.
    """

    __slots__ = ('item', 'left_seconds')

    def __init__(self, item: _item.Item, left_seconds: float) -> None:
        self.item = item
        self.left_seconds = left_seconds


# Above all ranks: where it isn't known whom the store answered.
UNKNOWN_RANK = 0xFFFF


class Position:
    """The sender's position in a topic.

    :param revision: the revision up to which the sender knows all changes.
    :param changed: the revision of the last change, in the same era: a
        receiver that knows this one lacks nothing.
    :param age_seconds: how long ago the store confirmed the position; None if
        it never did.
    :param retained: how many objects the sender retains from former eras.
    :param confirmed_by: the fleet rank of the instance that the store
        confirmed it to; ``UNKNOWN_RANK`` if it isn't known.
    """

    __slots__ = (
        'age_seconds',
        'changed',
        'confirmed_by',
        'retained',
        'revision',
    )

    def __init__(
        self,
        revision: revisions.Revision,
        changed: revisions.Revision,
        age_seconds: float | None,
        retained: int = 0,
        confirmed_by: int = UNKNOWN_RANK,
    ) -> None:
        self.confirmed_by = confirmed_by
        self.retained = retained
        self.revision = revision
        self.changed = changed
        self.age_seconds = age_seconds


class TopicDelta:
    """Changes of one topic in a beacon.

    :param topic: the topic's number.
    :param base: the revision that the changes follow. A receiver can apply
        them from this position in the same era on.
    :param items: the objects that changed after it.
    """

    __slots__ = ('base', 'items', 'topic')

    def __init__(
        self,
        topic: int,
        base: revisions.Revision,
        items: tuple[_item.Item, ...],
    ) -> None:
        self.topic = topic
        self.base = base
        self.items = items


class KnownInstance:
    """An instance that the sender knows.

    :param name: its name.
    :param zone: its availability zone.
    :param host: its address.
    :param capacity: as in :class:`Beacon`.
    :param age_seconds: how long ago it was last heard by any instance.
    """

    __slots__ = ('age_seconds', 'capacity', 'host', 'name', 'zone')

    def __init__(
        self,
        name: str,
        zone: str,
        host: str,
        capacity: int,
        age_seconds: float,
    ) -> None:
        self.name = name
        self.zone = zone
        self.host = host
        self.capacity = capacity
        self.age_seconds = age_seconds


class LoadReport:
    """The loads of upstreams from an instance or from a whole zone.

    :param source: the name of the instance or zone.
    :param is_zone: whether it is a zone.
    :param age_seconds: the age of the report.
    :param loads: the loads, by incarnation of the upstream.
    """

    __slots__ = ('age_seconds', 'is_zone', 'loads', 'source')

    def __init__(
        self,
        source: str,
        is_zone: bool,
        age_seconds: float,
        loads: dict[int, upstream_load.UpstreamLoad],
    ) -> None:
        self.source = source
        self.is_zone = is_zone
        self.age_seconds = age_seconds
        self.loads = loads


class CallerReport:
    """The demand of callers on services that are short of capacity.

    ``shares`` encodes and decodes the demands.

    :param demand: the demand counted by the sender; in a beacon to another
        zone, the total demand in the sender's zone.
    :param other_zones: the total demand in other zones, passed on within a
        zone.
    :param age_seconds: the age of ``other_zones``.
    """

    __slots__ = ('age_seconds', 'demand', 'other_zones')

    def __init__(
        self, demand: bytes, other_zones: bytes = b'', age_seconds: float = 0.0
    ) -> None:
        self.demand = demand
        self.other_zones = other_zones
        self.age_seconds = age_seconds


class Beacon:
    """A status message that an instance sends to neighbours periodically.

    :param name: the sender's name.
    :param zone: its availability zone.
    :param capacity: its spare capacity, by which instances are ranked.
    :param is_leaving: whether it is shutting down.
    :param wants_answer: whether the receiver is to send its own beacon at
        once.
    :param positions: the sender's positions, one for each topic.
    :param delta: changes of a topic, if they are small.
    :param loads: reports on the load of upstreams.
    :param known_instances: some of the instances that the sender knows.
    :param doubts: incarnations of upstreams in doubt; the receiver answers if
        it has heard from them lately.
    :param last_seen: how many seconds ago the sender heard from upstreams
        that the receiver doubted, by incarnation.
    :param lost: incarnations of upstreams that the sender found unreachable.
    :param ages: how many seconds ago instances were last heard by any
        instance, by the digests of their names.
    :param silent: the same for instances that have just been found silent.
    :param callers: the demand of callers; None if no service is short of
        capacity.
    """

    __slots__ = (
        'ages',
        'callers',
        'capacity',
        'delta',
        'doubts',
        'is_leaving',
        'known_instances',
        'last_seen',
        'loads',
        'lost',
        'name',
        'positions',
        'silent',
        'wants_answer',
        'zone',
    )

    def __init__(
        self,
        name: str,
        zone: str,
        capacity: int,
        is_leaving: bool,
        wants_answer: bool,
        positions: tuple[Position, ...],
        delta: TopicDelta | None = None,
        loads: tuple[LoadReport, ...] = (),
        known_instances: tuple[KnownInstance, ...] = (),
        doubts: tuple[int, ...] = (),
        last_seen: dict[int, float] | None = None,
        lost: tuple[int, ...] = (),
        ages: dict[int, float] | None = None,
        silent: dict[int, float] | None = None,
        callers: CallerReport | None = None,
    ) -> None:
        self.name = name
        self.zone = zone
        self.capacity = capacity
        self.is_leaving = is_leaving
        self.wants_answer = wants_answer
        self.positions = positions
        self.delta = delta
        self.loads = loads
        self.known_instances = known_instances
        self.doubts = doubts
        self.last_seen = last_seen or {}
        self.lost = lost
        self.ages = ages or {}
        self.silent = silent or {}
        self.callers = callers


class Page:
    """The answer to a fetch: the changes after the receiver's position.

    :param base: the position in the fetch.
    :param revision: the sender's position.
    :param is_snapshot: whether the items are all objects, so that absent ones
        are deleted.
    :param age_seconds: as in :class:`Position`.
    :param items: the objects; deleted ones have no value.
    :param era_seconds: how long the sender has known the store's era.
    :param retained_items: the objects that the sender retains from former
        eras.
    :param packed: the encoded items, if they have been encoded already.
    """

    __slots__ = (
        'age_seconds',
        'base',
        'era_seconds',
        'is_snapshot',
        'items',
        'packed',
        'retained_items',
        'revision',
    )

    def __init__(
        self,
        base: revisions.Revision,
        revision: revisions.Revision,
        is_snapshot: bool,
        age_seconds: float | None,
        items: tuple[_item.Item, ...],
        era_seconds: float = 0.0,
        retained_items: tuple[RetainedItem, ...] = (),
        packed: bytes = b'',
    ) -> None:
        self.packed = packed
        self.era_seconds = era_seconds
        self.retained_items = retained_items
        self.base = base
        self.revision = revision
        self.is_snapshot = is_snapshot
        self.age_seconds = age_seconds
        self.items = items
