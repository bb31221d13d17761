"""The other instances, as far as they are heard here."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold import overlay
from skylarkfold.relay import _messages
from skylarkfold.relay import _settings

_NEVER = float('-inf')
# Names of others that travel with one beacon: a fleet of 600 is told
# within 15 s, one of a dozen with each beacon.
_HEARSAY_COUNT = 8


class Peer:
    """One instance.

    :ivar capacity: the more of it, the sooner it is given duties.
    :ivar heard_at: when a beacon of it last came, here or at others.
    :ivar met_at: when a beacon of it last came here.
    :ivar back_at: when it was first heard after a silence.
    :ivar positions: what it last said to know, by topic.
    :ivar flows: what it last said to carry, by token.
    :ivar is_reachable: whether it was heard lately.
    """

    __slots__ = (
        'back_at',
        'capacity',
        'flows',
        'heard_at',
        'host',
        'is_leaving',
        'is_reachable',
        'met_at',
        'name',
        'positions',
        'zone',
    )

    def __init__(self, name: str, zone: str, host: str, capacity: int) -> None:
        self.name = name
        self.zone = zone
        self.host = host
        self.capacity = capacity
        self.heard_at = _NEVER
        self.met_at = _NEVER
        self.back_at = _NEVER
        self.positions: tuple[_messages.Position, ...] = ()
        self.flows: dict[int, int] = {}
        self.is_leaving = False
        self.is_reachable = True

    @property
    def may_own(self) -> bool:
        """Whether it may be given duties.

        One that is not ready yet soon is; what others hear of it through
        third ones would be out of date.
        """
        return self.is_reachable and not self.is_leaving


class PeerTable:
    """All instances that are known, this one included.

    :param own: this instance.
    :param settings: the relay's settings.
    :ivar members: by name, as the overlay wants them.
    """

    __slots__ = (
        '_neighbours',
        '_next_hearsay',
        '_next_silent',
        '_own',
        '_rank',
        '_seeds',
        '_settings',
        'members',
    )

    def __init__(self, own: Peer, settings: _settings.RelaySettings) -> None:
        self._own = own
        self._settings = settings
        self._seeds: tuple[str, ...] = ()
        self._next_hearsay = 0
        self._next_silent = 0
        self.members: dict[str, Peer] = {own.name: own}
        self._neighbours: tuple[str, ...] | None = None
        self._rank = 0

    def set_seeds(self, hosts: Iterable[str]) -> None:
        """Take the hosts where instances may be found.

        :param hosts: some of them may be gone.
        """
        self._seeds = tuple(hosts)

    def hear(self, now: float, host: str, beacon: _messages.Beacon) -> Peer:
        """Take a beacon.

        :param now: the time.
        :param host: where it came from.
        :param beacon: the beacon.
        :returns: its sender.
        """
        peer = self.members.get(beacon.name)
        if peer is None:
            peer = Peer(beacon.name, beacon.zone, host, beacon.capacity)
            self.members[beacon.name] = peer
            self._neighbours = None
        if not peer.is_reachable or peer.met_at == _NEVER:
            peer.back_at = now
        before = peer.may_own
        peer.host = host
        peer.zone = beacon.zone
        peer.heard_at = peer.met_at = now
        peer.positions = beacon.positions
        peer.is_leaving = beacon.is_leaving
        peer.is_reachable = True
        if before != peer.may_own:
            self._neighbours = None
        for each in beacon.hearsay:
            self._hear_of(now, each)
        return peer

    def _hear_of(self, now: float, said: _messages.Hearsay) -> None:
        heard_at = now - said.age_seconds
        if now - heard_at > self._settings.hearsay_seconds:
            return
        peer = self.members.get(said.name)
        if peer is None:
            peer = Peer(said.name, said.zone, said.host, said.capacity)
            self.members[said.name] = peer
            self._neighbours = None
        if peer is not self._own and heard_at > peer.heard_at:
            peer.heard_at = heard_at
            peer.host = said.host

    def refresh(self, now: float) -> None:
        """Judge who is still there.

        :param now: the time.
        """
        settings = self._settings
        for name, peer in list(self.members.items()):
            if peer is self._own:
                continue
            if now - peer.heard_at > settings.forget_seconds:
                del self.members[name]
                self._neighbours = None
                continue
            is_near = name in self.list_neighbours()
            limit = settings.hearsay_seconds
            if is_near and peer.met_at > _NEVER:
                limit = settings.silence_seconds
            is_reachable = now - peer.heard_at <= limit
            if is_reachable != peer.is_reachable:
                peer.is_reachable = is_reachable
                self._neighbours = None

    def restart(self, now: float) -> None:
        """Give everyone time to be heard again after a pause.

        :param now: the time.
        """
        for peer in self.members.values():
            peer.heard_at = now
            if peer.met_at > _NEVER:
                peer.met_at = now

    def list_neighbours(self) -> tuple[str, ...]:
        """List the instances that beacons go to.

        :returns: their names.
        """
        if self._neighbours is None:
            self._neighbours = overlay.list_neighbours(
                self, self._own.name, mesh_limit=0
            )
            self._rank = overlay.rank_in_zone(self, self._own.name)
        return self._neighbours

    def compute_rank(self) -> int:
        """Rank this instance among its zone's.

        :returns: 0 for the first one.
        """
        self.list_neighbours()
        return self._rank

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

    def sum_flows(self) -> dict[int, int]:
        """Sum up what the instances of this zone carry.

        :returns: flows by token of their upstream.
        """
        total: dict[int, int] = {}
        for peer in self.members.values():
            if peer.zone == self._own.zone and peer.is_reachable:
                for token, flows in peer.flows.items():
                    total[token] = total.get(token, 0) + flows
        return total

    def list_lost_seeds(self) -> list[str]:
        """List seeds that no reachable instance has.

        :returns: hosts.
        """
        known = {
            peer.host for peer in self.members.values() if peer.is_reachable
        }
        return [host for host in self._seeds if host not in known]

    def choose_hearsay(self, now: float) -> tuple[_messages.Hearsay, ...]:
        """Choose some instances to tell of, in turn.

        :param now: the time.
        :returns: those that were heard lately.
        """
        alive = [
            peer
            for peer in self.members.values()
            if peer is not self._own and peer.is_reachable
        ]
        if not alive:
            return ()
        begin = self._next_hearsay % len(alive)
        self._next_hearsay = begin + _HEARSAY_COUNT
        chosen = (alive[begin:] + alive[:begin])[:_HEARSAY_COUNT]
        return tuple(
            _messages.Hearsay(
                each.name,
                each.zone,
                each.host,
                each.capacity,
                max(0.0, now - each.heard_at),
            )
            for each in chosen
        )
