"""A store whose history can be forgotten and come back from a copy."""

from __future__ import annotations

import collections
import itertools

from skylarkfold import relay
from skylarkfold import revision as revisions


class StoreCopy:
    """What a store held at one moment.

    :param number: the store's counter.
    :param objects: its objects, by topic and path.
    """

    def __init__(
        self, number: int, objects: dict[str, dict[str, relay.Item]]
    ) -> None:
        self.number = number
        self.objects = objects


class FakeStore:
    """The store's objects with all their history.

    :param topics: the kinds of objects.
    :ivar calls: how often it was called, by topic.
    """

    def __init__(self, topics: tuple[str, ...]) -> None:
        self.era = 1
        self.number = 1
        self.objects = {topic: {} for topic in topics}
        self.history = []
        self.forgotten = revisions.ZERO
        self.calls: collections.Counter[str] = collections.Counter()

    @property
    def revision(self) -> revisions.Revision:
        """Where its history is."""
        return revisions.Revision(self.number, self.era)

    def put(self, topic: str, path: str, value: object) -> None:
        """Write an object.

        :param topic: the topic.
        :param path: the object.
        :param value: what it holds; None deletes it.
        """
        self.number += 1
        known = self.objects[topic].get(path)
        created = self.revision if known is None else known.created
        item = relay.Item(path, self.revision, created, value)
        if value is None:
            self.objects[topic].pop(path, None)
        else:
            self.objects[topic][path] = item
        self.history.append((topic, item))

    def forget(self) -> None:
        """Drop the history."""
        self.forgotten = self.revision

    def copy(self) -> StoreCopy:
        """Copy all that is stored.

        :returns: the copy.
        """
        objects = {topic: dict(items) for topic, items in self.objects.items()}
        return StoreCopy(self.number, objects)

    def restore(self, saved: StoreCopy, is_said: bool = True) -> None:
        """Go back to a copy: what was written since is lost.

        A new era begins, in which numbers are given out again from where the
        copy ends.

        :param saved: the copy.
        :param is_said: whether the store tells of the new era.
        """
        self.era += is_said
        self.number = saved.number
        self.objects = {
            topic: {path: self._move(item) for path, item in items.items()}
            for topic, items in saved.objects.items()
        }
        self.history = [
            (topic, self._move(item))
            for topic, item in self.history
            if item.revision.number <= saved.number
        ]
        self.forgotten = self._raise(self.forgotten)

    def _move(self, item: relay.Item) -> relay.Item:
        return relay.Item(
            item.path,
            self._raise(item.revision),
            self._raise(item.created),
            item.value,
        )

    def _raise(self, revision: revisions.Revision) -> revisions.Revision:
        return revisions.Revision(revision.number, self.era)

    def list(self, topic: str) -> relay.Answer:
        """Answer a listing.

        :param topic: the topic.
        :returns: the answer.
        """
        items = list(self.objects[topic].values())
        return relay.Answer(relay.Status.OK, items, self.revision)

    def find_changes(self, call: relay.Call) -> relay.Answer | None:
        """Answer a watch.

        :param call: the watch.
        :returns: the answer, None while there is nothing to say.
        """
        # It is asked by the number alone.
        since = revisions.Revision(call.revision.number, self.era)
        if not self.forgotten <= since <= self.revision:
            return relay.Answer(relay.Status.FORGOTTEN)
        newer = itertools.takewhile(
            lambda each: each[1].revision > since,
            reversed(self.history),
        )
        items = [item for topic, item in newer if topic == call.topic]
        items.reverse()
        if not items:
            return None
        return relay.Answer(relay.Status.OK, items, self.revision)
