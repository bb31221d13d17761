"""Gossip of member updates, and reconciliation of two rosters."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold.membership import _messages
from skylarkfold.membership import _roster

# A larger batch comes from a roster sync; the neighbours find the same
# difference by their own syncs.
_MAXIMUM_QUEUED = 256


def is_valid(update: _messages.MemberUpdate) -> bool:
    """Return whether an update has a name, a zone and a valid address."""
    try:
        endpoint.parse_endpoint(update.address)
    except ValueError:
        return False
    return bool(update.name and update.zone)


def supersedes(
    update: _messages.MemberUpdate, known: _messages.MemberUpdate
) -> bool:
    """Return whether an update is newer than a known one of the member."""
    return _roster.get_precedence(update) > _roster.get_precedence(known)


class GossipQueue:
    """Forwards member updates to the neighbours and reconciles rosters.

    An update is sent to all neighbours of the own zone. Neighbours in
    other zones get only updates about members of the own zone.

    :param roster: the latest update of each member.
    :param zone: this instance's zone.
    """

    __slots__ = ('_queued', '_roster', '_zone')

    def __init__(self, roster: _roster.Roster, zone: str) -> None:
        self._roster = roster
        self._zone = zone
        self._queued: dict[str, tuple[_messages.MemberUpdate, str]] = {}

    def accepts(self, update: _messages.MemberUpdate, sender: str) -> bool:
        """Return whether to accept an update from a sender.

        Updates about members of the own zone are accepted only from
        members of that zone or from the member itself, since other zones
        hold older state.

        :param update: the update.
        :param sender: the instance that sent it.
        """
        if update.zone != self._zone or update.name == sender:
            return True
        known = self._roster.get(sender)
        return known is not None and known.zone == self._zone

    def queue(self, update: _messages.MemberUpdate, sender: str) -> None:
        """Queue an update that was new to this instance.

        :param update: the update.
        :param sender: the instance that sent it; it does not get it back.
        """
        if len(self._queued) < _MAXIMUM_QUEUED:
            self._queued[update.name] = (update, sender)

    def flush(self, neighbours: Iterable[str]) -> list[object]:
        """Send the queued updates.

        :param neighbours: the receivers.
        :returns: at most one message to each neighbour.
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
        """Build a request for the zones whose digests differ at the peer."""
        zones = tuple(
            _messages.ZoneDigest(zone, self._roster.compute_zone_digest(zone))
            for zone in self._roster.list_live_zones()
        )
        return _messages.RosterRequest(zones)

    def build_answer(
        self, peer_digests: tuple[_messages.ZoneDigest, ...]
    ) -> _messages.RosterAnswer:
        """Build an answer with the updates of all zones that differ.

        :param peer_digests: the zone digests of the requesting instance.
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
        """List known updates that an answer lacks or has an older one of.

        :param answer: the complete updates of some zones.
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
        """List members of the sender's zone that the sender has forgotten.

        :param answer: the complete updates of some zones.
        :param sender: the instance that sent it; if it is of the own zone,
            nothing is listed.
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
