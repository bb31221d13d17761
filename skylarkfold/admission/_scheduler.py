"""Priority scheduling with a minimum share for lower classes."""

from __future__ import annotations

from collections.abc import Collection
import math

from skylarkfold import request


class PriorityScheduler:
    """Chooses the priority class that is served next.

    The highest waiting class is served first. A waiting class that was
    skipped so often that it would get less than ``floor_share`` of the
    turns gets the next one, so that no class starves.

    :param floor_share: the minimum share of turns of each lower class; 0
        for none.
    """

    __slots__ = ('_maximum_skipped', '_skipped_turns')

    def __init__(self, floor_share: float) -> None:
        self._maximum_skipped = math.inf
        if floor_share > 0:
            self._maximum_skipped = round(1 / floor_share) - 1
        self._skipped_turns = dict.fromkeys(request.Priority, 0)

    def choose(
        self, waiting: Collection[request.Priority]
    ) -> request.Priority | None:
        """Return the class of the next turn, without recording the turn.

        :param waiting: the classes with waiting requests.
        :returns: the class, or None if none waits.
        """
        if not waiting:
            return None
        for priority in sorted(waiting):
            if self._skipped_turns[priority] >= self._maximum_skipped:
                return priority
        return min(waiting)

    def record_turn(
        self,
        taken: request.Priority,
        waiting: Collection[request.Priority],
    ) -> None:
        """Record a turn.

        :param taken: the class that was served.
        :param waiting: the classes that had waiting requests.
        """
        for priority in request.Priority:
            if priority == taken or priority not in waiting:
                self._skipped_turns[priority] = 0
            elif priority > taken:
                self._skipped_turns[priority] += 1
