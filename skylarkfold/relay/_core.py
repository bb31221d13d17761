"""The decisions of the relay."""

from __future__ import annotations

from skylarkfold import backoff
from skylarkfold.relay import _call
from skylarkfold.relay import _effect
from skylarkfold.relay import _feed
from skylarkfold.relay import _item
from skylarkfold.relay import _settings
from skylarkfold import shelf


class _Topic:
    """One kind of objects as known here."""

    __slots__ = ('confirmed_at', 'feed', 'is_complete', 'shelf')

    def __init__(self, feed: _feed.Feed, tombstones: int) -> None:
        self.feed = feed
        self.shelf = shelf.Shelf(tombstones)
        self.is_complete = False
        self.confirmed_at = float('-inf')


class RelayCore:
    """Keeps this instance's objects at the store's newest.

    :param settings: the relay's settings.
    :param seed: spreads this instance's timers against the others'.
    """

    def __init__(self, settings: _settings.RelaySettings, seed: int) -> None:
        self._settings = settings
        jitter = backoff.HashJitter(seed)
        self._topics = {
            name: _Topic(
                _feed.Feed(name, settings, jitter), settings.tombstones
            )
            for name in settings.topics
        }

    def get_position(self, topic: str) -> int:
        """Tell up to which revision a topic is known.

        :param topic: the topic.
        :returns: the revision; 0 for not at all.
        """
        return self._topics[topic].shelf.position

    def list_items(self, topic: str) -> list[_item.Item]:
        """List the objects of a topic.

        :param topic: the topic.
        :returns: those that exist, by rising revision.
        """
        found = self._topics[topic].shelf.list_after(0)
        return [each for each in found if each.value is not None]

    def compute_age(self, now: float, topic: str) -> float:
        """Compute how old the view of a topic may be.

        :param now: the time.
        :param topic: the topic.
        :returns: seconds since the store confirmed it; infinite for
            never.
        """
        return now - self._topics[topic].confirmed_at

    def tick(self, now: float) -> list[object]:
        """Do what is due.

        :param now: the time.
        :returns: effects.
        """
        effects: list[object] = []
        for topic in self._topics.values():
            call = topic.feed.call(now, topic.shelf.position)
            if call is not None:
                effects.append(_effect.CallStore(call))
        return effects

    def take_answer(
        self, now: float, call: _call.Call, answer: _call.Answer
    ) -> list[object]:
        """Take the answer to a call.

        :param now: the time.
        :param call: the call.
        :param answer: its end.
        :returns: effects.
        """
        topic = self._topics[call.topic]
        news = topic.feed.take(now, call, answer)
        if news is None:
            return self.tick(now)
        effects = self._take_news(now, call.topic, news)
        return effects + self.tick(now)

    def _take_news(
        self, now: float, name: str, news: _feed.News
    ) -> list[object]:
        topic = self._topics[name]
        if news.revision < topic.shelf.position:
            return [_effect.Stale(name, news.revision)]
        is_changed = not topic.is_complete
        for item in news.items:
            is_changed |= topic.shelf.put(item, news.is_listing)
        if news.is_listing:
            is_changed |= self._drop_absent(topic.shelf, news)
        topic.shelf.advance(news.revision)
        topic.is_complete = True
        topic.confirmed_at = now
        effects: list[object] = [_effect.Confirmed(name)]
        if is_changed:
            effects.append(_effect.Changed(name, news.revision))
        return effects

    def _drop_absent(self, known: shelf.Shelf, news: _feed.News) -> bool:
        present = [each.path for each in news.items]
        absent = known.list_absent(news.revision, present)
        known.raise_floor(news.revision)
        for each in absent:
            known.put(_item.Item(each.path, news.revision, each.created, None))
        return bool(absent)
