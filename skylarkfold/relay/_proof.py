"""Calls to the store for an answer that proves a topic complete up to now."""

from __future__ import annotations

_NEVER = float('-inf')
# How long an answer is waited for: packets that need it are held for so long.
_OPEN_SECONDS = 0.4
# The longest pause between two calls. 600 instances then make 190 calls a
# second together.
_LONGEST_PAUSE_SECONDS = 3.2


class Proof:
    """Up to when a topic is proved complete, and the calls that prove it.

    Only an answer to this instance is a proof. The pause between two calls
    doubles until the topic changes, so that packets of invented flows can't
    flood the store.

    :param least_pause_seconds: the first pause.
    :ivar proved_at: a time up to which an answer of the store to this instance
        has shown all changes.
    """

    __slots__ = (
        '_called_for_at',
        '_least_pause_seconds',
        '_pause_seconds',
        '_wanted_at',
        'proved_at',
    )

    def __init__(self, least_pause_seconds: float) -> None:
        self.proved_at = _NEVER
        self._least_pause_seconds = least_pause_seconds
        self._pause_seconds = least_pause_seconds
        # When a proof was last wanted, and when the store was last to be
        # called for one.
        self._wanted_at = _NEVER
        self._called_for_at = _NEVER

    def request(self, now: float) -> bool:
        """Request a proof.

        :param now: the current time.
        :returns: whether the store is to be called; not if an answer is
            waited for, or if the last call was too recent.
        """
        if now - self._wanted_at > _LONGEST_PAUSE_SECONDS:
            self._pause_seconds = self._least_pause_seconds
        self._wanted_at = now
        pause = now - self._called_for_at
        if self.is_open(now) or pause < self._pause_seconds:
            return False
        self._called_for_at = now
        return True

    def is_open(self, now: float) -> bool:
        """Return whether an answer is waited for.

        :param now: the current time.
        :returns: whether the store is to be called, or has been.
        """
        is_unproved = self._called_for_at > self.proved_at
        return is_unproved and now - self._called_for_at < _OPEN_SECONDS

    def record(self, proved_at: float) -> None:
        """Record an answer of the store.

        :param proved_at: the time up to which it shows all changes.
        """
        if self.proved_at < self._called_for_at <= proved_at:
            self._pause_seconds = min(
                2 * self._pause_seconds, _LONGEST_PAUSE_SECONDS
            )
        self.proved_at = max(self.proved_at, proved_at)

    def handle_change(self) -> None:
        """Shorten the pause: the topic has changed."""
        self._pause_seconds = self._least_pause_seconds
