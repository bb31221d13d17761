"""One kind of objects as known on this instance."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold.relay import _feed
from skylarkfold.relay import _item
from skylarkfold.relay import _messages
from skylarkfold import revision as revisions
from skylarkfold import shelf

_NEVER = float('-inf')


class Topic:
    """The objects of a topic with the position up to which they are known.

    :param name: the topic.
    :param number: its place in the settings' list.
    :param feed: what asks the store.
    :param tombstones: how many deletions are remembered.
    :ivar is_shared: whether the whole fleet has one set of watchers for it.
    :ivar confirmed_at: when the store last confirmed what is known here.
    :ivar sure_until: the same, just before the last change was learnt.
    :ivar fetching: the host that is being asked, empty for none.
    :ivar fetch_until: when it is given up.
    """

    __slots__ = (
        '_changed',
        '_tombstones',
        'confirmed_at',
        'feed',
        'fetch_until',
        'fetching',
        'is_complete',
        'is_shared',
        'name',
        'number',
        'shelf',
        'sure_until',
    )

    def __init__(
        self, name: str, number: int, feed: _feed.Feed, tombstones: int
    ) -> None:
        self.name = name
        self.number = number
        self.feed = feed
        self.shelf = shelf.Shelf(tombstones, revisions.NONE)
        self._tombstones = tombstones
        self.is_complete = False
        self.is_shared = False
        self.confirmed_at = _NEVER
        self.sure_until = _NEVER
        self._changed = revisions.NONE
        self.fetching = ''
        self.fetch_until = _NEVER

    @property
    def position(self) -> revisions.Revision:
        """Everything up to this revision is known."""
        return self.shelf.position

    @property
    def changed(self) -> revisions.Revision:
        """The revision of the last change that is known.

        Whoever knows a former era only lacks something in any case.
        """
        begin = revisions.Revision(0, self.position.era)
        return max(self._changed, begin)

    def compute_age(self, now: float) -> float | None:
        """Compute how old the view may be.

        :param now: the time.
        :returns: seconds, None for an unlimited time.
        """
        if self.confirmed_at == _NEVER:
            return None
        return max(0.0, now - self.confirmed_at)

    def compute_lag(self, now: float) -> float | None:
        """Compute how long ago the last change was written at most.

        :param now: when it was learnt.
        :returns: seconds, None for an unlimited time.
        """
        if self.sure_until == _NEVER:
            return None
        return now - self.sure_until

    def describe(self, now: float) -> _messages.Position:
        """Tell how far this instance is.

        :param now: the time.
        :returns: the position with its age.
        """
        return _messages.Position(
            self.position, self.changed, self.compute_age(now)
        )

    def take_changes(
        self, items: Iterable[_item.Item], revision: revisions.Revision
    ) -> list[_item.Item]:
        """Take all changes from the present position to a revision.

        :param items: the objects that changed.
        :param revision: everything up to it is known afterwards.
        :returns: the objects that were new here.
        """
        return self._end(self._put(items, False), revision)

    def take_whole(
        self, items: Iterable[_item.Item], revision: revisions.Revision
    ) -> list[_item.Item]:
        """Take all objects at a revision; absent ones are deleted.

        :param items: all objects.
        :param revision: the revision.
        :returns: what was new here, deletions included.
        """
        items = list(items)
        if revision.era > self.position.era:
            return self._enter_era(items, revision)
        changed = self._put(items, True)
        present = [each.path for each in items if each.value is not None]
        absent = self.shelf.list_absent(revision, present)
        self.shelf.raise_floor(revision)
        buried = [
            _item.Item(each.path, revision, each.created, None)
            for each in absent
        ]
        changed += self._put(buried, False)
        return self._end_whole(changed, revision)

    def _enter_era(
        self, items: list[_item.Item], revision: revisions.Revision
    ) -> list[_item.Item]:
        """Begin anew with what the store has after its return.

        Nothing of the former era can be compared with it: numbers were given
        out again, and changes of either may be unknown to the other.
        """
        former = self.shelf
        self.shelf = shelf.Shelf(self._tombstones, revisions.NONE)
        self.shelf.raise_floor(revision)
        self._put(items, True)
        changed = [each for each in items if _differs(former, each)]
        present = {each.path for each in items}
        changed += [
            _item.Item(each.path, revision, revision, None)
            for each in former.list_after(revisions.NONE)
            if each.value is not None and each.path not in present
        ]
        return self._end_whole(changed, revision)

    def confirm(self, at: float) -> None:
        """Note that the store confirmed what is known here.

        :param at: when.
        """
        self.confirmed_at = max(self.confirmed_at, at)

    def build_page(
        self, now: float, base: revisions.Revision
    ) -> _messages.Page:
        """Answer a peer that is behind.

        :param now: the time.
        :param base: the peer's position.
        :returns: everything above it; all objects if deletions since then
            may be forgotten here.
        """
        is_snapshot = base < self.shelf.floor or base == 0
        items = self.shelf.list_after(revisions.NONE if is_snapshot else base)
        if is_snapshot:
            items = [each for each in items if each.value is not None]
        return _messages.Page(
            base,
            self.position,
            is_snapshot,
            self.compute_age(now),
            tuple(items),
        )

    def _put(
        self, items: Iterable[_item.Item], is_listed: bool
    ) -> list[_item.Item]:
        return [each for each in items if self.shelf.put(each, is_listed)]

    def _end_whole(
        self, changed: list[_item.Item], revision: revisions.Revision
    ) -> list[_item.Item]:
        # What was deleted before it isn't in it: who is behind lacks that.
        self._changed = revision
        return self._end(changed, revision)

    def _end(
        self, changed: list[_item.Item], revision: revisions.Revision
    ) -> list[_item.Item]:
        self.shelf.advance(revision)
        self.is_complete = True
        self.sure_until = self.confirmed_at
        for each in changed:
            self._changed = max(self._changed, each.revision)
        return changed


def _differs(former: shelf.Shelf, item: _item.Item) -> bool:
    known = former.get(item.path)
    return known is None or known.value != item.value
