"""Upstream selection for all services on this instance."""

from __future__ import annotations

import functools
import random

from skylarkfold import admission
from skylarkfold import codec
from skylarkfold import effect
from skylarkfold import event
from skylarkfold import instance as instance_module
from skylarkfold import message as message_module
from skylarkfold import request
from skylarkfold.selection import _byte_budget
from skylarkfold.selection import _choice
from skylarkfold.selection import _coordinator
from skylarkfold.selection import _local_chooser
from skylarkfold.selection import _messages
from skylarkfold.selection import _service_state
from skylarkfold.selection import _settings
from skylarkfold import service as service_module

_KIND = 'selection'
_RESUME_FRACTION = 0.5


class Selector:
    """Chooses upstreams for requests and exchanges slots with the peers.

    :param instance: this instance.
    :param settings: the selection settings.
    :param seed: the seed of all random draws.
    """

    def __init__(
        self,
        instance: instance_module.InstanceSettings,
        settings: _settings.SelectionSettings,
        seed: int,
    ) -> None:
        self._name = instance.name
        self._settings = settings
        self._local_chooser = _local_chooser.LocalChooser(
            settings, random.Random(seed)
        )
        self._coordinator_finder = _coordinator.CoordinatorFinder()
        self._states: dict[str, _service_state.ServiceState] = {}
        self._service_names: dict[int, str] = {}
        self._budget = _byte_budget.ByteBudget(
            settings.control_bytes_per_second
        )
        self._effects: list[object] = []
        self._dirty: dict[str, _service_state.ServiceState] = {}

    def configure(
        self, service: service_module.Service, owners: tuple[str, ...]
    ) -> None:
        """Apply a service's changed configuration or changed owners.

        :param service: the service.
        :param owners: the instances that share the service's slots.
        """
        state = self._states.get(service.name)
        if state is None:
            state = _service_state.ServiceState(
                service.name,
                self._name,
                self._settings,
                self._coordinator_finder,
            )
            self._states[service.name] = state
            number = _messages.compute_service_number(service.name)
            self._service_names[number] = service.name
        self._dirty[service.name] = state
        if state.configure(service, owners):
            self._record_decision(
                service.name, state.coordinator_name, '', 'home-changed'
            )

    def remove(self, service_name: str) -> None:
        """Remove a service that is no longer configured.

        :param service_name: the service.
        """
        self._states.pop(service_name, None)
        self._dirty.pop(service_name, None)
        self._service_names.pop(
            _messages.compute_service_number(service_name), None
        )

    def choose(
        self, now: float, service_name: str, exclude: frozenset[str]
    ) -> _choice.Choice:
        """Choose an upstream for the next request of a service.

        :param now: the current time.
        :param service_name: the service.
        :param exclude: names of upstreams to skip.
        :returns: the choice; its slot stays idle until the dispatch.
        """
        state = self._mark_dirty(service_name)
        if state is None:
            return _choice.Choice(None, _choice.ChoiceReason.NO_SERVICE)
        if not state.pool.list_active():
            return _choice.Choice(None, _choice.ChoiceReason.NO_UPSTREAM)
        if self._settings.policy is not _settings.Policy.SLOTS:
            return self._choose_locally(now, state, exclude)
        name = state.find_idle_slot(exclude)
        if name is None and self._is_bypassing(now, state):
            return self._choose_locally(now, state, exclude)
        if name is None and state.is_coordinator:
            state.local_slots.record_unmet_request(exclude)
            self._report_demand(now, state, False)
            name = state.find_idle_slot(exclude)
        if name is not None:
            upstream = state.pool.get(name).upstream
            return _choice.Choice(upstream, _choice.ChoiceReason.SLOT_HELD)
        if (
            not state.is_coordinator
            and state.local_slots.is_coordinator_silent(now)
        ):
            return self._choose_locally(now, state, exclude)
        state.local_slots.record_unmet_request(exclude)
        return self._explain_wait(now, state)

    def record_waiting(
        self, now: float, service_name: str, waiting: admission.WaitingCounts
    ) -> None:
        """Set the number of requests that wait here for a service.

        :param now: the current time.
        :param service_name: the service.
        :param waiting: a count for each class.
        """
        state = self._mark_dirty(service_name)
        if state is not None:
            state.local_slots.record_waiting(waiting)

    def record_dispatch(
        self, now: float, service_name: str, upstream_name: str
    ) -> None:
        """Record that a request was dispatched.

        :param now: the current time.
        :param service_name: its service.
        :param upstream_name: the upstream that was chosen.
        """
        state = self._mark_dirty(service_name)
        record = None if state is None else state.pool.get(upstream_name)
        if record is None:
            return
        record.record_dispatch()
        state.local_slots.record_dispatch(upstream_name)

    def record_outcome(
        self,
        now: float,
        service_name: str,
        upstream_name: str,
        outcome: request.Outcome,
        elapsed_seconds: float,
    ) -> None:
        """Record the outcome of a dispatched request.

        :param now: the current time.
        :param service_name: its service.
        :param upstream_name: the upstream that it was sent to.
        :param outcome: how it ended.
        :param elapsed_seconds: the time since its dispatch.
        """
        state = self._mark_dirty(service_name)
        if state is None:
            return
        state.local_slots.record_outcome(
            upstream_name, outcome, elapsed_seconds
        )
        record = state.pool.get(upstream_name)
        if record is None:
            return
        record.running = max(0, record.running - 1)
        is_ejected = state.pool.record_outcome(
            now, upstream_name, outcome, elapsed_seconds
        )
        if is_ejected:
            self._record_decision(
                service_name, self._name, upstream_name, 'ejected-here'
            )

    def record_load(self, now: float, report: event.LoadReported) -> None:
        """Record the health and load that an upstream reported.

        :param now: the current time.
        :param report: the report, which may be stale or wrong.
        """
        state = self._states.get(report.service)
        if state is not None:
            state.record_report(report)

    def handle_message(
        self, now: float, sender: str, message: message_module.PeerMessage
    ) -> list[object]:
        """Handle a peer's message.

        Afterwards, call :meth:`choose` for waiting requests.

        :param now: the current time.
        :param sender: the peer.
        :param message: one of ``MESSAGES``; others are ignored.
        :returns: effects.
        """
        name = self._service_names.get(getattr(message, 'service', -1))
        if name is not None:
            self._budget.spend(now, len(codec.encode(message)))
            self._handle(message, now, sender, self._mark_dirty(name))
        return self._drain_effects()

    def handle_peer_lost(self, now: float, peer: str) -> list[object]:
        """Record that a peer can't be reached.

        :param now: the current time.
        :param peer: its name.
        :returns: effects.
        """
        for name, state in self._states.items():
            if state.coordinator_name == peer:
                state.local_slots.record_coordinator_lost()
                self._record_decision(name, peer, '', 'home-lost')
        return self._drain_effects()

    def tick(self, now: float) -> list[object]:
        """Run periodic work, such as reports and keepalives.

        Afterwards, call :meth:`choose` for waiting requests.

        :param now: the current time.
        :returns: effects.
        """
        for state in self._states.values():
            if state.local_slots.has_state:
                self._report_demand(now, state, True)
            if not state.is_coordinator:
                continue
            state.allocator.start_settling(now)
            if state.allocator.has_instances:
                self._grant(now, state)
                self._send_keepalives(now, state)
        return self._drain_effects()

    def flush(self, now: float) -> list[object]:
        """Release idle slots and report changes to the coordinators.

        To be called after each event, when no more requests can be sent.

        :param now: the current time.
        :returns: effects.
        """
        dirty, self._dirty = self._dirty, {}
        for state in dirty.values():
            state.local_slots.release_idle()
            self._report_demand(now, state, False)
            if state.local_slots.has_idle():
                self._dirty[state.service_name] = state
        return self._drain_effects()

    def list_ready(self) -> list[str]:
        """List services with both an idle slot and a waiting request."""
        return [
            name
            for name, state in self._dirty.items()
            if state.local_slots.has_idle() and state.local_slots.has_waiting()
        ]

    def _mark_dirty(
        self, service_name: str
    ) -> _service_state.ServiceState | None:
        """Look up a service's state and mark it for the next flush."""
        state = self._states.get(service_name)
        if state is not None:
            self._dirty[service_name] = state
        return state

    def _choose_locally(
        self,
        now: float,
        state: _service_state.ServiceState,
        exclude: frozenset[str],
    ) -> _choice.Choice:
        owners = len(state.owners)
        return self._local_chooser.choose(now, state.pool, owners, exclude)

    def _explain_wait(
        self, now: float, state: _service_state.ServiceState
    ) -> _choice.Choice:
        if state.pool.is_unreachable(now):
            reason = _choice.ChoiceReason.UNREACHABLE_HERE
            return _choice.Choice(None, reason, state.find_peer())
        return _choice.Choice(None, _choice.ChoiceReason.NO_ROOM)

    def _report_demand(
        self, now: float, state: _service_state.ServiceState, is_tick: bool
    ) -> None:
        """Report held slots and waiting requests to the coordinator."""
        if self._settings.policy is not _settings.Policy.SLOTS:
            return
        if (
            not state.is_coordinator
            and not is_tick
            and self._is_bypassing(now, state)
        ):
            return
        demand = state.local_slots.build_demand(now, is_tick)
        if demand is None:
            return
        if state.is_coordinator:
            self._handle(demand, now, self._name, state)
        else:
            self._send(now, state.coordinator_name, demand)

    def _is_bypassing(
        self, now: float, state: _service_state.ServiceState
    ) -> bool:
        """Tell whether a spent byte budget rules out the coordinator.

        It may be the budget of the coordinator or of this instance.
        """
        if state.local_slots.is_bypassing(now):
            return True
        return (
            not state.is_coordinator
            and self._budget.get_remaining_fraction(now) <= 0
        )

    @functools.singledispatchmethod
    def _handle(
        self,
        message: message_module.PeerMessage,
        now: float,
        sender: str,
        state: _service_state.ServiceState,
    ) -> None:
        """Handle a message about a service's slots."""

    @_handle.register
    def _handle_demand(
        self,
        message: _messages.SlotDemand,
        now: float,
        sender: str,
        state: _service_state.ServiceState,
    ) -> None:
        if not state.is_coordinator:
            return
        for name in state.allocator.handle_demand(now, sender, message):
            self._record_decision(state.service_name, sender, name, 'ejected')
        self._grant(now, state)

    @_handle.register
    def _handle_grant(
        self,
        message: _messages.SlotGrant,
        now: float,
        sender: str,
        state: _service_state.ServiceState,
    ) -> None:
        if sender == state.coordinator_name:
            state.add_grant(now, message)

    @_handle.register
    def _handle_notice(
        self,
        message: _messages.SlotNotice,
        now: float,
        sender: str,
        state: _service_state.ServiceState,
    ) -> None:
        if sender != state.coordinator_name:
            return
        state.local_slots.record_contact(now)
        if message.alone_milliseconds:
            state.local_slots.bypass_coordinator(
                now, message.alone_milliseconds / 1000
            )

    def _grant(self, now: float, state: _service_state.ServiceState) -> None:
        if state.local_slots.is_bypassing(now):
            return
        fraction = self._budget.get_remaining_fraction(now)
        if fraction <= 0:
            self._suspend_granting(now, state)
            return
        for addressed in state.allocator.grant(now, fraction):
            if addressed.instance_name == self._name:
                state.add_grant(now, addressed.grant)
            else:
                self._send(now, addressed.instance_name, addressed.grant)

    def _suspend_granting(
        self, now: float, state: _service_state.ServiceState
    ) -> None:
        """Have all instances choose locally until the budget recovers."""
        seconds = self._budget.estimate_refill_seconds(now, _RESUME_FRACTION)
        state.local_slots.bypass_coordinator(now, seconds)
        number = _messages.compute_service_number(state.service_name)
        notice = _messages.SlotNotice(number, round(seconds * 1000))
        for instance_name in state.allocator.list_instances():
            if instance_name != self._name:
                self._send(now, instance_name, notice)
        self._record_decision(
            state.service_name, self._name, '', 'budget-spent'
        )

    def _send_keepalives(
        self, now: float, state: _service_state.ServiceState
    ) -> None:
        number = _messages.compute_service_number(state.service_name)
        for instance_name in state.allocator.tick(now):
            if instance_name != self._name:
                self._send(now, instance_name, _messages.SlotNotice(number))

    def _send(
        self, now: float, peer: str, message: message_module.PeerMessage
    ) -> None:
        self._budget.spend(now, len(codec.encode(message)))
        self._effects.append(effect.SendToPeer(peer, message))

    def _record_decision(
        self, service_name: str, subject: str, upstream_name: str, reason: str
    ) -> None:
        self._effects.append(
            effect.RecordDecision(
                _KIND, service_name, subject, upstream_name, reason
            )
        )

    def _drain_effects(self) -> list[object]:
        effects, self._effects = self._effects, []
        return effects
