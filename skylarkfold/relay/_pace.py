"""How often loads are told, so that they cost no more than they may."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold.relay import _messages

# An upstream's entry in a report: five bytes of its start, a list, two counts.
_ENTRY_BYTES = 8
# A report with its source and age.
_REPORT_BYTES = 24


class LoadPace:
    """Spaces reports by their bytes.

    :param bytes_per_second: what they may cost in the long run.
    """

    __slots__ = ('_bytes_per_second', '_due')

    def __init__(self, bytes_per_second: float) -> None:
        self._bytes_per_second = bytes_per_second
        self._due = float('-inf')

    def is_due(self, now: float) -> bool:
        """Tell whether the next report may go out.

        :param now: the time.
        :returns: whether it may.
        """
        return now >= self._due

    def note(
        self, now: float, reports: Iterable[_messages.LoadReport], hosts: int
    ) -> None:
        """Note reports that go out.

        :param now: the time.
        :param reports: the reports.
        :param hosts: how many they go to.
        """
        size = sum(
            _REPORT_BYTES + _ENTRY_BYTES * len(each.loads) for each in reports
        )
        since = max(now, self._due)
        self._due = since + size * hosts / self._bytes_per_second
