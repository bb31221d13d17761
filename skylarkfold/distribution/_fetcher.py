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
        '_known',
        '_peer',
        '_settings',
    )

    def __init__(self, settings: _settings.DistributionSettings) -> None:
        self._settings = settings
        self._known: dict[str, int] = {}
        self._peer: str | None = None
        self._deadline = 0.0
        self._cursor = 0
        self._absent: dict[str, int] = {}

    def note(
        self, peer: str, revision: int, now: float, position: int
    ) -> list[object]:
        """Note that a peer is further than this instance.

        :param peer: the peer.
        :param revision: the peer's position.
        :param now: the time in seconds.
        :param position: this instance's position.
        :returns: a fetch, unless one is under way.
        """
        self._known[peer] = max(revision, self._known.get(peer, 0))
        if self._peer is not None:
            return []
        return self._begin(peer, now, position)

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

    def absorb(
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
        begin, self._cursor = self._cursor, max(self._cursor, delta.revision)
        if not delta.is_snapshot:
            return []
        present = {each.path for each in objects}
        end = min(delta.revision, delta.floor)
        for each in cache.list_absent(end, present):
            if each.revision > begin:
                self._absent[each.path] = each.revision
        if not delta.is_last:
            return []
        cache.raise_floor(delta.floor)
        return self._settle_absent(delta.floor, cache)

    def proceed(self, sender: str, now: float, position: int) -> list[object]:
        """Ask for the next page, or end.

        :param sender: who sent the last page.
        :param now: the time in seconds.
        :param position: this instance's position.
        :returns: the next fetch, if there is more to get.
        """
        peer, self._peer = self._peer, None
        target = self._known.get(peer, 0)
        if target > position:
            return self._ask(peer, now, position)
        self._cursor = 0
        return self._choose(now, position)

    def retry(self, now: float, position: int) -> list[object]:
        """Pass over a peer that does not answer.

        :param now: the time in seconds.
        :param position: this instance's position.
        :returns: a fetch from another peer, or nothing.
        """
        if self._peer is None or now < self._deadline:
            return []
        return self.lose(self._peer, now, position)

    def lose(self, peer: str, now: float, position: int) -> list[object]:
        """Note that a peer is gone, slow or busy.

        :param peer: the peer.
        :param now: the time in seconds.
        :param position: this instance's position.
        :returns: a fetch from another peer, or nothing.
        """
        self._known.pop(peer, None)
        if self._peer != peer:
            return []
        self._peer = None
        return self._choose(now, position)

    def _choose(self, now: float, position: int) -> list[object]:
        self._known = {
            peer: revision
            for peer, revision in self._known.items()
            if revision > position
        }
        if not self._known:
            return []
        best = max(sorted(self._known), key=self._known.__getitem__)
        return self._begin(best, now, position)

    def _begin(self, peer: str, now: float, position: int) -> list[object]:
        self._cursor = 0
        self._absent = {}
        return self._ask(peer, now, position)

    def _ask(self, peer: str, now: float, position: int) -> list[object]:
        self._peer = peer
        self._deadline = now + self._settings.fetch_timeout_seconds
        return [
            effect.SendToPeer(peer, _messages.Fetch(position, self._cursor))
        ]

    def _settle_absent(
        self, floor: int, cache: object_cache.ObjectCache
    ) -> list[platform_api.StoredObject]:
        absent, self._absent = self._absent, {}
        gone = []
        for path, revision in absent.items():
            known = cache.get(path)
            if known is not None and known.revision == revision:
                gone.append(
                    platform_api.StoredObject(
                        path, known.version + 1, floor, None
                    )
                )
        return gone
