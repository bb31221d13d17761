"""Routing of received requests to the part of the core that handles them."""

from __future__ import annotations

from skylarkfold import metric
from skylarkfold import request as request_module
from skylarkfold.requests import _answers
from skylarkfold.requests import _context
from skylarkfold.requests import _executor
from skylarkfold.requests import _forwarder
from skylarkfold.requests import _keyed_requests
from skylarkfold.requests import _messages
from skylarkfold.requests import _shutdown
from skylarkfold import verdict as verdict_module

ErrorCode = _answers.ErrorCode
ForwardKind = _messages.ForwardKind
ForwardStatus = _messages.ForwardStatus
Verdict = verdict_module.Verdict


class RequestRouter:
    """Entry point of requests from callers and of those peers forward.

    :param context: shared identity, settings and effects of the core.
    :param executor: runs requests without a key.
    :param keyed_requests: handles requests that may run only once.
    :param forwarder: checks the tickets of forwarded requests.
    :param shutdown: refuses or forwards requests during the stop.
    """

    __slots__ = (
        '_context',
        '_executor',
        '_forwarder',
        '_keyed_requests',
        '_last_event_at',
        '_last_forwarded_number',
        '_remote_requesters',
        '_resumed_until',
        '_shutdown',
    )

    def __init__(
        self,
        context: _context.Context,
        executor: _executor.RequestExecutor,
        keyed_requests: _keyed_requests.KeyedRequests,
        forwarder: _forwarder.RequestForwarder,
        shutdown: _shutdown.Shutdown,
    ) -> None:
        self._context = context
        self._executor = executor
        self._keyed_requests = keyed_requests
        self._forwarder = forwarder
        self._shutdown = shutdown
        self._remote_requesters: dict[int, _context.Requester] = {}
        self._last_forwarded_number = 0
        self._last_event_at: float | None = None
        self._resumed_until = 0.0

    def detect_pause(self, now: float) -> None:
        """Detect a pause of the process by the time since the last event.

        Keyed requests that arrive right after it may have waited for long, so
        they are refused for ``woken_seconds``.

        :param now: the time of the event.
        """
        settings = self._context.settings
        last, self._last_event_at = self._last_event_at, now
        if last is not None and now - last > settings.pause_seconds:
            self._resumed_until = now + settings.woken_seconds
            self._context.count(metric.REQUESTS_PAUSES)

    def receive(
        self,
        now: float,
        request: request_module.Request,
        requester: _context.Requester,
    ) -> None:
        """Handle a request of a caller or one that a peer received.

        :param now: the current time.
        :param request: the request.
        :param requester: the caller or peer that waits for its answer.
        """
        deadline = now + self._limit_timeout(request)
        is_keyed = bool(request.key) and not request.idempotent
        if is_keyed and now < self._resumed_until:
            self._context.refuse(
                requester, Verdict.MAY_HAVE_RUN, ErrorCode.PAUSED
            )
        elif self._shutdown.has_begun:
            self._shutdown.refuse_or_forward(now, request, requester, deadline)
        elif is_keyed:
            self._keyed_requests.receive(now, request, requester, deadline)
        else:
            self._run(now, request, requester, deadline)

    def cancel(self, now: float, number: int) -> None:
        """Cancel the request of a caller that has disconnected.

        :param now: the current time.
        :param number: the request's number.
        """
        requester = _context.Requester('', 0, number)
        if not self._keyed_requests.cancel(now, requester):
            self._executor.cancel(now, number)

    def handle_forward(
        self, now: float, sender: str, forwarded: _messages.ForwardMessage
    ) -> None:
        """Handle a request that a peer forwarded.

        :param now: the current time.
        :param sender: the peer's name.
        :param forwarded: the message with the request.
        """
        requester = _context.Requester(
            sender, forwarded.boot_id, forwarded.forward_id
        )
        if forwarded.target_boot_id != self._context.boot_id:
            self._send_forward_ended(requester, ForwardStatus.UNKNOWN)
            return
        if not self._forwarder.redeem_ticket(now, forwarded):
            self._context.count(metric.REQUESTS_STALE_PASSES)
            return
        self._last_forwarded_number -= 1
        request = _forwarder.read_request(
            forwarded, self._last_forwarded_number
        )
        if forwarded.kind is ForwardKind.RECALL:
            self._recall(now, request, requester, forwarded.claim_number)
        elif forwarded.kind is ForwardKind.RECEIVE:
            self.receive(now, request, requester)
        elif self._shutdown.has_begun:
            self._context.refuse(
                requester, Verdict.NOT_RUN, ErrorCode.STOPPING
            )
        else:
            deadline = now + self._limit_timeout(request)
            self._run(now, request, requester, deadline)

    def send_answer(self, number: int, answer: request_module.Answer) -> None:
        """Send the answer of an unkeyed request to its requester.

        :param number: the request's number.
        :param answer: its answer.
        """
        caller = _context.Requester('', 0, number)
        self._context.reply(
            self._remote_requesters.pop(number, caller), answer
        )

    def _run(
        self,
        now: float,
        request: request_module.Request,
        requester: _context.Requester,
        deadline: float,
    ) -> None:
        if requester.peer:
            self._remote_requesters[request.number] = requester
        self._executor.begin(now, request, deadline)

    def _recall(
        self,
        now: float,
        request: request_module.Request,
        requester: _context.Requester,
        claim_number: int,
    ) -> None:
        deadline = now + self._limit_timeout(request)
        status = self._keyed_requests.recall(
            now, request, requester, deadline, claim_number
        )
        if status is not None:
            self._send_forward_ended(requester, status)

    def _send_forward_ended(
        self, requester: _context.Requester, status: ForwardStatus
    ) -> None:
        message = _messages.ForwardEndedMessage(
            target_boot_id=requester.boot_id,
            forward_id=requester.number,
            status=status,
        )
        self._context.send(requester.peer, message)

    def _limit_timeout(self, request: request_module.Request) -> float:
        return min(
            request.timeout_seconds,
            self._context.settings.maximum_timeout_seconds,
        )
