"""The choice of an upstream, for all services of an instance."""

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
_RESUMED_SHARE = 0.5


class Selector:
    """Chooses upstreams for requests and shares slots with the peers.

    :param instance: this instance.
    :param settings: the policy and its limits.
    :param seed: sets all random draws.
    """

    def __init__(
        self,
        instance: instance_module.InstanceSettings,
        settings: _settings.SelectionSettings,
        seed: int,
    ) -> None:
        self._name = instance.name
        self._settings = settings
        self._local = _local_chooser.LocalChooser(
            settings, random.Random(seed)
        )
        self._finder = _coordinator.HomeFinder()
        self._shares: dict[str, _service_state.ServiceShare] = {}
        self._services: dict[int, str] = {}
        self._budget = _byte_budget.ByteBudget(
            settings.control_bytes_per_second
        )
        self._effects: list[object] = []
        self._touched: dict[str, _service_state.ServiceShare] = {}

    def configure(
        self, service: service_module.Service, owners: tuple[str, ...]
    ) -> None:
        """Take a service's newer configuration or the newer members.

        :param service: the service.
        :param owners: the members that may own state.
        """
        share = self._shares.get(service.name)
        if share is None:
            share = _service_state.ServiceShare(
                service.name, self._name, self._settings, self._finder
            )
            self._shares[service.name] = share
            number = _messages.number_service(service.name)
            self._services[number] = service.name
        self._touched[service.name] = share
        if share.configure(service, owners):
            self._log(service.name, share.home, '', 'home-changed')

    def remove(self, service_name: str) -> None:
        """Forget a service that is configured no longer.

        :param service_name: the service.
        """
        self._shares.pop(service_name, None)
        self._touched.pop(service_name, None)
        self._services.pop(_messages.number_service(service_name), None)

    def choose(
        self, now: float, service_name: str, exclude: frozenset[str]
    ) -> _choice.Choice:
        """Choose where the next request of a service may go.

        :param now: the present time.
        :param service_name: the service.
        :param exclude: upstreams that must not be chosen.
        :returns: the choice; a slot counts as used at the dispatch.
        """
        share = self._touch(service_name)
        if share is None:
            return _choice.Choice(None, _choice.ChoiceReason.NO_SERVICE)
        if not share.pool.list_active():
            return _choice.Choice(None, _choice.ChoiceReason.NO_UPSTREAM)
        if self._settings.policy is not _settings.Policy.SLOTS:
            return self._choose_alone(now, share, exclude)
        name = share.find_slot(exclude)
        if name is None and self._is_alone(now, share):
            return self._choose_alone(now, share, exclude)
        if name is None and share.is_home:
            share.holder.record_unmet(exclude)
            self._exchange(now, share, False)
            name = share.find_slot(exclude)
        if name is not None:
            upstream = share.pool.get(name).upstream
            return _choice.Choice(upstream, _choice.ChoiceReason.SLOT_HELD)
        if not share.is_home and share.holder.is_home_silent(now):
            return self._choose_alone(now, share, exclude)
        share.holder.record_unmet(exclude)
        return self._wait(now, share)

    def record_waiting(
        self, now: float, service_name: str, waiting: admission.WaitingCounts
    ) -> None:
        """Note how many requests wait here for a service.

        :param now: the present time.
        :param service_name: the service.
        :param waiting: a count for each class.
        """
        share = self._touch(service_name)
        if share is not None:
            share.holder.record_waiting(waiting)

    def record_dispatch(
        self, now: float, service_name: str, upstream_name: str
    ) -> None:
        """Note that a request was sent.

        :param now: the present time.
        :param service_name: its service.
        :param upstream_name: the upstream that was chosen.
        """
        share = self._touch(service_name)
        record = None if share is None else share.pool.get(upstream_name)
        if record is None:
            return
        record.record_dispatch()
        share.holder.record_dispatch(upstream_name)

    def record_outcome(
        self,
        now: float,
        service_name: str,
        upstream_name: str,
        outcome: request.Outcome,
        elapsed_seconds: float,
    ) -> None:
        """Note how a request that was sent has ended.

        :param now: the present time.
        :param service_name: its service.
        :param upstream_name: where it was sent.
        :param outcome: how it ended.
        :param elapsed_seconds: since its dispatch.
        """
        share = self._touch(service_name)
        if share is None:
            return
        share.holder.record_outcome(upstream_name, outcome, elapsed_seconds)
        record = share.pool.get(upstream_name)
        if record is None:
            return
        record.running = max(0, record.running - 1)
        is_ejected = share.pool.record_outcome(
            now, upstream_name, outcome, elapsed_seconds
        )
        if is_ejected:
            self._log(service_name, self._name, upstream_name, 'ejected-here')

    def record_load(self, now: float, report: event.LoadReported) -> None:
        """Note what an upstream's endpoints said.

        :param now: the present time.
        :param report: the report, which may lag or mislead.
        """
        share = self._shares.get(report.service)
        if share is not None:
            share.record_report(report)

    def handle_message(
        self, now: float, sender: str, message: message_module.PeerMessage
    ) -> list[object]:
        """Take a peer's message; then ask :meth:`choose` for what waits.

        :param now: the present time.
        :param sender: the peer.
        :param message: one of ``MESSAGES``; others are ignored.
        :returns: effects.
        """
        name = self._services.get(getattr(message, 'service', -1))
        if name is not None:
            self._budget.spend(now, len(codec.encode(message)))
            self._take(message, now, sender, self._touch(name))
        return self._collect()

    def handle_peer_lost(self, now: float, peer: str) -> list[object]:
        """Note that a peer can't be reached for now.

        :param now: the present time.
        :param peer: its name.
        :returns: effects.
        """
        for name, share in self._shares.items():
            if share.home == peer:
                share.holder.lose_home()
                self._log(name, peer, '', 'home-lost')
        return self._collect()

    def tick(self, now: float) -> list[object]:
        """Let time pass; then ask :meth:`choose` for what waits.

        :param now: the present time.
        :returns: effects.
        """
        for share in self._shares.values():
            if share.holder.is_used:
                self._exchange(now, share, True)
            if not share.is_home:
                continue
            share.broker.begin(now)
            if share.broker.is_used:
                self._grant(now, share)
                self._reassure(now, share)
        return self._collect()

    def flush(self, now: float) -> list[object]:
        """Give back unused slots and tell the homes what changed.

        To be called after each event, when nothing more can be sent.

        :param now: the present time.
        :returns: effects.
        """
        touched, self._touched = self._touched, {}
        for share in touched.values():
            share.holder.release_idle()
            self._exchange(now, share, False)
            if share.holder.has_idle():
                self._touched[share.service_name] = share
        return self._collect()

    def list_ready(self) -> list[str]:
        """List services with an unused slot and a request that waits."""
        return [
            name
            for name, share in self._touched.items()
            if share.holder.has_idle() and share.holder.has_waiting()
        ]

    def _touch(self, service_name: str) -> _service_state.ServiceShare | None:
        """Look a service up and have the next flush see to it."""
        share = self._shares.get(service_name)
        if share is not None:
            self._touched[service_name] = share
        return share

    def _choose_alone(
        self,
        now: float,
        share: _service_state.ServiceShare,
        exclude: frozenset[str],
    ) -> _choice.Choice:
        owners = len(share.owners)
        return self._local.choose(now, share.pool, owners, exclude)

    def _wait(
        self, now: float, share: _service_state.ServiceShare
    ) -> _choice.Choice:
        if share.pool.is_out_of_reach(now):
            reason = _choice.ChoiceReason.UNREACHABLE_HERE
            return _choice.Choice(None, reason, share.find_peer())
        return _choice.Choice(None, _choice.ChoiceReason.NO_ROOM)

    def _exchange(
        self, now: float, share: _service_state.ServiceShare, is_tick: bool
    ) -> None:
        """Tell the home of a service what is held and wanted here."""
        if self._settings.policy is not _settings.Policy.SLOTS:
            return
        if not share.is_home and not is_tick and self._is_alone(now, share):
            return
        demand = share.holder.build_demand(now, is_tick)
        if demand is None:
            return
        if share.is_home:
            self._take(demand, now, self._name, share)
        else:
            self._send(now, share.home, demand)

    def _is_alone(
        self, now: float, share: _service_state.ServiceShare
    ) -> bool:
        """Tell whether the byte budget of the home or here is spent."""
        if share.holder.is_alone(now):
            return True
        return not share.is_home and self._budget.measure_share(now) <= 0

    @functools.singledispatchmethod
    def _take(
        self,
        message: message_module.PeerMessage,
        now: float,
        sender: str,
        share: _service_state.ServiceShare,
    ) -> None:
        """Take one message about a service's slots."""

    @_take.register
    def _take_demand(
        self,
        message: _messages.SlotDemand,
        now: float,
        sender: str,
        share: _service_state.ServiceShare,
    ) -> None:
        if not share.is_home:
            return
        for name in share.broker.handle_demand(now, sender, message):
            self._log(share.service_name, sender, name, 'ejected')
        self._grant(now, share)

    @_take.register
    def _take_grant(
        self,
        message: _messages.SlotGrant,
        now: float,
        sender: str,
        share: _service_state.ServiceShare,
    ) -> None:
        if sender == share.home:
            share.take_grant(now, message)

    @_take.register
    def _take_notice(
        self,
        message: _messages.SlotNotice,
        now: float,
        sender: str,
        share: _service_state.ServiceShare,
    ) -> None:
        if sender != share.home:
            return
        share.holder.hear(now)
        if message.alone_milliseconds:
            share.holder.go_alone(now, message.alone_milliseconds / 1000)

    def _grant(self, now: float, share: _service_state.ServiceShare) -> None:
        if share.holder.is_alone(now):
            return
        left = self._budget.measure_share(now)
        if left <= 0:
            self._send_alone(now, share)
            return
        for granted in share.broker.grant(now, left):
            if granted.holder == self._name:
                share.take_grant(now, granted.grant)
            else:
                self._send(now, granted.holder, granted.grant)

    def _send_alone(
        self, now: float, share: _service_state.ServiceShare
    ) -> None:
        """Have all instances choose alone until the budget is better."""
        seconds = self._budget.foretell_seconds(now, _RESUMED_SHARE)
        share.holder.go_alone(now, seconds)
        number = _messages.number_service(share.service_name)
        notice = _messages.SlotNotice(number, round(seconds * 1000))
        for holder in share.broker.list_holders():
            if holder != self._name:
                self._send(now, holder, notice)
        self._log(share.service_name, self._name, '', 'budget-spent')

    def _reassure(
        self, now: float, share: _service_state.ServiceShare
    ) -> None:
        number = _messages.number_service(share.service_name)
        for holder in share.broker.tick(now):
            if holder != self._name:
                self._send(now, holder, _messages.SlotNotice(number))

    def _send(
        self, now: float, peer: str, message: message_module.PeerMessage
    ) -> None:
        self._budget.spend(now, len(codec.encode(message)))
        self._effects.append(effect.SendToPeer(peer, message))

    def _log(
        self, service_name: str, subject: str, upstream_name: str, reason: str
    ) -> None:
        self._effects.append(
            effect.RecordDecision(
                _KIND, service_name, subject, upstream_name, reason
            )
        )

    def _collect(self) -> list[object]:
        effects, self._effects = self._effects, []
        return effects
