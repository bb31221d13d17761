"""Fetches what this instance lacks from a neighbour that has it."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold.distribution import _messages
from skylarkfold.distribution import _settings
from skylarkfold import effect
from skylarkfold import object_cache
from skylarkfold import platform_api


class Fetcher:
    """At most one fetch under way, retried at another peer.

    :param settings: the distribution's settings.
    """

    __slots__ = (
        '_absent',
        '_cursor',
        '_deadline',
        '_peer',
        '_peer_positions',
        '_settings',
    )

    def __init__(self, settings: _settings.DistributionSettings) -> None:
        self._settings = settings
        self._peer_positions: dict[str, int] = {}
        self._peer: str | None = None
        self._deadline = 0.0
        self._cursor = 0
        self._absent: dict[str, int] = {}

    def record_ahead(
        self, peer: str, revision: int, now: float, position: int
    ) -> list[object]:
        """Note that a peer is further than this instance.

        :param peer: the peer.
        :param revision: the peer's position.
        :param now: the time in seconds.
        :param position: this instance's position.
        :returns: a fetch, unless one is under way.
        """
        self._peer_positions[peer] = max(
            revision, self._peer_positions.get(peer, 0)
        )
        if self._peer is not None:
            return []
        return self._start_fetch(peer, now, position)

    def accepts(
        self, sender: str, delta: _messages.Delta, position: int
    ) -> bool:
        """Tell whether a page continues what is known here.

        :param sender: who sent it.
        :param delta: the page.
        :param position: this instance's position.
        :returns: False for a page that leaves a gap or was not asked for.
        """
        if sender != self._peer:
            return False
        if delta.is_snapshot:
            return delta.base <= self._cursor
        return delta.base <= position

    def take_page(
        self,
        delta: _messages.Delta,
        objects: Iterable[platform_api.StoredObject],
        cache: object_cache.ObjectCache,
    ) -> list[platform_api.StoredObject]:
        """Advance the cursor and find objects that a snapshot lacks.

        :param delta: an accepted page.
        :param objects: its objects, which are kept already.
        :param cache: this instance's objects.
        :returns: deletions that follow from a finished snapshot.
        """
        previous_cursor, self._cursor = (
            self._cursor,
            max(self._cursor, delta.revision),
        )
        if not delta.is_snapshot:
            return []
        present = {each.path for each in objects}
        end = min(delta.revision, delta.floor)
        for each in cache.list_absent(end, present):
            if each.revision > previous_cursor:
                self._absent[each.path] = each.revision
        if not delta.is_last:
            return []
        cache.raise_floor(delta.floor)
        return self._build_tombstones(delta.floor, cache)

    def fetch_next(
        self, sender: str, now: float, position: int
    ) -> list[object]:
        """Ask for the next page, or end.

        :param sender: who sent the last page.
        :param now: the time in seconds.
        :param position: this instance's position.
        :returns: the next fetch, if there is more to get.
        """
        peer, self._peer = self._peer, None
        target = self._peer_positions.get(peer, 0)
        if target > position:
            return self._send_fetch(peer, now, position)
        self._cursor = 0
        return self._fetch_from_best_peer(now, position)

    def check_timeout(self, now: float, position: int) -> list[object]:
        """Pass over a peer that does not answer.

        :param now: the time in seconds.
        :param position: this instance's position.
        :returns: a fetch from another peer, or nothing.
        """
        if self._peer is None or now < self._deadline:
            return []
        return self.drop_peer(self._peer, now, position)

    def drop_peer(self, peer: str, now: float, position: int) -> list[object]:
        """Note that a peer is gone, slow or busy.

        :param peer: the peer.
        :param now: the time in seconds.
        :param position: this instance's position.
        :returns: a fetch from another peer, or nothing.
        """
        self._peer_positions.pop(peer, None)
        if self._peer != peer:
            return []
        self._peer = None
        return self._fetch_from_best_peer(now, position)

    def _fetch_from_best_peer(self, now: float, position: int) -> list[object]:
        self._peer_positions = {
            peer: revision
            for peer, revision in self._peer_positions.items()
            if revision > position
        }
        if not self._peer_positions:
            return []
        best = max(
            sorted(self._peer_positions), key=self._peer_positions.__getitem__
        )
        return self._start_fetch(best, now, position)

    def _start_fetch(
        self, peer: str, now: float, position: int
    ) -> list[object]:
        self._cursor = 0
        self._absent = {}
        return self._send_fetch(peer, now, position)

    def _send_fetch(
        self, peer: str, now: float, position: int
    ) -> list[object]:
        self._peer = peer
        self._deadline = now + self._settings.fetch_timeout_seconds
        return [
            effect.SendToPeer(peer, _messages.Fetch(position, self._cursor))
        ]

    def _build_tombstones(
        self, floor: int, cache: object_cache.ObjectCache
    ) -> list[platform_api.StoredObject]:
        absent, self._absent = self._absent, {}
        tombstones = []
        for path, revision in absent.items():
            known = cache.get(path)
            if known is not None and known.revision == revision:
                tombstones.append(
                    platform_api.StoredObject(
                        path, known.version + 1, floor, None
                    )
                )
        return tombstones
