"""The table of known instances and their reachability."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold import overlay
from skylarkfold.relay import _gossip
from skylarkfold.relay import _messages
from skylarkfold.relay import _peer
from skylarkfold.relay import _settings
from skylarkfold import upstream_load

_NEVER = float('-inf')


class PeerTable:
    """Table of all known instances, this one included.

    "Mates" are the other instances of this instance's zone.

    :param own: this instance.
    :param settings: the relay's settings.
    :ivar members: the instances by name, in the form for ``overlay``.
    :ivar gossip: chooses what peers are told about other instances.
    """

    __slots__ = (
        '_by_digest',
        '_fleet_rank',
        '_neighbours',
        '_own',
        '_rank',
        '_resumed_at',
        '_seeds',
        '_settings',
        '_zone_count',
        'gossip',
        'members',
    )

    def __init__(
        self, own: _peer.Peer, settings: _settings.RelaySettings
    ) -> None:
        self._own = own
        self._settings = settings
        self._seeds: tuple[str, ...] = ()
        self._by_digest: dict[int, _peer.Peer] = {}
        self._resumed_at = _NEVER
        self.members: dict[str, _peer.Peer] = {own.name: own}
        self.gossip = _gossip.Gossip(own, self.members)
        self._neighbours: tuple[str, ...] | None = None
        self._rank = 0
        self._fleet_rank = 0
        self._zone_count = 1

    def set_seeds(self, hosts: Iterable[str]) -> None:
        """Set the hosts that are contacted to find other instances.

        :param hosts: the hosts; some of them may no longer exist.
        """
        self._seeds = tuple(hosts)

    def record_beacon(
        self, now: float, host: str, beacon: _messages.Beacon
    ) -> _peer.Peer:
        """Update the table from a beacon.

        :param now: the current time.
        :param host: the sender's host.
        :param beacon: the beacon.
        :returns: the sender.
        """
        peer = self.members.get(beacon.name)
        if peer is None:
            peer = _peer.Peer(beacon.name, beacon.zone, host, beacon.capacity)
            self._add(peer)
        if not peer.is_reachable or peer.last_beacon_at == _NEVER:
            peer.reachable_since = now
        before = peer.may_own, peer.zone
        peer.host = host
        peer.zone = beacon.zone
        peer.last_heard_at = peer.last_beacon_at = now
        peer.positions = beacon.positions
        peer.is_leaving = beacon.is_leaving
        peer.is_reachable = True
        if before != (peer.may_own, peer.zone):
            self._neighbours = None
        for each in beacon.known_instances:
            self._handle_known_instance(now, each)
        for digest, age in beacon.ages.items():
            known = self._by_digest.get(digest)
            if known is not None:
                known.last_heard_at = max(known.last_heard_at, now - age)
        for digest, age in beacon.silent.items():
            known = self._by_digest.get(digest)
            if known is not None and known.is_reachable:
                self._handle_silent(now, known, now - age)
        return peer

    def _handle_silent(
        self, now: float, peer: _peer.Peer, last_heard_at: float
    ) -> None:
        """Process the report of a peer that an instance fell silent."""
        limit = self._settings.silence_seconds
        is_heard_here = peer.last_heard_at > last_heard_at + limit
        if now - peer.last_heard_at > limit and not is_heard_here:
            self._mark_unreachable(peer)

    def _mark_unreachable(self, peer: _peer.Peer) -> None:
        peer.is_reachable = False
        peer.last_heard_before_loss = peer.last_heard_at
        self.gossip.record_silent(peer)
        self._handle_peer_change(peer)

    def _handle_known_instance(
        self, now: float, known: _messages.KnownInstance
    ) -> None:
        last_heard_at = now - known.age_seconds
        if now - last_heard_at > self._settings.hearsay_seconds:
            return
        peer = self.members.get(known.name)
        if peer is None:
            peer = _peer.Peer(
                known.name, known.zone, known.host, known.capacity
            )
            self._add(peer)
        if peer is not self._own and last_heard_at > peer.last_heard_at:
            peer.last_heard_at = last_heard_at
            peer.host = known.host

    def _add(self, peer: _peer.Peer) -> None:
        self.members[peer.name] = peer
        self._by_digest[peer.digest] = peer
        self.gossip.record_new(peer)
        self._handle_peer_change(peer)

    def _handle_peer_change(self, peer: _peer.Peer) -> None:
        """Have the neighbours computed again if a change may affect them.

        Only delegates have links to other zones, so instances of other zones
        don't matter to the rest.
        """
        if peer.zone == self._own.zone or self._rank < overlay.DELEGATES:
            self._neighbours = None

    def refresh(self, now: float) -> None:
        """Update which instances are reachable and drop forgotten ones.

        :param now: the current time.
        """
        neighbours = frozenset(self.list_neighbours())
        for name, peer in list(self.members.items()):
            if peer is self._own:
                continue
            if (
                self._compute_silence(now, peer)
                > self._settings.forget_seconds
            ):
                del self.members[name]
                self._by_digest.pop(peer.digest, None)
                self._handle_peer_change(peer)
                continue
            if name not in neighbours:
                peer.neighbour_since = None
            elif peer.neighbour_since is None:
                peer.neighbour_since = now
            is_reachable = self._is_still_reachable(now, peer)
            if peer.is_reachable and not is_reachable:
                self._mark_unreachable(peer)
            elif is_reachable and not peer.is_reachable:
                peer.is_reachable = True
                peer.reachable_since = now
                self._handle_peer_change(peer)

    def _is_still_reachable(self, now: float, peer: _peer.Peer) -> bool:
        settings = self._settings
        silence = self._compute_silence(now, peer)
        if silence > settings.hearsay_seconds:
            return False
        if not peer.is_reachable:
            # Other instances may have last heard it a little later than this
            # one did, which is no sign of a recovery.
            return (
                peer.last_heard_at
                > peer.last_heard_before_loss + settings.silence_seconds
            )
        if peer.neighbour_since is None:
            return True
        since = max(peer.last_beacon_at, peer.neighbour_since)
        if min(silence, now - since) <= settings.silence_seconds:
            return True
        # A live neighbour sends beacons in return for this instance's, so its
        # silence means that it is down, unless others still hear it.
        return peer.last_heard_at - since > settings.silence_seconds

    def resume(self, now: float) -> None:
        """Count no silence from before the end of a pause of the process.

        :param now: the current time.
        """
        self._resumed_at = now

    def _compute_silence(self, now: float, peer: _peer.Peer) -> float:
        # Beacons missed during a pause of this process are not a silence.
        return now - max(peer.last_heard_at, self._resumed_at)

    def list_neighbours(self) -> tuple[str, ...]:
        """Return the instances that beacons are sent to.

        :returns: their names.
        """
        if self._neighbours is None:
            self._neighbours = overlay.list_neighbours(
                self, self._own.name, mesh_limit=0
            )
            self._rank = overlay.rank_in_zone(self, self._own.name)
            self._fleet_rank = self._compute_fleet_rank()
        return self._neighbours

    def compute_rank(self) -> int:
        """Return the rank of this instance within its zone.

        :returns: the rank; 0 is the first.
        """
        self.list_neighbours()
        return self._rank

    def compute_fleet_rank(self) -> int:
        """Return the rank of this instance within the fleet.

        The first instances of all zones come before the second ones.

        :returns: the rank; 0 is the first.
        """
        self.list_neighbours()
        return self._fleet_rank

    def count_zones(self) -> int:
        """Return how many zones have an instance that may be a watcher.

        :returns: the number of zones, this instance's own included.
        """
        self.list_neighbours()
        return self._zone_count

    def _compute_fleet_rank(self) -> int:
        zones = {each.zone for each in self.members.values() if each.may_own}
        zones.add(self._own.zone)
        self._zone_count = len(zones)
        index = sum(zone < self._own.zone for zone in zones)
        return self._rank * len(zones) + index

    def handle_own_change(self) -> None:
        """Have the neighbours computed again after an own change."""
        self._neighbours = None

    def list_hosts(self, is_near: bool) -> list[str]:
        """Return the hosts of the neighbours.

        :param is_near: whether of those in this zone or in other zones.
        :returns: the hosts.
        """
        return [
            self.members[name].host
            for name in self.list_neighbours()
            if (self.members[name].zone == self._own.zone) == is_near
        ]

    def list_mates(self) -> list[str]:
        """Return the other instances of this zone, unreachable ones included.

        :returns: their names.
        """
        return [
            peer.name
            for peer in self.members.values()
            if peer.zone == self._own.zone and peer is not self._own
        ]

    def count_mates(self) -> int:
        """Return how many other instances of this zone are reachable.

        :returns: the number of instances.
        """
        return sum(
            peer.is_reachable
            for peer in self.members.values()
            if peer.zone == self._own.zone and peer is not self._own
        )

    def may_leave(self, now: float) -> bool:
        """Return whether enough instances of the zone would stay in rotation.

        With fewer than half of a zone's instances in rotation, routers send
        packets to all of them again, those that are down included.

        :param now: the current time.
        :returns: whether at least half would be left.
        """
        since = now - self._settings.rotation_seconds
        mates = [
            peer
            for peer in self.members.values()
            if peer.zone == self._own.zone and peer is not self._own
        ]
        ready = [
            peer
            for peer in mates
            if peer.may_own and peer.reachable_since <= since
        ]
        return 2 * len(ready) >= len(mates) + 1

    def sum_loads(self) -> dict[int, upstream_load.UpstreamLoad]:
        """Return the total load of upstreams from this zone's instances.

        :returns: the loads, by incarnation of the upstream.
        """
        total: dict[int, upstream_load.UpstreamLoad] = {}
        for peer in self.members.values():
            if peer.zone == self._own.zone and peer.is_reachable:
                for upstream, load in peer.loads.items():
                    known = total.get(upstream, upstream_load.NO_LOAD)
                    total[upstream] = known.add(load)
        return total

    def list_unreachable_seeds(self) -> list[str]:
        """Return the seeds that aren't the host of a reachable instance.

        :returns: the hosts.
        """
        known = {
            peer.host for peer in self.members.values() if peer.is_reachable
        }
        return [host for host in self._seeds if host not in known]

    def list_unreachable_zone_hosts(self) -> list[str]:
        """Return hosts to contact in zones without a reachable instance.

        :returns: the hosts of the instances that were heard last; none unless
            this instance is a delegate, which keeps links to other zones.
        """
        if self.compute_rank() >= overlay.DELEGATES:
            return []
        zones: dict[str, list[_peer.Peer]] = {}
        for peer in self.members.values():
            zones.setdefault(peer.zone, []).append(peer)
        hosts = []
        for peers in zones.values():
            if not any(peer.is_reachable for peer in peers):
                latest = sorted(peers, key=lambda peer: -peer.last_heard_at)
                hosts += [peer.host for peer in latest[: overlay.DELEGATES]]
        return hosts

    def needs_introduction(self, now: float, peer: _peer.Peer) -> bool:
        """Return whether a peer is to be sent the instances near to it.

        A peer that sends beacons here without being a neighbour seems to know
        too few instances.

        :param now: the current time.
        :param peer: the sender of a beacon.
        :returns: whether it is no neighbour and wasn't sent any lately.
        """
        if now - peer.introduced_at < self._settings.slow_seconds:
            return False
        return peer.name not in self.list_neighbours()
