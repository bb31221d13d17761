"""A virtual clock with the calls that are due."""

from __future__ import annotations

from collections.abc import Callable
import heapq
import itertools


class VirtualClock:
    """Runs calls in the order of their virtual times."""

    __slots__ = ('_due', '_numbers', 'now')

    def __init__(self) -> None:
        self.now = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def call_later(self, delay_seconds: float, call: Callable) -> None:
        """Have a call run after a delay.

        :param delay_seconds: from now; calls of the same time run in the
            order in which they were asked for.
        :param call: takes no argument.
        """
        entry = (self.now + delay_seconds, next(self._numbers), call)
        heapq.heappush(self._due, entry)

    def run(self, until: float) -> None:
        """Run all calls that are due up to a time.

        :param until: the virtual time at which to stop.
        """
        while self._due and self._due[0][0] <= until:
            self.now, _, call = heapq.heappop(self._due)
            call()
        self.now = until
