"""The decision core for flows."""

from __future__ import annotations

from collections.abc import Iterator
import functools

from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold import errors
from skylarkfold import event
from skylarkfold.flows import _catalog
from skylarkfold.flows import _datagrams
from skylarkfold.flows import _hold
from skylarkfold.flows import _members
from skylarkfold.flows import _messages
from skylarkfold.flows import _outbox
from skylarkfold.flows import _proposer
from skylarkfold.flows import _ranking
from skylarkfold.flows import _router
from skylarkfold.flows import _settings
from skylarkfold.flows import _state
from skylarkfold.flows import _streams
from skylarkfold.flows import _upkeep
from skylarkfold import instance as instance_module
from skylarkfold import metric
from skylarkfold import platform_api
from skylarkfold import service as service_module

MAXIMUM_SLOT_BYTES = _ranking.SLOT_COUNT // 8

# All that is due for a service is counted in half seconds or more.
_ROUND_SECONDS = 0.2


class FlowCore:
    """Keeps each flow on its upstream and spreads new ones.

    :param instance: this instance.
    :param settings: the flow settings, alike on all instances.
    """

    def __init__(
        self,
        instance: instance_module.InstanceSettings,
        settings: _settings.FlowSettings,
    ) -> None:
        self._instance = instance
        self._settings = settings
        self._catalog = _catalog.Catalog(settings)
        self._streams = _streams.StreamPlacer(settings, instance.zone)
        self._is_stopped = False
        self._next_round = 0.0
        self._members = _members.MemberView(instance, settings)
        self._outbox = _outbox.Outbox(settings, self._members)
        held = _hold.HeldPackets(settings)
        self._router = _router.Router(
            instance, settings, self._members, self._outbox.pins, held
        )
        self._datagrams = _datagrams.Datagrams(
            self._catalog, self._router, held, self._outbox.pins
        )
        self._proposer = _proposer.Proposer(self._members, settings)
        self._upkeep = _upkeep.Upkeep(
            settings, self._members, self._proposer, self._outbox.bulk
        )

    @property
    def is_finished(self) -> bool:
        """Whether a planned stop has nothing left to hand on."""
        return self._is_stopped

    def handle(self, now: float, occurred: object) -> list[object]:
        """Take one event.

        :param now: the time in seconds of a monotonic clock.
        :param occurred: one of :mod:`skylarkfold.event`.
        :returns: effects of :mod:`skylarkfold.effect`, in order.
        """
        if isinstance(occurred, event.DatagramReceived):
            return self._datagrams.receive(now, occurred)
        return _find_handler(type(occurred))(self, occurred, now)

    def route(
        self, now: float, service_name: str, caller: endpoint.Endpoint
    ) -> service_module.Upstream | None:
        """Answer for a datagram that does not begin a flow.

        :param now: the time.
        :param service_name: the service's name.
        :param caller: who sent the datagram.
        :returns: the upstream if this instance knows it alone, else None;
            then the datagram takes the way through :meth:`handle`.
        """
        state = self._catalog.get(service_name)
        if state is None:
            return None
        return state.find_known(caller)[0]

    @functools.singledispatchmethod
    def _handle(self, occurred: object, now: float) -> list[object]:
        return []

    @_handle.register
    def _(self, occurred: event.StreamOpened, now: float) -> list[object]:
        state = self._catalog.find(occurred.address)
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
        return self._take_message(now, occurred.sender, occurred.message)

    @_handle.register
    def _(self, occurred: event.PeerConnected, now: float) -> list[object]:
        return self._follow_change(
            now, self._members.regain(now, occurred.peer)
        )

    @_handle.register
    def _(self, occurred: event.PeerLost, now: float) -> list[object]:
        self._outbox.drop(occurred.peer)
        return self._follow_change(now, self._members.lose(now, occurred.peer))

    @_handle.register
    def _(self, occurred: event.MembershipChanged, now: float) -> list[object]:
        change = self._members.update(now, occurred.membership)
        return self._follow_change(now, change)

    @_handle.register
    def _(self, occurred: event.StopRequested, now: float) -> list[object]:
        self._outbox.begin_stop(now)
        return self._follow_change(now, self._members.stop(now))

    @_handle.register
    def _(
        self, occurred: event.ConfigurationChanged, now: float
    ) -> list[object]:
        gone = self._catalog.configure(now, occurred.configuration)
        for name in gone:
            self._proposer.forget_service(name)
        for state in self._catalog.states.values():
            self._upkeep.find_own(state)
        return self._datagrams.release(now)

    @_handle.register
    def _(self, occurred: event.ObjectChanged, now: float) -> list[object]:
        return self._take_object(now, occurred.stored)

    @_handle.register
    def _(self, occurred: event.WriteEnded, now: float) -> list[object]:
        name = _catalog.find_service_name(occurred.path)
        state = self._catalog.get(name)
        if state is None:
            return []
        known = self._proposer.end_write(now, state, occurred)
        return [] if known is None else self._take_object(now, known)

    @_handle.register
    def _(self, occurred: event.LoadReported, now: float) -> list[object]:
        state = self._catalog.get(occurred.service)
        if state is None:
            return []
        if not state.load.report(now, occurred):
            return []
        told = _messages.UpstreamHealth(
            occurred.service, occurred.upstream, occurred.reachable
        )
        return self._tell_proposers(now, occurred.service, told)

    @_handle.register
    def _(self, occurred: event.Tick, now: float) -> list[object]:
        effects = self._datagrams.expire(now)
        self._members.expire_consulting(now)
        if now >= self._next_round:
            self._next_round = now + _ROUND_SECONDS
            effects += self._visit_services(now)
        effects += self._outbox.drain(now)
        self._is_stopped = self._outbox.has_stopped(now)
        return effects

    def _visit_services(self, now: float) -> list[object]:
        """Do what is due for each service; too much work for each tick."""
        effects: list[object] = []
        states = list(self._catalog.states.values())
        for service_name, told in self._upkeep.run(now, states):
            effects += self._tell_proposers(now, service_name, told)
        self._router.is_full = self._upkeep.is_full
        if self._upkeep.has_rotated_firsts:
            self._router.rotate_firsts()
        if not self._outbox.is_stopping:
            for state in states:
                effects += self._tell_prepared(now, state)
                effects += self._proposer.propose(now, state)
        return effects

    def _take_message(
        self, now: float, sender: str, message: object
    ) -> list[object]:
        return _find_taker(type(message))(self, message, sender, now)

    @functools.singledispatchmethod
    def _take(self, message: object, sender: str, now: float) -> list[object]:
        return []

    @_take.register
    def _(
        self, message: _messages.Redirect, sender: str, now: float
    ) -> list[object]:
        return self._datagrams.take_redirect(now, message)

    @_take.register
    def _(
        self, message: _messages.PinNote, sender: str, now: float
    ) -> list[object]:
        state = self._catalog.get(message.service)
        if state is not None:
            self._upkeep.merge(state, sender, message.groups)
        return []

    @_take.register
    def _(
        self, message: _messages.FlowAnswer, sender: str, now: float
    ) -> list[object]:
        state = self._catalog.get(message.service)
        if state is None or len(state.cache) >= self._settings.cache_limit:
            return []
        for group in message.groups:
            for flow in group.flows:
                state.cache.put(flow, group.upstream)
        return []

    @_take.register
    def _(
        self, message: _messages.HandOnDone, sender: str, now: float
    ) -> list[object]:
        slots = _messages.unpack_slots(message.slots[:MAXIMUM_SLOT_BYTES])
        self._members.finish_consulting(now, sender, slots)
        return []

    @_take.register
    def _(
        self, message: _messages.TableInForce, sender: str, now: float
    ) -> list[object]:
        state = self._catalog.get(message.service)
        if state is None:
            return []
        self._proposer.confirm(sender, message.service, message.version)
        return self._tell_prepared(now, state)

    @_take.register
    def _(
        self, message: _messages.PreparationDone, sender: str, now: float
    ) -> list[object]:
        state = self._catalog.get(message.service)
        if state is not None:
            state.learn_prepared(message.version)
        return []

    @_take.register
    def _(
        self, message: _messages.BucketsSettled, sender: str, now: float
    ) -> list[object]:
        state = self._catalog.get(message.service)
        if state is not None:
            self._proposer.settle(now, state, message.version, message.buckets)
        return []

    @_take.register
    def _(
        self, message: _messages.UpstreamHealth, sender: str, now: float
    ) -> list[object]:
        self._proposer.health.take(
            sender, message.service, message.upstream, message.healthy
        )
        return []

    def _tell_prepared(
        self, now: float, state: _state.ServiceState
    ) -> list[object]:
        version = self._proposer.find_prepared_version(now, state)
        if version <= state.prepared_version:
            return []
        state.learn_prepared(version)
        done = _messages.PreparationDone(state.name, version)
        return [
            effect.SendToPeer(peer, done) for peer in self._members.reachable
        ]

    def _follow_change(
        self, now: float, change: _members.RankingChange | None
    ) -> list[object]:
        if change is None:
            return []
        self._proposer.forget_ranks()
        states = self._catalog.states.values()
        self._outbox.follow_change(now, change, states)
        for state in states:
            self._upkeep.find_own(state)
        changed = effect.CountMetric(metric.FLOWS_RANKING_CHANGED)
        return [changed, *self._confirm_again(now)]

    def _confirm_again(self, now: float) -> Iterator[object]:
        """Tell new proposers of tables that are not long in force."""
        since = now - self._settings.propagation_seconds
        for state in self._catalog.states.values():
            if state.adopted_at is not None and state.adopted_at > since:
                told = _messages.TableInForce(state.name, state.version)
                yield from self._tell_proposers(now, state.name, told)

    def _take_object(
        self, now: float, known: platform_api.StoredObject
    ) -> list[object]:
        try:
            state = self._catalog.take(now, known)
        except errors.DecodeError:
            return [effect.CountMetric(metric.FLOWS_TABLE_MALFORMED)]
        if state is None:
            return []
        self._upkeep.find_own(state)
        decision = effect.RecordDecision(
            kind='table-in-force',
            service=state.name,
            subject=f'version {state.version}',
            upstream='',
            reason='newer',
        )
        told = _messages.TableInForce(state.name, state.version)
        effects = self._tell_proposers(now, state.name, told)
        return [decision, *effects, *self._datagrams.release(now)]

    def _tell_proposers(
        self, now: float, service_name: str, told: object
    ) -> list[object]:
        effects: list[object] = []
        for peer in self._proposer.list_proposers(service_name):
            if peer == self._instance.name:
                effects += self._take_message(now, peer, told)
            else:
                effects.append(effect.SendToPeer(peer, told))
        return effects


# The descriptor builds a closure at each access, which costs as much as
# the decision on a datagram.
_find_handler = FlowCore.__dict__['_handle'].dispatcher.dispatch
_find_taker = FlowCore.__dict__['_take'].dispatcher.dispatch
