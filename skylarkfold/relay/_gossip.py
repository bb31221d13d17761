"""Gossip: what an instance tells its neighbours about other instances.

Within a zone, instances exchange how long ago each was last heard by anyone,
so that an instance is known to be alive without a beacon of its own, and
report at once which ones fell silent. Other zones only learn of delegates.
"""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold import overlay
from skylarkfold.relay import _messages
from skylarkfold.relay import _peer

# Known instances in a beacon, in rotation, for receivers that missed them when
# they were new.
_ROTATING_COUNT = 4
# Known instances in a beacon at most, new ones included. Together with the
# ages of a whole zone they fit into one packet.
_MAXIMUM_INSTANCES = 12
# How many beacons in a row name a new instance; one of them may be lost.
_NEW_INSTANCE_REPEATS = 2
# How many beacons in a row name an instance that fell silent; one of them may
# be lost.
_SILENT_INSTANCE_REPEATS = 3
# Instances of a zone that other zones are told of: its delegates and the next
# one in rank.
_REPORTED_DELEGATES = overlay.DELEGATES + 1


class Gossip:
    """Selection of the instances that beacons tell about.

    :param own: this instance.
    :param members: all known instances, by name.
    """

    __slots__ = (
        '_new_repeats',
        '_own',
        '_rotation_start',
        '_silent_far',
        '_silent_near',
        'members',
    )

    def __init__(
        self, own: _peer.Peer, members: dict[str, _peer.Peer]
    ) -> None:
        self._own = own
        self.members = members
        self._rotation_start = 0
        # How many more beacons name each instance, by name.
        self._new_repeats: dict[str, int] = {}
        self._silent_near: dict[str, int] = {}
        self._silent_far: dict[str, int] = {}

    def record_new(self, peer: _peer.Peer) -> None:
        """Record an instance that wasn't known before.

        :param peer: the instance.
        """
        self._new_repeats[peer.name] = _NEW_INSTANCE_REPEATS

    def record_silent(self, peer: _peer.Peer) -> None:
        """Record an instance that was found unreachable.

        :param peer: the instance.
        """
        self._silent_near[peer.name] = _SILENT_INSTANCE_REPEATS
        if peer.zone == self._own.zone:
            # Only an instance's own zone reports it to other zones, since a
            # partition between two zones doesn't affect a third.
            self._silent_far[peer.name] = _SILENT_INSTANCE_REPEATS

    def list_silent(self, now: float, is_near: bool) -> dict[int, float]:
        """Return the instances that fell silent, for one beacon.

        :param now: the current time.
        :param is_near: whether the beacon goes to this zone or to others.
        :returns: how many seconds ago each instance was last heard, by the
            digest of its name.
        """
        silent = self._silent_near if is_near else self._silent_far
        found: dict[int, float] = {}
        for name, repeats in list(silent.items()):
            peer = self.members.get(name)
            if peer is not None and not peer.is_reachable:
                found[peer.digest] = now - peer.last_heard_at
            if repeats > 1:
                silent[name] = repeats - 1
            else:
                del silent[name]
        return found

    def choose_for_zone(
        self, now: float
    ) -> tuple[tuple[_messages.KnownInstance, ...], dict[int, float]]:
        """Choose what a beacon to this zone tells about other instances.

        :param now: the current time.
        :returns: some instances, new ones first, then others in rotation; and
            how many seconds ago each candidate was last heard by anyone, by
            the digest of its name.
        """
        candidates = self._list_candidates()
        ages = {peer.digest: now - peer.last_heard_at for peer in candidates}
        return _describe(now, self._choose_instances(candidates)), ages

    def _choose_instances(
        self, candidates: list[_peer.Peer]
    ) -> list[_peer.Peer]:
        if not candidates:
            return []
        chosen = self._take_new(candidates)
        start = self._rotation_start % len(candidates)
        self._rotation_start = start + _ROTATING_COUNT
        rotated = (candidates[start:] + candidates[:start])[:_ROTATING_COUNT]
        return chosen + [peer for peer in rotated if peer not in chosen]

    def _take_new(self, candidates: list[_peer.Peer]) -> list[_peer.Peer]:
        new_repeats = self._new_repeats
        for name in [each for each in new_repeats if each not in self.members]:
            del new_repeats[name]
        chosen = [peer for peer in candidates if peer.name in new_repeats]
        del chosen[_MAXIMUM_INSTANCES - _ROTATING_COUNT :]
        for peer in chosen:
            new_repeats[peer.name] -= 1
            if not new_repeats[peer.name]:
                del new_repeats[peer.name]
        return chosen

    def choose_for_other_zones(
        self, now: float
    ) -> tuple[_messages.KnownInstance, ...]:
        """Choose the instances that a beacon to other zones names.

        :param now: the current time.
        :returns: the instances of this zone with the lowest ranks.
        """
        delegates = self._list_delegates(self._own.zone)
        return _describe(
            now, [each for each in delegates if each != self._own]
        )

    def choose_for_peer(
        self, now: float, peer: _peer.Peer
    ) -> tuple[_messages.KnownInstance, ...]:
        """Choose the instances to name to a peer that may know too few.

        :param now: the current time.
        :param peer: the peer.
        :returns: its neighbours, as computed from the members known here.
        """
        peer.introduced_at = now
        names = overlay.list_neighbours(self, peer.name, mesh_limit=0)
        chosen = [
            self.members[name] for name in names if name != self._own.name
        ]
        chosen.sort(key=lambda each: each.zone != peer.zone)
        return _describe(now, chosen[:_MAXIMUM_INSTANCES])

    def _list_candidates(self) -> list[_peer.Peer]:
        """Return the others of this zone and the delegates of other zones."""
        zones = {peer.zone for peer in self.members.values()}
        candidates = [
            peer
            for peer in self.members.values()
            if peer.zone == self._own.zone and peer.is_reachable
        ]
        candidates.remove(self._own)
        for zone in sorted(zones - {self._own.zone}):
            candidates += self._list_delegates(zone)
        return candidates

    def _list_delegates(self, zone: str) -> list[_peer.Peer]:
        names = overlay.rank_zone(self.members.values(), zone)
        return [self.members[name] for name in names[:_REPORTED_DELEGATES]]


def _describe(
    now: float, chosen: Iterable[_peer.Peer]
) -> tuple[_messages.KnownInstance, ...]:
    return tuple(
        _messages.KnownInstance(
            each.name,
            each.zone,
            each.host,
            each.capacity,
            max(0.0, now - each.last_heard_at),
        )
        for each in chosen
    )
