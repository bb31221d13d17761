"""Bytes that were let in ahead of the rate that they may take."""

from __future__ import annotations


class Debt:
    """Bytes that were let in ahead of the rate that they may take.

    :ivar amount: bytes; never negative.
    """

    __slots__ = ('_at', 'amount')

    def __init__(self) -> None:
        self.amount = 0.0
        self._at = 0.0

    def pay(self, now: float, bytes_per_second: float) -> None:
        """Let time pass.

        :param now: the time.
        :param bytes_per_second: the rate since the last time.
        """
        passed = max(0.0, now - self._at)
        self._at = now
        self.amount = max(0.0, self.amount - passed * bytes_per_second)

    def change(self, count: float) -> None:
        """Add bytes that were let in, or take back some that don't come.

        :param count: how many; negative ones are taken back.
        """
        self.amount = max(0.0, self.amount + count)
