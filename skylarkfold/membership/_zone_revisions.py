"""Revisions in force on the members of the own zone."""

from __future__ import annotations

import xxhash

from skylarkfold.membership import _messages
from skylarkfold.membership import _roster

_UNKNOWN = 255


class ZoneRevisions:
    """Revision in force by member name.

    Revisions only rise within an incarnation, so they can be merged in any
    order.

    :param roster: the latest update of each member.
    :param zone: this instance's zone.
    """

    __slots__ = (
        '_digests',
        '_member_names',
        '_minimum',
        '_revisions',
        '_roster',
        '_summary',
        '_zone',
        'version',
    )

    def __init__(self, roster: _roster.Roster, zone: str) -> None:
        self._roster = roster
        self._zone = zone
        self._revisions: dict[str, tuple[int, int]] = {}
        self._member_names: list[str] = []
        self._digests: tuple[int, int] | None = None
        self._summary: _messages.Progress | None = None
        self._minimum: int | None = None
        self.version = 0

    def get(self, name: str) -> int:
        """Return the last known revision of a member, 0 if unknown."""
        update = self._roster.get(name)
        if update is None:
            return 0
        incarnation, revision = self._revisions.get(name, (-1, 0))
        if incarnation != update.incarnation:
            return update.revision
        return max(revision, update.revision)

    def note(self, name: str, revision: int) -> bool:
        """Record the revision in force on a member of the zone.

        :param name: the member.
        :param revision: the revision.
        :returns: whether it is higher than before.
        """
        update = self._roster.get(name)
        if update is None or revision <= self.get(name):
            return False
        self._revisions[name] = (update.incarnation, revision)
        self._summary = self._minimum = None
        self.version += 1
        return True

    def merge(self, progress: _messages.Progress) -> bool:
        """Merge the revisions known to another member of the zone.

        :param progress: the revisions; ignored if they are of a different
            set of members.
        :returns: whether any revision rose.
        """
        if progress == self.describe():
            return False
        names = self._member_names
        if progress.digest != self._digests[1]:
            return False
        if len(progress.lags) != len(names):
            return False
        pairs = zip(names, progress.lags)
        changes = [
            self.note(name, progress.highest - lag)
            for name, lag in pairs
            if lag < _UNKNOWN
        ]
        return any(changes)

    def describe(self) -> _messages.Progress:
        """Return the known revisions as a message for a zone peer."""
        self._refresh()
        if self._summary is None:
            revisions = [self.get(name) for name in self._member_names]
            highest = max(revisions, default=0)
            lags = bytes(min(_UNKNOWN, highest - each) for each in revisions)
            self._summary = _messages.Progress(self._digests[1], highest, lags)
        return self._summary

    def compute_least(self) -> int:
        """Compute the lowest revision among the members that take traffic."""
        self._refresh()
        if self._minimum is None:
            updates = self._roster.list_zone_updates(self._zone)
            serving = filter(_roster.takes_traffic, updates)
            revisions = [self.get(update.name) for update in serving]
            self._minimum = min(revisions, default=0)
        return self._minimum

    def _refresh(self) -> None:
        zone_digest = self._roster.compute_zone_digest(self._zone)
        if self._digests is not None and self._digests[0] == zone_digest:
            return
        self._summary = self._minimum = None
        live = [
            update
            for update in self._roster.list_zone_updates(self._zone)
            if not _roster.is_gone(update)
        ]
        self._member_names = [update.name for update in live]
        text = '\n'.join(
            f'{update.name}|{update.incarnation}' for update in live
        )
        self._digests = (zone_digest, xxhash.xxh32_intdigest(text.encode()))
        kept = set(self._member_names)
        self._revisions = {
            name: known
            for name, known in self._revisions.items()
            if name in kept
        }
