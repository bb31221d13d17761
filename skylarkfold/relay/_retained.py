"""Objects that are retained from former eras of the store.

When the store is restored from an older copy, later writes are lost until
their writers repeat them. Instances that knew the lost objects keep them in
force meanwhile, so that nothing reverts to an older version. An object is
retained until it or a later version is written, or until the store has been
without it for the retention time.
"""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold import light_imports
from skylarkfold import object_cache
from skylarkfold.relay import _item
from skylarkfold.relay import _messages
from skylarkfold.relay import _settings


class RetentionPolicy(light_imports.Protocol):
    """Decision which of two versions of an object is the later one."""

    def compute_retention_seconds(
        self,
        topic: str,
        former: _item.Item,
        current: _item.Item,
        is_fresh: bool,
    ) -> float:
        """Return how long a version of a former era overrides the store's.

        :param topic: the objects' topic.
        :param former: the version from before the store was restored.
        :param current: the version in the store now.
        :param is_fresh: whether the current version is known to be written
            after the store was restored; otherwise it may be as old as the
            copy.
        :returns: the time in seconds; 0 if the current version is as late.
        """


class NoRetention:
    """Policy that always prefers the version in the store."""

    def compute_retention_seconds(
        self,
        topic: str,
        former: _item.Item,
        current: _item.Item,
        is_fresh: bool,
    ) -> float:
        """Return 0: the store's version is always in force."""
        return 0.0


class RetainedEntry:
    """An object version that is retained from a former era.

    :param item: the object; without a value if it was deleted.
    :param expires_at: the entry ends with the first answer of the store after
        this time.
    """

    __slots__ = ('item', 'expires_at')

    def __init__(self, item: _item.Item, expires_at: float) -> None:
        self.item = item
        self.expires_at = expires_at


class RetainedObjects:
    """The objects of a topic that override those in the store.

    :param topic: the topic's name.
    :param settings: the relay's settings.
    :param retention_policy: decides which of two versions is the later one.
    """

    __slots__ = ('_by_path', '_retention_policy', '_settings', '_topic')

    def __init__(
        self,
        topic: str,
        settings: _settings.RelaySettings,
        retention_policy: RetentionPolicy,
    ) -> None:
        self._topic = topic
        self._settings = settings
        self._retention_policy = retention_policy
        self._by_path: dict[str, RetainedEntry] = {}

    def __len__(self) -> int:
        return len(self._by_path)

    def list_all(self) -> list[RetainedEntry]:
        """Return the retained entries."""
        return list(self._by_path.values())

    def list_for_peer(self, now: float) -> tuple[_messages.RetainedItem, ...]:
        """Return the retained objects with their remaining times.

        :param now: the current time.
        :returns: the objects in the form for a page.
        """
        return tuple(
            _messages.RetainedItem(each.item, max(0.0, each.expires_at - now))
            for each in self.list_all()
        )

    def reset(
        self,
        now: float,
        known: Iterable[_item.Item],
        peer_retained: Iterable[_messages.RetainedItem],
        store: object_cache.ObjectCache,
    ) -> None:
        """Retain the objects that a restored store may have lost.

        :param now: the current time.
        :param known: the versions known before, deletions included.
        :param peer_retained: the objects that a peer retains.
        :param store: the objects in the store.
        """
        self._by_path.clear()
        latest = {each.path: each for each in known}
        for item in latest.values():
            retention = self._compute_retention(
                item, store.get(item.path), False
            )
            self._retain(item, retention, now + retention)
        for each in peer_retained:
            own = latest.get(each.item.path)
            if own is not None and own.revision >= each.item.revision:
                continue
            current = store.get(each.item.path)
            retention = self._compute_retention(each.item, current, False)
            # Not longer than at the peer: instances would otherwise renew an
            # object between them forever.
            self._retain(
                each.item, retention, now + min(retention, each.left_seconds)
            )

    def drop_rewritten(
        self, changed: Iterable[_item.Item], store: object_cache.ObjectCache
    ) -> list[str]:
        """Drop retained objects that the store has in a later version again.

        :param changed: the objects written since the store was restored.
        :param store: the objects in the store.
        :returns: the paths of the dropped objects.
        """
        dropped = []
        for each in changed:
            entry = self._by_path.get(each.path)
            if entry is None:
                continue
            current = store.get(each.path)
            if self._compute_retention(entry.item, current, True) <= 0.0:
                del self._by_path[each.path]
                dropped.append(each.path)
        return dropped

    def expire(self, confirmed_at: float) -> list[_item.Item]:
        """Drop the objects whose retention time was over at an answer.

        :param confirmed_at: when the store last answered.
        :returns: the dropped objects.
        """
        expired = [
            each.item
            for each in self.list_all()
            if confirmed_at > each.expires_at
        ]
        for item in expired:
            del self._by_path[item.path]
        return expired

    def get_next_expiry(self) -> float | None:
        """Return when the next retained object expires.

        :returns: the time; None if nothing is retained.
        """
        return min((each.expires_at for each in self.list_all()), default=None)

    def merge(self, items: Iterable[_item.Item]) -> list[_item.Item]:
        """Override objects of the store by the retained ones.

        :param items: the objects in the store.
        :returns: the existing objects in force, in order of revision.
        """
        found = [each for each in items if each.value is not None]
        if not self._by_path:
            return found
        merged = {each.path: each for each in found}
        merged.update(
            {path: each.item for path, each in self._by_path.items()}
        )
        present = [each for each in merged.values() if each.value is not None]
        return sorted(present, key=lambda each: each.revision)

    def _retain(
        self, item: _item.Item, retention: float, expires_at: float
    ) -> None:
        if retention > 0.0:
            self._by_path[item.path] = RetainedEntry(item, expires_at)

    def _compute_retention(
        self,
        former: _item.Item,
        current: _item.Item | None,
        is_fresh: bool,
    ) -> float:
        settings = self._settings
        if current is None or current.value is None:
            if former.value is None or current is not None and is_fresh:
                return 0.0
            if self._topic in settings.lasting_topics:
                return settings.lasting_seconds
            return settings.rewrite_seconds
        if former.value is None:
            # The copy may be older than the deletion. An object that was
            # created again has another creation number than the deleted one.
            is_same = current.created.number == former.created.number
            is_older = is_same and not is_fresh
            return settings.rewrite_seconds if is_older else 0.0
        if current.value == former.value:
            return 0.0
        return self._retention_policy.compute_retention_seconds(
            self._topic, former, current, is_fresh
        )
