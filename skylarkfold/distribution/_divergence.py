"""Compares the objects with those of peers at the same position."""

from __future__ import annotations

from skylarkfold.distribution import _settings


class Comparison:
    """Finds differences that last.

    A difference that the next announcement does not repeat was only an
    object that one of the two had ahead of its position.

    :param settings: the distribution's settings.
    """

    __slots__ = ('_differing', '_next_verdict', '_settings')

    def __init__(self, settings: _settings.DistributionSettings) -> None:
        self._settings = settings
        self._differing: dict[str, tuple[int, float]] = {}
        self._next_verdict = 0.0

    def forget(self, peer: str) -> None:
        """Forget a peer that agrees, moved on or is gone.

        :param peer: the peer.
        """
        self._differing.pop(peer, None)

    def note_difference(self, peer: str, revision: int, now: float) -> bool:
        """Note that a peer's digest at the same position differs.

        :param peer: the peer.
        :param revision: the position of both.
        :param now: the time in seconds.
        :returns: whether the difference has lasted and the platform has
            to be asked; at most once in a while.
        """
        known, since = self._differing.get(peer, (-1, now))
        if known != revision:
            self._differing[peer] = (revision, now)
            return False
        settings = self._settings
        if now - since < settings.announce_seconds / 2:
            return False
        if now < self._next_verdict:
            return False
        self.forget(peer)
        self._next_verdict = now + settings.silence_seconds
        return True
