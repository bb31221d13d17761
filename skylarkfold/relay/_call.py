"""Calls to the platform's store and their answers."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold.relay import _item
from skylarkfold import revision as revisions


class Call:
    """Read the objects of a topic.

    :param topic: the topic.
    :param revision: wait for changes after this revision; None lists all
        objects.
    :param after: the last name of the page before, for a listing.
    :param wait_seconds: how long the store may hold the call.
    :param timeout_seconds: when to give up waiting.
    :param era: the era of the store that is known here; it stands for that
        of an answer that doesn't say its own.
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
    """How a call ended."""

    OK = 'ok'
    # The changes after the wanted revision are forgotten.
    FORGOTTEN = 'forgotten'
    # The store said that it did nothing.
    REFUSED = 'refused'
    # No answer came, or none that can be read.
    UNKNOWN = 'unknown'
    # The call was ended here.
    ABANDONED = 'abandoned'


class Answer:
    """The store's answer to a call.

    :param status: how it ended.
    :param items: the objects listed or changed.
    :param revision: where the store's history was at the answer.
    :param is_truncated: whether a listing goes on after its last name.
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
