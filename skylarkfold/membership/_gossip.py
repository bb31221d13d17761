"""Passes facts on, and compares what two instances know."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold.membership import _messages
from skylarkfold.membership import _roster

# More facts at once come from a comparison of rosters: the neighbours
# find the same difference themselves.
_MOST_QUEUED = 256


def is_valid(fact: _messages.MemberUpdate) -> bool:
    """Tell whether a fact can be used at all."""
    try:
        endpoint.parse_endpoint(fact.address)
    except ValueError:
        return False
    return bool(fact.name and fact.zone)


def is_later(
    fact: _messages.MemberUpdate, known: _messages.MemberUpdate
) -> bool:
    """Tell whether a fact replaces another of the same instance."""
    return _roster.rank(fact) > _roster.rank(known)


class Gossip:
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

    def trusts(self, fact: _messages.MemberUpdate, sender: str) -> bool:
        """Tell whether a sender may speak about a fact's instance.

        Of the own zone only its own members may: what another zone still
        believes of it is older.

        :param fact: the fact.
        :param sender: who told it.
        """
        if fact.zone != self._zone or fact.name == sender:
            return True
        known = self._roster.get(sender)
        return known is not None and known.zone == self._zone

    def queue(self, fact: _messages.MemberUpdate, sender: str) -> None:
        """Queue a fact that is new here.

        :param fact: the fact.
        :param sender: who told it, so that it is not told again.
        """
        if len(self._queued) < _MOST_QUEUED:
            self._queued[fact.name] = (fact, sender)

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
            facts = tuple(
                fact
                for fact, sender in queued
                if peer not in (sender, fact.name)
                and self._concerns(fact, peer)
            )
            if facts:
                effects.append(
                    effect.SendToPeer(peer, _messages.Gossip(facts))
                )
        return effects

    def ask(self) -> _messages.RosterRequest:
        """Ask for the zones that are known differently elsewhere."""
        zones = tuple(
            _messages.ZoneDigest(zone, self._roster.compute_digest(zone))
            for zone in self._roster.list_zones()
        )
        return _messages.RosterRequest(zones)

    def answer(
        self, asked: tuple[_messages.ZoneDigest, ...]
    ) -> _messages.RosterAnswer:
        """Answer with the facts of all zones whose digests differ.

        :param asked: the digests of the instance that asks.
        """
        theirs = {each.zone: each.digest for each in asked}
        zones = sorted({*theirs, *self._roster.list_zones()})
        differing = tuple(
            zone
            for zone in zones
            if theirs.get(zone) != self._roster.compute_digest(zone)
        )
        facts = tuple(
            fact for zone in differing for fact in self._roster.list_zone(zone)
        )
        return _messages.RosterAnswer(differing, facts)

    def list_later(
        self, answer: _messages.RosterAnswer
    ) -> list[_messages.MemberUpdate]:
        """List own facts that an answer lacks or has in an earlier form.

        :param answer: another instance's facts of some zones.
        """
        theirs = {fact.name: fact for fact in answer.facts}
        covered = set(answer.zones)
        return [
            fact
            for fact in self._roster.list_facts()
            if fact.zone in covered
            and (fact.name not in theirs or is_later(fact, theirs[fact.name]))
        ]

    def list_dropped(
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
        named = {fact.name for fact in answer.facts}
        return {
            fact.name
            for fact in self._roster.list_zone(known.zone)
            if fact.name not in named and not _roster.is_gone(fact)
        }

    def _concerns(self, fact: _messages.MemberUpdate, peer: str) -> bool:
        known = self._roster.get(peer)
        is_mate = known is not None and known.zone == self._zone
        return is_mate or fact.zone == self._zone
