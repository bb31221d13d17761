"""The objects of the store, with their history."""

from __future__ import annotations

import copy
from typing import Any


class StoreCopy:
    """What a store held at one moment.

    :param revision: its counter.
    :param objects: its objects, by kind and name.
    """

    def __init__(
        self, revision: int, objects: dict[str, dict[str, dict[str, Any]]]
    ) -> None:
        self.revision = revision
        self.objects = objects


class ObjectStore:
    """Objects by kind and name under one revision counter.

    :ivar era: how often it has come back from an older copy, and one.
    :ivar forgotten: changes up to this revision are no longer known.
    """

    def __init__(self) -> None:
        self.era = 1
        self.revision = 1
        self.forgotten = 0
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[str, dict[str, Any], bool]] = []

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object.

        :param kind: its kind.
        :param name: its name.
        :param spec: what it holds; bytes are sent as they are, also where
            they aren't valid JSON.
        """
        objects = self._objects.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and known['spec'] == spec:
            return
        self.revision += 1
        created = self.revision
        if known is not None:
            created = known['meta']['create_rev']
        meta = {
            'name': name,
            'rev': self.revision,
            'create_rev': created,
            'finalizers': [],
            'deleting': False,
        }
        written = {
            'meta': meta,
            'spec': copy.deepcopy(spec),
            'status': None,
        }
        objects[name] = written
        self._history.append((kind, written, False))

    def has(self, kind: str, name: str) -> bool:
        """Tell whether there is an object.

        :param kind: its kind.
        :param name: its name.
        :returns: whether there is.
        """
        return name in self._objects.get(kind, {})

    def delete(self, kind: str, name: str) -> None:
        """Remove an object.

        :param kind: its kind.
        :param name: its name.
        """
        found = self._objects.get(kind, {}).pop(name, None)
        if found is None:
            return
        self.revision += 1
        gone = copy.deepcopy(found)
        gone['meta']['rev'] = self.revision
        self._history.append((kind, gone, True))

    def copy(self) -> StoreCopy:
        """Copy all that is stored."""
        objects = {kind: dict(each) for kind, each in self._objects.items()}
        return StoreCopy(self.revision, objects)

    def restore(self, saved: StoreCopy) -> None:
        """Go back to a copy: what was written since is lost.

        Revisions are given out again from where it ends.

        :param saved: the copy.
        """
        self.era += 1
        self.revision = saved.revision
        self._objects = {
            kind: dict(each) for kind, each in saved.objects.items()
        }
        self._history = [
            each
            for each in self._history
            if each[1]['meta']['rev'] <= saved.revision
        ]
        self.forgotten = min(self.forgotten, saved.revision)

    def list_names(self, kind: str) -> list[str]:
        """List the names of a kind's objects.

        :param kind: the kind.
        :returns: the names in order.
        """
        return sorted(self._objects.get(kind, {}))

    def forget(self) -> None:
        """Drop the history."""
        self.forgotten = self.revision
        self._history.clear()

    def list(self, kind: str, after: str, page: int) -> dict[str, Any]:
        """Answer a listing.

        :param kind: the kind.
        :param after: the last name of the page before.
        :param page: objects in a page.
        :returns: the body.
        """
        objects = self._objects.get(kind, {})
        names = [name for name in sorted(objects) if name > after]
        return {
            'items': [objects[name] for name in names[:page]],
            'truncated': len(names) > page,
            'current_rev': self.revision,
        }

    def list_events(self, kind: str, revision: int) -> list[dict[str, Any]]:
        """List what changed after a revision.

        :param kind: the kind.
        :param revision: the revision.
        :returns: events in order.
        """
        return [
            {'object': written, 'deleted': is_deleted}
            for of, written, is_deleted in self._history
            if of == kind and written['meta']['rev'] > revision
        ]
