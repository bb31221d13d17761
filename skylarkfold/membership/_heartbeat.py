"""Makes and reads heartbeats."""

from __future__ import annotations

from skylarkfold import effect
from skylarkfold.membership import _messages
from skylarkfold.membership import _roster
from skylarkfold.membership import _settings
from skylarkfold.membership import _zone_revisions
from skylarkfold.membership import _zones

_BEATS_OF_MATES = 2
_BEATS_OF_ZONES = 4
_DIFFERENCES = 3


class Heartbeats:
    """Tells neighbours the little that they must hear often.

    :param settings: the membership's settings.
    :param roster: all facts.
    :param progress: the revisions in the own zone.
    :param zones: what is known of whole zones.
    """

    __slots__ = (
        '_beat',
        '_differences',
        '_followers',
        '_is_urgent',
        '_progress',
        '_roster',
        '_settings',
        '_zones',
    )

    def __init__(
        self,
        settings: _settings.MembershipSettings,
        roster: _roster.Roster,
        progress: _zone_revisions.Progress,
        zones: _zones.Zones,
    ) -> None:
        self._settings = settings
        self._roster = roster
        self._progress = progress
        self._zones = zones
        self._beat = 0
        self._is_urgent = False
        self._followers: dict[str, float] = {}
        self._differences: dict[str, int] = {}

    def send(
        self,
        own: _messages.MemberUpdate,
        neighbours: tuple[str, ...],
        now: float,
        is_urgent: bool = False,
    ) -> list[object]:
        """Make the heartbeats of one beat.

        :param own: this instance's fact.
        :param neighbours: the instances it has chosen.
        :param now: the time in seconds.
        :param is_urgent: whether there is news of revisions in force.
        :returns: heartbeats to them and to those that have chosen it.
        """
        self._is_urgent = is_urgent
        self._beat += 1
        self._followers = {
            name: until
            for name, until in self._followers.items()
            if until > now
        }
        peers = sorted({*neighbours, *self._followers})
        self._differences = {
            name: count
            for name, count in self._differences.items()
            if name in peers
        }
        return [
            effect.SendToPeer(
                peer, self._make(own, peer, peer in neighbours, now)
            )
            for peer in peers
        ]

    def take(
        self,
        heartbeat: _messages.Heartbeat,
        sender: _messages.MemberUpdate,
        own: _messages.MemberUpdate,
        now: float,
    ) -> bool:
        """Take a heartbeat of the sender's present incarnation.

        :param heartbeat: the heartbeat.
        :param sender: the sender's fact.
        :param own: this instance's fact.
        :param now: the time in seconds.
        :returns: whether a revision in force somewhere changed.
        """
        if heartbeat.is_chosen:
            until = now + self._settings.suspect_seconds
            self._followers[sender.name] = until
        changes = [
            self._zones.merge(summary, now)
            for summary in heartbeat.zones
            if summary.zone != own.zone
        ]
        if sender.zone == own.zone:
            changes.append(
                self._progress.note(sender.name, heartbeat.revision)
            )
            if heartbeat.progress is not None:
                changes.append(self._progress.merge(heartbeat.progress))
        return any(changes)

    def must_compare(self, sender: str, digest: int) -> bool:
        """Tell whether a neighbour has known other members for a while.

        :param sender: the neighbour.
        :param digest: its digest of all members.
        """
        if digest == self._roster.compute_whole_digest():
            self._differences.pop(sender, None)
            return False
        count = self._differences.get(sender, 0) + 1
        self._differences[sender] = count % _DIFFERENCES
        return count == _DIFFERENCES

    def _make(
        self,
        own: _messages.MemberUpdate,
        peer: str,
        is_chosen: bool,
        now: float,
    ) -> _messages.Heartbeat:
        known = self._roster.get(peer)
        is_mate = known is not None and known.zone == own.zone
        beats = _BEATS_OF_MATES if is_mate else _BEATS_OF_ZONES
        zones = () if is_mate else (own.zone,)
        is_full = self._is_urgent or self._beat % beats == 0
        if is_full:
            zones = self._roster.list_zones()
        has_progress = is_mate and is_full
        return _messages.Heartbeat(
            incarnation=own.incarnation,
            revision=own.revision,
            is_chosen=is_chosen,
            digest=self._roster.compute_whole_digest(),
            progress=self._progress.describe() if has_progress else None,
            zones=self._zones.describe(zones, now),
        )
