"""The state machine that replicates the store to this instance."""

from __future__ import annotations

import math

from skylarkfold import backoff
from skylarkfold.relay import _announcer
from skylarkfold.relay import _effect
from skylarkfold.relay import _item
from skylarkfold.relay import _messages
from skylarkfold.relay import _peer
from skylarkfold.relay import _peers
from skylarkfold.relay import _retained
from skylarkfold.relay import _settings
from skylarkfold.relay import _store_call
from skylarkfold.relay import _store_reader
from skylarkfold.relay import _synchronizer
from skylarkfold.relay import _topic
from skylarkfold.relay import _watcher_selection
from skylarkfold import revision as revisions
from skylarkfold import upstream_load

_NEVER = float('-inf')
# Jitter factors for the pause between contacts to seeds. The range is wide, so
# that some instances of a zone retry soon after a partition has healed.
_MINIMUM_JITTER = 0.1
_MAXIMUM_JITTER = 1.9
# An answer of the store that is newer than the last announced one by more than
# this share of the interval between answers is announced at once.
_ANNOUNCED_GAIN = 0.5
# How long a watch outlasts the time at which its answer settles a topic.
_SETTLE_MARGIN_SECONDS = 0.05


class RelayCore:
    """Replica of the store's objects on this instance.

    A few instances of each zone watch the store. All instances send their
    positions to their neighbours in beacons, and an instance that is behind
    fetches the missing changes from a peer that is ahead.

    :param name: this instance's name.
    :param zone: its availability zone.
    :param host: its address.
    :param settings: the relay's settings.
    :param capacity: its spare capacity; the instances of a zone with the most
        of it become watchers and delegates.
    :param retention_policy: decides which of two versions of an object is
        later, where the store may have lost one.
    :ivar handle_fetch: answers a fetch of a peer that is behind.
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
                _store_reader.StoreReader(topic, settings, jitter),
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
        self._synchronizer = _synchronizer.Synchronizer(
            self._peers, self._announcer, self._topics, settings, jitter
        )
        self.handle_fetch = self._synchronizer.handle_fetch
        self._watcher_selection = _watcher_selection.WatcherSelection(
            self._peers, self._topics, settings
        )
        # The store's last answer about each topic that beacons have told of.
        self._announced_answers = [_NEVER] * len(self._topics)
        # When this instance last did anything, and when it last woke from a
        # pause of its process.
        self._active_at = _NEVER
        self._resumed_at = _NEVER
        self._next_near_beacon = _NEVER
        self._next_far_beacon = _NEVER
        self._next_seed_contact = _NEVER
        self._next_zone_contact = _NEVER

    @property
    def peers(self) -> _peers.PeerTable:
        """The known instances."""
        return self._peers

    @property
    def announcer(self) -> _announcer.Announcer:
        """The sender of this instance's beacons."""
        return self._announcer

    @property
    def is_ready(self) -> bool:
        """Whether every topic has been read once."""
        return all(topic.is_complete for topic in self._topics)

    @property
    def topics(self) -> tuple[str, ...]:
        """The names of the replicated topics."""
        return tuple(self._by_name)

    def set_seeds(self, hosts: tuple[str, ...]) -> None:
        """Set the hosts that are contacted to find other instances.

        :param hosts: the hosts; some of them may no longer exist.
        """
        self._peers.set_seeds(hosts)

    def set_loads(self, loads: dict[int, upstream_load.UpstreamLoad]) -> None:
        """Set the loads of upstreams that this instance reports to peers.

        :param loads: the loads, by incarnation of the upstream.
        """
        self._own.loads = loads

    def list_items(self, topic: str) -> list[_item.Item]:
        """Return the objects of a topic.

        :param topic: the topic.
        :returns: the existing objects, in order of revision.
        """
        return self._by_name[topic].list_items()

    def is_settled(self, topic: str) -> bool:
        """Return whether the known objects of a topic are complete.

        :param topic: the topic.
        :returns: False while objects that the store lost when it was restored
            may still be written again.
        """
        return self._by_name[topic].is_settled()

    def count_retained(self, topic: str) -> int:
        """Return how many objects of a topic are retained from former eras.

        :param topic: the topic.
        :returns: the number of objects.
        """
        return len(self._by_name[topic].retained)

    def get_position(self, topic: str) -> revisions.Revision:
        """Return the store revision up to which a topic is known.

        :param topic: the topic.
        :returns: the revision; ``revision.ZERO`` before the first listing.
        """
        return self._by_name[topic].position

    def compute_age(self, now: float, topic: str) -> float | None:
        """Return how long ago the store confirmed the state of a topic.

        :param now: the current time.
        :param topic: the topic.
        :returns: the age in seconds, whether this instance or a peer was
            answered; None if the store has never confirmed it.
        """
        return self._by_name[topic].compute_age(now)

    def get_proved_at(self, topic: str) -> float:
        """Return up to when an own call to the store has shown all changes.

        :param topic: the topic.
        :returns: the time; negative infinity before the first answer.
        """
        return self._by_name[topic].proof.proved_at

    def request_proof(self, now: float, topic: str) -> list[object]:
        """Call the store at once, to know all changes up to now.

        :param now: the current time.
        :param topic: the topic.
        :returns: the effects to perform.
        """
        wanted = self._by_name[topic]
        if not wanted.proof.request(now):
            return []
        age = wanted.compute_age(now)
        event = _effect.RecordEvent(
            'proof',
            topic=topic,
            position=str(wanted.position),
            age_ms=-1 if age is None else int(age * 1000),
        )
        return [event, *self._call_store(now)]

    def tick(self, now: float) -> list[object]:
        """Send the beacons and start the calls that are due.

        :param now: the current time; this is called several times between two
            beacons.
        :returns: the effects to perform.
        """
        if self._watcher_selection.started_at is None:
            self._watcher_selection.started_at = now
        effects = self._record_activity(now)
        if self._announcer.callers.is_urgent or self._has_newer_answer():
            self._announcer.callers.is_urgent = False
            self._next_near_beacon = self._next_far_beacon = now
        if now >= self._next_near_beacon:
            self._next_near_beacon = now + self._settings.beacon_seconds
            self._peers.refresh(now)
            self._announced_answers = [
                topic.confirmed_at for topic in self._topics
            ]
            effects += self._announcer.send_near(now)
        if now >= self._next_far_beacon:
            self._next_far_beacon = now + self._settings.far_seconds
            effects += self._announcer.send_far(now)
        if now >= self._next_seed_contact:
            self._next_seed_contact = now + self._compute_seed_pause()
            hosts = self._peers.list_unreachable_seeds()
            effects += self._announcer.contact(now, hosts)
        if now >= self._next_zone_contact:
            self._next_zone_contact = now + self._settings.seed_seconds
            hosts = self._peers.list_unreachable_zone_hosts()
            effects += self._announcer.contact(now, hosts)
        for topic in self._topics:
            effects += self._synchronizer.expire_retained(now, topic)
        return effects + self._call_store(now)

    def handle_answer(
        self, now: float, call: _store_call.Call, answer: _store_call.Answer
    ) -> list[object]:
        """Process the store's answer to a call.

        :param now: the current time.
        :param call: the call.
        :param answer: the answer, or how the call failed.
        :returns: the effects to perform.
        """
        effects = self._record_activity(now)
        topic = self._by_name[call.topic]
        update = topic.reader.handle_answer(now, call, answer)
        self._watcher_selection.handle_answer(topic, call, update)
        if update is None:
            return effects + self._call_store(now)
        if update.revision < topic.position:
            # A peer has already sent later changes, or the store is stale.
            effects += _record_stale_store(now, topic, update)
            return effects + self._call_store(now)
        topic.reader.record_applied(now)
        topic.proof.record(update.proved_at)
        base = topic.position
        if update.is_listing:
            changed = topic.apply_listing(now, update.items, update.revision)
        else:
            changed = topic.apply_changes(update.items, update.revision)
        confirmed_at = update.confirmed_at
        if topic.reader.called_at < self._resumed_at:
            # The answer may have waited for this process.
            confirmed_at = update.proved_at
        topic.confirm(confirmed_at, self._peers.compute_fleet_rank())
        effects += self._synchronizer.announce_changes(
            now, topic, base, changed, ''
        )
        effects += self._cancel_old_watches(topic.position.era)
        return effects + self._call_store(now)

    def handle_beacon(
        self, now: float, host: str, beacon: _messages.Beacon
    ) -> list[object]:
        """Process a beacon from a peer.

        :param now: the current time.
        :param host: the sender's host.
        :param beacon: the beacon.
        :returns: the effects to perform.
        """
        if beacon.name == self._own.name:
            return [_effect.RecordEvent('own-name', host=host)]
        if len(beacon.positions) != len(self._topics):
            return [_effect.RecordEvent('other-topics', host=host)]
        effects = self._record_activity(now)
        is_new = beacon.name not in self._peers.members
        peer = self._peers.record_beacon(now, host, beacon)
        if beacon.delta is not None:
            effects += self._synchronizer.handle_delta(now, host, beacon)
        for topic, position in zip(
            self._topics, beacon.positions, strict=True
        ):
            effects += self._synchronizer.handle_position(
                now, topic, host, position
            )
        effects += self._announcer.handle_loads(now, beacon)
        effects += self._announcer.callers.handle_beacon(now, beacon)
        if beacon.doubts:
            effects.append(_effect.LastSeenRequested(host, beacon.doubts))
        if beacon.last_seen:
            effects.append(_effect.LastSeenReported(beacon.last_seen))
        if beacon.lost and beacon.zone == self._own.zone:
            effects.append(_effect.UnreachableReported(beacon.lost))
        is_uninformed = is_new or self._peers.needs_introduction(now, peer)
        if beacon.wants_answer or is_uninformed:
            known = self._peers.gossip.choose_for_peer(now, peer)
            answer = self._announcer.build(now, known_instances=known)
            effects.append(_effect.SendBeacon([host], answer))
        return effects + self._call_store(now)

    def handle_page(
        self,
        now: float,
        fetch: _effect.Fetch,
        page: _messages.Page | None,
    ) -> list[object]:
        """Process the result of a fetch.

        :param now: the current time.
        :param fetch: the fetch.
        :param page: the peer's answer; None if it failed.
        :returns: the effects to perform.
        """
        effects = self._record_activity(now)
        effects += self._synchronizer.handle_page(now, fetch, page)
        era = self._topics[fetch.topic].position.era
        effects += self._cancel_old_watches(era)
        return effects + self._call_store(now)

    def may_leave(self, now: float) -> bool:
        """Return whether this instance may leave rotation.

        :param now: the current time.
        :returns: whether enough other instances of its zone are in rotation.
        """
        return self._peers.may_leave(now)

    def leave(self, now: float) -> list[object]:
        """Announce to the neighbours that this instance is shutting down.

        :param now: the current time.
        :returns: the effects to perform.
        """
        self._own.is_leaving = True
        self._peers.handle_own_change()
        return [
            *self._announcer.send_near(now),
            *self._announcer.send_far(now),
        ]

    def _has_newer_answer(self) -> bool:
        """Return whether to tell peers at once of an answer of the store.

        If it waited for a regular beacon at every hop, instances far from the
        watcher would call the store for themselves.
        """
        schedule = self._watcher_selection.schedule
        least_gain = _ANNOUNCED_GAIN * schedule.interval_seconds
        return any(
            topic.confirmed_at - announced > least_gain
            for topic, announced in zip(
                self._topics, self._announced_answers, strict=True
            )
        )

    def _compute_seed_pause(self) -> float:
        """Return the pause before unreachable seeds are contacted again.

        A seed answers every instance that contacts it, hundreds in a large
        fleet.
        """
        settings = self._settings
        if len(self._peers.members) > settings.seed_members:
            # All instances may have started at the same moment.
            factor = self._jitter.uniform(_MINIMUM_JITTER, _MAXIMUM_JITTER)
            return factor * settings.seed_pause_seconds
        return settings.seed_seconds

    def _call_store(self, now: float) -> list[object]:
        """Start the calls to the store that this instance has to make."""
        effects: list[object] = []
        if self._own.is_leaving:
            return effects
        selection = self._watcher_selection
        for topic in self._topics:
            effects += selection.update_duty(now, topic)
            needs_proof = topic.must_prove(now)
            if topic.reader.is_calling:
                is_held = topic.reader.is_held(now)
                if (needs_proof and is_held) or selection.must_replace_watch(
                    now, topic
                ):
                    topic.reader.cancel_watch(must_list=False)
                    effects.append(_effect.CancelCall(topic.name))
                continue
            if not needs_proof and not selection.must_call(now, topic):
                continue
            wait = 0.0
            if not needs_proof:
                wait = self._compute_watch_seconds(now, topic)
            call = topic.reader.start_call(now, topic.position, wait)
            if call is not None:
                effects.append(_effect.CallStore(call))
        return effects

    def _cancel_old_watches(self, era: int) -> list[object]:
        """Cancel watches that were started in a former era of the store.

        Such a watch may hang until its timeout, and its answer lacks what was
        written between the end of the restored copy and its own revision.

        :param era: the store's era, learnt with one of the topics.
        """
        effects: list[object] = []
        for topic in self._topics:
            if topic.position.era < era and topic.reader.is_watching:
                topic.reader.cancel_watch(must_list=True)
                effects.append(_effect.CancelCall(topic.name))
        return effects

    def _compute_watch_seconds(self, now: float, topic: _topic.Topic) -> float:
        """Return how long the store may hold a watch.

        A topic that is about to be settled shortens the watch, since the
        answer to it settles the topic.
        """
        wait = self._watcher_selection.compute_watch_seconds(now, topic)
        settle_at = topic.compute_settle_time()
        if settle_at is None or settle_at <= now:
            return wait
        return min(wait, settle_at - now + _SETTLE_MARGIN_SECONDS)

    def _record_activity(self, now: float) -> list[object]:
        """Record that the process runs; recover if it was paused before."""
        paused_seconds = now - self._active_at
        self._active_at = now
        is_first = paused_seconds == math.inf
        if is_first or paused_seconds <= self._settings.pause_seconds:
            return []
        return self._resume(now, paused_seconds)

    def _resume(self, now: float, paused_seconds: float) -> list[object]:
        """Recover from a pause of the process: ask neighbours for updates."""
        self._resumed_at = now
        for topic in self._topics:
            topic.resume(now)
        self._peers.resume(now)
        hosts = [
            *self._peers.list_hosts(is_near=True),
            *self._peers.list_hosts(is_near=False),
        ]
        event = _effect.RecordEvent(
            'paused', paused_ms=int(paused_seconds * 1000)
        )
        return [event, *self._announcer.contact(now, hosts)]


def _record_stale_store(
    now: float, topic: _topic.Topic, update: _store_reader.StoreUpdate
) -> list[object]:
    """Record that the store's answer is older than the known position.

    Only the first of several stale answers in a row is logged.
    """
    if not topic.reader.record_stale(now):
        return []
    return [
        _effect.RecordEvent(
            'store-behind',
            topic=topic.name,
            position=str(topic.position),
            revision=str(update.revision),
        )
    ]
