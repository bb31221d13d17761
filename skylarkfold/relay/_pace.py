"""How often loads are told, so that they cost no more than they may."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold.relay import _messages

# An upstream's entry in a report: five bytes of its start, a list, two counts.
_ENTRY_BYTES = 8
# What it says of its speed.
_SPEED_BYTES = 3
# A report with its source and age.
_REPORT_BYTES = 24


class Pace:
    """Spaces what is sent by its bytes.

    :param bytes_per_second: what it may cost in the long run; 0 for no bound.
    :param burst_seconds: what may be sent at once after a rest, in seconds of
        that.
    """

    __slots__ = ('_burst_seconds', '_bytes_per_second', '_due')

    def __init__(
        self, bytes_per_second: float, burst_seconds: float = 0.0
    ) -> None:
        self._bytes_per_second = bytes_per_second
        self._burst_seconds = burst_seconds
        self._due = float('-inf')

    def is_due(self, now: float) -> bool:
        """Tell whether the next may go out.

        :param now: the time.
        :returns: whether it may.
        """
        return now >= self._due - self._burst_seconds

    def note_bytes(self, now: float, size: int) -> None:
        """Note what goes out.

        :param now: the time.
        :param size: its bytes.
        """
        if self._bytes_per_second > 0.0:
            since = max(now, self._due)
            self._due = since + size / self._bytes_per_second


class LoadPace(Pace):
    """Spaces reports of loads."""

    __slots__ = ()

    def note(
        self, now: float, reports: Iterable[_messages.LoadReport], hosts: int
    ) -> None:
        """Note reports that go out.

        :param now: the time.
        :param reports: the reports.
        :param hosts: how many they go to.
        """
        size = sum(
            _REPORT_BYTES
            + _ENTRY_BYTES * len(each.loads)
            + _SPEED_BYTES
            * sum(1 for load in each.loads.values() if load.answers)
            for each in reports
        )
        self.note_bytes(now, size * hosts)
