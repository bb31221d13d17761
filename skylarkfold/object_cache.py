"""A cache of the store's objects."""

from __future__ import annotations

from collections.abc import Iterable


import xxhash

from skylarkfold import light_imports

if light_imports.TYPE_CHECKING:
    from skylarkfold import platform_api


class ObjectCache:
    """The newest known version of every object, with tombstones.

    The store's revision orders all writes, so merging is safe in any
    order: of two forms of an object the one of the higher revision wins.

    :param tombstones: how many deletions to remember.
    :param begin: the revision before all others.
    """

    __slots__ = (
        '_dead',
        '_digest',
        '_objects',
        '_tombstones',
        'floor',
        'position',
    )

    def __init__(self, tombstones: int, begin: int = 0) -> None:
        self._objects: dict[str, platform_api.StoredObject] = {}
        self._dead: dict[str, int] = {}
        self._tombstones = tombstones
        self._digest: int | None = None
        self.position = begin
        self.floor = begin

    def get(self, path: str) -> platform_api.StoredObject | None:
        """Find an object.

        :param path: its path.
        :returns: its newest known form, or None if it was never seen.
        """
        return self._objects.get(path)

    def put(
        self, candidate: platform_api.StoredObject, is_listed: bool = False
    ) -> bool:
        """Keep an object if it is newer than what is known.

        :param candidate: an object from any source.
        :param is_listed: whether the platform has just listed it at a
            revision that is not below the position.
        :returns: whether it was newer.
        """
        known = self._objects.get(candidate.path)
        if known is None:
            # An unknown object below the floor may be one whose deletion
            # was forgotten: only a listing may bring it back.
            is_newer = is_listed or candidate.revision > self.floor
        else:
            is_newer = candidate.revision > known.revision
        if not is_newer:
            return False
        self._objects[candidate.path] = candidate
        self._digest = None
        self._dead.pop(candidate.path, None)
        if candidate.value is None:
            self._dead[candidate.path] = candidate.revision
            self._forget_tombstones()
        return True

    def advance(self, position: int) -> bool:
        """Raise the position; it never falls.

        :param position: all changes up to here are known.
        :returns: whether it rose.
        """
        if position <= self.position:
            return False
        self.position = position
        self._digest = None
        return True

    def raise_floor(self, floor: int) -> None:
        """Note that deletions up to a revision may be unknown here.

        :param floor: the revision.
        """
        self.floor = max(self.floor, floor)

    def list_after(self, revision: int) -> list[platform_api.StoredObject]:
        """List the objects above a revision, ones after the position too.

        :param revision: where to begin, exclusive.
        :returns: the objects by rising revision.
        """
        found = [
            each for each in self._objects.values() if revision < each.revision
        ]
        return sorted(found, key=_get_revision)

    def list_absent(
        self, revision: int, present: Iterable[str]
    ) -> list[platform_api.StoredObject]:
        """List live objects up to a revision that a listing lacks.

        :param revision: the listing's revision.
        :param present: the paths in the listing.
        :returns: the objects that are no longer there.
        """
        kept = set(present)
        return [
            each
            for each in self._objects.values()
            if each.revision <= revision
            and each.value is not None
            and each.path not in kept
        ]

    def compute_digest(self) -> int:
        """Compute a digest of the live objects up to the position.

        :returns: 32 bits, equal on instances that agree.
        """
        if self._digest is None:
            self._digest = self._sum_hashes()
        return self._digest

    def _sum_hashes(self) -> int:
        total = 0
        for each in self._objects.values():
            if each.revision <= self.position and each.value is not None:
                total ^= xxhash.xxh32_intdigest(
                    f'{each.path}|{each.revision}'.encode()
                )
        return total

    def _forget_tombstones(self) -> None:
        while len(self._dead) > self._tombstones:
            path = min(self._dead, key=self._dead.__getitem__)
            self.floor = max(self.floor, self._dead.pop(path))
            del self._objects[path]


def _get_revision(each: platform_api.StoredObject) -> int:
    return each.revision
