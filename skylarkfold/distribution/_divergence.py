"""Detection of lasting differences from peers at the same position."""

from __future__ import annotations

from skylarkfold.distribution import _settings


class DivergenceDetector:
    """Detects peers whose digest differs in two successive announcements.

    A single mismatch only means that one of the two already had an object
    beyond its position.

    :param settings: the distribution's settings.
    """

    __slots__ = ('_mismatches', '_next_relist', '_settings')

    def __init__(self, settings: _settings.DistributionSettings) -> None:
        self._settings = settings
        self._mismatches: dict[str, tuple[int, float]] = {}
        self._next_relist = 0.0

    def clear(self, peer: str) -> None:
        """Clear the mismatch of a peer that agrees or is lost.

        :param peer: the peer.
        """
        self._mismatches.pop(peer, None)

    def record_mismatch(self, peer: str, revision: int, now: float) -> bool:
        """Record that the digest of a peer at the same position differs.

        :param peer: the peer.
        :param revision: the common position.
        :param now: the time in seconds.
        :returns: whether the mismatch has lasted and all objects are to be
            listed again; rate limited.
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
