"""Whose duty it is to call the platform's store."""

from __future__ import annotations

from skylarkfold.relay import _peers
from skylarkfold.relay import _settings
from skylarkfold.relay import _topic


class Duty:
    """Tells whether this instance calls the store for a topic.

    Few instances watch a topic: the first of each zone, or of all zones
    where it is shared. The others do when they have had no word of the store
    for too long, one after the other.

    :param peers: the other instances.
    :param topics: all topics.
    :param settings: the relay's settings.
    :ivar started_at: when this instance began; None before.
    """

    __slots__ = ('_peers', '_settings', '_topics', 'started_at')

    def __init__(
        self,
        peers: _peers.PeerTable,
        topics: list[_topic.Topic],
        settings: _settings.RelaySettings,
    ) -> None:
        self._peers = peers
        self._topics = topics
        self._settings = settings
        self.started_at: float | None = None

    def must_call(self, now: float, topic: _topic.Topic) -> bool:
        """Tell whether the store is to be called.

        :param now: the time.
        :param topic: the topic.
        :returns: whether it is.
        """
        if self.started_at is None:
            return False
        running = now - self.started_at
        if not topic.is_complete:
            is_asked = bool(topic.fetching)
            is_due = now >= topic.call_after
            is_late = running >= self._settings.first_seconds
            return is_due and is_late and not is_asked
        if running < self._settings.duty_seconds:
            return False
        if not all(each.is_complete for each in self._topics):
            return False
        return self._has_turn(now, topic)

    def _has_turn(self, now: float, topic: _topic.Topic) -> bool:
        settings = self._settings
        turn = self._peers.compute_rank()
        if topic.is_shared:
            turn = self._peers.compute_turn()
        if turn < settings.watchers:
            return True
        age = topic.compute_age(now)
        patience = settings.wait_seconds + settings.substitute_seconds
        # One after the other, so that not all of them ask at once.
        patience += settings.beacon_seconds * (turn - settings.watchers)
        return age is None or age > patience
