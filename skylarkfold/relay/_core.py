"""The decisions of the relay."""

from __future__ import annotations

from skylarkfold import backoff
from skylarkfold.relay import _announcer
from skylarkfold.relay import _call
from skylarkfold.relay import _duty
from skylarkfold.relay import _effect
from skylarkfold.relay import _exchange
from skylarkfold.relay import _feed
from skylarkfold.relay import _item
from skylarkfold.relay import _messages
from skylarkfold.relay import _peer
from skylarkfold.relay import _peers
from skylarkfold.relay import _retained
from skylarkfold.relay import _settings
from skylarkfold.relay import _topic
from skylarkfold import revision as revisions
from skylarkfold import upstream_load

_NEVER = float('-inf')
# Pauses differ by these shares, so that some of a zone's instances soon try
# after a cut, however they were started.
_LEAST_SPREAD = 0.1
_MOST_SPREAD = 1.9
# A watch ends so long after the time at which its word settles something.
_SETTLING_SECONDS = 0.05


class RelayCore:
    """Keeps this instance's objects at the store's newest.

    Few instances of each zone watch the store; all tell their neighbours
    how far they are, and whoever is behind asks one that is ahead.

    :param name: this instance's name.
    :param zone: its availability zone.
    :param host: its address.
    :param settings: the relay's settings.
    :param capacity: what it has to spare; duties go to those first that
        have more of it.
    :param retention_policy: tells which of two versions of an object is
        later, where the store may have lost one.
    :ivar handle_fetch: answers a peer that is behind.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        host: str,
        settings: _settings.RelaySettings,
        capacity: int = 0,
        retention_policy: _retained.RetentionPolicy | None = None,
    ) -> None:
        self._settings = settings
        self._own = _peer.Peer(name, zone, host, capacity)
        self._peers = _peers.PeerTable(self._own, settings)
        jitter = self._jitter = backoff.HashJitter(self._own.digest)
        self._topics = [
            _topic.Topic(
                topic,
                number,
                _feed.Feed(topic, settings, jitter),
                settings,
                retention_policy or _retained.NoRetention(),
            )
            for number, topic in enumerate(settings.topics)
        ]
        self._by_name = {topic.name: topic for topic in self._topics}
        for topic in settings.shared_topics:
            self._by_name[topic].is_shared = True
        self._announcer = _announcer.Announcer(
            self._own, self._peers, self._topics, settings
        )
        self._exchange = _exchange.Exchange(
            self._peers, self._announcer, self._topics, settings, jitter
        )
        self.handle_fetch = self._exchange.handle_fetch
        self._duty = _duty.Duty(self._peers, self._topics, settings)
        self._ticked_at = _NEVER
        self._next_near = _NEVER
        self._next_far = _NEVER
        self._next_seeds = _NEVER
        self._next_lost = _NEVER

    @property
    def peers(self) -> _peers.PeerTable:
        """The other instances."""
        return self._peers

    @property
    def announcer(self) -> _announcer.Announcer:
        """What tells the peers of upstreams in doubt."""
        return self._announcer

    @property
    def is_ready(self) -> bool:
        """Whether all topics are known."""
        return all(topic.is_complete for topic in self._topics)

    @property
    def topics(self) -> tuple[str, ...]:
        """The topics that are kept."""
        return tuple(self._by_name)

    def set_seeds(self, hosts: tuple[str, ...]) -> None:
        """Take the hosts where instances may be found.

        :param hosts: some of them may be gone.
        """
        self._peers.set_seeds(hosts)

    def set_loads(self, loads: dict[int, upstream_load.UpstreamLoad]) -> None:
        """Take what peers are to be told of this instance's load.

        :param loads: by incarnation of the upstream.
        """
        self._own.loads = loads

    def list_items(self, topic: str) -> list[_item.Item]:
        """List the objects of a topic.

        :param topic: the topic.
        :returns: those that exist, by rising revision.
        """
        return self._by_name[topic].list_items()

    def is_settled(self, topic: str) -> bool:
        """Tell whether what is known of a topic is all that there is.

        :param topic: the topic.
        :returns: whether nothing that the store may have lost is awaited.
        """
        return self._by_name[topic].is_settled()

    def count_retained(self, topic: str) -> int:
        """Count the objects that count in the form of a former era.

        :param topic: the topic.
        :returns: how many there are.
        """
        return len(self._by_name[topic].retained)

    def get_position(self, topic: str) -> revisions.Revision:
        """Tell up to which revision of the store a topic is known.

        :param topic: the topic.
        :returns: the revision, ``NONE`` before the first listing.
        """
        return self._by_name[topic].position

    def compute_age(self, now: float, topic: str) -> float | None:
        """Compute how old the view of a topic may be.

        :param now: the time.
        :param topic: the topic.
        :returns: seconds since the store confirmed it, here or at a peer;
            None for never.
        """
        return self._by_name[topic].compute_age(now)

    def tick(self, now: float) -> list[object]:
        """Do what is due.

        :param now: the time; several times between two beacons.
        :returns: effects.
        """
        effects: list[object] = []
        if self._duty.started_at is None:
            self._duty.started_at = now
        elif now - self._ticked_at > self._settings.pause_seconds:
            effects += self._wake(now)
        self._ticked_at = now
        if self._announcer.callers.is_urgent:
            self._announcer.callers.is_urgent = False
            self._next_near = self._next_far = now
        if now >= self._next_near:
            self._next_near = now + self._settings.beacon_seconds
            self._peers.refresh(now)
            effects += self._announcer.send_near(now)
        if now >= self._next_far:
            self._next_far = now + self._settings.far_seconds
            effects += self._announcer.send_far(now)
        if now >= self._next_seeds:
            self._next_seeds = now + self._compute_seed_pause()
            lost = self._peers.list_lost_seeds()
            effects += self._announcer.contact(now, lost)
        if now >= self._next_lost:
            self._next_lost = now + self._settings.seed_seconds
            lost = self._peers.list_lost_zones()
            effects += self._announcer.contact(now, lost)
        for topic in self._topics:
            effects += self._exchange.give_up(now, topic)
        return effects + self._ask(now)

    def handle_answer(
        self, now: float, call: _call.Call, answer: _call.Answer
    ) -> list[object]:
        """Take the answer to a call.

        :param now: the time.
        :param call: the call.
        :param answer: its end.
        :returns: effects.
        """
        topic = self._by_name[call.topic]
        news = topic.feed.take(now, call, answer)
        if news is None:
            return self._ask(now)
        if news.revision < topic.position:
            # A peer was faster, or the store lags.
            return [*_note_behind(now, topic, news), *self._ask(now)]
        topic.feed.note_taken()
        base = topic.position
        if news.is_listing:
            changed = topic.take_listing(now, news.items, news.revision)
        else:
            changed = topic.take_changes(news.items, news.revision)
        topic.confirm(now)
        effects = self._exchange.tell(now, topic, base, changed, '')
        effects += self._end_old_watches(topic.position.era)
        return effects + self._ask(now)

    def handle_beacon(
        self, now: float, host: str, beacon: _messages.Beacon
    ) -> list[object]:
        """Take a peer's beacon.

        :param now: the time.
        :param host: where it came from.
        :param beacon: the beacon.
        :returns: effects.
        """
        if beacon.name == self._own.name:
            return [_effect.RecordEvent('own-name', host=host)]
        if len(beacon.positions) != len(self._topics):
            return [_effect.RecordEvent('other-topics', host=host)]
        is_new = beacon.name not in self._peers.members
        peer = self._peers.hear(now, host, beacon)
        effects: list[object] = []
        if beacon.delta is not None:
            effects += self._exchange.take_news(now, host, beacon)
        for topic, position in zip(
            self._topics, beacon.positions, strict=True
        ):
            effects += self._exchange.compare(now, topic, host, position)
        effects += self._announcer.handle_loads(now, beacon)
        effects += self._announcer.callers.take(now, beacon)
        if beacon.doubts:
            effects.append(_effect.LastSeenRequested(host, beacon.doubts))
        if beacon.last_seen:
            effects.append(_effect.LastSeenReported(beacon.last_seen))
        if beacon.lost and beacon.zone == self._own.zone:
            effects.append(_effect.UnreachableReported(beacon.lost))
        is_lost = is_new or self._peers.must_tell(now, peer)
        if beacon.wants_answer or is_lost:
            known = self._peers.gossip.answer_hearsay(now, peer)
            answer = self._announcer.build(now, known_instances=known)
            effects.append(_effect.SendBeacon([host], answer))
        return effects + self._ask(now)

    def handle_page(
        self,
        now: float,
        fetch: _effect.Fetch,
        page: _messages.Page | None,
    ) -> list[object]:
        """Take the end of a fetch.

        :param now: the time.
        :param fetch: what was asked.
        :param page: the answer; None for none.
        :returns: effects.
        """
        effects = self._exchange.handle_page(now, fetch, page)
        era = self._topics[fetch.topic].position.era
        effects += self._end_old_watches(era)
        return effects + self._ask(now)

    def may_leave(self, now: float) -> bool:
        """Tell whether this instance may leave rotation.

        :param now: the time.
        :returns: whether enough others of its zone are in rotation.
        """
        return self._peers.may_leave(now)

    def leave(self, now: float) -> list[object]:
        """Tell the others that this instance is about to end.

        :param now: the time.
        :returns: effects.
        """
        self._own.is_leaving = True
        self._peers.note_own_change()
        return [
            *self._announcer.send_near(now),
            *self._announcer.send_far(now),
        ]

    def _compute_seed_pause(self) -> float:
        """Compute the pause until lost seeds are tried again.

        A seed answers each that tries it, in a large fleet hundreds of them.
        """
        settings = self._settings
        if len(self._peers.members) > settings.seed_members:
            # All may have started at the same moment.
            spread = self._jitter.uniform(_LEAST_SPREAD, _MOST_SPREAD)
            return spread * settings.seed_pause_seconds
        return settings.seed_seconds

    def _ask(self, now: float) -> list[object]:
        """Call the store where that is this instance's duty."""
        effects: list[object] = []
        if self._own.is_leaving:
            return effects
        for topic in self._topics:
            if topic.feed.is_calling or not self._duty.must_call(now, topic):
                continue
            wait = self._compute_wait(now, topic)
            call = topic.feed.call(now, topic.position, wait)
            if call is not None:
                effects.append(_effect.CallStore(call))
        return effects

    def _end_old_watches(self, era: int) -> list[object]:
        """End watches that began before the store came back.

        One may hang until its time is over, and tells nothing of what the
        store has from where its copy ends.

        :param era: of the store, as it is known for one topic.
        """
        effects: list[object] = []
        for topic in self._topics:
            if topic.position.era < era and topic.feed.is_watching:
                topic.feed.cancel()
                effects.append(_effect.CancelCall(topic.name))
        return effects

    def _compute_wait(self, now: float, topic: _topic.Topic) -> float:
        """Compute how long the store may hold a watch.

        Until its word settles something, but not much longer.
        """
        wait = self._settings.wait_seconds
        settling = topic.find_settling()
        if settling is None or settling <= now:
            return wait
        return min(wait, settling - now + _SETTLING_SECONDS)

    def _wake(self, now: float) -> list[object]:
        """Find out what was missed while the process stood still."""
        for topic in self._topics:
            topic.confirmed_at = _NEVER
        self._peers.restart(now)
        paused = int((now - self._ticked_at) * 1000)
        hosts = [
            *self._peers.list_hosts(is_near=True),
            *self._peers.list_hosts(is_near=False),
        ]
        note = _effect.RecordEvent('paused', paused_ms=paused)
        return [note, *self._announcer.contact(now, hosts)]


def _note_behind(
    now: float, topic: _topic.Topic, news: _feed.News
) -> list[object]:
    """Tell that the store is older than what is known, once in a row."""
    if not topic.feed.note_behind(now):
        return []
    return [
        _effect.RecordEvent(
            'store-behind',
            topic=topic.name,
            position=str(topic.position),
            revision=str(news.revision),
        )
    ]
