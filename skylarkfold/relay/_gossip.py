"""What an instance tells others of third ones.

Mates of a zone tell one another when each was last heard by anyone, so
that an instance whose neighbours are alive is known to be there without a
beacon of its own, and name at once whom they no longer hear. Other zones
are told of those with duties only.
"""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold import overlay
from skylarkfold.relay import _messages
from skylarkfold.relay import _peer

# Names of others that travel with a beacon, in turn, for those that missed
# them when they were new.
_HEARSAY_COUNT = 4
# Names that travel at most: those just learnt, and with an answer to an
# instance that knows nobody. With all ages they fit one packet.
_MOST_HEARSAY = 12
# How often a name that is new is told to the neighbours: once more than
# needed, as a packet may be lost.
_FRESH_TELLS = 2
# How many beacons in a row tell of an instance that fell silent; one of
# them may be lost.
_SILENT_TELLS = 3
# Other zones are told of so many instances: the delegates, and the next.
_HEADS = overlay.DELEGATES + 1


class Gossip:
    """Chooses what to tell.

    :param own: this instance.
    :param members: all instances that are known, by name.
    """

    __slots__ = (
        '_fresh',
        '_next',
        '_own',
        '_silent_far',
        '_silent_near',
        'members',
    )

    def __init__(
        self, own: _peer.Peer, members: dict[str, _peer.Peer]
    ) -> None:
        self._own = own
        self.members = members
        self._next = 0
        # How often each is still to be told of, by name.
        self._fresh: dict[str, int] = {}
        self._silent_near: dict[str, int] = {}
        self._silent_far: dict[str, int] = {}

    def note_new(self, peer: _peer.Peer) -> None:
        """Note an instance that was not known.

        :param peer: the instance.
        """
        self._fresh[peer.name] = _FRESH_TELLS

    def note_silent(self, peer: _peer.Peer) -> None:
        """Note an instance that was found silent.

        :param peer: the instance.
        """
        self._silent_near[peer.name] = _SILENT_TELLS
        if peer.zone == self._own.zone:
            # Of other zones, only they themselves can tell others: a cut
            # between two zones is no matter to a third.
            self._silent_far[peer.name] = _SILENT_TELLS

    def list_silent(self, now: float, is_near: bool) -> dict[int, float]:
        """List instances that have just fallen silent.

        :param now: the time.
        :param is_near: for this zone, or for others.
        :returns: how many seconds ago each was last heard, by the digest
            of its name; each some times in a row.
        """
        silent = self._silent_near if is_near else self._silent_far
        found: dict[int, float] = {}
        for name, tells in list(silent.items()):
            peer = self.members.get(name)
            if peer is not None and not peer.is_reachable:
                found[peer.digest] = now - peer.heard_at
            if tells > 1:
                silent[name] = tells - 1
            else:
                del silent[name]
        return found

    def tell_mates(
        self, now: float
    ) -> tuple[tuple[_messages.KnownInstance, ...], dict[int, float]]:
        """Choose what this zone is told.

        :param now: the time.
        :returns: some instances, those just learnt first, then the others
            in turn; and how many seconds ago each of those that the zone
            is told of was last heard by anyone, by the digest of its name.
        """
        known = self._list_told()
        ages = {peer.digest: now - peer.heard_at for peer in known}
        return _tell_of(now, self._choose(known)), ages

    def _choose(self, known: list[_peer.Peer]) -> list[_peer.Peer]:
        if not known:
            return []
        chosen = self._take_fresh(known)
        begin = self._next % len(known)
        self._next = begin + _HEARSAY_COUNT
        turn = (known[begin:] + known[:begin])[:_HEARSAY_COUNT]
        return chosen + [peer for peer in turn if peer not in chosen]

    def _take_fresh(self, known: list[_peer.Peer]) -> list[_peer.Peer]:
        fresh = self._fresh
        for name in [each for each in fresh if each not in self.members]:
            del fresh[name]
        chosen = [peer for peer in known if peer.name in fresh]
        del chosen[_MOST_HEARSAY - _HEARSAY_COUNT :]
        for peer in chosen:
            fresh[peer.name] -= 1
            if not fresh[peer.name]:
                del fresh[peer.name]
        return chosen

    def choose_heads(self, now: float) -> tuple[_messages.KnownInstance, ...]:
        """Choose the instances to tell other zones of.

        :param now: the time.
        :returns: those of this zone that may get duties first.
        """
        heads = self._list_heads(self._own.zone)
        return _tell_of(now, [each for each in heads if each != self._own])

    def answer_hearsay(
        self, now: float, peer: _peer.Peer
    ) -> tuple[_messages.KnownInstance, ...]:
        """Choose the instances to tell one that may know too few.

        :param now: the time.
        :param peer: who is told.
        :returns: who its neighbours are by what is known here.
        """
        peer.told_at = now
        names = overlay.list_neighbours(self, peer.name, mesh_limit=0)
        chosen = [
            self.members[name] for name in names if name != self._own.name
        ]
        chosen.sort(key=lambda each: each.zone != peer.zone)
        return _tell_of(now, chosen[:_MOST_HEARSAY])

    def _list_told(self) -> list[_peer.Peer]:
        """List the others of this zone, and the heads of other zones."""
        zones = {peer.zone for peer in self.members.values()}
        told = [
            peer
            for peer in self.members.values()
            if peer.zone == self._own.zone and peer.is_reachable
        ]
        told.remove(self._own)
        for zone in sorted(zones - {self._own.zone}):
            told += self._list_heads(zone)
        return told

    def _list_heads(self, zone: str) -> list[_peer.Peer]:
        names = overlay.rank_zone(self.members.values(), zone)
        return [self.members[name] for name in names[:_HEADS]]


def _tell_of(
    now: float, chosen: Iterable[_peer.Peer]
) -> tuple[_messages.KnownInstance, ...]:
    return tuple(
        _messages.KnownInstance(
            each.name,
            each.zone,
            each.host,
            each.capacity,
            max(0.0, now - each.heard_at),
        )
        for each in chosen
    )
