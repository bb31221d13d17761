"""A token bucket that limits the rate of calls."""

from __future__ import annotations


class TokenBucket:
    """A token bucket.

    :param per_second: tokens gained in a second.
    :param burst: the most tokens that it holds.
    """

    __slots__ = ('_burst', '_filled_at', '_per_second', '_tokens')

    def __init__(self, per_second: float, burst: float) -> None:
        self._per_second = per_second
        self._burst = float(burst)
        self._tokens = float(burst)
        self._filled_at: float | None = None

    def take(self, now: float) -> bool:
        """Take a token if there is one.

        :param now: the time in seconds of a monotonic clock.
        :returns: whether the call may go out.
        """
        self._fill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _fill(self, now: float) -> None:
        if self._filled_at is not None:
            gained = max(0.0, now - self._filled_at) * self._per_second
            self._tokens = min(self._burst, self._tokens + gained)
        self._filled_at = now
