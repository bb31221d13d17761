"""Passes facts on, and compares what two instances know."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold.membership import _messages
from skylarkfold.membership import _roster

# More facts at once come from a comparison of rosters: the neighbours
# find the same difference themselves.
_MAXIMUM_QUEUED = 256


def is_valid(update: _messages.MemberUpdate) -> bool:
    """Tell whether a fact can be used at all."""
    try:
        endpoint.parse_endpoint(update.address)
    except ValueError:
        return False
    return bool(update.name and update.zone)


def supersedes(
    update: _messages.MemberUpdate, known: _messages.MemberUpdate
) -> bool:
    """Tell whether a fact replaces another of the same instance."""
    return _roster.get_precedence(update) > _roster.get_precedence(known)


class GossipQueue:
    """Queues facts for the neighbours.

    A fact goes to all neighbours of the own zone, and to other zones only
    from the zone that it is about.

    :param roster: all facts.
    :param zone: the own zone.
    """

    __slots__ = ('_queued', '_roster', '_zone')

    def __init__(self, roster: _roster.Roster, zone: str) -> None:
        self._roster = roster
        self._zone = zone
        self._queued: dict[str, tuple[_messages.MemberUpdate, str]] = {}

    def accepts(self, update: _messages.MemberUpdate, sender: str) -> bool:
        """Tell whether a sender may speak about a fact's instance.

        Of the own zone only its own members may: what another zone still
        believes of it is older.

        :param fact: the fact.
        :param sender: who told it.
        """
        if update.zone != self._zone or update.name == sender:
            return True
        known = self._roster.get(sender)
        return known is not None and known.zone == self._zone

    def queue(self, update: _messages.MemberUpdate, sender: str) -> None:
        """Queue a fact that is new here.

        :param fact: the fact.
        :param sender: who told it, so that it is not told again.
        """
        if len(self._queued) < _MAXIMUM_QUEUED:
            self._queued[update.name] = (update, sender)

    def flush(self, neighbours: Iterable[str]) -> list[object]:
        """Send the queued facts.

        :param neighbours: to whom.
        :returns: one message a neighbour that has something to hear.
        """
        if not self._queued:
            return []
        queued = list(self._queued.values())
        self._queued.clear()
        effects = []
        for peer in neighbours:
            updates = tuple(
                update
                for update, sender in queued
                if peer not in (sender, update.name)
                and self._is_relevant(update, peer)
            )
            if updates:
                effects.append(
                    effect.SendToPeer(peer, _messages.Gossip(updates))
                )
        return effects

    def build_request(self) -> _messages.RosterRequest:
        """Ask for the zones that are known differently elsewhere."""
        zones = tuple(
            _messages.ZoneDigest(zone, self._roster.compute_zone_digest(zone))
            for zone in self._roster.list_live_zones()
        )
        return _messages.RosterRequest(zones)

    def build_answer(
        self, peer_digests: tuple[_messages.ZoneDigest, ...]
    ) -> _messages.RosterAnswer:
        """Answer with the facts of all zones whose digests differ.

        :param asked: the digests of the instance that asks.
        """
        digests_by_zone = {each.zone: each.digest for each in peer_digests}
        zones = sorted({*digests_by_zone, *self._roster.list_live_zones()})
        differing = tuple(
            zone
            for zone in zones
            if digests_by_zone.get(zone)
            != self._roster.compute_zone_digest(zone)
        )
        updates = tuple(
            update
            for zone in differing
            for update in self._roster.list_zone_updates(zone)
        )
        return _messages.RosterAnswer(differing, updates)

    def list_newer(
        self, answer: _messages.RosterAnswer
    ) -> list[_messages.MemberUpdate]:
        """List own facts that an answer lacks or has in an earlier form.

        :param answer: another instance's facts of some zones.
        """
        peer_updates = {update.name: update for update in answer.updates}
        covered = set(answer.zones)
        return [
            update
            for update in self._roster.list_updates()
            if update.zone in covered
            and (
                update.name not in peer_updates
                or supersedes(update, peer_updates[update.name])
            )
        ]

    def list_removed(
        self, answer: _messages.RosterAnswer, sender: str
    ) -> set[str]:
        """List members that their own zone does not know any more.

        :param answer: all facts of some zones.
        :param sender: who sent them; only its own zone is judged.
        """
        known = self._roster.get(sender)
        if known is None or known.zone == self._zone:
            return set()
        if known.zone not in answer.zones:
            return set()
        listed = {update.name for update in answer.updates}
        return {
            update.name
            for update in self._roster.list_zone_updates(known.zone)
            if update.name not in listed and not _roster.is_gone(update)
        }

    def _is_relevant(self, update: _messages.MemberUpdate, peer: str) -> bool:
        known = self._roster.get(peer)
        is_zone_peer = known is not None and known.zone == self._zone
        return is_zone_peer or update.zone == self._zone
