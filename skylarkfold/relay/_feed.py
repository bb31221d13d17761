"""The stream of one topic's changes from the platform's store."""

from __future__ import annotations

from skylarkfold import backoff
from skylarkfold.relay import _call
from skylarkfold.relay import _item
from skylarkfold.relay import _settings
from skylarkfold import revision as revisions


class News:
    """What calls to the store brought.

    :param items: the objects.
    :param revision: everything up to this revision is in them or was
        known before.
    :param is_listing: whether absent objects are deleted.
    """

    __slots__ = ('is_listing', 'items', 'revision')

    def __init__(
        self,
        items: tuple[_item.Item, ...],
        revision: revisions.Revision,
        is_listing: bool,
    ) -> None:
        self.items = items
        self.revision = revision
        self.is_listing = is_listing


class Feed:
    """One call at a time: a listing in pages, then waiting watches.

    :param topic: the topic.
    :param settings: the relay's settings.
    :param jitter: spreads the pauses of this instance.
    """

    __slots__ = (
        '_backoff',
        '_called_at',
        '_is_abandoned',
        '_is_behind',
        '_is_calling',
        '_last_path',
        '_must_list',
        '_next_call',
        '_pages',
        '_pages_revision',
        '_settings',
        '_topic',
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
        self._called_at = float('-inf')
        self._is_abandoned = False
        self._is_behind = False
        self._is_calling = False
        self._must_list = True
        self._next_call = float('-inf')
        self._pages: list[_item.Item] = []
        self._pages_revision = revisions.ZERO
        self._last_path = ''

    @property
    def is_calling(self) -> bool:
        """Whether a call is under way."""
        return self._is_calling

    @property
    def is_watching(self) -> bool:
        """Whether a watch is under way."""
        return self._is_calling and not self._must_list

    def cancel(self) -> None:
        """List everything, since the watch under way can't tell of it."""
        self._must_list = True
        self._is_abandoned = True

    def call(
        self,
        now: float,
        position: revisions.Revision,
        wait_seconds: float,
    ) -> _call.Call | None:
        """Begin the next call if none is under way.

        :param now: the time.
        :param position: up to which revision the topic is known here.
        :param wait_seconds: how long the store may hold a watch.
        :returns: the call, None for none.
        """
        if self._is_calling or now < self._next_call:
            return None
        if now < self._backoff.retry_at:
            return None
        self._is_calling = True
        self._called_at = now
        settings = self._settings
        if self._must_list or position == 0:
            return _call.Call(
                self._topic,
                None,
                self._last_path,
                0.0,
                settings.call_timeout_seconds,
                position.era,
            )
        return _call.Call(
            self._topic,
            position,
            '',
            wait_seconds,
            wait_seconds + settings.overdue_seconds,
            position.era,
        )

    def take(
        self, now: float, call: _call.Call, answer: _call.Answer
    ) -> News | None:
        """Take the answer to the call under way.

        :param now: the time.
        :param call: the call.
        :param answer: its end.
        :returns: what it brought, None for nothing or only a page.
        """
        self._is_calling = False
        is_abandoned, self._is_abandoned = self._is_abandoned, False
        if is_abandoned:
            return None
        if answer.status != _call.Status.OK:
            if answer.status == _call.Status.FORGOTTEN:
                self._must_list = True
                if not self._is_behind:
                    # It answers: what failed before is no reason to wait.
                    self._backoff.record_success()
            self._drop_pages()
            self._backoff.record_failure(now)
            return None
        if call.revision is not None:
            return self._take_watch(now, call, answer)
        return self._take_page(now, answer)

    def _take_watch(
        self, now: float, call: _call.Call, answer: _call.Answer
    ) -> News | None:
        since = call.revision
        if answer.revision.era > since.era:
            # What was written from where the copy ends up to the revision
            # that was asked from is in no watch.
            self._must_list = True
            return None
        if answer.revision < since:
            # A store that answers with less than was asked for lags.
            self._backoff.record_failure(now)
            return None
        self._backoff.record_success()
        waited = now - self._called_at
        if answer.items:
            self._next_call = now + self._settings.gather_seconds
        elif waited < call.wait_seconds / 2:
            # It did not wait: asking again at once would be a busy loop.
            self._backoff.record_failure(now)
        return News(answer.items, answer.revision, False)

    def _take_page(self, now: float, answer: _call.Answer) -> News | None:
        if not self._last_path:
            # Changes during the listing are watched for from its begin.
            self._pages_revision = answer.revision
        elif answer.revision.era != self._pages_revision.era:
            # The pages don't belong together: begin anew.
            self._drop_pages()
            self._backoff.record_failure(now)
            return None
        self._pages += answer.items
        if answer.is_truncated and answer.items:
            self._last_path = answer.items[-1].path
            return None
        news = News(tuple(self._pages), self._pages_revision, True)
        self._drop_pages()
        self._must_list = False
        if not self._is_behind:
            self._backoff.record_success()
        return news

    def note_taken(self) -> None:
        """Note that what the last call brought was taken."""
        if self._is_behind:
            self._is_behind = False
            self._backoff.record_success()

    def note_behind(self, now: float) -> bool:
        """Note that what the last call brought was older than what is known.

        Pauses grow then: the store has nothing to be asked for.

        :param now: the time.
        :returns: whether it is the first in a row.
        """
        is_first = not self._is_behind
        self._is_behind = True
        self._backoff.record_failure(now)
        return is_first

    def _drop_pages(self) -> None:
        self._pages = []
        self._last_path = ''
