"""The request core: turns events into decisions about requests."""

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
from skylarkfold.requests import _claim_client
from skylarkfold.requests import _context
from skylarkfold.requests import _execution
from skylarkfold.requests import _executor
from skylarkfold.requests import _forwarder
from skylarkfold.requests import _holder_manager
from skylarkfold.requests import _holders
from skylarkfold.requests import _keyed_requests
from skylarkfold.requests import _messages
from skylarkfold.requests import _router
from skylarkfold.requests import _settings
from skylarkfold.requests import _shutdown
from skylarkfold.requests import _vote_table
from skylarkfold.requests import _voter

ForwardKind = _messages.ForwardKind
ForwardStatus = _messages.ForwardStatus
EventHandler = Callable[[float, typing.Any], None]
MessageHandler = Callable[[float, str, typing.Any], None]


class RequestCore:
    """Sans-I/O core that maps events about requests to effects.

    :param instance: the identity of this instance.
    :param settings: the request settings.
    :param seed: differs between processes, also between successive processes
        of one instance name.
    """

    def __init__(
        self,
        instance: instance_module.InstanceSettings,
        settings: _settings.RequestSettings,
        seed: int,
    ) -> None:
        self.context = _context.Context(instance, settings, seed)
        self.vote_table = _vote_table.VoteTable(settings)
        self.holder_manager = _holder_manager.HolderManager(
            self.context, self.vote_table
        )
        self.forwarder = _forwarder.RequestForwarder(self.context)
        self.executor = _executor.RequestExecutor(
            self.context, self._end, self._forward
        )
        self.keyed_requests = _keyed_requests.KeyedRequests(
            self.context,
            _claim_client.ClaimClient(
                self.context,
                self.vote_table,
                lambda: self.holder_manager.holders,
            ),
            self.executor,
            self.forwarder,
        )
        self._configuration = configuration_module.EMPTY
        self._membership = member.EMPTY
        self._shutdown = _shutdown.Shutdown(
            self.context,
            self.executor,
            self.keyed_requests,
            self.forwarder,
            self.holder_manager,
        )
        self.router = _router.RequestRouter(
            self.context,
            self.executor,
            self.keyed_requests,
            self.forwarder,
            self._shutdown,
        )
        self.voter = _voter.Voter(
            self.context, self.vote_table, lambda: self.holder_manager.holders
        )
        self._ready_at: float | None = None
        self._is_ready_overdue = False
        self._event_handlers = self._build_event_handlers()
        self._message_handlers = self._build_message_handlers()

    @property
    def is_stopping(self) -> bool:
        """Return whether the instance was asked to stop."""
        return self._shutdown.has_begun

    @property
    def is_ready(self) -> bool:
        """Return whether the instance may take traffic.

        It waits for a list of holders, which keyed requests need, but only
        for ``ready_seconds``: other traffic must be served while the platform
        is unavailable.
        """
        return (
            self.holder_manager.holders is not None or self._is_ready_overdue
        )

    @property
    def is_finished(self) -> bool:
        """Return whether the stop is complete."""
        return self._shutdown.is_finished

    def handle(self, now: float, received: object) -> list[object]:
        """Handle one event.

        :param now: the time in seconds of a monotonic clock.
        :param received: an event of :mod:`skylarkfold.event`; events of
            other types are ignored.
        :returns: effects of :mod:`skylarkfold.effect`, in order.
        """
        self.router.detect_pause(now)
        handler = self._event_handlers.get(type(received))
        if handler is not None:
            handler(now, received)
        self.executor.flush(now)
        self._shutdown.advance(now)
        produced = self.context.effects[:]
        self.context.effects.clear()
        return produced

    def _build_event_handlers(self) -> dict[type, EventHandler]:
        return {
            event.RequestReceived: self._receive,
            event.RequestCancelled: self._cancel,
            event.AttemptEnded: self.executor.end_attempt,
            event.LoadReported: self.executor.record_load,
            event.ConfigurationChanged: self._configure,
            event.MembershipChanged: self._update_membership,
            event.ObjectChanged: self._update_object,
            event.WriteEnded: self._end_write,
            event.PeerLost: self._handle_peer_lost,
            event.PeerMessageReceived: self._handle_message,
            event.StopRequested: self._begin_stop,
            event.Tick: self._tick,
        }

    def _build_message_handlers(self) -> dict[type, MessageHandler]:
        return {
            _messages.ClaimMessage: self.voter.handle_claim,
            _messages.VoteMessage: self.keyed_requests.record_vote,
            _messages.ReleaseMessage: self.voter.handle_release,
            _messages.ForwardMessage: self.router.handle_forward,
            _messages.ForwardEndedMessage: self.forwarder.end,
            _messages.TransferRequestMessage: self.holder_manager.send_votes,
            _messages.VoteTransferMessage: self.holder_manager.record_votes,
            _messages.ReportMessage: self.holder_manager.record_report,
            _messages.KeyHandoverMessage: self.keyed_requests.accept_handover,
            _messages.HoldersMessage: self._handle_holders,
            _messages.TicketRequestMessage: self.forwarder.issue_ticket,
            _messages.TicketMessage: self.forwarder.use_ticket,
        }

    def _receive(self, now: float, received: event.RequestReceived) -> None:
        request = received.request
        requester = _context.Requester('', 0, request.number)
        self.router.receive(now, request, requester)

    def _cancel(self, now: float, cancelled: event.RequestCancelled) -> None:
        self.router.cancel(now, cancelled.request)

    def _handle_message(
        self, now: float, received: event.PeerMessageReceived
    ) -> None:
        """Dispatch a message to its handler, by default the selector's."""
        handler = self._message_handlers.get(
            type(received.message), self.executor.handle_message
        )
        handler(now, received.sender, received.message)

    def _configure(
        self, now: float, changed: event.ConfigurationChanged
    ) -> None:
        self._configuration = changed.configuration
        self._configure_executor(now)

    def _update_membership(
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
            self.vote_table.close()
        for peer in sorted(before - self.context.reachable):
            self.forwarder.end_all_to(now, peer)
        self.holder_manager.update_membership(membership)
        self._shutdown.update_membership(membership)
        if membership.list_owners() != owners:
            self._configure_executor(now)

    def _update_object(self, now: float, changed: event.ObjectChanged) -> None:
        stored = changed.stored
        if stored.path == _holders.PATH:
            self._update_holders(now, stored)
        elif stored.path == _holders.GONE_PATH:
            self.holder_manager.update_declared_gone(stored.value)

    def _handle_holders(
        self, now: float, sender: str, message: _messages.HoldersMessage
    ) -> None:
        self._update_holders(now, message)

    def _update_holders(
        self,
        now: float,
        stored: platform_api.StoredObject | _messages.HoldersMessage,
    ) -> None:
        if self.holder_manager.update_list(
            now, stored.revision, stored.version, stored.value
        ):
            self.keyed_requests.renew_claims(now)

    def _end_write(self, now: float, ended: event.WriteEnded) -> None:
        if self.holder_manager.end_write(now, ended):
            self.keyed_requests.renew_claims(now)

    def _handle_peer_lost(self, now: float, lost: event.PeerLost) -> None:
        self.forwarder.end_all_to(now, lost.peer)
        self.executor.handle_peer_lost(now, lost.peer)
        self.keyed_requests.handle_peer_lost(now, lost.peer)

    def _begin_stop(self, now: float, requested: event.StopRequested) -> None:
        self._shutdown.begin(now)

    def _tick(self, now: float, ticked: event.Tick) -> None:
        if self._ready_at is None:
            self._ready_at = now + self.context.settings.ready_seconds
        self._is_ready_overdue = now >= self._ready_at
        self.executor.tick(now)
        self.keyed_requests.tick(now)
        self.forwarder.tick(now)
        self.vote_table.expire(now)
        self.holder_manager.tick(now)

    def _forward(
        self,
        now: float,
        execution: _execution.Execution,
        peer: str,
        attempt: int,
    ) -> int:
        holders = self.holder_manager.holders
        holder = holders.find(peer) if holders else None
        if holder is None or peer not in self.context.reachable:
            return 0
        forwarded = _forwarder.ForwardedRequest(
            peer=peer,
            boot_id=holder.boot_id,
            kind=ForwardKind.RUN,
            request=execution.request,
            deadline=execution.deadline,
            on_ended=functools.partial(self._end_forwarded, attempt=attempt),
        )
        return self.forwarder.send(now, forwarded)

    def _end_forwarded(
        self,
        now: float,
        status: ForwardStatus,
        answer: request_module.Answer | None,
        attempt: int,
    ) -> None:
        outcome = _forwarder.get_outcome(status, answer)
        ended = event.AttemptEnded(attempt, outcome, answer)
        self.executor.end_attempt(now, ended)

    def _configure_executor(self, now: float) -> None:
        owners = tuple(self._membership.list_owners())
        self.executor.configure(now, self._configuration.services, owners)

    def _end(
        self,
        now: float,
        execution: _execution.Execution,
        answer: request_module.Answer,
    ) -> None:
        number = execution.request.number
        if self.keyed_requests.end_execution(now, number, answer):
            return
        self.router.send_answer(number, answer)
