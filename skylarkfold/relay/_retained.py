"""What still counts of an era of the store that has ended.

When the store comes back from an older copy, what was written since is lost
until its writers write it again. Who knew it goes on with it meanwhile, so
that nothing that was in force goes back. That ends when it is written again,
when something later is, or when the store has said for long enough that it
isn't there.
"""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold import light_imports
from skylarkfold import object_cache
from skylarkfold.relay import _item
from skylarkfold.relay import _messages
from skylarkfold.relay import _settings


class RetentionPolicy(light_imports.Protocol):
    """Tells which of two forms of an object is the later one."""

    def compute_retention_seconds(
        self,
        topic: str,
        former: _item.Item,
        current: _item.Item,
        is_fresh: bool,
    ) -> float:
        """Compute how long a form of a former era may stand for another.

        :param topic: their topic.
        :param former: what was known before the store came back.
        :param current: what the store has now.
        :param is_fresh: whether that was written since it came back, for
            certain; it may be as old as the copy otherwise.
        :returns: seconds; 0 where the store's form is as late.
        """


class NoRetention:
    """Takes whatever the store has."""

    def compute_retention_seconds(
        self,
        topic: str,
        former: _item.Item,
        current: _item.Item,
        is_fresh: bool,
    ) -> float:
        """Compute how long a form of a former era may stand for another."""
        return 0.0


class Retained:
    """An object in the form of a former era.

    :param item: the object; without a value where it was deleted.
    :param until: once the store has been heard after this, it counts no more.
    """

    __slots__ = ('item', 'until')

    def __init__(self, item: _item.Item, until: float) -> None:
        self.item = item
        self.until = until


class RetainedObjects:
    """The objects of a topic that stand for what the store has.

    :param topic: the topic.
    :param settings: the relay's settings.
    :param retention_policy: tells which of two forms is the later one.
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
        self._by_path: dict[str, Retained] = {}

    def __len__(self) -> int:
        return len(self._by_path)

    def list_all(self) -> list[Retained]:
        """List them."""
        return list(self._by_path.values())

    def list_told(self, now: float) -> tuple[_messages.RetainedItem, ...]:
        """List them for a peer, with how long each counts at most.

        :param now: the time.
        :returns: the objects.
        """
        return tuple(
            _messages.RetainedItem(each.item, max(0.0, each.until - now))
            for each in self.list_all()
        )

    def enter(
        self,
        now: float,
        known: Iterable[_item.Item],
        told: Iterable[_messages.RetainedItem],
        store: object_cache.ObjectCache,
    ) -> None:
        """Retain what the store, back from an older copy, may have lost.

        :param now: the time.
        :param known: the latest forms of before, deleted ones included.
        :param told: what a peer retains.
        :param store: what the store has.
        """
        self._by_path.clear()
        latest = {each.path: each for each in known}
        for item in latest.values():
            hold = self._compute_hold(item, store.get(item.path), False)
            self._keep(item, hold, now + hold)
        for each in told:
            own = latest.get(each.item.path)
            if own is not None and own.revision >= each.item.revision:
                continue
            current = store.get(each.item.path)
            hold = self._compute_hold(each.item, current, False)
            # Not longer than there: it would go round for ever.
            self._keep(each.item, hold, now + min(hold, each.left_seconds))

    def review(
        self, changed: Iterable[_item.Item], store: object_cache.ObjectCache
    ) -> list[str]:
        """Drop those that have been written again, or written anew.

        :param changed: what was written since the store came back.
        :param store: what it has.
        :returns: their paths.
        """
        dropped = []
        for each in changed:
            kept = self._by_path.get(each.path)
            if kept is None:
                continue
            current = store.get(each.path)
            if self._compute_hold(kept.item, current, True) <= 0.0:
                del self._by_path[each.path]
                dropped.append(each.path)
        return dropped

    def expire(self, confirmed_at: float) -> list[_item.Item]:
        """Drop what the store has not had for long enough.

        :param confirmed_at: when the store was last heard.
        :returns: the objects.
        """
        over = [
            each.item for each in self.list_all() if confirmed_at > each.until
        ]
        for item in over:
            del self._by_path[item.path]
        return over

    def find_end(self) -> float | None:
        """Find when the next of them stops counting.

        :returns: the time, None if there is none.
        """
        return min((each.until for each in self.list_all()), default=None)

    def merge(self, items: Iterable[_item.Item]) -> list[_item.Item]:
        """Put them in place of what the store has.

        :param items: the store's objects.
        :returns: the objects that count, by rising revision.
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

    def _keep(self, item: _item.Item, hold: float, until: float) -> None:
        if hold > 0.0:
            self._by_path[item.path] = Retained(item, until)

    def _compute_hold(
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
            # The copy may be of before the deletion. What was created anew
            # has a number that the deleted one had not.
            is_same = current.created.number == former.created.number
            is_older = is_same and not is_fresh
            return settings.rewrite_seconds if is_older else 0.0
        if current.value == former.value:
            return 0.0
        return self._retention_policy.compute_retention_seconds(
            self._topic, former, current, is_fresh
        )
