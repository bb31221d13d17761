"""The list-and-watch client of one topic in the platform's store."""

from __future__ import annotations

from skylarkfold import backoff
from skylarkfold.relay import _item
from skylarkfold.relay import _settings
from skylarkfold.relay import _store_call
from skylarkfold import revision as revisions

_NEVER = float('-inf')
# So many listings in a row with pages that don't fit together show that parts
# of a damaged object were taken for objects. One may be due to a write between
# two pages.
_MAX_MISMATCHES = 2
# After so many truncated answers in a row a listing takes fewer calls.
_MAX_TRUNCATED_ANSWERS = 16


class StoreUpdate:
    """Objects that were read from the store.

    :param items: the objects.
    :param revision: the position of the topic once they are applied.
    :param is_listing: whether they are all objects, so that absent ones are
        deleted.
    :param confirmed_at: when the store had this revision, with no change
        after it; negative infinity if there are further changes.
    :param proved_at: the same, at the earliest.
    """

    __slots__ = (
        'confirmed_at',
        'is_listing',
        'items',
        'proved_at',
        'revision',
    )

    def __init__(
        self,
        items: tuple[_item.Item, ...],
        revision: revisions.Revision,
        is_listing: bool,
        confirmed_at: float,
        proved_at: float,
    ) -> None:
        self.proved_at = proved_at
        self.confirmed_at = confirmed_at
        self.items = items
        self.revision = revision
        self.is_listing = is_listing


