"""A token bucket that limits the rate of calls."""

from __future__ import annotations


class TokenBucket:
    """A token bucket.

    :param per_second: the number of tokens added per second.
    :param burst: the maximum number of tokens.
    """

    __slots__ = ('_burst', '_refilled_at', '_per_second', '_tokens')

    def __init__(self, per_second: float, burst: float) -> None:
        self._per_second = per_second
        self._burst = float(burst)
        self._tokens = float(burst)
        self._refilled_at: float | None = None

    def take(self, now: float) -> bool:
        """Take a token if one is available.

        :param now: the time in seconds of a monotonic clock.
        :returns: whether a token was taken.
        """
        self._refill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            gained = max(0.0, now - self._refilled_at) * self._per_second
            self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at = now
