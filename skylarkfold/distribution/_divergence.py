"""Compares the objects with those of peers at the same position."""

from __future__ import annotations

from skylarkfold.distribution import _settings


class DivergenceDetector:
    """Finds differences that last.

    A difference that the next announcement does not repeat was only an
    object that one of the two had ahead of its position.

    :param settings: the distribution's settings.
    """

    __slots__ = ('_mismatches', '_next_relist', '_settings')

    def __init__(self, settings: _settings.DistributionSettings) -> None:
        self._settings = settings
        self._mismatches: dict[str, tuple[int, float]] = {}
        self._next_relist = 0.0

    def clear(self, peer: str) -> None:
        """Forget a peer that agrees, moved on or is gone.

        :param peer: the peer.
        """
        self._mismatches.pop(peer, None)

    def record_mismatch(self, peer: str, revision: int, now: float) -> bool:
        """Note that a peer's digest at the same position differs.

        :param peer: the peer.
        :param revision: the position of both.
        :param now: the time in seconds.
        :returns: whether the difference has lasted and the platform has
            to be asked; at most once in a while.
        """
        known, since = self._mismatches.get(peer, (-1, now))
        if known != revision:
            self._mismatches[peer] = (revision, now)
            return False
        settings = self._settings
        if now - since < settings.announce_seconds / 2:
            return False
        if now < self._next_relist:
            return False
        self.clear(peer)
        self._next_relist = now + settings.silence_seconds
        return True
