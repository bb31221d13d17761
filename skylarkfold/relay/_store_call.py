"""Calls to the platform's store and their answers."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold.relay import _item
from skylarkfold import revision as revisions


class Call:
    """A call to the store that lists or watches the objects of a topic.

    :param topic: the topic's name.
    :param revision: watch for changes after this revision; None lists all
        objects.
    :param after: in a listing, the path of the last object of the previous
        page.
    :param wait_seconds: how long the store may hold a watch.
    :param timeout_seconds: when the call fails without an answer.
    :param era: the known era of the store, assumed for an answer that doesn't
        tell its own.
    :param is_cautious: in a listing, whether only the first object of a page
        with a damaged object is used.
    """

    __slots__ = (
        'after',
        'era',
        'is_cautious',
        'revision',
        'timeout_seconds',
        'topic',
        'wait_seconds',
    )

    def __init__(
        self,
        topic: str,
        revision: revisions.Revision | None,
        after: str,
        wait_seconds: float,
        timeout_seconds: float,
        era: int = 0,
        is_cautious: bool = False,
    ) -> None:
        self.is_cautious = is_cautious
        self.topic = topic
        self.revision = revision
        self.after = after
        self.wait_seconds = wait_seconds
        self.timeout_seconds = timeout_seconds
        self.era = era


class Status:
    """The result of a call."""

    OK = 'ok'
    # The store has dropped the changes after the requested revision.
    FORGOTTEN = 'forgotten'
    # The store refused the call.
    REFUSED = 'refused'
    # There was no answer.
    UNKNOWN = 'unknown'
    # The answer can't be decoded.
    MALFORMED = 'malformed'
    # The answer is larger than this instance accepts.
    TOO_LARGE = 'too-large'
    # The answer began, but did not arrive within its timeout.
    INCOMPLETE = 'incomplete'
    # The call was cancelled by this instance.
    ABANDONED = 'abandoned'


# The store has answered, but the same call would fail in the same way.
UNUSABLE_STATUSES = (Status.MALFORMED, Status.TOO_LARGE, Status.INCOMPLETE)


class Answer:
    """The store's answer to a call.

    :param status: one of :class:`Status`.
    :param items: the listed or changed objects.
    :param revision: the store's revision at the answer; of truncated changes,
        the revision of the last one.
    :param is_truncated: whether a listing has further pages, or further
        changes after the revision are known to exist.
    :param first_path: the path of the first object of a listing's page,
        usable or not.
    :param last_path: the path after which the next page begins; empty for the
        last item's.
    :param next_path: the path with which the next page must begin; empty if
        unknown. Otherwise parts of a damaged object were taken for objects.
    """

    __slots__ = (
        'first_path',
        'is_truncated',
        'items',
        'last_path',
        'next_path',
        'revision',
        'status',
    )

    def __init__(
        self,
        status: str,
        items: Iterable[_item.Item] = (),
        revision: revisions.Revision = revisions.ZERO,
        is_truncated: bool = False,
        first_path: str = '',
        last_path: str = '',
        next_path: str = '',
    ) -> None:
        self.status = status
        self.items = tuple(items)
        self.revision = revision
        self.is_truncated = is_truncated
        self.first_path = first_path
        self.last_path = last_path
        self.next_path = next_path
