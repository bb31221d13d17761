"""Availability zones that operators have emptied."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping


class Evacuations:
    """The availability zones whose upstreams get no new flow.

    :param revisions: the store's revision of each request, by zone.
    """

    __slots__ = ('_revisions',)

    def __init__(self, revisions: Mapping[str, int] | None = None) -> None:
        self._revisions = dict(revisions or {})

    def __contains__(self, zone: str) -> bool:
        return zone in self._revisions

    def __iter__(self) -> Iterator[str]:
        return iter(self._revisions)

    def __len__(self) -> int:
        return len(self._revisions)

    def get_revision(self, zone: str) -> int:
        """Tell which revision of the store holds a zone's request.

        :param zone: a zone that is evacuated.
        :returns: the revision.
        """
        return self._revisions[zone]


NONE = Evacuations()
