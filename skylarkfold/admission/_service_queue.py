"""The queue of one service, with a FIFO queue for each class."""

from __future__ import annotations

from collections.abc import Iterator

from skylarkfold.admission import _estimators
from skylarkfold.admission import _results
from skylarkfold.admission import _scheduler
from skylarkfold import request as request_module


class ClassQueue:
    """The waiting requests of one class, oldest first."""

    __slots__ = ('_entries', 'size_bytes', 'turn_interval')

    def __init__(self) -> None:
        self._entries: dict[int, _results.Queued] = {}
        self.size_bytes = 0
        self.turn_interval = _estimators.TurnIntervalEstimator()

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[_results.Queued]:
        return iter(list(self._entries.values()))

    def append(self, entry: _results.Queued) -> None:
        """Append an entry."""
        self._entries[entry.request.number] = entry
        self.size_bytes += entry.size_bytes

    def remove(self, number: int) -> _results.Queued | None:
        """Remove and return the entry of a request, None if it has none."""
        entry = self._entries.pop(number, None)
        if entry is None:
            return None
        self.size_bytes -= entry.size_bytes
        if not self._entries:
            self.turn_interval.stop_waiting()
        return entry

    def get_oldest(self) -> _results.Queued | None:
        """Return the oldest entry, None if the queue is empty."""
        return next(iter(self._entries.values()), None)

    def get_newest(self) -> _results.Queued | None:
        """Return the newest entry, None if the queue is empty."""
        return next(reversed(self._entries.values()), None)


class ServiceQueue:
    """The waiting requests of one service.

    :param floor_share: the minimum share of turns of each lower class.
    """

    __slots__ = ('class_queues', 'scheduler', 'service_time')

    def __init__(self, floor_share: float) -> None:
        self.class_queues = {
            each: ClassQueue() for each in request_module.Priority
        }
        self.scheduler = _scheduler.PriorityScheduler(floor_share)
        self.service_time = _estimators.ServiceTimeEstimator()

    @property
    def size_bytes(self) -> int:
        """The size of the waiting requests."""
        return sum(
            class_queue.size_bytes
            for class_queue in self.class_queues.values()
        )

    def __len__(self) -> int:
        return sum(map(len, self.class_queues.values()))

    def list_waiting(self) -> list[request_module.Priority]:
        """List the classes with waiting requests."""
        return [
            each
            for each, class_queue in self.class_queues.items()
            if len(class_queue)
        ]

    def count(self) -> _results.WaitingCounts:
        """Count the waiting requests of each class."""
        return _results.WaitingCounts(*map(len, self.class_queues.values()))

    def find_eviction_candidate(self) -> _results.Queued | None:
        """Return the newest entry of the lowest class, None if empty."""
        for priority in sorted(self.class_queues, reverse=True):
            entry = self.class_queues[priority].get_newest()
            if entry is not None:
                return entry
        return None

    def estimate_wait(
        self, now: float, priority: request_module.Priority
    ) -> float:
        """Estimate how long a new entry of a class would wait.

        :param now: the current time.
        :param priority: the class.
        :returns: the wait in seconds.
        """
        class_queue = self.class_queues[priority]
        if not len(class_queue):
            return 0.0
        return (len(class_queue) + 1) * class_queue.turn_interval.estimate(now)
