"""Forwarding of requests to other instances.

A request that the receiver will run is sent only after the receiver has
issued a single-use ticket for it. If the message is delayed or duplicated on
its way, its ticket has expired or is used, and the request does not run.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from skylarkfold import metric
from skylarkfold import request as request_module
from skylarkfold.requests import _context
from skylarkfold.requests import _messages
from skylarkfold import verdict as verdict_module

ForwardKind = _messages.ForwardKind
ForwardStatus = _messages.ForwardStatus
EndedCallback = Callable[
    [float, ForwardStatus, request_module.Answer | None], None
]

_OUTCOMES_BY_VERDICT = {
    verdict_module.Verdict.RAN: request_module.Outcome.ANSWERED,
    verdict_module.Verdict.NOT_RUN: request_module.Outcome.REFUSED,
    verdict_module.Verdict.MAY_HAVE_RUN: request_module.Outcome.BROKEN,
}
_MAXIMUM_TICKETS = 10_000


@dataclasses.dataclass(slots=True)
class ForwardedRequest:
    """A request that is forwarded to a peer.

    :param peer: the name of the peer.
    :param boot_id: the boot ID of the peer's process.
    :param kind: what the peer is asked to do.
    :param request: the request.
    :param deadline: the caller's deadline by the local clock.
    :param on_ended: called once with the time, the status and the answer.
    :param claim_number: for ``RECALL``, the peer's claim to the key.
    :param is_sent: whether the request has left this instance.
    """

    peer: str
    boot_id: int
    kind: ForwardKind
    request: request_module.Request
    deadline: float
    on_ended: EndedCallback
    claim_number: int = 0
    is_sent: bool = False


class RequestForwarder:
    """Sender of forwarded requests, and issuer of tickets to peers.

    :param context: shared identity, settings and effects of the core.
    """

    def __init__(self, context: _context.Context) -> None:
        self._context = context
        self._outgoing: dict[int, ForwardedRequest] = {}
        self._ticket_expiries: dict[int, float] = {}
        self._last_forward_id = 0
        self._tickets_issued = 0

    def __len__(self) -> int:
        return len(self._outgoing)

    def send(self, now: float, forwarded: ForwardedRequest) -> int:
        """Forward a request to a peer.

        :param now: the current time.
        :param forwarded: the request and its destination.
        :returns: the ID of the forward.
        """
        self._last_forward_id += 1
        forward_id = self._last_forward_id
        self._outgoing[forward_id] = forwarded
        request = forwarded.request
        self._context.log(
            'pass',
            str(request.number),
            forwarded.kind.name.lower(),
            request.service,
            forwarded.peer,
        )
        if forwarded.kind is ForwardKind.RECALL:
            self._send_request(now, forward_id, forwarded, 0)
            return forward_id
        ticket_request = _messages.TicketRequestMessage(
            target_boot_id=forwarded.boot_id,
            boot_id=self._context.boot_id,
            forward_id=forward_id,
        )
        self._context.send(forwarded.peer, ticket_request)
        return forward_id

    def discard(self, forward_id: int) -> None:
        """Stop waiting for the answer to a forwarded request.

        :param forward_id: the ID of the forward.
        """
        self._outgoing.pop(forward_id, None)

    def issue_ticket(
        self,
        now: float,
        sender: str,
        ticket_request: _messages.TicketRequestMessage,
    ) -> None:
        """Issue a ticket for one forwarded request.

        :param now: the current time.
        :param sender: the name of the peer that asks for it.
        :param ticket_request: its request.
        """
        is_full = len(self._ticket_expiries) >= _MAXIMUM_TICKETS
        if ticket_request.target_boot_id != self._context.boot_id or is_full:
            return
        self._tickets_issued += 1
        ticket = self._context.draw(f'ticket|{self._tickets_issued}')
        self._ticket_expiries[ticket] = (
            now + self._context.settings.pause_seconds
        )
        ticket_message = _messages.TicketMessage(
            target_boot_id=ticket_request.boot_id,
            forward_id=ticket_request.forward_id,
            ticket=ticket,
        )
        self._context.send(sender, ticket_message)

    def use_ticket(
        self, now: float, sender: str, ticket_message: _messages.TicketMessage
    ) -> None:
        """Send the request for which a peer has issued a ticket.

        :param now: the current time.
        :param sender: the name of the peer that issued it.
        :param ticket_message: the ticket.
        """
        forwarded = self._find(
            sender, ticket_message.target_boot_id, ticket_message.forward_id
        )
        if forwarded is None or forwarded.is_sent or forwarded.deadline <= now:
            return
        self._send_request(
            now, ticket_message.forward_id, forwarded, ticket_message.ticket
        )

    def redeem_ticket(
        self, now: float, forwarded: _messages.ForwardMessage
    ) -> bool:
        """Invalidate a forwarded request's ticket and check its validity.

        :param now: the current time.
        :param forwarded: the peer's message.
        :returns: False if the ticket is used or expired; True for
            ``RECALL``, which needs none.
        """
        if forwarded.kind is ForwardKind.RECALL:
            return True
        expires_at = self._ticket_expiries.pop(forwarded.ticket, None)
        return expires_at is not None and now < expires_at

    def end(
        self, now: float, sender: str, ended: _messages.ForwardEndedMessage
    ) -> None:
        """Handle the answer to a forwarded request.

        :param now: the current time.
        :param sender: the name of the peer that sent it.
        :param ended: the message; dropped if nothing waits for it.
        """
        forwarded = self._find(sender, ended.target_boot_id, ended.forward_id)
        if forwarded is None or not forwarded.is_sent:
            self._context.count(metric.REQUESTS_LATE_ANSWERS)
            return
        del self._outgoing[ended.forward_id]
        forwarded.on_ended(now, ended.status, _read_answer(ended))

    def end_all_to(self, now: float, peer: str) -> None:
        """End all requests forwarded to a peer whose connection was lost.

        :param now: the current time.
        :param peer: the peer's name.
        """
        lost = [
            forward_id
            for forward_id, forwarded in self._outgoing.items()
            if forwarded.peer == peer
        ]
        for forward_id in lost:
            self._end_as_lost(now, forward_id)

    def tick(self, now: float) -> None:
        """End forwarded requests past their deadline; expire tickets.

        :param now: the current time.
        """
        expired = [
            forward_id
            for forward_id, forwarded in self._outgoing.items()
            if forwarded.deadline <= now
        ]
        for forward_id in expired:
            self._end_as_lost(now, forward_id)
        for ticket, expires_at in list(self._ticket_expiries.items()):
            if expires_at > now:
                break
            del self._ticket_expiries[ticket]

    def _find(
        self, sender: str, boot_id: int, forward_id: int
    ) -> ForwardedRequest | None:
        forwarded = self._outgoing.get(forward_id)
        if forwarded is None or forwarded.peer != sender:
            return None
        return forwarded if boot_id == self._context.boot_id else None

    def _end_as_lost(self, now: float, forward_id: int) -> None:
        forwarded = self._outgoing.pop(forward_id, None)
        if forwarded is None:
            return
        status = (
            ForwardStatus.LOST if forwarded.is_sent else ForwardStatus.UNSENT
        )
        forwarded.on_ended(now, status, None)

    def _send_request(
        self,
        now: float,
        forward_id: int,
        forwarded: ForwardedRequest,
        ticket: int,
    ) -> None:
        request = forwarded.request
        forwarded.is_sent = True
        message = _messages.ForwardMessage(
            kind=forwarded.kind,
            target_boot_id=forwarded.boot_id,
            boot_id=self._context.boot_id,
            forward_id=forward_id,
            ticket=ticket,
            claim_number=forwarded.claim_number,
            timeout_ms=max(0, int((forwarded.deadline - now) * 1000)),
            service=request.service,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            key=request.key,
            idempotent=request.idempotent,
            priority=request.priority,
        )
        self._context.send(forwarded.peer, message)


def read_request(
    forwarded: _messages.ForwardMessage, number: int
) -> request_module.Request:
    """Return the request that a peer has forwarded.

    :param forwarded: the message.
    :param number: the number of the request on this instance.
    :returns: the request.
    """
    return request_module.Request(
        number=number,
        service=forwarded.service,
        method=forwarded.method,
        target=forwarded.target,
        headers=forwarded.headers,
        body=forwarded.body,
        key=forwarded.key,
        idempotent=forwarded.idempotent,
        priority=forwarded.priority,
        timeout_seconds=forwarded.timeout_ms / 1000,
    )


def get_outcome(
    status: ForwardStatus, answer: request_module.Answer | None
) -> request_module.Outcome:
    """Return the outcome of a forwarded request as an attempt.

    :param status: how the forward ended.
    :param answer: the peer's answer.
    :returns: the outcome; its verdict is ``NOT_RUN`` only if the request was
        not sent or the peer itself answered so.
    """
    if status is ForwardStatus.UNSENT:
        return request_module.Outcome.UNREACHABLE
    if status is not ForwardStatus.ANSWERED or answer is None:
        return request_module.Outcome.BROKEN
    return _OUTCOMES_BY_VERDICT[answer.verdict]


def _read_answer(
    ended: _messages.ForwardEndedMessage,
) -> request_module.Answer | None:
    if ended.status is not ForwardStatus.ANSWERED:
        return None
    return request_module.Answer(
        verdict=ended.verdict,
        status=ended.answer_status,
        headers=ended.headers,
        body=ended.body,
        code=ended.code,
        retry_after_seconds=ended.retry_after_seconds,
    )
