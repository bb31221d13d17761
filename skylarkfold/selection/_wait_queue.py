"""Queue of the instances that wait for a slot of a service."""

from __future__ import annotations

import collections
from collections.abc import Iterator

from skylarkfold import request
from skylarkfold.selection import _instance_record

_MAXIMUM_ENTRIES = 64


class SlotWaitQueue:
    """A FIFO queue of instances for each priority class.

    An entry is the name of an instance and stands for one waiting request.
    An instance has a limited number of entries; the rest of its requests
    are added as entries are served.
    """

    __slots__ = ('_entries',)

    def __init__(self) -> None:
        self._entries = {
            each: collections.deque() for each in request.Priority
        }

    def __len__(self) -> int:
        return sum(map(len, self._entries.values()))

    def update(
        self, instance_name: str, instance: _instance_record.InstanceRecord
    ) -> None:
        """Match the entries of an instance to its waiting requests.

        :param instance_name: the name of the instance.
        :param instance: its record, whose ``queued`` counts are updated.
        """
        for priority, entries in self._entries.items():
            wanted = min(instance.waiting[priority], _MAXIMUM_ENTRIES)
            while instance.queued[priority] < wanted:
                entries.append(instance_name)
                instance.queued[priority] += 1
            while instance.queued[priority] > wanted:
                _remove_last(entries, instance_name)
                instance.queued[priority] -= 1

    def remove(self, instance_name: str) -> None:
        """Remove all entries of an instance.

        :param instance_name: the name of the instance.
        """
        for priority, entries in self._entries.items():
            kept = (each for each in entries if each != instance_name)
            self._entries[priority] = collections.deque(kept)

    def list_waiting(self) -> list[request.Priority]:
        """List the classes that have an entry."""
        return [each for each, entries in self._entries.items() if entries]

    def iterate_instances(self, priority: request.Priority) -> Iterator[str]:
        """Iterate over the instances of a class in order, each once.

        :param priority: the class.
        :returns: the names of the instances.
        """
        return iter(dict.fromkeys(self._entries[priority]))

    def remove_first(
        self, priority: request.Priority, instance_name: str
    ) -> None:
        """Remove the first entry of an instance.

        :param priority: the class.
        :param instance_name: the name of the instance.
        """
        self._entries[priority].remove(instance_name)


def _remove_last(entries: collections.deque, instance_name: str) -> None:
    entries.reverse()
    entries.remove(instance_name)
    entries.reverse()
