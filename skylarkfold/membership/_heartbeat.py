"""Sending and receiving of heartbeats."""

from __future__ import annotations

from skylarkfold import effect
from skylarkfold.membership import _messages
from skylarkfold.membership import _roster
from skylarkfold.membership import _settings
from skylarkfold.membership import _zone_revisions
from skylarkfold.membership import _zones

# Number of rounds between full heartbeats, which summarize all zones.
_FULL_INTERVAL_IN_ZONE = 2
_FULL_INTERVAL_ACROSS_ZONES = 4
_MISMATCHES_BEFORE_SYNC = 3


class Heartbeats:
    """Builds this instance's heartbeats and handles those of its peers.

    :param settings: the membership's settings.
    :param roster: the latest update of each member.
    :param zone_revisions: the revisions in force in the own zone.
    :param zones: the state of whole zones.
    """

    __slots__ = (
        '_digest_mismatches',
        '_is_urgent',
        '_roster',
        '_round',
        '_settings',
        '_subscribers',
        '_zone_revisions',
        '_zones',
    )

    def __init__(
        self,
        settings: _settings.MembershipSettings,
        roster: _roster.Roster,
        zone_revisions: _zone_revisions.ZoneRevisions,
        zones: _zones.Zones,
    ) -> None:
        self._settings = settings
        self._roster = roster
        self._zone_revisions = zone_revisions
        self._zones = zones
        self._round = 0
        self._is_urgent = False
        self._subscribers: dict[str, float] = {}
        self._digest_mismatches: dict[str, int] = {}

    def send(
        self,
        own_update: _messages.MemberUpdate,
        neighbours: tuple[str, ...],
        now: float,
        is_urgent: bool = False,
    ) -> list[object]:
        """Send the heartbeats of one round.

        :param own_update: this instance's own update.
        :param neighbours: its neighbours in the overlay.
        :param now: the time in seconds.
        :param is_urgent: whether a revision in force has changed, so that
            full heartbeats are sent.
        :returns: heartbeats to the neighbours and to the instances that
            have this one as a neighbour.
        """
        self._is_urgent = is_urgent
        self._round += 1
        self._subscribers = {
            name: until
            for name, until in self._subscribers.items()
            if until > now
        }
        peers = sorted({*neighbours, *self._subscribers})
        self._digest_mismatches = {
            name: count
            for name, count in self._digest_mismatches.items()
            if name in peers
        }
        return [
            effect.SendToPeer(
                peer, self._build(own_update, peer, peer in neighbours, now)
            )
            for peer in peers
        ]

    def handle(
        self,
        heartbeat: _messages.Heartbeat,
        sender: _messages.MemberUpdate,
        own_update: _messages.MemberUpdate,
        now: float,
    ) -> bool:
        """Handle a heartbeat of the sender's current incarnation.

        :param heartbeat: the heartbeat.
        :param sender: the sender's latest update.
        :param own_update: this instance's own update.
        :param now: the time in seconds.
        :returns: whether it changed a known revision in force.
        """
        if heartbeat.is_chosen:
            until = now + self._settings.suspect_seconds
            self._subscribers[sender.name] = until
        changes = [
            self._zones.merge(summary, now)
            for summary in heartbeat.zones
            if summary.zone != own_update.zone
        ]
        if sender.zone == own_update.zone:
            changes.append(
                self._zone_revisions.note(sender.name, heartbeat.revision)
            )
            if heartbeat.progress is not None:
                changes.append(self._zone_revisions.merge(heartbeat.progress))
        return any(changes)

    def must_sync_roster(self, sender: str, digest: int) -> bool:
        """Return whether to request a neighbour's roster.

        That is when its digest has differed in several heartbeats in a
        row.

        :param sender: the neighbour.
        :param digest: its digest of all members.
        """
        if digest == self._roster.compute_full_digest():
            self._digest_mismatches.pop(sender, None)
            return False
        count = self._digest_mismatches.get(sender, 0) + 1
        self._digest_mismatches[sender] = count % _MISMATCHES_BEFORE_SYNC
        return count == _MISMATCHES_BEFORE_SYNC

    def _build(
        self,
        own_update: _messages.MemberUpdate,
        peer: str,
        is_chosen: bool,
        now: float,
    ) -> _messages.Heartbeat:
        known = self._roster.get(peer)
        is_zone_peer = known is not None and known.zone == own_update.zone
        interval = (
            _FULL_INTERVAL_IN_ZONE
            if is_zone_peer
            else _FULL_INTERVAL_ACROSS_ZONES
        )
        zones = () if is_zone_peer else (own_update.zone,)
        is_full = self._is_urgent or self._round % interval == 0
        if is_full:
            zones = self._roster.list_live_zones()
        has_progress = is_zone_peer and is_full
        return _messages.Heartbeat(
            incarnation=own_update.incarnation,
            revision=own_update.revision,
            is_chosen=is_chosen,
            digest=self._roster.compute_full_digest(),
            progress=self._zone_revisions.describe() if has_progress else None,
            zones=self._zones.build_summaries(zones, now),
        )
