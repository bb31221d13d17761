"""The local replica of one topic of the store."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold import object_cache
from skylarkfold.relay import _codec
from skylarkfold.relay import _effect
from skylarkfold.relay import _item
from skylarkfold.relay import _messages
from skylarkfold.relay import _proof
from skylarkfold.relay import _retained
from skylarkfold.relay import _settings
from skylarkfold.relay import _store_reader
from skylarkfold import revision as revisions

_NEVER = float('-inf')
# Paths of objects in one log line.
_MAXIMUM_LOGGED_NAMES = 20
# After a pause of the process, messages that waited in its sockets have been
# read by then: 300 beacons take half a second on a fifth of a core.
_BACKLOG_SECONDS = 1.0
# Peers are told at most this for how long an era has been known.
_MAXIMUM_ERA_SECONDS = 3600.0


class Topic:
    """Local replica of a topic: its objects and its position.

    :param name: the topic's name.
    :param number: its index in the settings' list of topics.
    :param reader: reads the topic from the store.
    :param settings: the relay's settings.
    :param retention_policy: decides which of two versions of an object is
        later.
    :ivar cache: the objects as the store has them, with the position.
    :ivar retained: objects of former eras that override the store's.
    :ivar era_known_since: since when the store's era has been known, here or
        at the peer that sent it.
    :ivar may_lack_retained: whether the first listing came from the store, so
        that peers may retain objects that this instance has never seen.
    :ivar has_met_peer: whether a peer has told its position in this era.
    :ivar is_complete: whether the topic has been read once.
    :ivar is_shared: whether the whole fleet has one set of watchers for it.
    :ivar confirmed_at: when the store last confirmed the position.
    :ivar confirmed_by: the fleet rank of the instance that it answered then.
    :ivar confirmed_before_change: the value of ``confirmed_at`` when the last
        change arrived.
    :ivar trusts_ages_from: ages that peers tell count from this time on.
    :ivar proof: up to when the store has shown this instance all changes.
    :ivar fetch_host: the peer that a fetch is under way to; empty for none.
    :ivar fetch_expires_at: when that fetch times out.
    :ivar call_store_after: until when the store isn't asked for the first
        listing, since a peer may send it soon.
    """

    __slots__ = (
        '_ahead',
        '_changed',
        '_events',
        '_has_seen_restore',
        '_packed_snapshot',
        '_settings',
        'cache',
        'call_store_after',
        'confirmed_at',
        'confirmed_before_change',
        'confirmed_by',
        'era_known_since',
        'fetch_expires_at',
        'fetch_host',
        'has_met_peer',
        'is_complete',
        'is_shared',
        'may_lack_retained',
        'name',
        'number',
        'proof',
        'reader',
        'retained',
        'trusts_ages_from',
    )

    def __init__(
        self,
        name: str,
        number: int,
        reader: _store_reader.StoreReader,
        settings: _settings.RelaySettings,
        retention_policy: _retained.RetentionPolicy,
    ) -> None:
        self.name = name
        self.number = number
        self.reader = reader
        self._settings = settings
        self.cache = object_cache.ObjectCache(
            settings.tombstones, revisions.ZERO
        )
        self.retained = _retained.RetainedObjects(
            name, settings, retention_policy
        )
        self.era_known_since = _NEVER
        self.may_lack_retained = False
        self.has_met_peer = False
        # Whether this process has seen the store being restored.
        self._has_seen_restore = False
        self._events: list[_effect.RecordEvent] = []
        # Objects known beyond the position, by path. They stem from the later
        # pages of a listing.
        self._ahead: dict[str, _item.Item] = {}
        self.is_complete = False
        self.is_shared = False
        self.confirmed_at = _NEVER
        self.confirmed_by = _messages.UNKNOWN_RANK
        self.trusts_ages_from = _NEVER
        self.proof = _proof.Proof(settings.gather_seconds)
        self.confirmed_before_change = _NEVER
        self._changed = revisions.ZERO
        self.fetch_host = ''
        self.fetch_expires_at = _NEVER
        self.call_store_after = _NEVER
        # The encoded snapshot and its revision.
        self._packed_snapshot = (revisions.ZERO, b'')

    @property
    def position(self) -> revisions.Revision:
        """The revision up to which all changes are known."""
        return self.cache.position

    @property
    def changed(self) -> revisions.Revision:
        """The revision of the last known change.

        It is of the current era at least, so that a peer that only knows a
        former era is always behind.
        """
        era_start = revisions.Revision(0, self.position.era)
        return max(self._changed, era_start)

    def compute_age(self, now: float) -> float | None:
        """Return how long ago the store confirmed the position.

        :param now: the current time.
        :returns: the age in seconds; None if it was never confirmed.
        """
        if self.confirmed_at == _NEVER:
            return None
        return max(0.0, now - self.confirmed_at)

    def must_prove(self, now: float) -> bool:
        """Return whether to call the store for an answer that is waited for.

        :param now: the current time.
        :returns: whether it is wanted, and the last call isn't too recent.
        """
        pause = now - self.reader.called_at
        is_due = pause >= self._settings.gather_seconds
        return self.is_complete and is_due and self.proof.is_open(now)

    def compute_lag(self, now: float) -> float | None:
        """Return an upper bound for how long ago the last change was written.

        :param now: when the change arrived.
        :returns: the bound in seconds; None if there is none.
        """
        if self.confirmed_before_change == _NEVER:
            return None
        return now - self.confirmed_before_change

    def build_position(self, now: float) -> _messages.Position:
        """Return this instance's position for a beacon.

        :param now: the current time.
        :returns: the position with its age.
        """
        return _messages.Position(
            self.position,
            self.changed,
            self.compute_age(now),
            len(self.retained),
            self.confirmed_by,
        )

    def list_items(self) -> list[_item.Item]:
        """Return the objects in force, retained ones included.

        :returns: the existing objects, in order of revision.
        """
        return self.retained.merge(self.cache.list_after(revisions.ZERO))

    def is_settled(self) -> bool:
        """Return whether the store's objects are complete.

        A restored store may lack objects until their writers write them
        again.

        :returns: whether the store was heard from after the time that they
            have for it.
        """
        is_complete = self.confirmed_at > self._compute_rewritten_at()
        return not self.retained and is_complete

    def compute_settle_time(self) -> float | None:
        """Return when an answer of the store next settles something.

        :returns: the time after which a retained object expires or the topic
            becomes settled; None if nothing is pending.
        """
        next_expiry = self.retained.get_next_expiry()
        if next_expiry is not None or self.is_settled():
            return next_expiry
        # An instance that listed the store before it met a peer doesn't know
        # when the era began either.
        if self._has_seen_restore or self.may_lack_retained:
            return self._compute_rewritten_at()
        return None

    def _compute_rewritten_at(self) -> float:
        """Return when the writers have written lost objects again.

        What other instances retain shows what is lost. An instance that has
        met none has to wait as long as they may retain it.
        """
        settings = self._settings
        was_restored = self.position.era > 0
        is_alone = self.may_lack_retained and not self.has_met_peer
        seconds = settings.rewrite_seconds
        if is_alone and was_restored and self.name in settings.lasting_topics:
            seconds = settings.lasting_seconds
        return self.era_known_since + seconds

    def apply_changes(
        self, items: Iterable[_item.Item], revision: revisions.Revision
    ) -> list[_item.Item]:
        """Apply all changes from the current position to a revision.

        :param items: the changed objects.
        :param revision: the position afterwards.
        :returns: the objects that were new here.
        """
        return self._finish_update(self._put_items(items, False), revision)

    def apply_listing(
        self,
        now: float,
        items: Iterable[_item.Item],
        revision: revisions.Revision,
    ) -> list[_item.Item]:
        """Apply a listing of the store.

        :param now: the current time.
        :param items: all objects.
        :param revision: the store's revision at the listing.
        :returns: the objects that were new here, deletions included.
        """
        if revision.era > self.position.era or not self.is_complete:
            self.may_lack_retained = not self.is_complete
            return self._start_era(now, 0.0, items, revision, ())
        return self._apply_snapshot(items, revision)

    def handle_page(
        self, now: float, page: _messages.Page
    ) -> list[_item.Item]:
        """Apply a page that was fetched from a peer.

        :param now: the current time.
        :param page: the page.
        :returns: the objects that were new here, deletions included.
        """
        if not page.is_snapshot:
            return self.apply_changes(page.items, page.revision)
        if page.revision.era > self.position.era or not self.is_complete:
            self.may_lack_retained = False
            return self._start_era(
                now,
                page.era_seconds,
                page.items,
                page.revision,
                page.retained_items,
            )
        changed = self._apply_snapshot(page.items, page.revision)
        if self.may_lack_retained:
            self.may_lack_retained = False
            self.retained.reset(now, (), page.retained_items, self.cache)
            changed += [each.item for each in self.retained.list_all()]
            self._record_retained()
        return changed

    def _apply_snapshot(
        self, items: Iterable[_item.Item], revision: revisions.Revision
    ) -> list[_item.Item]:
        """Apply all objects at a revision; absent ones are deleted."""
        items = list(items)
        changed = self._put_items(items, True)
        present = [each.path for each in items if each.value is not None]
        absent = self.cache.list_absent(revision, present)
        self.cache.raise_floor(revision)
        tombstones = [
            _item.Item(each.path, revision, each.created, None)
            for each in absent
        ]
        changed += self._put_items(tombstones, False)
        return self._finish_snapshot(changed, revision)

    def _start_era(
        self,
        now: float,
        era_seconds: float,
        items: Iterable[_item.Item],
        revision: revisions.Revision,
        peer_retained: Iterable[_messages.RetainedItem],
    ) -> list[_item.Item]:
        """Replace all objects by those of a new era of the store.

        A restored store reuses revision numbers, and changes of either era
        may be missing in the other, so only retained objects outlive an era.
        """
        base = self.position
        before = {each.path: each for each in self.list_items()}
        known = {
            each.path: each for each in self.cache.list_after(revisions.ZERO)
        }
        for each in self.retained.list_all():
            known[each.item.path] = each.item
        self.era_known_since = now - era_seconds
        self.has_met_peer = False
        self.cache = object_cache.ObjectCache(
            self._settings.tombstones, revisions.ZERO
        )
        self.cache.raise_floor(revision)
        self._ahead = {
            each.path: each
            for each in self._put_items(items, True)
            if each.revision > revision
        }
        self.retained.reset(now, known.values(), peer_retained, self.cache)
        self._finish_snapshot([], revision)
        if base != revisions.ZERO:
            self._record_event('era', era=revision.era, since=str(base))
            self._has_seen_restore = True
        self._record_retained()
        return _list_differences(before, self.list_items(), revision)

    def expire_retained(self) -> list[_item.Item]:
        """Drop the retained objects whose retention time is over.

        :returns: the dropped objects.
        """
        if not self.retained:
            return []
        expired = self.retained.expire(self.confirmed_at)
        if expired:
            names = [each.path for each in expired]
            self._record_event('given-up', names=names[:_MAXIMUM_LOGGED_NAMES])
        return expired

    def take_events(self) -> list[_effect.RecordEvent]:
        """Return and clear the events about eras and retained objects.

        :returns: the events since the last call.
        """
        events, self._events = self._events, []
        return events

    def confirm(self, at: float, rank: int = _messages.UNKNOWN_RANK) -> None:
        """Record that the store confirmed the position.

        :param at: when it did.
        :param rank: the fleet rank of the instance that it answered.
        """
        if at > self.confirmed_at:
            self.confirmed_at = at
            self.confirmed_by = rank

    def confirm_by_peer(
        self, now: float, at: float, rank: int = _messages.UNKNOWN_RANK
    ) -> None:
        """Record that a peer knows that the store confirmed the position.

        :param now: the current time.
        :param at: when it did, if the peer's message has just arrived.
        :param rank: as in :meth:`confirm`.
        """
        if now >= self.trusts_ages_from:
            self.confirm(at, rank)

    def resume(self, now: float) -> None:
        """Forget the last confirmation after a pause of the process.

        :param now: the current time.
        """
        self.confirmed_at = _NEVER
        self.trusts_ages_from = now + _BACKLOG_SECONDS

    def build_page(
        self, now: float, base: revisions.Revision
    ) -> _messages.Page:
        """Build the answer to the fetch of a peer that is behind.

        :param now: the current time.
        :param base: the peer's position.
        :returns: the changes after that position, or a snapshot if deletions
            since then may already be forgotten here.
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
            min(now - self.era_known_since, _MAXIMUM_ERA_SECONDS),
            self.retained.list_for_peer(now) if is_snapshot else (),
            self._pack_snapshot(items) if is_snapshot else b'',
        )

    def _pack_snapshot(self, items: list[_item.Item]) -> bytes:
        """Return the encoded snapshot, cached until the position changes.

        Encoding is the most expensive part of serving a snapshot.
        """
        position, packed = self._packed_snapshot
        if position != self.position:
            packed = _codec.pack_items(items)
            self._packed_snapshot = (self.position, packed)
        return packed

    def _put_items(
        self, items: Iterable[_item.Item], is_listed: bool
    ) -> list[_item.Item]:
        return [each for each in items if self.cache.put(each, is_listed)]

    def _finish_snapshot(
        self, changed: list[_item.Item], revision: revisions.Revision
    ) -> list[_item.Item]:
        # A snapshot doesn't show deletions, so every peer at a lower position
        # has to fetch.
        self._changed = revision
        return self._finish_update(changed, revision)

    def _finish_update(
        self, changed: Iterable[_item.Item], revision: revisions.Revision
    ) -> list[_item.Item]:
        changed = list(changed)
        self.cache.advance(revision)
        changed += self._take_reached(changed)
        self.is_complete = True
        self.confirmed_before_change = self.confirmed_at
        if changed:
            self.proof.handle_change()
        for each in changed:
            self._changed = max(self._changed, each.revision)
        dropped = self.retained.drop_rewritten(changed, self.cache)
        if dropped:
            self._record_event(
                'written-again', names=dropped[:_MAXIMUM_LOGGED_NAMES]
            )
        return changed

    def _take_reached(self, changed: list[_item.Item]) -> list[_item.Item]:
        """Return the objects that were known before the position reached them.

        They are changes after the former position, so neighbours at that
        position need them as well.

        :param changed: the objects that are new here.
        :returns: the objects that the position has reached.
        """
        for each in changed:
            self._ahead.pop(each.path, None)
        reached = [
            each
            for each in self._ahead.values()
            if each.revision <= self.position
        ]
        for each in reached:
            del self._ahead[each.path]
        for each in changed:
            if each.revision > self.position:
                self._ahead[each.path] = each
        return reached

    def _record_retained(self) -> None:
        names = [each.item.path for each in self.retained.list_all()]
        if names:
            self._record_event(
                'retained',
                count=len(names),
                names=names[:_MAXIMUM_LOGGED_NAMES],
            )

    def _record_event(self, reason: str, **details: object) -> None:
        self._events.append(
            _effect.RecordEvent(reason, topic=self.name, **details)
        )


def _list_differences(
    before: dict[str, _item.Item],
    after: list[_item.Item],
    revision: revisions.Revision,
) -> list[_item.Item]:
    """Return the objects that differ from before, deletions included."""
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
