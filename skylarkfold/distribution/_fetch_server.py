"""Server of the neighbours' fetches, within a bandwidth budget."""

from __future__ import annotations

from skylarkfold.distribution import _messages
from skylarkfold.distribution import _packing
from skylarkfold.distribution import _settings
from skylarkfold import effect
from skylarkfold import metric
from skylarkfold import object_cache
from skylarkfold import platform_api

_ITEM_OVERHEAD_BYTES = 64


class FetchServer:
    """Answers each fetch with one page; each peer has one pending fetch.

    No pages are queued for slow peers: a page is built of the newest
    objects when the fetch is answered.

    :param settings: the distribution's settings.
    :param cache: this instance's objects.
    """

    __slots__ = (
        '_byte_budget',
        '_cache',
        '_pending',
        '_refilled_at',
        '_settings',
    )

    def __init__(
        self,
        settings: _settings.DistributionSettings,
        cache: object_cache.ObjectCache,
    ) -> None:
        self._settings = settings
        self._cache = cache
        self._pending: dict[str, tuple[float, _messages.Fetch]] = {}
        self._byte_budget = float(settings.serve_bytes_per_second)
        self._refilled_at = 0.0

    def handle_fetch(
        self, peer: str, fetch: _messages.Fetch, now: float
    ) -> list[object]:
        """Handle a fetch, which replaces an earlier one of the same peer.

        :param peer: the peer.
        :param fetch: the fetch.
        :param now: the time in seconds.
        :returns: pages for pending fetches, or a Busy message if too many
            are pending.
        """
        self._pending.pop(peer, None)
        if len(self._pending) >= self._settings.serve_count:
            return [
                effect.CountMetric(metric.DISTRIBUTION_BUSY),
                effect.SendToPeer(peer, _messages.Busy()),
            ]
        self._pending[peer] = (now, fetch)
        return self.serve_pending(now)

    def serve_pending(self, now: float) -> list[object]:
        """Answer pending fetches, oldest first, as the budget allows.

        :param now: the time in seconds.
        :returns: pages.
        """
        self._refill(now)
        effects = []
        while self._pending and self._byte_budget > 0:
            peer = next(iter(self._pending))
            received_at, fetch = self._pending.pop(peer)
            if now - received_at > self._settings.fetch_timeout_seconds:
                effects.append(effect.CountMetric(metric.DISTRIBUTION_LATE))
                continue
            effects.append(self._answer(peer, fetch))
        return effects

    def cancel_fetch(self, peer: str) -> None:
        """Cancel the pending fetch of a lost peer.

        :param peer: the peer.
        """
        self._pending.pop(peer, None)

    def _refill(self, now: float) -> None:
        rate = self._settings.serve_bytes_per_second
        refill = (now - self._refilled_at) * rate
        self._refilled_at = now
        self._byte_budget = min(
            float(rate), self._byte_budget + max(0.0, refill)
        )

    def _answer(self, peer: str, fetch: _messages.Fetch) -> object:
        cache = self._cache
        is_snapshot = fetch.position < cache.floor
        base = fetch.cursor if is_snapshot else fetch.position
        base = max(base, fetch.cursor)
        found = cache.list_after(base)
        page = self._build_page(found)
        end = cache.position
        if len(page) < len(found):
            end = min(end, page[-1].revision)
        delta = _messages.Delta(
            base=base,
            revision=max(end, base),
            is_snapshot=is_snapshot,
            is_last=end >= cache.position,
            floor=cache.floor,
            packed=_packing.pack(page),
        )
        return effect.SendToPeer(peer, delta)

    def _build_page(
        self, found: list[platform_api.StoredObject]
    ) -> list[platform_api.StoredObject]:
        page, size = [], 0
        for each in found:
            size += _estimate_bytes(each)
            is_full = size > self._settings.page_bytes
            # Objects of one revision must be in one page: the next page
            # begins after that revision.
            if page and is_full and each.revision > page[-1].revision:
                break
            page.append(each)
        self._byte_budget -= sum(map(_estimate_bytes, page))
        return page


def _estimate_bytes(each: platform_api.StoredObject) -> int:
    return _ITEM_OVERHEAD_BYTES + len(each.path) + len(each.value or b'')
