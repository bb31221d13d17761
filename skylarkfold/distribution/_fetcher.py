"""Fetching of missing objects from neighbours."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold.distribution import _messages
from skylarkfold.distribution import _settings
from skylarkfold import effect
from skylarkfold import object_cache
from skylarkfold import platform_api


class Fetcher:
    """Sends one fetch at a time; after a failure, to another peer.

    :param settings: the distribution's settings.
    """

    __slots__ = (
        '_absent',
        '_current_peer',
        '_cursor',
        '_deadline',
        '_peer_positions',
        '_settings',
    )

    def __init__(self, settings: _settings.DistributionSettings) -> None:
        self._settings = settings
        self._peer_positions: dict[str, int] = {}
        self._current_peer: str | None = None
        self._deadline = 0.0
        self._cursor = 0
        self._absent: dict[str, int] = {}

    def record_ahead(
        self, peer: str, revision: int, now: float, position: int
    ) -> list[object]:
        """Record that a peer is ahead of this instance.

        :param peer: the peer.
        :param revision: the peer's position.
        :param now: the time in seconds.
        :param position: this instance's position.
        :returns: a fetch, unless one is pending.
        """
        self._peer_positions[peer] = max(
            revision, self._peer_positions.get(peer, 0)
        )
        if self._current_peer is not None:
            return []
        return self._start_fetch(peer, now, position)

    def accepts(
        self, sender: str, delta: _messages.Delta, position: int
    ) -> bool:
        """Return whether a page may be applied at the current position.

        :param sender: the peer that sent it.
        :param delta: the page.
        :param position: this instance's position.
        :returns: False for a page that leaves a gap or was not requested.
        """
        if sender != self._current_peer:
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
        """Advance the cursor and find the objects that a snapshot lacks.

        :param delta: an accepted page.
        :param objects: its objects, which are stored already.
        :param cache: this instance's objects.
        :returns: tombstones of the absent objects, once the snapshot is
            complete.
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
        """Fetch the next page, or from the next peer that is ahead.

        :param sender: the peer that sent the last page.
        :param now: the time in seconds.
        :param position: this instance's position.
        :returns: the next fetch, or nothing if no peer is ahead.
        """
        peer, self._current_peer = self._current_peer, None
        target = self._peer_positions.get(peer, 0)
        if target > position:
            return self._send_fetch(peer, now, position)
        self._cursor = 0
        return self._fetch_from_best_peer(now, position)

    def check_timeout(self, now: float, position: int) -> list[object]:
        """Drop the current peer if its answer is overdue.

        :param now: the time in seconds.
        :param position: this instance's position.
        :returns: a fetch from another peer, or nothing.
        """
        if self._current_peer is None or now < self._deadline:
            return []
        return self.drop_peer(self._current_peer, now, position)

    def drop_peer(self, peer: str, now: float, position: int) -> list[object]:
        """Drop a peer that is lost, too slow or busy.

        :param peer: the peer.
        :param now: the time in seconds.
        :param position: this instance's position.
        :returns: a fetch from another peer, or nothing.
        """
        self._peer_positions.pop(peer, None)
        if self._current_peer != peer:
            return []
        self._current_peer = None
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
        self._current_peer = peer
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
