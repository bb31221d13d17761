"""The request core: one instance's decisions about requests."""

from __future__ import annotations

from collections.abc import Callable
import functools
import typing

from skylarkfold import configuration as configuration_module
from skylarkfold import event
from skylarkfold import instance as instance_module
from skylarkfold import member
from skylarkfold import platform_api
from skylarkfold import request as request_module
from skylarkfold.requests import _claimant
from skylarkfold.requests import _context
from skylarkfold.requests import _exchange
from skylarkfold.requests import _holders
from skylarkfold.requests import _keys
from skylarkfold.requests import _lifecycle
from skylarkfold.requests import _messages
from skylarkfold.requests import _passes
from skylarkfold.requests import _reception
from skylarkfold.requests import _register
from skylarkfold.requests import _settings
from skylarkfold.requests import _stop
from skylarkfold.requests import _succession
from skylarkfold.requests import _voter

PassKind = _messages.PassKind
PassStatus = _messages.PassStatus
Taker = Callable[[float, typing.Any], None]
MessageTaker = Callable[[float, str, typing.Any], None]


class RequestCore:
    """Takes events about requests and decides what to do.

    :param instance: who this instance is.
    :param settings: the request settings.
    :param seed: differs between processes, also between two that bear the
        same name one after the other.
    """

    def __init__(
        self,
        instance: instance_module.InstanceSettings,
        settings: _settings.RequestSettings,
        seed: int,
    ) -> None:
        self.context = _context.Context(instance, settings, seed)
        self.register = _register.Register(settings)
        self.succession = _succession.Succession(self.context, self.register)
        self.passes = _passes.Passes(self.context)
        self.lifecycle = _lifecycle.Lifecycle(
            self.context, self._end, self._pass_on
        )
        self.keys = _keys.Keys(
            self.context,
            _claimant.Claimant(
                self.context, self.register, lambda: self.succession.holders
            ),
            self.lifecycle,
            self.passes,
        )
        self._configuration = configuration_module.EMPTY
        self._membership = member.EMPTY
        self._stop = _stop.Stop(
            self.context,
            self.lifecycle,
            self.keys,
            self.passes,
            self.succession,
        )
        self.reception = _reception.Reception(
            self.context, self.lifecycle, self.keys, self.passes, self._stop
        )
        self.voter = _voter.Voter(
            self.context, self.register, lambda: self.succession.holders
        )
        self._ready_at: float | None = None
        self._is_overdue = False
        self._takers = self._list_event_takers()
        self._message_takers = self._list_message_takers()

    @property
    def is_stopping(self) -> bool:
        """Tell whether the instance was asked to stop."""
        return self._stop.is_begun

    @property
    def is_ready(self) -> bool:
        """Tell whether keyed requests can be served, or must not wait.

        Without the platform no list of holders may come for long; all
        other traffic has to be served then.
        """
        return self.succession.holders is not None or self._is_overdue

    @property
    def is_finished(self) -> bool:
        """Tell whether nothing is left to finish or hand on."""
        return self._stop.is_finished

    def handle(self, now: float, received: object) -> list[object]:
        """Take one event.

        :param now: the time in seconds of a monotonic clock.
        :param received: an event of :mod:`skylarkfold.event`; others are
            ignored.
        :returns: effects of :mod:`skylarkfold.effect`, in order.
        """
        self.reception.notice_pause(now)
        take = self._takers.get(type(received))
        if take is not None:
            take(now, received)
        self.lifecycle.flush(now)
        self._stop.finish(now)
        produced = self.context.effects[:]
        self.context.effects.clear()
        return produced

    def _list_event_takers(self) -> dict[type, Taker]:
        return {
            event.RequestReceived: self._receive,
            event.RequestCancelled: self._cancel,
            event.AttemptEnded: self.lifecycle.end_attempt,
            event.LoadReported: self.lifecycle.record_load,
            event.ConfigurationChanged: self._configure,
            event.MembershipChanged: self._observe_membership,
            event.ObjectChanged: self._observe_object,
            event.WriteEnded: self._end_write,
            event.PeerLost: self._lose_peer,
            event.PeerMessageReceived: self._take_message,
            event.StopRequested: self._begin_stop,
            event.Tick: self._tick,
        }

    def _list_message_takers(self) -> dict[type, MessageTaker]:
        return {
            _messages.ClaimMessage: self.voter.vote,
            _messages.VoteMessage: self.keys.record_vote,
            _messages.ReleaseMessage: self.voter.release,
            _messages.PassMessage: self.reception.take_pass,
            _messages.PassEndedMessage: self.passes.end,
            _messages.InheritMessage: self.succession.tell_votes,
            _messages.InheritedMessage: self.succession.take_votes,
            _messages.ReportMessage: self.succession.take_report,
            _messages.HandOnMessage: self.keys.take_over,
            _messages.HoldersMessage: self._take_holders,
            _messages.TicketRequestMessage: self.passes.issue,
            _messages.TicketMessage: self.passes.use_ticket,
        }

    def _receive(self, now: float, received: event.RequestReceived) -> None:
        request = received.request
        own = _context.Asker('', 0, request.number)
        self.reception.receive(now, request, own)

    def _cancel(self, now: float, cancelled: event.RequestCancelled) -> None:
        self.reception.cancel(now, cancelled.request)

    def _take_message(
        self, now: float, received: event.PeerMessageReceived
    ) -> None:
        """Hand a message to what decides; those unknown concern slots."""
        take = self._message_takers.get(
            type(received.message), self.lifecycle.handle_message
        )
        take(now, received.sender, received.message)

    def _configure(
        self, now: float, changed: event.ConfigurationChanged
    ) -> None:
        self._configuration = changed.configuration
        self._configure_lifecycle(now)

    def _observe_membership(
        self, now: float, changed: event.MembershipChanged
    ) -> None:
        membership = changed.membership
        owners = self._membership.list_owners()
        self._membership = membership
        before = self.context.reachable
        self.context.reachable = frozenset(
            each.name
            for each in membership.members.values()
            if each.state.is_reachable and each.name != self.context.name
        )
        own = membership.members.get(self.context.name)
        if own is not None and own.state is member.MemberState.LEFT:
            self.register.close()
        for peer in sorted(before - self.context.reachable):
            self.passes.lose(now, peer)
        self.succession.observe_membership(membership)
        self._stop.observe_membership(membership)
        if membership.list_owners() != owners:
            self._configure_lifecycle(now)

    def _observe_object(
        self, now: float, changed: event.ObjectChanged
    ) -> None:
        known = changed.stored
        if known.path == _holders.PATH:
            self._observe_holders(now, known)
        elif known.path == _holders.GONE_PATH:
            self.succession.observe_gone(known.value)

    def _take_holders(
        self, now: float, sender: str, told: _messages.HoldersMessage
    ) -> None:
        self._observe_holders(now, told)

    def _observe_holders(
        self,
        now: float,
        known: platform_api.StoredObject | _messages.HoldersMessage,
    ) -> None:
        if self.succession.observe(
            now, known.revision, known.version, known.value
        ):
            self.keys.renew_claims(now)

    def _end_write(self, now: float, ended: event.WriteEnded) -> None:
        if self.succession.end_write(now, ended):
            self.keys.renew_claims(now)

    def _lose_peer(self, now: float, lost: event.PeerLost) -> None:
        self.passes.lose(now, lost.peer)
        self.lifecycle.handle_peer_lost(now, lost.peer)
        self.keys.handle_peer_lost(now, lost.peer)

    def _begin_stop(self, now: float, requested: event.StopRequested) -> None:
        self._stop.begin(now)

    def _tick(self, now: float, ticked: event.Tick) -> None:
        if self._ready_at is None:
            self._ready_at = now + self.context.settings.ready_seconds
        self._is_overdue = now >= self._ready_at
        self.lifecycle.tick(now)
        self.keys.tick(now)
        self.passes.tick(now)
        self.register.expire(now)
        self.succession.tick(now)

    def _pass_on(
        self,
        now: float,
        exchange: _exchange.Exchange,
        peer: str,
        attempt: int,
    ) -> int:
        holders = self.succession.holders
        holder = holders.find(peer) if holders else None
        if holder is None or peer not in self.context.reachable:
            return 0
        passed = _passes.Pass(
            peer=peer,
            boot=holder.boot,
            kind=PassKind.RUN,
            request=exchange.request,
            deadline=exchange.deadline,
            ended=functools.partial(self._end_passed_on, attempt=attempt),
        )
        return self.passes.send(now, passed)

    def _end_passed_on(
        self,
        now: float,
        status: PassStatus,
        answer: request_module.Answer | None,
        attempt: int,
    ) -> None:
        outcome = _passes.judge(status, answer)
        ended = event.AttemptEnded(attempt, outcome, answer)
        self.lifecycle.end_attempt(now, ended)

    def _configure_lifecycle(self, now: float) -> None:
        owners = tuple(self._membership.list_owners())
        self.lifecycle.configure(now, self._configuration.services, owners)

    def _end(
        self,
        now: float,
        exchange: _exchange.Exchange,
        answer: request_module.Answer,
    ) -> None:
        number = exchange.request.number
        if self.keys.end_exchange(now, number, answer):
            return
        self.reception.answer(number, answer)
