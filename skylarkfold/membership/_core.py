"""Core of the membership subsystem."""

from __future__ import annotations

import functools
import random

from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold import event
from skylarkfold import instance as instance_module
from skylarkfold import member
from skylarkfold.membership import _connector
from skylarkfold.membership import _contacts
from skylarkfold.membership import _effects
from skylarkfold.membership import _failure_detector
from skylarkfold.membership import _gossip
from skylarkfold.membership import _heartbeat
from skylarkfold.membership import _membership_builder
from skylarkfold.membership import _messages
from skylarkfold.membership import _neighbour_monitor
from skylarkfold.membership import _own_member
from skylarkfold.membership import _platform_list
from skylarkfold.membership import _probes
from skylarkfold.membership import _publication
from skylarkfold.membership import _readiness
from skylarkfold.membership import _roster
from skylarkfold.membership import _roster_updater
from skylarkfold.membership import _settings
from skylarkfold.membership import _zone_revisions
from skylarkfold.membership import _zones
from skylarkfold import metric
from skylarkfold import overlay

# Minimum time between gossip messages outside of ticks: a burst of changes,
# as when a whole fleet starts, is sent in few messages.
_GOSSIP_INTERVAL_SECONDS = 0.25
# Minimum time between two publications; changes in between are batched.
_PUBLICATION_INTERVAL_SECONDS = 1.0
_State = member.MemberState


