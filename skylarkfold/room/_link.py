"""Meter of the load of a link."""

from __future__ import annotations

import math


class LinkMeter:
    """Averages the traffic of a link in each direction, with decay.

    :param bytes_per_second: the link's rate; 0 if unknown.
    :param seconds: the time constant of the decay.
    """

    __slots__ = (
        '_received',
        '_seconds',
        '_sent',
        '_updated_at',
        'bytes_per_second',
    )

    def __init__(self, bytes_per_second: float, seconds: float) -> None:
        self.bytes_per_second = bytes_per_second
        self._seconds = seconds
        self._updated_at = 0.0
        self._received = 0.0
        self._sent = 0.0

    def note(self, now: float, received: int, sent: int) -> None:
        """Record traffic.

        :param now: the time.
        :param received: bytes received.
        :param sent: bytes sent.
        """
        self._decay(now)
        self._received += received
        self._sent += sent

    def compute_share(self, now: float) -> float:
        """Compute the share of the rate that is in use.

        :param now: the time.
        :returns: the share of the busier direction; 0 if the rate is
            unknown.
        """
        if not self.bytes_per_second:
            return 0.0
        self._decay(now)
        busier = max(self._received, self._sent)
        return busier / (self._seconds * self.bytes_per_second)

    def _decay(self, now: float) -> None:
        if now <= self._updated_at:
            return
        decay_factor = math.exp((self._updated_at - now) / self._seconds)
        self._updated_at = now
        self._received *= decay_factor
        self._sent *= decay_factor
