"""Byte budget for slot messages."""

from __future__ import annotations

_BURST_SECONDS = 1.0


class ByteBudget:
    """A token bucket of bytes whose balance may be negative.

    :param bytes_per_second: the fill rate.
    """

    __slots__ = ('_balance', '_burst', '_filled_at', '_rate')

    def __init__(self, bytes_per_second: float) -> None:
        self._rate = bytes_per_second
        self._burst = bytes_per_second * _BURST_SECONDS
        self._balance = self._burst
        self._filled_at: float | None = None

    def spend(self, now: float, size_bytes: int) -> None:
        """Deduct bytes, even beyond the balance.

        :param now: the current time.
        :param size_bytes: the size of a message sent or received.
        """
        self._fill(now)
        self._balance -= size_bytes

    def get_remaining_fraction(self, now: float) -> float:
        """Return the fraction of the budget that is left.

        :param now: the current time.
        :returns: 1 if full, 0 or less if spent.
        """
        self._fill(now)
        return self._balance / self._burst

    def estimate_refill_seconds(self, now: float, fraction: float) -> float:
        """Estimate the time until the budget is filled to a fraction.

        :param now: the current time.
        :param fraction: from 0 to 1.
        :returns: the time in seconds.
        """
        missing = fraction - self.get_remaining_fraction(now)
        return max(0.0, missing * _BURST_SECONDS)

    def _fill(self, now: float) -> None:
        if self._filled_at is not None:
            elapsed = max(0.0, now - self._filled_at)
            self._balance = min(
                self._burst, self._balance + elapsed * self._rate
            )
        self._filled_at = now