class MembershipCore:
    """Tracks the other instances by heartbeats and gossip.

    Members of a zone monitor each other, and only they declare one of
    them dead. Zones exchange heartbeats through a few delegates each; if
    nothing is heard from a zone, all of its members become suspect, then
    dead.

    :param instance: this instance's settings.
    :param settings: the membership's settings.
    :param incarnation: higher than that of any earlier process under the
        same name.
    :param seed: seed of the random jitter of this instance's timers.
    """

    def __init__(
        self,
        instance: instance_module.InstanceSettings,
        settings: _settings.MembershipSettings,
        incarnation: int,
        seed: int,
    ) -> None:
        self._settings = settings
        self._random = random.Random(seed)
        self._roster = _roster.Roster()
        self._gossip = _gossip.GossipQueue(self._roster, instance.zone)
        self._own_member = _own_member.OwnMember(
            instance, incarnation, self._roster, self._gossip
        )
        self._zone_revisions = _zone_revisions.ZoneRevisions(
            self._roster, instance.zone
        )
        self._zones = _zones.Zones()
        self._detector = _failure_detector.FailureDetector(settings)
        self._contacts = _contacts.Contacts(settings, seed)
        self._heartbeats = _heartbeat.Heartbeats(
            settings, self._roster, self._zone_revisions, self._zones
        )
        self._list_reader = _platform_list.InstanceListReader(
            settings, self._random
        )
        builder = _membership_builder.MembershipBuilder(
            instance.zone,
            settings,
            self._roster,
            self._zone_revisions,
            self._zones,
        )
        self._probes = _probes.IndirectProbes(
            settings, self._own_member, self._roster, self._detector
        )
        self._updater = _roster_updater.RosterUpdater(
            self._own_member, self._roster, self._gossip, self._detector
        )
        self._connector = _connector.Connector(
            settings, self._own_member, self._roster, self._contacts
        )
        self._readiness = _readiness.Readiness(settings)
        self._publication = _publication.Publication(
            self._own_member, builder, self._readiness
        )
        self._monitor = _neighbour_monitor.NeighbourMonitor(
            self._own_member,
            self._roster,
            self._detector,
            self._probes,
            self._updater,
            self._publication,
        )
        self._is_started = False
        self._next_round = 0.0
        self._next_reconnect = 0.0
        self._is_round_urgent = False
        self._last_round = 0.0
        self._next_gossip = 0.0
        self._next_publication = 0.0

    @property
    def membership(self) -> member.Membership:
        """All members as last published."""
        return self._publication.membership

    @property
    def state(self) -> member.MemberState:
        """This instance's state as sent to the other instances."""
        return self._own_member.state

    @property
    def is_ready(self) -> bool:
        """Whether the published membership is complete enough to use.

        False while joining, and after a pause of the process until this
        instance has synced with a peer again. Other cores act on the
        published membership, which may lag behind: it must already show
        this instance as alive.
        """
        published = self.membership.members.get(self._own_member.name)
        if published is None or published.state is not _State.ALIVE:
            return False
        return (
            self._own_member.state is _State.ALIVE
            and not self._readiness.is_syncing
        )

    def resolve(self, peer: str) -> endpoint.Endpoint | None:
        """Return the address at which a peer accepts streams.

        :param peer: a member's name, or a seed's ``host:port``.
        :returns: its address, or None if it is unknown.
        """
        known = self._roster.get(peer)
        try:
            return endpoint.parse_endpoint(
                peer if known is None else known.address
            )
        except ValueError:
            return None

    def report_revision(self, now: float, revision: int) -> list[object]:
        """Record the configuration revision in force on this instance.

        :param now: the time in seconds.
        :param revision: the revision; ignored if lower than before.
        :returns: effects.
        """
        if self._zone_revisions.note(self._own_member.name, revision):
            self._updater.change_own(now, revision=revision)
            self._is_round_urgent = True
        return []

    def leave(self, now: float) -> list[object]:
        """Announce to the neighbours that this instance has left.

        To be called last, just before the process ends.

        :param now: the time in seconds.
        :returns: the final messages.
        """
        self._updater.change_own(now, state=_State.LEFT)
        return self._flush_gossip(now)

    def handle(self, now: float, event_: object) -> list[object]:
        """Handle one event.

        :param now: the time in seconds of a monotonic clock.
        :param event_: one of :mod:`skylarkfold.event`.
        :returns: effects in order.
        """
        effects = self._handle_event(event_, now)
        if now >= self._next_gossip or isinstance(event_, event.Tick):
            effects += self._flush_gossip(now)
        return effects

    @functools.singledispatchmethod
    def _handle_event(self, event_: object, now: float) -> list[object]:
        return []

    @_handle_event.register
    def _(self, event_: event.Tick, now: float) -> list[object]:
        was_paused = self._readiness.record_tick(now)
        effects = self._resume(now) if was_paused else []
        if not self._is_started:
            self._start_timers(now)
        if now >= self._next_round or self._is_urgent_round_due(now):
            self._next_round = now + self._settings.heartbeat_seconds
            effects += self._run_round(now)
        if now >= self._next_reconnect:
            self._next_reconnect = now + self._settings.reconnect_seconds
            effects += self._reconnect(now)
        effects += self._list_reader.call_if_due(
            now, self._reads_platform_list(now)
        )
        if self._updater.is_changed and now >= self._next_publication:
            self._next_publication = now + _PUBLICATION_INTERVAL_SECONDS
            self._updater.is_changed = False
            effects += self._publication.publish(now)
        return effects

    @_handle_event.register
    def _(self, event_: event.PeerMessageReceived, now: float) -> list[object]:
        if event_.sender == self._own_member.name:
            return [effect.CountMetric(metric.MEMBERSHIP_OWN_NAME)]
        return self._handle_message(event_.message, event_.sender, now)

    @_handle_event.register
    def _(self, event_: event.PeerConnected, now: float) -> list[object]:
        return [self._own_member.send_hello(event_.peer, True)]

    @_handle_event.register
    def _(self, event_: event.PeerLost, now: float) -> list[object]:
        self._detector.record_disconnect(event_.peer, now)
        return []

    @_handle_event.register
    def _(self, event_: event.PlatformAnswered, now: float) -> list[object]:
        listed = self._list_reader.take_answer(event_)
        if listed is not None:
            self._contacts.set_listed(listed)
            self._next_reconnect = now
        return []

    @_handle_event.register
    def _(self, event_: event.RevisionReached, now: float) -> list[object]:
        return self.report_revision(now, event_.revision)

    @_handle_event.register
    def _(self, event_: event.StopRequested, now: float) -> list[object]:
        if self._own_member.state is _State.LEFT:
            return []
        self._updater.change_own(now, state=_State.LEAVING)
        return []

    @functools.singledispatchmethod
    def _handle_message(
        self, message: object, sender: str, now: float
    ) -> list[object]:
        return []

    @_handle_message.register
    def _(
        self, message: _messages.Hello, sender: str, now: float
    ) -> list[object]:
        if message.fact.name != sender:
            return [effect.CountMetric(metric.MEMBERSHIP_MALFORMED)]
        effects = self._updater.merge([message.fact], sender, now)
        if message.wants_answer:
            effects.append(self._own_member.send_hello(sender, False))
        known = self._roster.get(sender)
        if known is None:
            return effects
        if known.incarnation > message.fact.incarnation:
            return [*effects, _effects.send_updates(sender, [known])]
        effects += self._record_heard(known, now)
        if self._readiness.record_hello(message.fact):
            effects.append(self._request_roster(sender))
        return effects

    @_handle_message.register
    def _(
        self, message: _messages.Heartbeat, sender: str, now: float
    ) -> list[object]:
        known = self._roster.get(sender)
        if known is None or known.incarnation < message.incarnation:
            return [self._own_member.send_hello(sender, True)]
        if known.incarnation > message.incarnation:
            return [_effects.send_updates(sender, [known])]
        if self._heartbeats.handle(
            message, known, self._own_member.current_update, now
        ):
            self._is_round_urgent = True
        effects = self._record_heard(known, now)
        if self._heartbeats.must_sync_roster(sender, message.digest):
            effects.append(self._request_roster(sender))
        return effects

    @_handle_message.register
    def _(
        self, message: _messages.Gossip, sender: str, now: float
    ) -> list[object]:
        return self._updater.merge(message.facts, sender, now)

    @_handle_message.register
    def _(
        self, message: _messages.RosterRequest, sender: str, now: float
    ) -> list[object]:
        return [
            effect.SendToPeer(sender, self._gossip.build_answer(message.zones))
        ]

    @_handle_message.register
    def _(
        self, message: _messages.RosterAnswer, sender: str, now: float
    ) -> list[object]:
        self._readiness.record_roster()
        return self._updater.merge_roster(message, sender, now)

    @_handle_message.register
    def _(
        self, message: _messages.ProbeRequest, sender: str, now: float
    ) -> list[object]:
        return self._probes.handle_request(message.target, sender, now)

    @_handle_message.register
    def _(
        self, message: _messages.ProbeAnswer, sender: str, now: float
    ) -> list[object]:
        age = max(0, message.age_milliseconds) / 1000
        if self._detector.get_last_heard(message.target) is not None:
            self._detector.record_heard(message.target, now - age)
        return []

    def _record_heard(
        self, update: _messages.MemberUpdate, now: float
    ) -> list[object]:
        self._detector.record_heard(update.name, now)
        self._zones.record_heard(update.zone, now)
        effects = self._probes.answer_pending(update.name)
        if update.is_suspect or _roster.is_gone(update):
            effects.append(_effects.send_updates(update.name, [update]))
        return effects

    def _run_round(self, now: float) -> list[object]:
        # The own zone counts as silent only if this instance hears nobody
        # at all; otherwise its members are monitored one by one.
        if not (
            self._monitor.has_zone_peers() and self._detector.is_isolated(now)
        ):
            self._zones.record_heard(self._own_member.zone, now)
        self._roster.expire(now - self._settings.forget_seconds)
        self._zones.record_minimum_revision(
            self._own_member.zone, self._zone_revisions.compute_least(), now
        )
        effects = self._update_readiness(now)
        effects += self._monitor.check(now)
        if self._publication.is_outdated(now):
            self._updater.is_changed = True
        is_urgent, self._is_round_urgent = self._is_round_urgent, False
        self._last_round = now
        return effects + self._heartbeats.send(
            self._own_member.current_update,
            self._publication.neighbours,
            now,
            is_urgent,
        )

    def _is_urgent_round_due(self, now: float) -> bool:
        pause = self._settings.urgent_seconds
        return self._is_round_urgent and now >= self._last_round + pause

    def _update_readiness(self, now: float) -> list[object]:
        is_isolated = self._detector.is_isolated(now)
        revision = self._own_member.current_update.revision
        if not self._readiness.try_finish_sync(now, revision, is_isolated):
            is_stuck = self._readiness.is_syncing and is_isolated
            return self._connector.contact_unknown() if is_stuck else []
        self._updater.is_changed = True
        if self._own_member.state is _State.JOINING:
            self._updater.change_own(now, state=_State.ALIVE)
        return [_effects.record_decision(self._own_member.name, 'ready')]

    def _start_timers(self, now: float) -> None:
        self._is_started = True
        phase = self._random.uniform(0, 1)
        self._next_round = now + phase * self._settings.heartbeat_seconds
        self._next_reconnect = now + self._settings.reconnect_seconds
        self._list_reader.schedule_first_call(now)

    def _resume(self, now: float) -> list[object]:
        self._detector.reset(now)
        self._zones.reset(now)
        self._updater.is_changed = True
        if self._own_member.state is not _State.LEFT:
            incarnation = self._own_member.current_update.incarnation + 1
            self._updater.change_own(now, incarnation=incarnation)
        hellos = [
            self._own_member.send_hello(peer, True)
            for peer in self._publication.neighbours
        ]
        return [
            _effects.record_decision(self._own_member.name, 'woken'),
            *hellos,
        ]

    def _reads_platform_list(self, now: float) -> bool:
        is_first = self._publication.zone_rank < overlay.READERS
        return is_first or self._detector.is_isolated(now)

    def _reconnect(self, now: float) -> list[object]:
        is_delegate = self._publication.zone_rank < overlay.DELEGATES
        if not is_delegate and not self._detector.is_isolated(now):
            return []
        lost = self._connector.contact_lost(self._publication)
        return lost + self._connector.contact_unknown()

    def _request_roster(self, peer: str) -> effect.SendToPeer:
        return effect.SendToPeer(peer, self._gossip.build_request())

    def _flush_gossip(self, now: float) -> list[object]:
        effects = self._gossip.flush(self._publication.neighbours)
        if effects:
            self._next_gossip = now + _GOSSIP_INTERVAL_SECONDS
        return effects
