"""One kind of objects as known on this instance."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold import object_cache
from skylarkfold.relay import _codec
from skylarkfold.relay import _effect
from skylarkfold.relay import _feed
from skylarkfold.relay import _item
from skylarkfold.relay import _messages
from skylarkfold.relay import _retained
from skylarkfold.relay import _settings
from skylarkfold import revision as revisions

_NEVER = float('-inf')
# Names of objects in one log line.
_MOST_NAMES = 20
# An era that is known for longer is as good as one that always was.
_MOST_ERA_SECONDS = 3600.0


class Topic:
    """The objects of a topic with the position up to which they are known.

    :param name: the topic.
    :param number: its place in the settings' list.
    :param feed: what asks the store.
    :param settings: the relay's settings.
    :param retention_policy: tells which of two versions of an object is
        later.
    :ivar retained: what counts of former eras of the store.
    :ivar entered_at: since when the store's era is known, here or at peers.
    :ivar is_alone: whether the store told of its era before any peer did, so
        that peers may know what it has lost.
    :ivar is_shared: whether the whole fleet has one set of watchers for it.
    :ivar confirmed_at: when the store last confirmed what is known here.
    :ivar sure_until: the same, just before the last change was learnt.
    :ivar fetching: the host that is being asked, empty for none.
    :ivar fetch_until: when it is given up.
    :ivar call_after: until when the store isn't asked for the first listing,
        since peers may have it soon.
    """

    __slots__ = (
        '_changed',
        '_has_former',
        '_notes',
        '_packed',
        '_settings',
        'cache',
        'call_after',
        'confirmed_at',
        'entered_at',
        'feed',
        'fetch_until',
        'fetching',
        'is_alone',
        'is_complete',
        'is_shared',
        'name',
        'number',
        'retained',
        'sure_until',
    )

    def __init__(
        self,
        name: str,
        number: int,
        feed: _feed.Feed,
        settings: _settings.RelaySettings,
        retention_policy: _retained.RetentionPolicy,
    ) -> None:
        self.name = name
        self.number = number
        self.feed = feed
        self._settings = settings
        self.cache = object_cache.ObjectCache(
            settings.tombstones, revisions.ZERO
        )
        self.retained = _retained.RetainedObjects(
            name, settings, retention_policy
        )
        self.entered_at = _NEVER
        self.is_alone = False
        # Whether this process has seen the store come back.
        self._has_former = False
        self._notes: list[_effect.RecordEvent] = []
        self.is_complete = False
        self.is_shared = False
        self.confirmed_at = _NEVER
        self.sure_until = _NEVER
        self._changed = revisions.ZERO
        self.fetching = ''
        self.fetch_until = _NEVER
        self.call_after = _NEVER
        # All objects as they are sent, and up to which revision.
        self._packed = (revisions.ZERO, b'')

    @property
    def position(self) -> revisions.Revision:
        """Everything up to this revision is known."""
        return self.cache.position

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
            self.position,
            self.changed,
            self.compute_age(now),
            len(self.retained),
        )

    def list_items(self) -> list[_item.Item]:
        """List the objects that count.

        :returns: those that exist, by rising revision.
        """
        return self.retained.merge(self.cache.list_after(revisions.ZERO))

    def is_settled(self) -> bool:
        """Tell whether what the store has is all that there is.

        After its return it may lack what its writers still have.

        :returns: whether it was heard long enough after it.
        """
        since = self.entered_at + self._settings.rewrite_seconds
        return not self.retained and self.confirmed_at > since

    def find_settling(self) -> float | None:
        """Find when the store is to be heard next for something to be settled.

        :returns: the time, None if nothing waits for it.
        """
        end = self.retained.find_end()
        if end is not None or self.is_settled():
            return end
        # Who has just started and knows no peer can't tell either; its mates
        # would ask as well before a watch of the usual length ends.
        if self._has_former or self.is_alone:
            return self.entered_at + self._settings.rewrite_seconds
        return None

    def take_changes(
        self, items: Iterable[_item.Item], revision: revisions.Revision
    ) -> list[_item.Item]:
        """Take all changes from the present position to a revision.

        :param items: the objects that changed.
        :param revision: everything up to it is known afterwards.
        :returns: the objects that were new here.
        """
        return self._end(self._put(items, False), revision)

    def take_listing(
        self,
        now: float,
        items: Iterable[_item.Item],
        revision: revisions.Revision,
    ) -> list[_item.Item]:
        """Take what the store listed.

        :param now: the time.
        :param items: all objects.
        :param revision: where its history was then.
        :returns: what was new here, deletions included.
        """
        if revision.era > self.position.era or not self.is_complete:
            self.is_alone = not self.is_complete
            return self._enter_era(now, 0.0, items, revision, ())
        return self._take_whole(items, revision)

    def handle_page(
        self, now: float, page: _messages.Page
    ) -> list[_item.Item]:
        """Take what a peer had beyond a position of this instance.

        :param now: the time.
        :param page: what it had.
        :returns: what was new here, deletions included.
        """
        if not page.is_snapshot:
            return self.take_changes(page.items, page.revision)
        if page.revision.era > self.position.era or not self.is_complete:
            self.is_alone = False
            return self._enter_era(
                now,
                page.era_seconds,
                page.items,
                page.revision,
                page.retained_items,
            )
        changed = self._take_whole(page.items, page.revision)
        if self.is_alone:
            self.is_alone = False
            self.retained.enter(now, (), page.retained_items, self.cache)
            changed += [each.item for each in self.retained.list_all()]
            self._note_retained()
        return changed

    def _take_whole(
        self, items: Iterable[_item.Item], revision: revisions.Revision
    ) -> list[_item.Item]:
        """Take all objects at a revision; absent ones are deleted."""
        items = list(items)
        changed = self._put(items, True)
        present = [each.path for each in items if each.value is not None]
        absent = self.cache.list_absent(revision, present)
        self.cache.raise_floor(revision)
        buried = [
            _item.Item(each.path, revision, each.created, None)
            for each in absent
        ]
        changed += self._put(buried, False)
        return self._end_whole(changed, revision)

    def _enter_era(
        self,
        now: float,
        era_seconds: float,
        items: Iterable[_item.Item],
        revision: revisions.Revision,
        told: Iterable[_messages.RetainedItem],
    ) -> list[_item.Item]:
        """Begin anew with what the store has after its return.

        Numbers were given out again, and changes of either era may be unknown
        to the other, so that nothing of the former one stays but what is
        retained.
        """
        base = self.position
        before = {each.path: each for each in self.list_items()}
        known = {
            each.path: each for each in self.cache.list_after(revisions.ZERO)
        }
        for each in self.retained.list_all():
            known[each.item.path] = each.item
        self.entered_at = now - era_seconds
        self.cache = object_cache.ObjectCache(
            self._settings.tombstones, revisions.ZERO
        )
        self.cache.raise_floor(revision)
        self._put(items, True)
        self.retained.enter(now, known.values(), told, self.cache)
        self._end_whole([], revision)
        if base != revisions.ZERO:
            self._note('era', era=revision.era, since=str(base))
            self._has_former = True
        self._note_retained()
        return _list_differences(before, self.list_items(), revision)

    def expire_retained(self) -> list[_item.Item]:
        """Let the store's forms count that it has had for long enough.

        :returns: the objects in the forms that don't count any more.
        """
        if not self.retained:
            return []
        expired = self.retained.expire(self.confirmed_at)
        if expired:
            names = [each.path for each in expired]
            self._note('given-up', names=names[:_MOST_NAMES])
        return expired

    def take_notes(self) -> list[_effect.RecordEvent]:
        """Take the lines that tell what has become of former eras.

        :returns: those that were not taken yet.
        """
        notes, self._notes = self._notes, []
        return notes

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
        is_snapshot = base < self.cache.floor or base == 0
        items = self.cache.list_after(revisions.ZERO if is_snapshot else base)
        if is_snapshot:
            items = [each for each in items if each.value is not None]
        return _messages.Page(
            base,
            self.position,
            is_snapshot,
            self.compute_age(now),
            tuple(items),
            min(now - self.entered_at, _MOST_ERA_SECONDS),
            self.retained.list_told(now) if is_snapshot else (),
            self._pack(items) if is_snapshot else b'',
        )

    def _pack(self, items: list[_item.Item]) -> bytes:
        """Pack all objects, once for all who ask while they stay the same.

        It takes longer than all else that is done for one that starts.
        """
        position, packed = self._packed
        if position != self.position:
            packed = _codec.pack_items(items)
            self._packed = (self.position, packed)
        return packed

    def _put(
        self, items: Iterable[_item.Item], is_listed: bool
    ) -> list[_item.Item]:
        return [each for each in items if self.cache.put(each, is_listed)]

    def _end_whole(
        self, changed: list[_item.Item], revision: revisions.Revision
    ) -> list[_item.Item]:
        # What was deleted before it isn't in it: who is behind lacks that.
        self._changed = revision
        return self._end(changed, revision)

    def _end(
        self, changed: Iterable[_item.Item], revision: revisions.Revision
    ) -> list[_item.Item]:
        changed = list(changed)
        self.cache.advance(revision)
        self.is_complete = True
        self.sure_until = self.confirmed_at
        for each in changed:
            self._changed = max(self._changed, each.revision)
        dropped = self.retained.review(changed, self.cache)
        if dropped:
            self._note('written-again', names=dropped[:_MOST_NAMES])
        return changed

    def _note_retained(self) -> None:
        names = [each.item.path for each in self.retained.list_all()]
        if names:
            self._note('retained', count=len(names), names=names[:_MOST_NAMES])

    def _note(self, reason: str, **details: object) -> None:
        self._notes.append(
            _effect.RecordEvent(reason, topic=self.name, **details)
        )


def _list_differences(
    before: dict[str, _item.Item],
    after: list[_item.Item],
    revision: revisions.Revision,
) -> list[_item.Item]:
    """List what counts otherwise than before, deletions included."""
    different = []
    for item in after:
        known = before.pop(item.path, None)
        if known is None or known.value != item.value:
            different.append(item)
    gone = [
        _item.Item(each.path, revision, each.created, None)
        for each in before.values()
    ]
    return different + gone
