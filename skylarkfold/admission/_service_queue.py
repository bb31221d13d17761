"""The queue of one service: one line for each class."""

from __future__ import annotations

from collections.abc import Iterator

from skylarkfold.admission import _estimators
from skylarkfold.admission import _results
from skylarkfold.admission import _scheduler
from skylarkfold import request as request_module


class Line:
    """The requests of one class that wait, oldest first."""

    __slots__ = ('_entries', 'interval', 'size_bytes')

    def __init__(self) -> None:
        self._entries: dict[int, _results.Queued] = {}
        self.size_bytes = 0
        self.interval = _estimators.TurnInterval()

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[_results.Queued]:
        return iter(list(self._entries.values()))

    def append(self, entry: _results.Queued) -> None:
        """Add an entry at the end."""
        self._entries[entry.request.number] = entry
        self.size_bytes += entry.size_bytes

    def remove(self, number: int) -> _results.Queued | None:
        """Remove an entry by its request's number, if it is there."""
        entry = self._entries.pop(number, None)
        if entry is None:
            return None
        self.size_bytes -= entry.size_bytes
        if not self._entries:
            self.interval.stop()
        return entry

    def get_first(self) -> _results.Queued | None:
        """Return the oldest entry, None if empty."""
        return next(iter(self._entries.values()), None)

    def get_last(self) -> _results.Queued | None:
        """Return the newest entry, None if empty."""
        return next(reversed(self._entries.values()), None)


class ServiceQueue:
    """All that waits for one service.

    :param floor_share: the least share of turns for lower classes.
    """

    __slots__ = ('lines', 'scheduler', 'service_time')

    def __init__(self, floor_share: float) -> None:
        self.lines = {each: Line() for each in request_module.Priority}
        self.scheduler = _scheduler.PriorityScheduler(floor_share)
        self.service_time = _estimators.ServiceTime()

    @property
    def size_bytes(self) -> int:
        """The bytes that wait."""
        return sum(line.size_bytes for line in self.lines.values())

    def __len__(self) -> int:
        return sum(map(len, self.lines.values()))

    def list_waiting(self) -> list[request_module.Priority]:
        """List the classes that have a request."""
        return [each for each, line in self.lines.items() if len(line)]

    def count(self) -> _results.WaitingCounts:
        """Count what waits in each class."""
        return _results.WaitingCounts(*map(len, self.lines.values()))

    def find_newest_of_lowest(self) -> _results.Queued | None:
        """Find the entry that is missed least: newest of the lowest class."""
        for priority in sorted(self.lines, reverse=True):
            entry = self.lines[priority].get_last()
            if entry is not None:
                return entry
        return None

    def foretell_wait(
        self, now: float, priority: request_module.Priority
    ) -> float:
        """Foretell how long a new entry of a class would wait.

        :param now: the current time.
        :param priority: the class.
        :returns: seconds.
        """
        line = self.lines[priority]
        if not len(line):
            return 0.0
        return (len(line) + 1) * line.interval.foretell(now)
