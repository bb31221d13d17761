"""How much of a link is in use."""

from __future__ import annotations

import math


class LinkMeter:
    """Averages what goes through a link in each direction.

    :param bytes_per_second: the link's rate; 0 where it is not known.
    :param seconds: over about how long.
    """

    __slots__ = ('_at', '_received', '_seconds', '_sent', 'bytes_per_second')

    def __init__(self, bytes_per_second: float, seconds: float) -> None:
        self.bytes_per_second = bytes_per_second
        self._seconds = seconds
        self._at = 0.0
        self._received = 0.0
        self._sent = 0.0

    def note(self, now: float, received: int, sent: int) -> None:
        """Note what went through.

        :param now: the time.
        :param received: bytes that came in.
        :param sent: bytes that went out.
        """
        self._decay(now)
        self._received += received
        self._sent += sent

    def compute_share(self, now: float) -> float:
        """Compute the share of the rate that is in use.

        :param now: the time.
        :returns: of the busier direction; 0 where the rate is not known.
        """
        if not self.bytes_per_second:
            return 0.0
        self._decay(now)
        busier = max(self._received, self._sent)
        return busier / (self._seconds * self.bytes_per_second)

    def _decay(self, now: float) -> None:
        if now <= self._at:
            return
        kept = math.exp((self._at - now) / self._seconds)
        self._at = now
        self._received *= kept
        self._sent *= kept
