"""The platform stand-in's list of instances, which can lag."""

from __future__ import annotations

from skylarkfold import platform_api

InstanceList = tuple[platform_api.ListedInstance, ...]


class InstanceRegistry:
    """The list of instances as it was at each moment."""

    __slots__ = ('_history',)

    def __init__(self) -> None:
        self._history: list[tuple[float, InstanceList]] = [(0.0, ())]

    def put(self, now: float, instance: platform_api.ListedInstance) -> None:
        """Add an instance or change its entry."""
        others = self._without(instance.name)
        listed = sorted([*others, instance], key=lambda each: each.name)
        self._history.append((now, tuple(listed)))

    def remove(self, now: float, name: str) -> None:
        """Take an instance off the list."""
        self._history.append((now, self._without(name)))

    def _without(self, name: str) -> InstanceList:
        _, listed = self._history[-1]
        return tuple(each for each in listed if each.name != name)

    def list_instances(self, time: float) -> InstanceList:
        """List the instances as they were at a time."""
        found: InstanceList = ()
        for since, listed in self._history:
            if since <= time:
                found = listed
        return found
