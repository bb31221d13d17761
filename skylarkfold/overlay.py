"""Which instances an instance keeps streams to.

Every instance computes the same overlay from the same members: a few
rings within each zone, and a few delegates of each zone linked to their
counterparts in the other zones. Its cost for one instance does not grow
with the fleet. Small fleets are meshes.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import functools
import heapq

import xxhash

from skylarkfold import light_imports


class OverlayMember(light_imports.Protocol):
    """An instance as the overlay sees it.

    :ivar name: its name.
    :ivar zone: its availability zone.
    :ivar is_reachable: whether messages to it are worth sending.
    :ivar may_own: whether it may be given duties.
    :ivar capacity: the more of it, the sooner it is given duties.
    """

    name: str
    zone: str
    is_reachable: bool
    may_own: bool
    capacity: int


class OverlayMembership(light_imports.Protocol):
    """All instances, by name."""

    members: Mapping[str, OverlayMember]


MESH_LIMIT = 12
RINGS = 2
DELEGATES = 3
READERS = 2
_CACHED_HASHES = 4096


def list_neighbours(
    membership: OverlayMembership, name: str, mesh_limit: int = MESH_LIMIT
) -> tuple[str, ...]:
    """List the instances that an instance exchanges heartbeats with.

    :param membership: all members.
    :param name: the instance.
    :param mesh_limit: up to so many instances are a mesh.
    :returns: names in a fixed order, without the instance itself.
    """
    reachable = [
        each
        for each in membership.members.values()
        if each.is_reachable or each.name == name
    ]
    if len(reachable) <= mesh_limit:
        return tuple(sorted(_list_others(reachable, name)))
    own = membership.members.get(name)
    if own is None:
        return ()
    mates = [each.name for each in reachable if each.zone == own.zone]
    links = set(_list_ring_mates(mates, name))
    links.update(_list_counterparts(reachable, own))
    links.discard(name)
    return tuple(sorted(links))


def rank_in_zone(membership: OverlayMembership, name: str) -> int:
    """Rank an instance among its zone's, for duties that few have.

    :param membership: all members.
    :param name: the instance.
    :returns: 0 for the first; as many as there are owners for one that
        may not own anything itself.
    """
    own = membership.members.get(name)
    if own is None:
        return 0
    ranked = rank_zone(membership.members.values(), own.zone)
    return ranked.index(name) if name in ranked else len(ranked)


def rank_zone(members: Iterable[OverlayMember], zone: str) -> list[str]:
    """Order a zone's instances for duties that few have.

    :param members: any members.
    :param zone: the zone.
    :returns: the names of those that may own state.
    """
    able = [each for each in members if each.zone == zone and each.may_own]
    return [each.name for each in sorted(able, key=_rank)]


def _list_others(members: Iterable[OverlayMember], name: str) -> Iterable[str]:
    return (each.name for each in members if each.name != name)


def _list_ring_mates(names: list[str], name: str) -> Iterable[str]:
    for ring in range(RINGS):
        order = sorted(names, key=lambda each: _hash_ring(each, ring))
        place = order.index(name)
        yield order[place - 1]
        yield order[(place + 1) % len(order)]


def _list_counterparts(
    members: list[OverlayMember], own: OverlayMember
) -> Iterable[str]:
    ours = rank_zone(members, own.zone)[:DELEGATES]
    if own.name not in ours:
        return
    delegates = _rank_zones(members)
    zones = sorted(delegates)
    place = ours.index(own.name)
    for zone in zones:
        theirs = delegates[zone]
        if zone == own.zone or not theirs:
            continue
        yield theirs[place % len(theirs)]
        yield from _list_reverse(theirs, len(ours), place)


def _rank_zones(members: list[OverlayMember]) -> dict[str, list[str]]:
    zones: dict[str, list[OverlayMember]] = {}
    for each in members:
        owners = zones.setdefault(each.zone, [])
        if each.may_own:
            owners.append(each)
    return {
        zone: [
            each.name for each in heapq.nsmallest(DELEGATES, owners, key=_rank)
        ]
        for zone, owners in zones.items()
    }


def _rank(each: OverlayMember) -> tuple[int, int]:
    return (-each.capacity, _hash_rank(each.name))


def _list_reverse(theirs: list[str], count: int, place: int) -> list[str]:
    return [
        name for index, name in enumerate(theirs) if index % count == place
    ]


@functools.lru_cache(maxsize=_CACHED_HASHES)
def _hash_ring(name: str, ring: int) -> int:
    return xxhash.xxh3_64_intdigest(name.encode(), seed=ring + 1)


@functools.lru_cache(maxsize=_CACHED_HASHES)
def _hash_rank(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
