"""The other instances, as far as they are heard here."""

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
    """All instances that are known, this one included.

    :param own: this instance.
    :param settings: the relay's settings.
    :ivar members: by name, as the overlay wants them.
    :ivar gossip: what is told of them.
    """

    __slots__ = (
        '_awake_at',
        '_by_digest',
        '_neighbours',
        '_own',
        '_rank',
        '_seeds',
        '_settings',
        '_turn',
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
        self._awake_at = _NEVER
        self.members: dict[str, _peer.Peer] = {own.name: own}
        self.gossip = _gossip.Gossip(own, self.members)
        self._neighbours: tuple[str, ...] | None = None
        self._rank = 0
        self._turn = 0

    def set_seeds(self, hosts: Iterable[str]) -> None:
        """Take the hosts where instances may be found.

        :param hosts: some of them may be gone.
        """
        self._seeds = tuple(hosts)

    def hear(
        self, now: float, host: str, beacon: _messages.Beacon
    ) -> _peer.Peer:
        """Take a beacon.

        :param now: the time.
        :param host: where it came from.
        :param beacon: the beacon.
        :returns: its sender.
        """
        peer = self.members.get(beacon.name)
        if peer is None:
            peer = _peer.Peer(beacon.name, beacon.zone, host, beacon.capacity)
            self._add(peer)
        if not peer.is_reachable or peer.met_at == _NEVER:
            peer.back_at = now
        before = peer.may_own, peer.zone
        peer.host = host
        peer.zone = beacon.zone
        peer.heard_at = peer.met_at = now
        peer.positions = beacon.positions
        peer.is_leaving = beacon.is_leaving
        peer.is_reachable = True
        if before != (peer.may_own, peer.zone):
            self._neighbours = None
        for each in beacon.known_instances:
            self._hear_of(now, each)
        for digest, age in beacon.ages.items():
            known = self._by_digest.get(digest)
            if known is not None:
                known.heard_at = max(known.heard_at, now - age)
        for digest, age in beacon.silent.items():
            known = self._by_digest.get(digest)
            if known is not None and known.is_reachable:
                self._hear_silent(now, known, now - age)
        return peer

    def _hear_silent(
        self, now: float, peer: _peer.Peer, heard_at: float
    ) -> None:
        """Take that a mate's neighbour has not heard it for a while."""
        patience = self._settings.silence_seconds
        is_later_here = peer.heard_at > heard_at + patience
        if now - peer.heard_at > patience and not is_later_here:
            self._lose(peer)

    def _lose(self, peer: _peer.Peer) -> None:
        peer.is_reachable = False
        peer.lost_at = peer.heard_at
        self.gossip.note_silent(peer)
        self._note_change(peer)

    def _hear_of(self, now: float, said: _messages.KnownInstance) -> None:
        heard_at = now - said.age_seconds
        if now - heard_at > self._settings.hearsay_seconds:
            return
        peer = self.members.get(said.name)
        if peer is None:
            peer = _peer.Peer(said.name, said.zone, said.host, said.capacity)
            self._add(peer)
        if peer is not self._own and heard_at > peer.heard_at:
            peer.heard_at = heard_at
            peer.host = said.host

    def _add(self, peer: _peer.Peer) -> None:
        self.members[peer.name] = peer
        self._by_digest[peer.digest] = peer
        self.gossip.note_new(peer)
        self._note_change(peer)

    def _note_change(self, peer: _peer.Peer) -> None:
        """Note that an instance has come, gone or changed.

        Only delegates have links to other zones; their changes are no
        matter to the rest, of which there are many.
        """
        if peer.zone == self._own.zone or self._rank < overlay.DELEGATES:
            self._neighbours = None

    def refresh(self, now: float) -> None:
        """Judge who is still there.

        :param now: the time.
        """
        neighbours = frozenset(self.list_neighbours())
        for name, peer in list(self.members.items()):
            if peer is self._own:
                continue
            if self._measure_quiet(now, peer) > self._settings.forget_seconds:
                del self.members[name]
                self._by_digest.pop(peer.digest, None)
                self._note_change(peer)
                continue
            if name not in neighbours:
                peer.near_since = None
            elif peer.near_since is None:
                peer.near_since = now
            is_reachable = self._is_there(now, peer)
            if peer.is_reachable and not is_reachable:
                self._lose(peer)
            elif is_reachable and not peer.is_reachable:
                peer.is_reachable = True
                peer.back_at = now
                self._note_change(peer)

    def _is_there(self, now: float, peer: _peer.Peer) -> bool:
        settings = self._settings
        quiet = self._measure_quiet(now, peer)
        if quiet > settings.hearsay_seconds:
            return False
        if not peer.is_reachable:
            # The last that others heard of it may be a little later.
            return peer.heard_at > peer.lost_at + settings.silence_seconds
        if peer.near_since is None:
            return True
        since = max(peer.met_at, peer.near_since)
        if min(quiet, now - since) <= settings.silence_seconds:
            return True
        # A neighbour that lives answers, as it is sent beacons. Its silence
        # counts unless others hear it still.
        return peer.heard_at - since > settings.silence_seconds

    def restart(self, now: float) -> None:
        """Give everyone time to be heard again after a pause.

        :param now: the time.
        """
        self._awake_at = now

    def _measure_quiet(self, now: float, peer: _peer.Peer) -> float:
        # What this instance missed while it stood still is no silence.
        return now - max(peer.heard_at, self._awake_at)

    def list_neighbours(self) -> tuple[str, ...]:
        """List the instances that beacons go to.

        :returns: their names.
        """
        if self._neighbours is None:
            self._neighbours = overlay.list_neighbours(
                self, self._own.name, mesh_limit=0
            )
            self._rank = overlay.rank_in_zone(self, self._own.name)
            self._turn = self._find_turn()
        return self._neighbours

    def compute_rank(self) -> int:
        """Rank this instance among its zone's.

        :returns: 0 for the first one.
        """
        self.list_neighbours()
        return self._rank

    def compute_turn(self) -> int:
        """Rank this instance among all, the first of each zone before others.

        :returns: 0 for the first one.
        """
        self.list_neighbours()
        return self._turn

    def _find_turn(self) -> int:
        zones = {each.zone for each in self.members.values() if each.may_own}
        zones.add(self._own.zone)
        place = sum(zone < self._own.zone for zone in zones)
        return self._rank * len(zones) + place

    def note_own_change(self) -> None:
        """Note that this instance's own readiness changed."""
        self._neighbours = None

    def list_hosts(self, is_near: bool) -> list[str]:
        """List where beacons go.

        :param is_near: to this zone, or to the others.
        :returns: hosts.
        """
        return [
            self.members[name].host
            for name in self.list_neighbours()
            if (self.members[name].zone == self._own.zone) == is_near
        ]

    def list_mates(self) -> list[str]:
        """List the other instances of this zone, silent ones included.

        :returns: their names.
        """
        return [
            peer.name
            for peer in self.members.values()
            if peer.zone == self._own.zone and peer is not self._own
        ]

    def count_mates(self) -> int:
        """Count the other instances of this zone that are heard.

        :returns: how many there are.
        """
        return sum(
            peer.is_reachable
            for peer in self.members.values()
            if peer.zone == self._own.zone and peer is not self._own
        )

    def may_leave(self, now: float) -> bool:
        """Tell whether enough others of the zone take callers' packets.

        With fewer than half of a zone's instances in rotation, routers
        send to all of them again, those that are down included.

        :param now: the time.
        :returns: whether at least half would be left.
        """
        since = now - self._settings.rotation_seconds
        mates = [
            peer
            for peer in self.members.values()
            if peer.zone == self._own.zone and peer is not self._own
        ]
        ready = [
            peer for peer in mates if peer.may_own and peer.back_at <= since
        ]
        return 2 * len(ready) >= len(mates) + 1

    def sum_loads(self) -> dict[int, upstream_load.UpstreamLoad]:
        """Sum up what the instances of this zone carry.

        :returns: by incarnation of the upstream.
        """
        total: dict[int, upstream_load.UpstreamLoad] = {}
        for peer in self.members.values():
            if peer.zone == self._own.zone and peer.is_reachable:
                for upstream, load in peer.loads.items():
                    known = total.get(upstream, upstream_load.NO_LOAD)
                    total[upstream] = known.add(load)
        return total

    def list_lost_seeds(self) -> list[str]:
        """List seeds that no reachable instance has.

        :returns: hosts.
        """
        known = {
            peer.host for peer in self.members.values() if peer.is_reachable
        }
        return [host for host in self._seeds if host not in known]

    def list_lost_zones(self) -> list[str]:
        """List where zones of which nobody is reachable may be found.

        :returns: hosts, until they are forgotten; none unless this
            instance is one that keeps links to other zones.
        """
        if self.compute_rank() >= overlay.DELEGATES:
            return []
        zones: dict[str, list[_peer.Peer]] = {}
        for peer in self.members.values():
            zones.setdefault(peer.zone, []).append(peer)
        hosts = []
        for peers in zones.values():
            if not any(peer.is_reachable for peer in peers):
                latest = sorted(peers, key=lambda peer: -peer.heard_at)
                hosts += [peer.host for peer in latest[: overlay.DELEGATES]]
        return hosts

    def must_tell(self, now: float, peer: _peer.Peer) -> bool:
        """Tell whether one that sends beacons here seems to know too few.

        :param now: the time.
        :param peer: who is no neighbour by what is known here.
        :returns: whether it was not told of others lately.
        """
        if now - peer.told_at < self._settings.slow_seconds:
            return False
        return peer.name not in self.list_neighbours()
