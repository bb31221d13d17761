"""What instances tell one another: beacons, and pages of objects.

Times are durations, since clocks differ.
"""

from __future__ import annotations

from skylarkfold.relay import _item
from skylarkfold import revision as revisions
from skylarkfold import upstream_load


class RetainedItem:
    """An object that the sender goes on with in the form of a former era.

    :param item: the object; without a value where it was deleted.
    :param left_seconds: how much longer; then until the store is heard.
    """

    __slots__ = ('item', 'left_seconds')

    def __init__(self, item: _item.Item, left_seconds: float) -> None:
        self.item = item
        self.left_seconds = left_seconds


class Position:
    """How far the sender knows a topic.

    :param revision: everything up to it is known there.
    :param changed: the revision of the last change among that, in the same
        era: a receiver that knows it lacks nothing.
    :param age_seconds: how long ago the store confirmed it, as far as the
        sender knows; None for never.
    :param retained: how many objects it goes on with in the form of a former
        era.
    """

    __slots__ = ('age_seconds', 'changed', 'retained', 'revision')

    def __init__(
        self,
        revision: revisions.Revision,
        changed: revisions.Revision,
        age_seconds: float | None,
        retained: int = 0,
    ) -> None:
        self.retained = retained
        self.revision = revision
        self.changed = changed
        self.age_seconds = age_seconds


class TopicDelta:
    """Changes of one topic that travel with a beacon.

    :param topic: the topic's number.
    :param base: who knows everything up to this revision, of the same era,
        can take them.
    :param items: what changed after it.
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

    :param capacity: as in :class:`Beacon`.
    :param age_seconds: how long ago it was last heard by anyone.
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
    """What an instance carries of upstreams, or all of a zone do.

    :param source: the instance or zone.
    :param is_zone: whether it is a zone's.
    :param age_seconds: how old it is.
    :param loads: by incarnation of the upstream.
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
    """What callers ask for, where a service is short of room.

    The words are written and read by ``shares``.

    :param demand: what the sender counts; its zone's sum, told to other zones.
    :param other_zones: the sum of other zones, passed on within a zone.
    :param age_seconds: how old that is.
    """

    __slots__ = ('age_seconds', 'demand', 'other_zones')

    def __init__(
        self, demand: bytes, other_zones: bytes = b'', age_seconds: float = 0.0
    ) -> None:
        self.demand = demand
        self.other_zones = other_zones
        self.age_seconds = age_seconds


class Beacon:
    """What an instance tells its neighbours several times a second.

    :param name: the sender's name.
    :param zone: its availability zone.
    :param capacity: the more of it, the sooner it is given duties.
    :param is_leaving: whether it is about to end.
    :param wants_answer: whether the receiver shall send its own at once.
    :param positions: one for each topic.
    :param delta: changes, where they are small.
    :param loads: its own load, and now and then those of zones.
    :param known_instances: some of the instances that it knows.
    :param doubts: incarnations of upstreams that the receiver shall say of
        whether it has heard them.
    :param last_seen: how many seconds ago it heard the upstreams that the
        receiver doubts, by incarnation.
    :param lost: incarnations of upstreams that it has just found out of reach.
    :param ages: how many seconds ago instances were last heard by anyone,
        by the digests of their names.
    :param silent: the same for instances that are silent to a neighbour.
    :param callers: what callers ask for; None where no room is short.
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
    """The answer to a fetch: everything above the asker's position.

    :param base: the position that was asked from.
    :param revision: the position of the sender.
    :param is_snapshot: whether absent objects are deleted.
    :param age_seconds: as in :class:`Position`.
    :param items: the objects, deleted ones with no value.
    :param era_seconds: how long the sender has known the store's era.
    :param retained_items: what the sender retains of former eras.
    :param packed: the objects as they are sent, where they are packed already.
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
