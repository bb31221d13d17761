"""A virtual clock and what is to be done at which time."""

from __future__ import annotations

import heapq

from collections.abc import Callable

Action = Callable[[], None]


class Schedule:
    """Runs actions in the order of their times, equal ones as added."""

    __slots__ = ('_added', '_waiting', 'now')

    def __init__(self) -> None:
        self.now = 0.0
        self._waiting: list[tuple[float, int, Action]] = []
        self._added = 0

    def add(self, delay_seconds: float, action: Action) -> None:
        """Add an action.

        :param delay_seconds: how long from now.
        :param action: called without arguments.
        """
        self._added += 1
        due = self.now + delay_seconds
        heapq.heappush(self._waiting, (due, self._added, action))

    def run_until(self, end: float) -> None:
        """Run all that is due and move the clock.

        :param end: the time in seconds to which the clock moves.
        """
        waiting = self._waiting
        while waiting and waiting[0][0] <= end:
            due, _, action = heapq.heappop(waiting)
            self.now = max(self.now, due)
            action()
        self.now = max(self.now, end)
