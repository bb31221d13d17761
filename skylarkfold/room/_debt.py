"""Bytes that were admitted in excess of a rate."""

from __future__ import annotations


class ByteDebt:
    """The bytes that were admitted in excess of a rate: a leaky bucket.

    :ivar amount: the bytes; never negative.
    """

    __slots__ = ('_updated_at', 'amount')

    def __init__(self) -> None:
        self.amount = 0.0
        self._updated_at = 0.0

    def pay_down(self, now: float, bytes_per_second: float) -> None:
        """Reduce the debt by what the rate allows since the last call.

        :param now: the time.
        :param bytes_per_second: the rate since the last call.
        """
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = now
        self.amount = max(0.0, self.amount - elapsed * bytes_per_second)

    def adjust(self, count: float) -> None:
        """Add admitted bytes, or remove some that will not arrive.

        :param count: the number of bytes; negative to remove them.
        """
        self.amount = max(0.0, self.amount + count)
