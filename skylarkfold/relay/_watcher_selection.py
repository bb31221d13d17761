"""Selection of the instances that call the platform's store."""

from __future__ import annotations

import math

from skylarkfold.relay import _effect
from skylarkfold.relay import _peers
from skylarkfold.relay import _schedule
from skylarkfold.relay import _settings
from skylarkfold.relay import _store_call
from skylarkfold.relay import _store_reader
from skylarkfold.relay import _topic

# After so many failed calls in a row a substitute waits as long as after an
# answer, which bounds the calls of a large fleet to a store that is down.
_QUICK_FAILURES = 2
# The first watcher is answered this long before an instance substitutes for
# it: enough for the way from the store and to other instances.
_ANSWER_SECONDS = 0.1


class Duty:
    """Why an instance calls the store for a topic."""

    # It doesn't: others tell it what changes.
    NONE = 'none'
    # Its rank makes it one of the topic's watchers.
    WATCHER = 'watcher'
    # The last answer of the store that it knows of was too old.
    SUBSTITUTE = 'substitute'


class WatcherSelection:
    """Decision whether this instance calls the store for a topic.

    The instances of the lowest ranks watch a topic: ranks within each zone,
    or within the fleet where the topic is shared. Only an answer of the store
    confirms that nothing has changed. So any instance, watcher or not,
    substitutes for the watchers when the last answer that it knows of is too
    old, and watches until one of a lower rank is answered.

    :param peers: the known instances.
    :param topics: all topics.
    :param settings: the relay's settings.
    :ivar schedule: the ages at which instances call the store.
    :ivar started_at: when this instance started; None before the first tick.
    """

    __slots__ = (
        '_duties',
        '_peers',
        '_planned_seconds',
        '_settings',
        '_spread',
        '_substitute_since',
        '_topics',
        'schedule',
        'started_at',
    )

    def __init__(
        self,
        peers: _peers.PeerTable,
        topics: list[_topic.Topic],
        settings: _settings.RelaySettings,
    ) -> None:
        self._peers = peers
        self._topics = topics
        self._settings = settings
        self._duties = {topic.name: Duty.NONE for topic in topics}
        # Since when this instance is a substitute, by topic.
        self._substitute_since: dict[str, float] = {}
        # The names of topics for which this instance's watches have their
        # place between those of other watchers.
        self._spread: set[str] = set()
        # How long the store has to hold the last watch of each topic for it to
        # have its place between those of other watchers.
        self._planned_seconds = {topic.name: math.inf for topic in topics}
        self.schedule = _schedule.ConfirmationSchedule(settings)
        self.started_at: float | None = None

    def must_call(self, now: float, topic: _topic.Topic) -> bool:
        """Return whether this instance calls the store for a topic now.

        :param now: the current time.
        :param topic: the topic.
        :returns: whether the store is to be called.
        """
        if self.started_at is None:
            return False
        if not topic.is_complete:
            is_fetching = bool(topic.fetch_host)
            is_due = now >= topic.call_store_after
            uptime = now - self.started_at
            has_waited = uptime >= self._settings.first_seconds
            return is_due and has_waited and not is_fetching
        if not self._may_have_duty(now):
            return False
        if self._is_watcher(topic):
            return True
        if topic.name not in self._substitute_since:
            return False
        reader = topic.reader
        if not reader.was_held:
            # Several substitutes may have been answered at once: the one of
            # the lowest rank goes on.
            told_at = reader.answered_at + self._settings.far_seconds
            if now < told_at:
                return False
        if reader.failures < _QUICK_FAILURES:
            return True
        # The last call counts as an answer, so that calls to a store that is
        # down are as rare as those to one that isn't.
        return self._is_overdue(now, max(topic.confirmed_at, reader.called_at))

    def must_replace_watch(self, now: float, topic: _topic.Topic) -> bool:
        """Return whether the watch under way is too long for the duty.

        Its answer would come too late, or the connection may be dead.

        :param now: the current time.
        :param topic: the topic.
        :returns: whether to cancel the watch and to call the store again.
        """
        has_duty = self._duties[topic.name] != Duty.NONE
        is_held = topic.reader.is_held(now)
        is_overdue = self._is_overdue(now, topic.confirmed_at)
        return has_duty and is_held and is_overdue

    def update_duty(
        self, now: float, topic: _topic.Topic
    ) -> list[_effect.RecordEvent]:
        """Update for which reason this instance calls the store.

        :param now: the current time.
        :param topic: the topic.
        :returns: an event if the reason has changed.
        """
        duty = self._choose_duty(now, topic)
        if duty == self._duties[topic.name]:
            return []
        self._duties[topic.name] = duty
        age = topic.compute_age(now)
        return [
            _effect.RecordEvent(
                'duty',
                topic=topic.name,
                duty=duty,
                rank=self._peers.compute_fleet_rank(),
                age_ms=-1 if age is None else int(age * 1000),
            )
        ]

    def compute_watch_seconds(self, now: float, topic: _topic.Topic) -> float:
        """Return how long the store may hold a watch that starts now.

        A substitute has the topic confirmed when the last answer reaches a
        certain age: at once if it has passed it.

        :param now: the current time.
        :param topic: the topic.
        :returns: the time in seconds.
        """
        if self._duties[topic.name] == Duty.SUBSTITUTE:
            self._planned_seconds[topic.name] = math.inf
            return self._compute_substitute_seconds(now, topic)
        wait = self._compute_watcher_seconds(now, topic)
        self._planned_seconds[topic.name] = wait
        return wait

    def _compute_substitute_seconds(
        self, now: float, topic: _topic.Topic
    ) -> float:
        age = topic.compute_age(now)
        if age is None:
            return 0.0
        return max(0.0, self.schedule.interval_seconds - age)

    def _compute_watcher_seconds(
        self, now: float, topic: _topic.Topic
    ) -> float:
        schedule = self.schedule
        watchers = self._count_watchers(topic)
        if topic.name in self._spread:
            return schedule.compute_watch_seconds(watchers)
        rank = self._peers.compute_fleet_rank()
        wait = schedule.compute_first_watch_seconds(rank, watchers)
        age = topic.compute_age(now)
        if rank == 0 and age is not None:
            # After a start, the last answer may already be old.
            left = schedule.first_seconds - _ANSWER_SECONDS - age
            wait = min(wait, max(0.0, left))
        return wait

    def handle_answer(
        self,
        topic: _topic.Topic,
        call: _store_call.Call,
        update: _store_reader.StoreUpdate | None,
    ) -> None:
        """Note whether the store held a watch to its end.

        Its next answer then comes between those of other watchers.

        :param topic: the topic.
        :param call: the call.
        :param update: what the store answered; None if the call failed.
        """
        is_quiet = update is not None and not update.items
        planned = self._planned_seconds[topic.name]
        if is_quiet and 0.0 < planned <= call.wait_seconds:
            self._spread.add(topic.name)
        else:
            self._spread.discard(topic.name)

    def _choose_duty(self, now: float, topic: _topic.Topic) -> str:
        if not topic.is_complete or not self._may_have_duty(now):
            return Duty.NONE
        self._update_substitution(now, topic)
        if topic.name in self._substitute_since:
            return Duty.SUBSTITUTE
        return Duty.WATCHER if self._is_watcher(topic) else Duty.NONE

    def _update_substitution(self, now: float, topic: _topic.Topic) -> None:
        if self._is_overdue(now, topic.confirmed_at):
            self._substitute_since.setdefault(topic.name, now)
            return
        since = self._substitute_since.get(topic.name)
        if since is None:
            return
        is_later = topic.confirmed_at > max(since, topic.reader.answered_at)
        if is_later and self._is_relieved_by(topic, topic.confirmed_by):
            del self._substitute_since[topic.name]
            self._spread.discard(topic.name)

    def _is_relieved_by(self, topic: _topic.Topic, rank: int) -> bool:
        """Return whether an instance that was answered ends the substitution.

        A watcher goes back to its own watches if another one is answered;
        other instances give way to those of lower ranks.
        """
        own_rank = self._peers.compute_fleet_rank()
        if not self._is_watcher(topic):
            return rank < own_rank
        return rank != own_rank and rank < self._count_watchers(topic)

    def _may_have_duty(self, now: float) -> bool:
        if self.started_at is None:
            return False
        if now - self.started_at < self._settings.duty_seconds:
            return False
        return all(each.is_complete for each in self._topics)

    def _count_watchers(self, topic: _topic.Topic) -> int:
        zones = 1 if topic.is_shared else self._peers.count_zones()
        return zones * self._settings.watchers

    def _is_watcher(self, topic: _topic.Topic) -> bool:
        rank = self._peers.compute_rank()
        if topic.is_shared:
            rank = self._peers.compute_fleet_rank()
        return rank < self._settings.watchers

    def _is_overdue(self, now: float, since: float) -> bool:
        """Return whether the store's last answer is too old for this rank."""
        allowed_age = self.schedule.compute_allowed_age(
            self._peers.compute_fleet_rank(), len(self._peers.members)
        )
        return now - since > allowed_age
