"""Availability zones that operators have evacuated."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping

from skylarkfold import revision as revisions


class Evacuations:
    """The availability zones whose upstreams get no new flows.

    :param written: the store revision of each zone's request.
    """

    __slots__ = ('_written',)

    def __init__(
        self, written: Mapping[str, revisions.Revision] | None = None
    ) -> None:
        self._written = dict(written or {})

    def __contains__(self, zone: str) -> bool:
        return zone in self._written

    def __iter__(self) -> Iterator[str]:
        return iter(self._written)

    def __len__(self) -> int:
        return len(self._written)

    def get_revision(self, zone: str) -> revisions.Revision:
        """Return the store revision of a zone's evacuation request.

        :param zone: an evacuated zone.
        :returns: the revision.
        """
        return self._written[zone]


NO_EVACUATIONS = Evacuations()
