"""Which revision is in force on each member of the own zone."""

from __future__ import annotations

import xxhash

from skylarkfold.membership import _messages
from skylarkfold.membership import _roster

_UNKNOWN = 255


class Progress:
    """Revisions by name; they only rise, so merging is safe in any order.

    :param roster: all facts.
    :param zone: the own zone.
    """

    __slots__ = (
        '_described',
        '_least',
        '_names',
        '_revisions',
        '_roster',
        '_stamp',
        '_zone',
        'version',
    )

    def __init__(self, roster: _roster.Roster, zone: str) -> None:
        self._roster = roster
        self._zone = zone
        self._revisions: dict[str, tuple[int, int]] = {}
        self._names: list[str] = []
        self._stamp: tuple[int, int] | None = None
        self._described: _messages.Progress | None = None
        self._least: int | None = None
        self.version = 0

    def get(self, name: str) -> int:
        """Find the revision that is in force on a mate, as last heard."""
        fact = self._roster.get(name)
        if fact is None:
            return 0
        incarnation, revision = self._revisions.get(name, (-1, 0))
        if incarnation != fact.incarnation:
            return fact.revision
        return max(revision, fact.revision)

    def note(self, name: str, revision: int) -> bool:
        """Note a revision that is in force on a member of the zone.

        :param name: the member.
        :param revision: the revision.
        :returns: whether it is higher than before.
        """
        fact = self._roster.get(name)
        if fact is None or revision <= self.get(name):
            return False
        self._revisions[name] = (fact.incarnation, revision)
        self._described = self._least = None
        self.version += 1
        return True

    def merge(self, progress: _messages.Progress) -> bool:
        """Take what another member of the zone knows.

        :param progress: its knowledge; ignored if it counts other members.
        :returns: whether anything rose.
        """
        if progress == self.describe():
            return False
        names = self._names
        if progress.digest != self._stamp[1]:
            return False
        if len(progress.lags) != len(names):
            return False
        pairs = zip(names, progress.lags)
        rises = [
            self.note(name, progress.highest - lag)
            for name, lag in pairs
            if lag < _UNKNOWN
        ]
        return any(rises)

    def describe(self) -> _messages.Progress:
        """Describe the zone for another member of it."""
        self._refresh()
        if self._described is None:
            revisions = [self.get(name) for name in self._names]
            highest = max(revisions, default=0)
            lags = bytes(min(_UNKNOWN, highest - each) for each in revisions)
            self._described = _messages.Progress(self._stamp[1], highest, lags)
        return self._described

    def compute_least(self) -> int:
        """Compute the lowest revision among members that take traffic."""
        self._refresh()
        if self._least is None:
            facts = self._roster.list_zone(self._zone)
            taking = filter(_roster.takes_traffic, facts)
            revisions = [self.get(fact.name) for fact in taking]
            self._least = min(revisions, default=0)
        return self._least

    def _refresh(self) -> None:
        zone_digest = self._roster.compute_digest(self._zone)
        if self._stamp is not None and self._stamp[0] == zone_digest:
            return
        self._described = self._least = None
        present = [
            fact
            for fact in self._roster.list_zone(self._zone)
            if not _roster.is_gone(fact)
        ]
        self._names = [fact.name for fact in present]
        text = '\n'.join(f'{fact.name}|{fact.incarnation}' for fact in present)
        self._stamp = (zone_digest, xxhash.xxh32_intdigest(text.encode()))
        kept = set(self._names)
        self._revisions = {
            name: known
            for name, known in self._revisions.items()
            if name in kept
        }
