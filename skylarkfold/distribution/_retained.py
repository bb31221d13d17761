"""Operators' objects that the platform's store has lost for now.

When it comes back from an older copy, what was written since is gone until
its operators write it again. What was in force stays so meanwhile.
"""

from __future__ import annotations

from skylarkfold.distribution import _settings
from skylarkfold import platform_api
from skylarkfold import revision as revisions


class RetainedObjects:
    """Objects in a form of a former era that stand for the store's.

    Of a known form and the copy's the one of the higher version is the later
    one: the store counts an object's versions, and the copy is older. What
    is written after its return counts at once: its versions are counted
    from the copy's, so that they may be lower than those that were lost.

    :param settings: what is retained, and how long.
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
        is_fresh: bool,
    ) -> bool:
        """Tell whether a known form stands for what the store has.

        :param now: the time.
        :param known: the form that was known; None for none.
        :param candidate: the store's.
        :param is_absent: whether the store only lacks the object: that it was
            deleted is another matter.
        :param is_fresh: whether that became so after the store's return, for
            certain.
        :returns: whether the store's form is to be kept back.
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
        is_released = is_fresh or retained is None
        if is_released or not _is_newer(retained[0], candidate, is_absent):
            self._retained.pop(path, None)
            return False
        self._retained[path] = retained
        return True

    def release_expired(self, confirmed_at: float) -> list[str]:
        """Let the store's forms count that it has had for long enough.

        :param confirmed_at: when the store was last heard.
        :returns: their paths.
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
