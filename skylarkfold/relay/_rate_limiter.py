"""Rate limits in bytes per second for reports and snapshots."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold.relay import _messages

# The entry of an upstream in a load report: five bytes of its incarnation, the
# list's header and two numbers.
_ENTRY_BYTES = 8
# The fields for the speed of an upstream.
_SPEED_BYTES = 3
# A load report without its entries.
_REPORT_BYTES = 24


class RateLimiter:
    """Rate limiter for bytes that are sent.

    A message may be sent as soon as the previous ones are paid for, whatever
    its size.

    :param bytes_per_second: the average rate; 0 for no limit.
    :param burst_seconds: how many seconds of that rate may be sent at once
        after a pause.
    """

    __slots__ = ('_burst_seconds', '_bytes_per_second', '_next_send_at')

    def __init__(
        self, bytes_per_second: float, burst_seconds: float = 0.0
    ) -> None:
        self._bytes_per_second = bytes_per_second
        self._burst_seconds = burst_seconds
        self._next_send_at = float('-inf')

    def may_send(self, now: float) -> bool:
        """Return whether the next message may be sent.

        :param now: the current time.
        :returns: whether it may.
        """
        return now >= self._next_send_at - self._burst_seconds

    def record_bytes(self, now: float, size: int) -> None:
        """Record a message that is sent.

        :param now: the current time.
        :param size: its size in bytes.
        """
        if self._bytes_per_second > 0.0:
            since = max(now, self._next_send_at)
            self._next_send_at = since + size / self._bytes_per_second


class LoadReportLimiter(RateLimiter):
    """Rate limiter for load reports."""

    __slots__ = ()

    def record_reports(
        self, now: float, reports: Iterable[_messages.LoadReport], hosts: int
    ) -> None:
        """Record load reports that are sent.

        :param now: the current time.
        :param reports: the reports.
        :param hosts: the number of hosts that they are sent to.
        """
        size = sum(
            _REPORT_BYTES
            + _ENTRY_BYTES * len(each.loads)
            + _SPEED_BYTES
            * sum(1 for load in each.loads.values() if load.answers)
            for each in reports
        )
        self.record_bytes(now, size * hosts)
