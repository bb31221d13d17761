"""The overlay network of instances: who keeps streams to whom.

Every instance computes the same overlay from the same membership: several
rings within each zone, and several delegates of each zone that are linked to
delegates of the other zones. The number of streams of an instance does not
grow with the number of instances. Small fleets form a full mesh.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import functools
import heapq

import xxhash

from skylarkfold import light_imports


class OverlayMember(light_imports.Protocol):
    """The properties of an instance that determine the overlay.

    :ivar name: its name.
    :ivar zone: its availability zone.
    :ivar is_reachable: whether it may still receive messages.
    :ivar may_own: whether it may be assigned duties.
    :ivar capacity: its rank for duties; a higher capacity ranks first.
    """

    name: str
    zone: str
    is_reachable: bool
    may_own: bool
    capacity: int


class OverlayMembership(light_imports.Protocol):
    """All instances, by name."""

    members: Mapping[str, OverlayMember]


# Up to this number of reachable instances, all are linked to each other.
MESH_LIMIT = 12
# Rings within a zone, each in a different order of the zone's instances.
RINGS = 2
# Instances of a zone, highest rank first, that are linked to other zones.
DELEGATES = 3
# Instances of a zone, highest rank first, that read the platform's list of
# instances.
READERS = 2
_HASH_CACHE_SIZE = 4096


def list_neighbours(
    membership: OverlayMembership, name: str, mesh_limit: int = MESH_LIMIT
) -> tuple[str, ...]:
    """List the instances that an instance exchanges heartbeats with.

    :param membership: all members.
    :param name: the instance.
    :param mesh_limit: the largest number of reachable instances that form a
        full mesh.
    :returns: names in a fixed order, without the instance itself.
    """
    reachable = [
        each
        for each in membership.members.values()
        if each.is_reachable or each.name == name
    ]
    if len(reachable) <= mesh_limit:
        return tuple(sorted(_list_other_names(reachable, name)))
    own = membership.members.get(name)
    if own is None:
        return ()
    zone_names = [each.name for each in reachable if each.zone == own.zone]
    links = set(_list_ring_neighbours(zone_names, name))
    links.update(_list_delegate_links(reachable, own))
    links.discard(name)
    return tuple(sorted(links))


def rank_in_zone(membership: OverlayMembership, name: str) -> int:
    """Rank an instance within its zone for duties that only a few take.

    :param membership: all members.
    :param name: the instance.
    :returns: its rank, starting at 0; the number of eligible members if the
        instance itself is not eligible.
    """
    own = membership.members.get(name)
    if own is None:
        return 0
    ranked = rank_zone(membership.members.values(), own.zone)
    return ranked.index(name) if name in ranked else len(ranked)


def rank_zone(members: Iterable[OverlayMember], zone: str) -> list[str]:
    """Rank the instances of a zone for duties that only a few take.

    :param members: members of any zones.
    :param zone: the zone.
    :returns: the names of the zone's eligible members, highest rank first.
    """
    eligible = [each for each in members if each.zone == zone and each.may_own]
    return [each.name for each in sorted(eligible, key=_get_rank_key)]


def _list_other_names(
    members: Iterable[OverlayMember], name: str
) -> Iterable[str]:
    return (each.name for each in members if each.name != name)


def _list_ring_neighbours(names: list[str], name: str) -> Iterable[str]:
    for ring in range(RINGS):
        order = sorted(names, key=lambda each: _hash_ring_position(each, ring))
        position = order.index(name)
        yield order[position - 1]
        yield order[(position + 1) % len(order)]


def _list_delegate_links(
    members: list[OverlayMember], own: OverlayMember
) -> Iterable[str]:
    own_delegates = rank_zone(members, own.zone)[:DELEGATES]
    if own.name not in own_delegates:
        return
    delegates = _list_delegates(members)
    zones = sorted(delegates)
    position = own_delegates.index(own.name)
    for zone in zones:
        zone_delegates = delegates[zone]
        if zone == own.zone or not zone_delegates:
            continue
        yield zone_delegates[position % len(zone_delegates)]
        yield from _list_reverse_links(
            zone_delegates, len(own_delegates), position
        )


def _list_delegates(members: list[OverlayMember]) -> dict[str, list[str]]:
    zones: dict[str, list[OverlayMember]] = {}
    for each in members:
        eligible = zones.setdefault(each.zone, [])
        if each.may_own:
            eligible.append(each)
    return {
        zone: [
            each.name
            for each in heapq.nsmallest(DELEGATES, eligible, key=_get_rank_key)
        ]
        for zone, eligible in zones.items()
    }


def _get_rank_key(each: OverlayMember) -> tuple[int, int]:
    return (-each.capacity, _hash_rank(each.name))


def _list_reverse_links(
    zone_delegates: list[str], count: int, position: int
) -> list[str]:
    """List delegates of another zone that link to the one at a position."""
    return [
        name
        for index, name in enumerate(zone_delegates)
        if index % count == position
    ]


@functools.lru_cache(maxsize=_HASH_CACHE_SIZE)
def _hash_ring_position(name: str, ring: int) -> int:
    return xxhash.xxh3_64_intdigest(name.encode(), seed=ring + 1)


@functools.lru_cache(maxsize=_HASH_CACHE_SIZE)
def _hash_rank(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
