"""Event handling of the flow core."""

from __future__ import annotations

from collections.abc import Iterator
import functools

from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold import errors
from skylarkfold import event
from skylarkfold.flows import _datagram_handler
from skylarkfold.flows import _members
from skylarkfold.flows import _messages
from skylarkfold.flows import _outbox
from skylarkfold.flows import _packet_buffer
from skylarkfold.flows import _pin_maintenance
from skylarkfold.flows import _proposer
from skylarkfold.flows import _ranking
from skylarkfold.flows import _router
from skylarkfold.flows import _service_registry
from skylarkfold.flows import _settings
from skylarkfold.flows import _state
from skylarkfold.flows import _streams
from skylarkfold import instance as instance_module
from skylarkfold import metric
from skylarkfold import platform_api
from skylarkfold import service as service_module

MAXIMUM_SLOT_BYTES = _ranking.SLOT_COUNT // 8

# Shorter than every interval of the tasks that run for each service.
_SERVICE_TASK_SECONDS = 0.2


class FlowCore:
    """Keeps each flow on its upstream and places new flows.

    :param instance: this instance.
    :param settings: the flow settings; the same on all instances.
    """

    def __init__(
        self,
        instance: instance_module.InstanceSettings,
        settings: _settings.FlowSettings,
    ) -> None:
        self._instance = instance
        self._settings = settings
        self._registry = _service_registry.ServiceRegistry(settings)
        self._streams = _streams.StreamPlacer(settings, instance.zone)
        self._is_stopped = False
        self._next_service_tasks_at = 0.0
        self._members = _members.MemberView(instance, settings)
        self._outbox = _outbox.Outbox(settings, self._members)
        buffer = _packet_buffer.PacketBuffer(settings)
        self._router = _router.Router(
            instance, settings, self._members, self._outbox.pins, buffer
        )
        self._datagrams = _datagram_handler.DatagramHandler(
            self._registry, self._router, buffer, self._outbox.pins
        )
        self._proposer = _proposer.Proposer(self._members, settings)
        self._pin_maintenance = _pin_maintenance.PinMaintenance(
            settings, self._members, self._proposer, self._outbox.bulk
        )

    @property
    def is_finished(self) -> bool:
        """Whether a planned stop has finished handing over pins."""
        return self._is_stopped

    def handle(self, now: float, occurred: object) -> list[object]:
        """Handle an event.

        :param now: the time in seconds, from a monotonic clock.
        :param occurred: an event of :mod:`skylarkfold.event`.
        :returns: the effects to carry out, in order; see
            :mod:`skylarkfold.effect`.
        """
        if isinstance(occurred, event.DatagramReceived):
            return self._datagrams.receive(now, occurred)
        return _find_handler(type(occurred))(self, occurred, now)

    def route(
        self, now: float, service_name: str, caller: endpoint.Endpoint
    ) -> service_module.Upstream | None:
        """Return the upstream of a datagram that does not begin a flow.

        :param now: the current time.
        :param service_name: the service's name.
        :param caller: the sender of the datagram.
        :returns: the upstream if this instance can tell without asking a
            peer; otherwise None, and the datagram has to go through
            :meth:`handle`.
        """
        state = self._registry.get(service_name)
        if state is None:
            return None
        return state.find_local(caller)[0]

    @functools.singledispatchmethod
    def _handle(self, occurred: object, now: float) -> list[object]:
        return []

    @_handle.register
    def _(self, occurred: event.StreamOpened, now: float) -> list[object]:
        state = self._registry.find_by_address(occurred.address)
        owner_count = max(1, len(self._members.ranking.names))
        return self._streams.place(now, occurred, state, owner_count)

    @_handle.register
    def _(self, occurred: event.StreamClosed, now: float) -> list[object]:
        self._streams.close(now, occurred)
        return []

    @_handle.register
    def _(
        self, occurred: event.PeerMessageReceived, now: float
    ) -> list[object]:
        return self._receive_message(now, occurred.sender, occurred.message)

    @_handle.register
    def _(self, occurred: event.PeerConnected, now: float) -> list[object]:
        return self._handle_ranking_change(
            now, self._members.mark_connected(now, occurred.peer)
        )

    @_handle.register
    def _(self, occurred: event.PeerLost, now: float) -> list[object]:
        self._outbox.drop(occurred.peer)
        return self._handle_ranking_change(
            now, self._members.mark_disconnected(now, occurred.peer)
        )

    @_handle.register
    def _(self, occurred: event.MembershipChanged, now: float) -> list[object]:
        change = self._members.update(now, occurred.membership)
        return self._handle_ranking_change(now, change)

    @_handle.register
    def _(self, occurred: event.StopRequested, now: float) -> list[object]:
        self._outbox.begin_stop(now)
        return self._handle_ranking_change(now, self._members.stop_owning(now))

    @_handle.register
    def _(
        self, occurred: event.ConfigurationChanged, now: float
    ) -> list[object]:
        removed = self._registry.configure(now, occurred.configuration)
        for name in removed:
            self._proposer.remove_service(name)
        for state in self._registry.states.values():
            self._pin_maintenance.update_home_pins(state)
        return self._datagrams.route_held(now)

    @_handle.register
    def _(self, occurred: event.ObjectChanged, now: float) -> list[object]:
        return self._apply_object(now, occurred.stored)

    @_handle.register
    def _(self, occurred: event.WriteEnded, now: float) -> list[object]:
        name = _service_registry.parse_service_name(occurred.path)
        state = self._registry.get(name)
        if state is None:
            return []
        stored = self._proposer.finish_write(now, state, occurred)
        return [] if stored is None else self._apply_object(now, stored)

    @_handle.register
    def _(self, occurred: event.LoadReported, now: float) -> list[object]:
        state = self._registry.get(occurred.service)
        if state is None:
            return []
        if not state.load.record_report(now, occurred):
            return []
        message = _messages.UpstreamHealth(
            occurred.service, occurred.upstream, occurred.reachable
        )
        return self._send_to_proposers(now, occurred.service, message)

    @_handle.register
    def _(self, occurred: event.Tick, now: float) -> list[object]:
        effects = self._datagrams.expire_held(now)
        self._members.expire_pending_handovers(now)
        if now >= self._next_service_tasks_at:
            self._next_service_tasks_at = now + _SERVICE_TASK_SECONDS
            effects += self._run_service_tasks(now)
        effects += self._outbox.drain(now)
        self._is_stopped = self._outbox.has_stopped(now)
        return effects

    def _run_service_tasks(self, now: float) -> list[object]:
        """Run the periodic tasks of each service.

        They cost too much to run on every tick.
        """
        effects: list[object] = []
        states = list(self._registry.states.values())
        for service_name, message in self._pin_maintenance.run(now, states):
            effects += self._send_to_proposers(now, service_name, message)
        self._router.is_pin_limit_reached = (
            self._pin_maintenance.is_pin_limit_reached
        )
        if self._pin_maintenance.must_rotate_firsts:
            self._router.rotate_recent_firsts()
        if not self._outbox.is_stopping:
            for state in states:
                effects += self._announce_prepared(now, state)
                effects += self._proposer.propose(now, state)
        return effects

    def _receive_message(
        self, now: float, sender: str, message: object
    ) -> list[object]:
        return _find_message_handler(type(message))(self, message, sender, now)

    @functools.singledispatchmethod
    def _handle_message(
        self, message: object, sender: str, now: float
    ) -> list[object]:
        return []

    @_handle_message.register
    def _(
        self, message: _messages.Redirect, sender: str, now: float
    ) -> list[object]:
        return self._datagrams.receive_redirect(now, message)

    @_handle_message.register
    def _(
        self, message: _messages.PinUpdate, sender: str, now: float
    ) -> list[object]:
        state = self._registry.get(message.service)
        if state is not None:
            self._pin_maintenance.merge_pins(state, sender, message.groups)
        return []

    @_handle_message.register
    def _(
        self, message: _messages.FlowAnswer, sender: str, now: float
    ) -> list[object]:
        state = self._registry.get(message.service)
        if state is None or len(state.cache) >= self._settings.cache_limit:
            return []
        for group in message.groups:
            for flow in group.flows:
                state.cache.put(flow, group.upstream)
        return []

    @_handle_message.register
    def _(
        self, message: _messages.HandoverDone, sender: str, now: float
    ) -> list[object]:
        slots = _messages.unpack_slots(message.slots[:MAXIMUM_SLOT_BYTES])
        self._members.record_handover_done(now, sender, slots)
        return []

    @_handle_message.register
    def _(
        self, message: _messages.TableApplied, sender: str, now: float
    ) -> list[object]:
        state = self._registry.get(message.service)
        if state is None:
            return []
        self._proposer.record_applied_version(
            sender, message.service, message.version
        )
        return self._announce_prepared(now, state)

    @_handle_message.register
    def _(
        self, message: _messages.PreparationDone, sender: str, now: float
    ) -> list[object]:
        state = self._registry.get(message.service)
        if state is not None:
            state.record_prepared_version(message.version)
        return []

    @_handle_message.register
    def _(
        self, message: _messages.BucketsMigrated, sender: str, now: float
    ) -> list[object]:
        state = self._registry.get(message.service)
        if state is not None:
            self._proposer.record_migrated(
                now, state, message.version, message.buckets
            )
        return []

    @_handle_message.register
    def _(
        self, message: _messages.UpstreamHealth, sender: str, now: float
    ) -> list[object]:
        self._proposer.health.record(
            sender, message.service, message.upstream, message.healthy
        )
        return []

    def _announce_prepared(
        self, now: float, state: _state.ServiceState
    ) -> list[object]:
        version = self._proposer.find_prepared_version(now, state)
        if version <= state.prepared_version:
            return []
        state.record_prepared_version(version)
        message = _messages.PreparationDone(state.name, version)
        return [
            effect.SendToPeer(peer, message)
            for peer in self._members.reachable
        ]

    def _handle_ranking_change(
        self, now: float, change: _members.RankingChange | None
    ) -> list[object]:
        if change is None:
            return []
        self._proposer.clear_proposers()
        states = self._registry.states.values()
        self._outbox.queue_handovers(now, change, states)
        for state in states:
            self._pin_maintenance.update_home_pins(state)
        counted = effect.CountMetric(metric.FLOWS_RANKING_CHANGED)
        return [counted, *self._resend_applied(now)]

    def _resend_applied(self, now: float) -> Iterator[object]:
        """Tell the proposers again which tables were applied recently.

        After a change of the ranking they may be other instances, which
        have not received the first report.
        """
        since = now - self._settings.propagation_seconds
        for state in self._registry.states.values():
            if state.applied_at is not None and state.applied_at > since:
                message = _messages.TableApplied(state.name, state.version)
                yield from self._send_to_proposers(now, state.name, message)

    def _apply_object(
        self, now: float, stored: platform_api.StoredObject
    ) -> list[object]:
        try:
            state = self._registry.apply_object(now, stored)
        except errors.DecodeError:
            return [effect.CountMetric(metric.FLOWS_TABLE_MALFORMED)]
        if state is None:
            return []
        self._pin_maintenance.update_home_pins(state)
        decision = effect.RecordDecision(
            kind='table-in-force',
            service=state.name,
            subject=f'version {state.version}',
            upstream='',
            reason='newer',
        )
        message = _messages.TableApplied(state.name, state.version)
        effects = self._send_to_proposers(now, state.name, message)
        return [decision, *effects, *self._datagrams.route_held(now)]

    def _send_to_proposers(
        self, now: float, service_name: str, message: object
    ) -> list[object]:
        effects: list[object] = []
        for peer in self._proposer.list_proposers(service_name):
            if peer == self._instance.name:
                effects += self._receive_message(now, peer, message)
            else:
                effects.append(effect.SendToPeer(peer, message))
        return effects


# Accessing a singledispatchmethod builds a closure each time, which costs as
# much as routing a datagram, so the dispatchers are looked up once.
_find_handler = FlowCore.__dict__['_handle'].dispatcher.dispatch
_find_message_handler = FlowCore.__dict__[
    '_handle_message'
].dispatcher.dispatch
