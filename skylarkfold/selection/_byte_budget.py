"""The byte budget of the messages about slots."""

from __future__ import annotations

_BURST_SECONDS = 1.0


class ByteBudget:
    """A token bucket of bytes that may fall below zero.

    :param bytes_per_second: how fast it fills.
    """

    __slots__ = ('_left', '_maximum', '_rate', '_updated_at')

    def __init__(self, bytes_per_second: float) -> None:
        self._rate = bytes_per_second
        self._maximum = bytes_per_second * _BURST_SECONDS
        self._left = self._maximum
        self._updated_at: float | None = None

    def spend(self, now: float, size_bytes: int) -> None:
        """Take bytes out, whether or not they are there.

        :param now: the present time.
        :param size_bytes: what was sent or received.
        """
        self._fill(now)
        self._left -= size_bytes

    def measure_share(self, now: float) -> float:
        """Measure how full the budget is.

        :param now: the present time.
        :returns: 1 for full, 0 and less for spent.
        """
        self._fill(now)
        return self._left / self._maximum

    def foretell_seconds(self, now: float, share: float) -> float:
        """Foretell when the budget will be full to a share.

        :param now: the present time.
        :param share: from 0 to 1.
        :returns: seconds from now.
        """
        missing = share - self.measure_share(now)
        return max(0.0, missing * _BURST_SECONDS)

    def _fill(self, now: float) -> None:
        if self._updated_at is not None:
            passed = max(0.0, now - self._updated_at)
            self._left = min(self._maximum, self._left + passed * self._rate)
        self._updated_at = now
