"""Objects that stay in force after the store lost their latest version.

A store that is restored from an older copy lacks later writes until the
operators repeat them.
"""

from __future__ import annotations

from skylarkfold.distribution import _settings
from skylarkfold import platform_api
from skylarkfold import revision as revisions


class RetainedObjects:
    """Objects of an earlier era that are used in place of the store's.

    An object is retained while its version is higher than the one in the
    restored store. An object written after the restore replaces it at once,
    even with a lower version, as versions are counted on from the copy's.

    :param settings: the distribution's settings.
    """

    __slots__ = ('_retained', '_settings')

    def __init__(self, settings: _settings.DistributionSettings) -> None:
        self._settings = settings
        self._retained: dict[str, tuple[platform_api.StoredObject, float]] = {}

    def must_retain(
        self,
        now: float,
        known: platform_api.StoredObject | None,
        candidate: platform_api.StoredObject,
        is_absent: bool,
        is_after_restore: bool,
    ) -> bool:
        """Return whether to use a known object in place of the store's.

        :param now: the time in seconds.
        :param known: the known object, None if there is none.
        :param candidate: the store's object or tombstone.
        :param is_absent: whether the tombstone only means that a listing
            lacks the object, not that it was deleted.
        :param is_after_restore: whether the candidate was certainly written
            after the restore.
        :returns: whether the candidate must not be published yet.
        """
        path = candidate.path
        if not path.startswith(self._settings.retained_prefixes):
            return False
        retained = self._retained.get(path)
        if (
            retained is None
            and known is not None
            and _is_of_earlier_era(known, candidate)
        ):
            retained = (known, now + self._settings.retain_seconds)
        is_released = is_after_restore or retained is None
        if is_released or not _is_newer(retained[0], candidate, is_absent):
            self._retained.pop(path, None)
            return False
        self._retained[path] = retained
        return True

    def release_expired(self, confirmed_at: float) -> list[str]:
        """Stop retaining objects whose retention time has passed.

        :param confirmed_at: when the platform last confirmed the objects.
        :returns: the paths of the released objects.
        """
        expired = [
            path
            for path, (_, deadline) in self._retained.items()
            if confirmed_at > deadline
        ]
        for path in expired:
            del self._retained[path]
        return expired


def _is_of_earlier_era(
    known: platform_api.StoredObject, candidate: platform_api.StoredObject
) -> bool:
    era = revisions.get_era(known.revision)
    return era < revisions.get_era(candidate.revision)


def _is_newer(
    retained: platform_api.StoredObject,
    candidate: platform_api.StoredObject,
    is_absent: bool,
) -> bool:
    if candidate.value is None:
        return is_absent and retained.value is not None
    return candidate.version < retained.version
