"""Availability zones that operators have emptied."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping

from skylarkfold import revision as revisions


class Evacuations:
    """The availability zones whose upstreams get no new flow.

    :param written: where in the store's history each request was written,
        by zone.
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
        """Tell where in the store's history a zone's request was written.

        :param zone: a zone that is evacuated.
        :returns: the revision.
        """
        return self._written[zone]


NO_EVACUATIONS = Evacuations()
