"""The objects of the platform stand-in, with versions and revisions."""

from __future__ import annotations

from collections.abc import Iterator
import copy

from skylarkfold import platform_api

KEPT_CHANGES = 10_000


class CompactedError(Exception):
    """The changes since a revision are no longer kept."""


class ObjectStore:
    """Objects by path; each write raises the store's revision by one.

    A deleted object's version goes on when it is created anew, so that
    no version of a path is ever used twice.

    :param kept_changes: how many last changes a watch can still see.
    """

    __slots__ = ('_changes', '_compacted', '_kept_changes', '_objects')
    __slots__ += ('era', 'revision')

    def __init__(self, kept_changes: int = KEPT_CHANGES) -> None:
        self.era = 1
        self.revision = 0
        self._kept_changes = kept_changes
        self._objects: dict[str, platform_api.StoredObject] = {}
        self._changes: list[platform_api.StoredObject] = []
        self._compacted = 0

    def read(self, path: str) -> platform_api.StoredObject | None:
        """Read one object.

        :param path: its path.
        :returns: the object, or None if there is none.
        """
        found = self._objects.get(path)
        return found if found and found.value is not None else None

    def list_objects(self, prefix: str) -> list[platform_api.StoredObject]:
        """List all objects under a prefix, sorted by path."""
        return [
            each
            for path, each in sorted(self._objects.items())
            if path.startswith(prefix) and each.value is not None
        ]

    def write(
        self, write: platform_api.WriteObject
    ) -> platform_api.StoredObject | None:
        """Write one object if its version is the expected one.

        :param write: what and where; a value of None deletes.
        :returns: the object as written, None on a conflict.
        """
        current = self.read(write.path)
        version = current.version if current else 0
        if version != write.expected_version:
            return None
        if write.value is None and current is None:
            return None
        return self._apply(write)

    def _apply(
        self, write: platform_api.WriteObject
    ) -> platform_api.StoredObject:
        before = self._objects.get(write.path)
        version = before.version + 1 if before else 1
        self.revision += 1
        written = platform_api.StoredObject(
            write.path, version, self.revision, write.value
        )
        self._objects[write.path] = written
        self._changes.append(written)
        self._compact()
        return written

    def _compact(self) -> None:
        excess = len(self._changes) - self._kept_changes
        if excess <= 0:
            return
        self._compacted = self._changes[excess - 1].revision
        del self._changes[:excess]

    def list_changes(
        self, prefix: str, revision: int
    ) -> list[platform_api.StoredObject]:
        """List the objects that changed after a revision.

        :param prefix: the subtree.
        :param revision: the last revision already seen.
        :returns: each changed object once, in its last state, by revision.
        :raises CompactedError: if changes after it are no longer kept, or it
            is none that there has been.
        """
        if not self._compacted <= revision <= self.revision:
            raise CompactedError
        last = {each.path: each for each in self._find(prefix, revision)}
        return sorted(last.values(), key=lambda each: each.revision)

    def _find(
        self, prefix: str, revision: int
    ) -> Iterator[platform_api.StoredObject]:
        for change in self._changes:
            if change.revision > revision and change.path.startswith(prefix):
                yield change

    def restore(self, saved: ObjectStore) -> ObjectStore:
        """Make the store that comes back from a copy, in an era of its own.

        :param saved: the copy.
        :returns: the store: what was written since the copy is lost.
        """
        other = saved.copy()
        other.era = self.era + 1
        return other

    def copy(self) -> ObjectStore:
        """Copy the store as it is at present."""
        other = copy.copy(self)
        other._objects = dict(self._objects)
        other._changes = list(self._changes)
        return other
