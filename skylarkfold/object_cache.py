"""A cache of the objects in the platform's store."""

from __future__ import annotations

from collections.abc import Iterable


import xxhash

from skylarkfold import light_imports

if light_imports.TYPE_CHECKING:
    from skylarkfold import platform_api


class ObjectCache:
    """The newest known version of every object, with tombstones.

    Revisions order all writes of the store, so versions may arrive in any
    order: the one with the highest revision wins.

    :param tombstones: the maximum number of deletions to remember.
    :param begin: the initial position and floor.
    :ivar position: the revision up to which all changes are known.
    :ivar floor: the revision up to which deletions may be unknown.
    """

    __slots__ = (
        '_deletion_revisions',
        '_digest',
        '_objects',
        '_tombstone_limit',
        'floor',
        'position',
    )

    def __init__(self, tombstones: int, begin: int = 0) -> None:
        self._objects: dict[str, platform_api.StoredObject] = {}
        self._deletion_revisions: dict[str, int] = {}
        self._tombstone_limit = tombstones
        self._digest: int | None = None
        self.position = begin
        self.floor = begin

    def get(self, path: str) -> platform_api.StoredObject | None:
        """Return an object.

        :param path: its path.
        :returns: its newest known version, which may be a tombstone; None
            if there is none.
        """
        return self._objects.get(path)

    def put(
        self, candidate: platform_api.StoredObject, is_listed: bool = False
    ) -> bool:
        """Store an object if it is newer than the known version.

        :param candidate: an object from any source.
        :param is_listed: whether the platform has just listed it at a
            revision that is not below the position.
        :returns: whether it was newer.
        """
        known = self._objects.get(candidate.path)
        if known is None:
            # An unknown object below the floor may have been deleted, with
            # its tombstone already evicted: accept it from a listing only.
            is_newer = is_listed or candidate.revision > self.floor
        else:
            is_newer = candidate.revision > known.revision
        if not is_newer:
            return False
        self._objects[candidate.path] = candidate
        self._digest = None
        self._deletion_revisions.pop(candidate.path, None)
        if candidate.value is None:
            self._deletion_revisions[candidate.path] = candidate.revision
            self._evict_tombstones()
        return True

    def advance(self, position: int) -> bool:
        """Raise the position; lower values are ignored.

        :param position: the revision up to which all changes are known.
        :returns: whether the position changed.
        """
        if position <= self.position:
            return False
        self.position = position
        self._digest = None
        return True

    def raise_floor(self, floor: int) -> None:
        """Record that deletions up to a revision may be unknown.

        :param floor: the revision.
        """
        self.floor = max(self.floor, floor)

    def list_after(self, revision: int) -> list[platform_api.StoredObject]:
        """List the objects above a revision, even beyond the position.

        :param revision: the lower bound, exclusive.
        :returns: the objects in order of revision.
        """
        found = [
            each for each in self._objects.values() if revision < each.revision
        ]
        return sorted(found, key=_get_revision)

    def list_absent(
        self, revision: int, present: Iterable[str]
    ) -> list[platform_api.StoredObject]:
        """List live objects that are missing from a listing.

        :param revision: the revision of the listing; newer objects are
            left out.
        :param present: the paths in the listing.
        :returns: the objects that the store no longer has.
        """
        present_paths = set(present)
        return [
            each
            for each in self._objects.values()
            if each.revision <= revision
            and each.value is not None
            and each.path not in present_paths
        ]

    def compute_digest(self) -> int:
        """Compute a digest of the live objects up to the position.

        :returns: a 32-bit digest that is equal for equal content.
        """
        if self._digest is None:
            self._digest = self._combine_hashes()
        return self._digest

    def _combine_hashes(self) -> int:
        total = 0
        for each in self._objects.values():
            if each.revision <= self.position and each.value is not None:
                total ^= xxhash.xxh32_intdigest(
                    f'{each.path}|{each.revision}'.encode()
                )
        return total

    def _evict_tombstones(self) -> None:
        while len(self._deletion_revisions) > self._tombstone_limit:
            path = min(
                self._deletion_revisions,
                key=self._deletion_revisions.__getitem__,
            )
            self.floor = max(self.floor, self._deletion_revisions.pop(path))
            del self._objects[path]


def _get_revision(each: platform_api.StoredObject) -> int:
    return each.revision
