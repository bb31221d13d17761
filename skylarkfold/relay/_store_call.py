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
    """

    __slots__ = (
        'after',
        'era',
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
    ) -> None:
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
    # The call was cancelled by this instance.
    ABANDONED = 'abandoned'


class Answer:
    """The store's answer to a call.

    :param status: one of :class:`Status`.
    :param items: the listed or changed objects.
    :param revision: the store's revision at the answer.
    :param is_truncated: whether a listing has further pages.
    """

    __slots__ = ('is_truncated', 'items', 'revision', 'status')

    def __init__(
        self,
        status: str,
        items: Iterable[_item.Item] = (),
        revision: revisions.Revision = revisions.ZERO,
        is_truncated: bool = False,
    ) -> None:
        self.status = status
        self.items = tuple(items)
        self.revision = revision
        self.is_truncated = is_truncated
