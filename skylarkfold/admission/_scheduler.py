"""Whose turn it is: strict precedence with a floor."""

from __future__ import annotations

from collections.abc import Collection
import math

from skylarkfold import request


class PriorityScheduler:
    """Chooses between classes that wait.

    The highest class goes first. A class that waits and was passed over
    in all turns but its ``floor_share`` gets the next one, so that no
    class starves.

    :param floor_share: the least share of turns for each lower class;
        0 for none.
    """

    __slots__ = ('_passed', '_patience')

    def __init__(self, floor_share: float) -> None:
        self._patience = math.inf
        if floor_share > 0:
            self._patience = round(1 / floor_share) - 1
        self._passed = dict.fromkeys(request.Priority, 0)

    def choose(
        self, waiting: Collection[request.Priority]
    ) -> request.Priority | None:
        """Choose the class of the next turn, without taking it.

        :param waiting: the classes that have a request.
        :returns: the class, or None if none waits.
        """
        if not waiting:
            return None
        for priority in sorted(waiting):
            if self._passed[priority] >= self._patience:
                return priority
        return min(waiting)

    def record_turn(
        self,
        taken: request.Priority,
        waiting: Collection[request.Priority],
    ) -> None:
        """Account for a turn.

        :param taken: the class that went.
        :param waiting: the classes that had a request at that time.
        """
        for priority in request.Priority:
            if priority == taken or priority not in waiting:
                self._passed[priority] = 0
            elif priority > taken:
                self._passed[priority] += 1