class StoreReader:
    """Reader of a topic in the store, with one call at a time.

    It lists all objects page by page, then renews a watch that waits for
    changes.

    :param topic: the topic's name.
    :param settings: the relay's settings.
    :param jitter: draws the pauses after failures.
    :ivar called_at: when the last call was started.
    :ivar answered_at: when the last usable answer arrived.
    :ivar was_held: whether the last call was one that the store might hold.
    """

    __slots__ = (
        '_backoff',
        '_held_until',
        '_is_calling',
        '_is_cancelled',
        '_is_store_stale',
        '_is_watch',
        '_last_path',
        '_listed_at',
        '_listed_items',
        '_listing_revision',
        '_mismatches',
        '_needs_listing',
        '_next_call_at',
        '_next_path',
        '_settings',
        '_topic',
        '_truncated_answers',
        'answered_at',
        'called_at',
        'was_held',
    )

    def __init__(
        self,
        topic: str,
        settings: _settings.RelaySettings,
        jitter: backoff.Jitter,
    ) -> None:
        self._topic = topic
        self._settings = settings
        self._backoff = backoff.Backoff(
            settings.least_backoff_seconds,
            settings.most_backoff_seconds,
            jitter,
        )
        self.answered_at = _NEVER
        self.called_at = _NEVER
        self.was_held = False
        # Until when the store may hold the watch under way.
        self._held_until = _NEVER
        self._is_watch = False
        self._is_cancelled = False
        self._is_store_stale = False
        self._is_calling = False
        self._needs_listing = False
        self._next_call_at = _NEVER
        self._listed_items: list[_item.Item] = []
        self._listing_revision = revisions.ZERO
        # When the first page of the listing under way was requested.
        self._listed_at = _NEVER
        self._last_path = ''
        # The path with which the next page must begin; empty if unknown.
        self._next_path = ''
        # Listings in a row with a page that didn't begin as it had to.
        self._mismatches = 0
        # Answers to watches in a row after which further changes are known.
        self._truncated_answers = 0

    @property
    def is_calling(self) -> bool:
        """Whether a call is under way."""
        return self._is_calling

    @property
    def is_watching(self) -> bool:
        """Whether a watch is under way."""
        is_valid = self._is_watch and not self._is_cancelled
        return self._is_calling and is_valid

    @property
    def failures(self) -> int:
        """The number of failed calls since the last successful one."""
        return self._backoff.failures

    def is_held(self, now: float) -> bool:
        """Return whether the store may still hold the watch under way.

        :param now: the current time.
        :returns: whether its answer isn't due yet.
        """
        return self.is_watching and now < self._held_until

    def cancel_watch(self, must_list: bool) -> None:
        """Ignore the answer to the watch under way.

        :param must_list: whether the next call is a listing.
        """
        self._needs_listing = self._needs_listing or must_list
        self._is_cancelled = True

    def start_call(
        self,
        now: float,
        position: revisions.Revision,
        wait_seconds: float,
    ) -> _store_call.Call | None:
        """Start the next call unless one is under way or it isn't due.

        :param now: the current time.
        :param position: the position of the topic.
        :param wait_seconds: how long the store may hold a watch.
        :returns: the call; None if none is started.
        """
        if self._is_calling or now < self._next_call_at:
            return None
        if now < self._backoff.retry_at:
            return None
        self._is_calling = True
        self.called_at = now
        settings = self._settings
        self._is_watch = not self._needs_listing and position != 0
        if not self._is_watch:
            return _store_call.Call(
                self._topic,
                None,
                self._last_path,
                0.0,
                settings.call_timeout_seconds,
                position.era,
                self._mismatches >= _MAX_MISMATCHES,
            )
        # A peer's page may have made further pages of a listing needless.
        self._reset_listing()
        self._held_until = now + wait_seconds
        return _store_call.Call(
            self._topic,
            position,
            '',
            wait_seconds,
            wait_seconds + settings.overdue_seconds,
            position.era,
        )

    def handle_answer(
        self, now: float, call: _store_call.Call, answer: _store_call.Answer
    ) -> StoreUpdate | None:
        """Process the answer to the call under way.

        :param now: the current time.
        :param call: the call.
        :param answer: the answer, or how the call failed.
        :returns: the objects that were read; None if the call failed or the
            listing has further pages.
        """
        self._is_calling = False
        self.was_held = call.wait_seconds > 0
        is_cancelled, self._is_cancelled = self._is_cancelled, False
        if is_cancelled:
            return None
        if answer.status != _store_call.Status.OK:
            if answer.status == _store_call.Status.FORGOTTEN:
                self._needs_listing = True
                if not self._is_store_stale:
                    # The store answers again, so earlier failures no longer
                    # lengthen the pause.
                    self._backoff.record_success()
            elif answer.status in _store_call.UNUSABLE_STATUSES:
                # A listing doesn't grow with the number of changes.
                self._needs_listing = call.revision is not None
            self._reset_listing()
            self._backoff.record_failure(now)
            return None
        if call.revision is not None:
            return self._handle_watch_answer(now, call, answer)
        return self._handle_listing_page(now, answer)

    def _handle_watch_answer(
        self, now: float, call: _store_call.Call, answer: _store_call.Answer
    ) -> StoreUpdate | None:
        since = call.revision
        if answer.revision.era > since.era:
            # A restored store reuses revision numbers. Changes of the new era
            # below the requested revision are missing in this answer.
            self._needs_listing = True
            return None
        if answer.revision < since:
            # The answer is older than the requested revision: it is stale.
            self._backoff.record_failure(now)
            return None
        self._backoff.record_success()
        if answer.is_truncated:
            self._limit_truncated_answers(now)
            # Further changes are known to exist, so nothing is confirmed.
            return StoreUpdate(
                answer.items, answer.revision, False, _NEVER, _NEVER
            )
        self._truncated_answers = 0
        waited = now - self.called_at
        if answer.items:
            self._next_call_at = now + self._settings.gather_seconds
        elif waited < call.wait_seconds / 2:
            # The store didn't hold the watch; renewing it at once would be a
            # busy loop.
            self._backoff.record_failure(now)
        # The answer may be of any moment since the call: the store may cut a
        # watch short, and the answer may have waited for this process.
        return StoreUpdate(
            answer.items, answer.revision, False, now, self.called_at
        )

    def _limit_truncated_answers(self, now: float) -> None:
        """List all objects if the changes arrive in too many answers."""
        self._truncated_answers += 1
        if self._truncated_answers >= _MAX_TRUNCATED_ANSWERS:
            self._truncated_answers = 0
            self._needs_listing = True
            self._next_call_at = now + self._settings.gather_seconds

    def _handle_listing_page(
        self, now: float, answer: _store_call.Answer
    ) -> StoreUpdate | None:
        if not self._last_path:
            # The watch starts at the revision of the first page, so it finds
            # changes that were made during the listing.
            self._listing_revision = answer.revision
            # Later pages, and large ones, may take longer than a change may.
            self._listed_at = self.called_at
        elif answer.revision.era != self._listing_revision.era:
            # The store was restored between two pages: start over.
            self._reset_listing()
            self._backoff.record_failure(now)
            return None
        if self._next_path and answer.first_path != self._next_path:
            self._reset_listing()
            self._mismatches += 1
            return None
        self._listed_items += answer.items
        if answer.is_truncated and (answer.last_path or answer.items):
            self._last_path = answer.last_path or answer.items[-1].path
            self._next_path = answer.next_path
            return None
        self._mismatches = 0
        update = StoreUpdate(
            tuple(self._listed_items),
            self._listing_revision,
            True,
            self._listed_at,
            self._listed_at,
        )
        self._reset_listing()
        self._needs_listing = False
        if not self._is_store_stale:
            self._backoff.record_success()
        return update

    def record_applied(self, now: float) -> None:
        """Record that the last update was applied.

        :param now: the current time.
        """
        self.answered_at = now
        if self._is_store_stale:
            self._is_store_stale = False
            self._backoff.record_success()

    def record_stale(self, now: float) -> bool:
        """Record that the last update was older than the known position.

        The pauses between calls grow while the store is stale.

        :param now: the current time.
        :returns: whether it is the first stale update in a row.
        """
        is_first = not self._is_store_stale
        self._is_store_stale = True
        self._backoff.record_failure(now)
        return is_first

    def _reset_listing(self) -> None:
        self._listed_items = []
        self._last_path = ''
        self._next_path = ''
