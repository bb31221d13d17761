"""The decisions of the membership."""

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

# After a rumor the next ones wait for a tick, so that many changes at once
# (a whole fleet that starts) go in few messages.
_RUMOR_PAUSE_SECONDS = 0.25
# The first change is published with the next tick, those after it together.
_PUBLICATION_PAUSE_SECONDS = 1.0
_State = member.MemberState


class MembershipCore:
    """Knows the other instances by first-hand heartbeats and by rumor.

    Members of a zone watch each other; only they declare one of them
    dead. Zones know each other through a few delegates, and judge a
    silent zone as a whole.

    :param instance: this instance's identity.
    :param settings: the membership's settings.
    :param incarnation: higher than that of any earlier process under the
        same name.
    :param seed: spreads this instance's timers against the others'.
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
        self._gossip = _gossip.Gossip(self._roster, instance.zone)
        self._own = _own_member.Identity(
            instance, incarnation, self._roster, self._gossip
        )
        self._progress = _zone_revisions.Progress(self._roster, instance.zone)
        self._zones = _zones.Zones()
        self._detector = _failure_detector.Detector(settings)
        self._contacts = _contacts.Contacts(settings, seed)
        self._heartbeats = _heartbeat.Heartbeats(
            settings, self._roster, self._progress, self._zones
        )
        self._listing = _platform_list.Listing(settings, self._random)
        view = _membership_builder.View(
            instance.zone, settings, self._roster, self._progress, self._zones
        )
        self._probes = _probes.Probes(
            settings, self._own, self._roster, self._detector
        )
        self._ledger = _roster_updater.Ledger(
            self._own, self._roster, self._gossip, self._detector
        )
        self._connector = _connector.Connector(
            settings, self._own, self._roster, self._contacts
        )
        self._readiness = _readiness.Readiness(settings)
        self._publication = _publication.Publication(
            self._own, view, self._readiness
        )
        self._watch = _neighbour_monitor.Watch(
            self._own,
            self._roster,
            self._detector,
            self._probes,
            self._ledger,
            self._publication,
        )
        self._is_started = False
        self._next_beat = 0.0
        self._next_reconnect = 0.0
        self._is_urgent = False
        self._beat_at = 0.0
        self._next_rumor = 0.0
        self._next_publication = 0.0

    @property
    def membership(self) -> member.Membership:
        """All members as last published."""
        return self._publication.membership

    @property
    def state(self) -> member.MemberState:
        """This instance's own state, as the others are told."""
        return self._own.state

    @property
    def is_ready(self) -> bool:
        """Whether the view can be relied on.

        False while joining, and after a pause of the process until others
        were heard. Publications pause, and the other cores know what was
        published: it must show this instance as alive, and with it those
        that it has met by then.
        """
        published = self.membership.members.get(self._own.name)
        if published is None or published.state is not _State.ALIVE:
            return False
        return (
            self._own.state is _State.ALIVE and not self._readiness.is_learning
        )

    def resolve(self, peer: str) -> endpoint.Endpoint | None:
        """Find where a peer takes streams.

        :param peer: a member's name, or a seed's ``host:port``.
        :returns: its address, or None if it is not known.
        """
        known = self._roster.get(peer)
        try:
            return endpoint.parse_endpoint(
                peer if known is None else known.address
            )
        except ValueError:
            return None

    def report_revision(self, now: float, revision: int) -> list[object]:
        """Take the revision that is now in force on this instance.

        :param now: the time in seconds.
        :param revision: the revision; a lower one than before is ignored.
        :returns: effects.
        """
        if self._progress.note(self._own.name, revision):
            self._ledger.change_own(now, revision=revision)
            self._is_urgent = True
        return []

    def leave(self, now: float) -> list[object]:
        """Say goodbye, as the last thing before the process ends.

        :param now: the time in seconds.
        :returns: the last messages.
        """
        self._ledger.change_own(now, state=_State.LEFT)
        return self._flush(now)

    def handle(self, now: float, event_: object) -> list[object]:
        """Take one event.

        :param now: the time in seconds of a monotonic clock.
        :param event_: one of :mod:`skylarkfold.event`.
        :returns: effects in order.
        """
        effects = self._take(event_, now)
        if now >= self._next_rumor or isinstance(event_, event.Tick):
            effects += self._flush(now)
        return effects

    @functools.singledispatchmethod
    def _take(self, event_: object, now: float) -> list[object]:
        return []

    @_take.register
    def _(self, event_: event.Tick, now: float) -> list[object]:
        is_woken = self._readiness.note_tick(now)
        effects = self._wake(now) if is_woken else []
        if not self._is_started:
            self._begin(now)
        if now >= self._next_beat or self._is_urgent_now(now):
            self._next_beat = now + self._settings.heartbeat_seconds
            effects += self._beat(now)
        if now >= self._next_reconnect:
            self._next_reconnect = now + self._settings.reconnect_seconds
            effects += self._reconnect(now)
        effects += self._listing.call(now, self._is_reader(now))
        if self._ledger.is_changed and now >= self._next_publication:
            self._next_publication = now + _PUBLICATION_PAUSE_SECONDS
            self._ledger.is_changed = False
            effects += self._publication.publish(now)
        return effects

    @_take.register
    def _(self, event_: event.PeerMessageReceived, now: float) -> list[object]:
        if event_.sender == self._own.name:
            return [effect.CountMetric(metric.MEMBERSHIP_OWN_NAME)]
        return self._take_message(event_.message, event_.sender, now)

    @_take.register
    def _(self, event_: event.PeerConnected, now: float) -> list[object]:
        return [self._own.introduce(event_.peer, True)]

    @_take.register
    def _(self, event_: event.PeerLost, now: float) -> list[object]:
        self._detector.doubt(event_.peer, now)
        return []

    @_take.register
    def _(self, event_: event.PlatformAnswered, now: float) -> list[object]:
        listed = self._listing.take(event_)
        if listed is not None:
            self._contacts.take_list(listed)
            self._next_reconnect = now
        return []

    @_take.register
    def _(self, event_: event.RevisionReached, now: float) -> list[object]:
        return self.report_revision(now, event_.revision)

    @_take.register
    def _(self, event_: event.StopRequested, now: float) -> list[object]:
        if self._own.state is _State.LEFT:
            return []
        self._ledger.change_own(now, state=_State.LEAVING)
        return []

    @functools.singledispatchmethod
    def _take_message(
        self, message: object, sender: str, now: float
    ) -> list[object]:
        return []

    @_take_message.register
    def _(
        self, message: _messages.Hello, sender: str, now: float
    ) -> list[object]:
        if message.fact.name != sender:
            return [effect.CountMetric(metric.MEMBERSHIP_MALFORMED)]
        effects = self._ledger.merge([message.fact], sender, now)
        if message.wants_answer:
            effects.append(self._own.introduce(sender, False))
        known = self._roster.get(sender)
        if known is None:
            return effects
        if known.incarnation > message.fact.incarnation:
            return [*effects, _effects.send_facts(sender, [known])]
        effects += self._hear(known, now)
        if self._readiness.note_met(message.fact):
            effects.append(self._ask_roster(sender))
        return effects

    @_take_message.register
    def _(
        self, message: _messages.Heartbeat, sender: str, now: float
    ) -> list[object]:
        known = self._roster.get(sender)
        if known is None or known.incarnation < message.incarnation:
            return [self._own.introduce(sender, True)]
        if known.incarnation > message.incarnation:
            return [_effects.send_facts(sender, [known])]
        if self._heartbeats.take(message, known, self._own.fact, now):
            self._is_urgent = True
        effects = self._hear(known, now)
        if self._heartbeats.must_compare(sender, message.digest):
            effects.append(self._ask_roster(sender))
        return effects

    @_take_message.register
    def _(
        self, message: _messages.Gossip, sender: str, now: float
    ) -> list[object]:
        return self._ledger.merge(message.facts, sender, now)

    @_take_message.register
    def _(
        self, message: _messages.RosterRequest, sender: str, now: float
    ) -> list[object]:
        return [effect.SendToPeer(sender, self._gossip.answer(message.zones))]

    @_take_message.register
    def _(
        self, message: _messages.RosterAnswer, sender: str, now: float
    ) -> list[object]:
        self._readiness.note_synced()
        return self._ledger.take_roster(message, sender, now)

    @_take_message.register
    def _(
        self, message: _messages.ProbeRequest, sender: str, now: float
    ) -> list[object]:
        return self._probes.take(message.target, sender, now)

    @_take_message.register
    def _(
        self, message: _messages.ProbeAnswer, sender: str, now: float
    ) -> list[object]:
        age = max(0, message.age_milliseconds) / 1000
        if self._detector.get_heard(message.target) is not None:
            self._detector.note_heard(message.target, now - age)
        return []

    def _hear(self, fact: _messages.MemberUpdate, now: float) -> list[object]:
        self._detector.note_heard(fact.name, now)
        self._zones.note_heard(fact.zone, now)
        effects = self._probes.answer(fact.name)
        if fact.is_suspect or _roster.is_gone(fact):
            effects.append(_effects.send_facts(fact.name, [fact]))
        return effects

    def _beat(self, now: float) -> list[object]:
        # The own zone is silent only for one that hears nobody at all:
        # else its mates are watched one by one.
        if not (self._watch.has_mates() and self._detector.is_isolated(now)):
            self._zones.note_heard(self._own.zone, now)
        self._roster.expire(now - self._settings.forget_seconds)
        self._zones.note_least(
            self._own.zone, self._progress.compute_least(), now
        )
        effects = self._settle(now)
        effects += self._watch.judge(now)
        if self._publication.is_outdated(now):
            self._ledger.is_changed = True
        is_urgent, self._is_urgent = self._is_urgent, False
        self._beat_at = now
        return effects + self._heartbeats.send(
            self._own.fact, self._publication.neighbours, now, is_urgent
        )

    def _is_urgent_now(self, now: float) -> bool:
        pause = self._settings.urgent_seconds
        return self._is_urgent and now >= self._beat_at + pause

    def _settle(self, now: float) -> list[object]:
        is_alone = self._detector.is_isolated(now)
        revision = self._own.fact.revision
        if not self._readiness.settle(now, revision, is_alone):
            is_stuck = self._readiness.is_learning and is_alone
            return self._connector.meet() if is_stuck else []
        self._ledger.is_changed = True
        if self._own.state is _State.JOINING:
            self._ledger.change_own(now, state=_State.ALIVE)
        return [_effects.record(self._own.name, 'ready')]

    def _begin(self, now: float) -> None:
        self._is_started = True
        phase = self._random.uniform(0, 1)
        self._next_beat = now + phase * self._settings.heartbeat_seconds
        self._next_reconnect = now + self._settings.reconnect_seconds
        self._listing.begin(now)

    def _wake(self, now: float) -> list[object]:
        self._detector.restart(now)
        self._zones.restart(now)
        self._ledger.is_changed = True
        if self._own.state is not _State.LEFT:
            incarnation = self._own.fact.incarnation + 1
            self._ledger.change_own(now, incarnation=incarnation)
        introductions = [
            self._own.introduce(peer, True)
            for peer in self._publication.neighbours
        ]
        return [_effects.record(self._own.name, 'woken'), *introductions]

    def _is_reader(self, now: float) -> bool:
        is_first = self._publication.rank < overlay.READERS
        return is_first or self._detector.is_isolated(now)

    def _reconnect(self, now: float) -> list[object]:
        is_delegate = self._publication.rank < overlay.DELEGATES
        if not is_delegate and not self._detector.is_isolated(now):
            return []
        lost = self._connector.reconnect(self._publication)
        return lost + self._connector.meet()

    def _ask_roster(self, peer: str) -> effect.SendToPeer:
        return effect.SendToPeer(peer, self._gossip.ask())

    def _flush(self, now: float) -> list[object]:
        effects = self._gossip.flush(self._publication.neighbours)
        if effects:
            self._next_rumor = now + _RUMOR_PAUSE_SECONDS
        return effects
