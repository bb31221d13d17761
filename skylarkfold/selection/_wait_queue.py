"""The order in which instances are granted slots."""

from __future__ import annotations

import collections
from collections.abc import Iterator

from skylarkfold import request
from skylarkfold.selection import _instance_record

_MAXIMUM_PLACES = 64


class DemandLine:
    """Instances in the order in which their requests began to wait.

    One place stands for one request; what an instance asks for beyond a
    bound is taken in as its earlier places are served.
    """

    __slots__ = ('_places',)

    def __init__(self) -> None:
        self._places = {each: collections.deque() for each in request.Priority}

    def __len__(self) -> int:
        return sum(map(len, self._places.values()))

    def update(self, holder: str, view: _instance_record.HolderView) -> None:
        """Bring the places of an instance in line with what it wants.

        :param holder: its name.
        :param view: what is known of it.
        """
        for priority, places in self._places.items():
            wanted = min(view.waiting[priority], _MAXIMUM_PLACES)
            while view.in_line[priority] < wanted:
                places.append(holder)
                view.in_line[priority] += 1
            while view.in_line[priority] > wanted:
                _remove_last(places, holder)
                view.in_line[priority] -= 1

    def remove(self, holder: str) -> None:
        """Remove all places of an instance that is gone.

        :param holder: its name.
        """
        for priority, places in self._places.items():
            kept = (each for each in places if each != holder)
            self._places[priority] = collections.deque(kept)

    def list_waiting(self) -> list[request.Priority]:
        """List the classes that have a place."""
        return [each for each, places in self._places.items() if places]

    def iterate(self, priority: request.Priority) -> Iterator[str]:
        """Iterate the instances of a class in order, each once.

        :param priority: the class.
        :returns: names.
        """
        return iter(dict.fromkeys(self._places[priority]))

    def leave(self, priority: request.Priority, holder: str) -> None:
        """Take the first place of an instance.

        :param priority: the class.
        :param holder: its name.
        """
        self._places[priority].remove(holder)


def _remove_last(places: collections.deque, holder: str) -> None:
    places.reverse()
    places.remove(holder)
    places.reverse()
