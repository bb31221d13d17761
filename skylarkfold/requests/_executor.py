"""Execution of requests: admission, dispatch, retries and the verdict.

This is the state machine of all requests that one instance runs. It does not
know of idempotency keys; a callback delivers each final answer.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

from skylarkfold import admission
from skylarkfold import event
from skylarkfold import message as message_module
from skylarkfold import metric
from skylarkfold import request as request_module
from skylarkfold.requests import _answers
from skylarkfold.requests import _attempts
from skylarkfold.requests import _context
from skylarkfold.requests import _execution
from skylarkfold.requests import _retry_scheduler
from skylarkfold import selection
from skylarkfold import service as service_module
from skylarkfold import verdict as verdict_module

EndedCallback = Callable[
    [float, _execution.Execution, request_module.Answer], None
]
Verdict = verdict_module.Verdict
Outcome = request_module.Outcome
ErrorCode = _answers.ErrorCode
ExecutionState = _execution.ExecutionState


class RequestExecutor:
    """Executor of all requests that this instance runs.

    :param context: shared identity, settings and effects of the core.
    :param on_ended: called once with each execution and its final answer.
    :param forward: forwards a request to a peer, see
        :class:`skylarkfold.requests._attempts.AttemptTracker`.
    """

    def __init__(
        self,
        context: _context.Context,
        on_ended: EndedCallback,
        forward: _attempts.ForwardCallback,
    ) -> None:
        self._context = context
        self._settings = context.settings
        self._on_ended = on_ended
        self._retry_scheduler = _retry_scheduler.RetryScheduler(context)
        self._selector = selection.Selector(
            context.instance,
            context.settings.selection,
            context.draw('selection'),
        )
        self._attempts = _attempts.AttemptTracker(
            context, self._selector, forward
        )
        self._queue = admission.AdmissionQueue(context.settings.admission)
        self._services: dict[str, service_module.Service] = {}
        self._executions: dict[int, _execution.Execution] = {}
        self._needs_flush = False

    def __len__(self) -> int:
        return len(self._executions)

    def __contains__(self, number: int) -> bool:
        return number in self._executions

    def configure(
        self,
        now: float,
        services: dict[str, service_module.Service],
        owners: tuple[str, ...],
    ) -> None:
        """Apply a new configuration or membership.

        :param now: the current time.
        :param services: all services by name.
        :param owners: the instances that share the upstreams' slots.
        """
        self._needs_flush = True
        for name in self._services.keys() - services.keys():
            self._selector.remove(name)
        self._services = services
        for service in services.values():
            self._selector.configure(service, owners)
        for execution in list(self._executions.values()):
            self._fail_if_unservable(now, execution)

    def record_load(self, now: float, reported: event.LoadReported) -> None:
        """Record an upstream's report of its health and load.

        :param now: the current time.
        :param reported: the report, which may be wrong.
        """
        self._selector.record_load(now, reported)

    def begin(
        self, now: float, request: request_module.Request, deadline: float
    ) -> None:
        """Admit a request or refuse it.

        :param now: the current time.
        :param request: the request; its number must be unused.
        :param deadline: the caller's deadline by the local clock.
        """
        execution = _execution.Execution(request=request, deadline=deadline)
        self._executions[request.number] = execution
        refusal = self._check_service(request.service)
        if refusal is not None:
            self._fail(now, execution, refusal)
            return
        if deadline <= now:
            self._fail(now, execution, ErrorCode.DEADLINE_EXCEEDED)
            return
        self._enqueue(now, execution)
        self.dispatch_waiting(now, request.service)

    def cancel(self, now: float, number: int) -> None:
        """Cancel a request whose caller has disconnected.

        :param now: the current time.
        :param number: the request's number.
        """
        execution = self._executions.get(number)
        if execution is None:
            return
        if execution.state is ExecutionState.RUNNING:
            self._attempts.abandon(now, execution, Outcome.CANCELLED)
        self._fail(now, execution, ErrorCode.CANCELLED)
        self.dispatch_waiting(now, execution.request.service)

    def cancel_unless_running(self, now: float, number: int) -> None:
        """Cancel a request unless an attempt is in flight.

        :param now: the current time.
        :param number: the request's number.
        """
        execution = self._executions.get(number)
        if (
            execution is not None
            and execution.state is not ExecutionState.RUNNING
        ):
            self._fail(now, execution, ErrorCode.CANCELLED)

    def end_attempt(self, now: float, ended: event.AttemptEnded) -> None:
        """Handle the end of an attempt.

        :param now: the current time.
        :param ended: its outcome; dropped if the attempt was abandoned.
        """
        execution = self._attempts.pop(ended.attempt)
        if execution is None:
            self._context.count(metric.REQUESTS_LATE_ANSWERS)
            return
        outcome = _answers.classify_attempt(execution.request, ended)
        if outcome is Outcome.ANSWERED and execution.upstream:
            self._queue.record_service_time(
                now, execution.request.service, now - execution.started
            )
        self._attempts.record_end(now, execution, outcome)
        if outcome is Outcome.ANSWERED:
            self._end(now, execution, _answers.mark_as_ran(ended.answer))
        else:
            self._handle_failure(now, execution, outcome, ended.answer)
        self.dispatch_waiting(now, execution.request.service)

    def tick(self, now: float) -> None:
        """Fail requests past their deadline and dispatch retries.

        :param now: the current time.
        """
        self._needs_flush = True
        self._context.effects += self._selector.tick(now)
        self._fail_expired(now)
        for execution in list(self._list_expired(now)):
            if execution.state is ExecutionState.RUNNING:
                self._attempts.abandon(now, execution, Outcome.TIMED_OUT)
            self._fail(now, execution, ErrorCode.DEADLINE_EXCEEDED)
        for service_name in self._services:
            self.dispatch_waiting(now, service_name)

    def handle_message(
        self, now: float, sender: str, received: message_module.PeerMessage
    ) -> None:
        """Pass a peer's message about slots to the selector.

        :param now: the current time.
        :param sender: the peer's name.
        :param received: one of the selector's messages.
        """
        self._needs_flush = True
        effects = self._selector.handle_message(now, sender, received)
        self._context.effects += effects
        for service_name in self._list_pending_services():
            self.dispatch_waiting(now, service_name)

    def handle_peer_lost(self, now: float, peer: str) -> None:
        """Report the lost connection of a peer to the selector.

        :param now: the current time.
        :param peer: the peer's name.
        """
        self._needs_flush = True
        self._context.effects += self._selector.handle_peer_lost(now, peer)

    def flush(self, now: float) -> None:
        """Send the messages that the selector gathered during an event.

        :param now: the current time.
        """
        if not self._needs_flush:
            return
        self._needs_flush = False
        self._context.effects += self._selector.flush(now)
        ready = self._selector.list_ready()
        for service_name in ready:
            self.dispatch_waiting(now, service_name)
        if ready:
            self._context.effects += self._selector.flush(now)

    def dispatch_waiting(self, now: float, service_name: str) -> None:
        """Dispatch retries and queued requests while there are free slots.

        :param now: the current time.
        :param service_name: the service.
        """
        self._needs_flush = True
        self._record_waiting(now, service_name)
        if not self._retry_scheduler and not self._queue.has_waiting(
            service_name
        ):
            return
        self._dispatch_retries(now, service_name)
        self._dispatch_queued(now, service_name)
        self._record_waiting(now, service_name)

    def _record_waiting(self, now: float, service_name: str) -> None:
        waiting = self._queue.count_waiting(service_name)
        self._selector.record_waiting(now, service_name, waiting)

    def _list_pending_services(self) -> list[str]:
        names = set(self._queue.list_services())
        names.update(self._retry_scheduler.list_services())
        return sorted(names)

    def _dispatch_queued(self, now: float, service_name: str) -> None:
        no_exclusions = frozenset()
        while self._queue.has_waiting(service_name):
            choice = self._selector.choose(now, service_name, no_exclusions)
            if choice.upstream is None and choice.pass_to is None:
                return
            length_before = len(self._queue)
            queued = self._queue.take(now, service_name)
            if length_before - len(self._queue) != 1 or queued is None:
                self._fail_expired(now)
            if queued is None:
                return
            execution = self._executions[queued.request.number]
            if choice.upstream is not None:
                self._dispatch(now, execution, choice)
            elif self._attempts.forward_to(now, execution, choice.pass_to):
                self._retry_scheduler.record_attempt(execution)
            else:
                self._fail(now, execution, ErrorCode.UPSTREAM_UNREACHABLE)

    def _fail_expired(self, now: float) -> None:
        for expired in self._queue.expire(now):
            self._fail_by_number(
                now,
                expired.request.number,
                expired.code,
                expired.retry_after_seconds,
            )

    def _check_service(self, service_name: str) -> ErrorCode | None:
        service = self._services.get(service_name)
        if service is None:
            return ErrorCode.NO_SERVICE
        if not any(each.takes_new_work for each in service.upstreams):
            return ErrorCode.NO_UPSTREAM
        return None

    def _fail_if_unservable(
        self, now: float, execution: _execution.Execution
    ) -> None:
        if execution.state is ExecutionState.RUNNING:
            return
        name = execution.request.service
        refusal = self._check_service(name)
        is_waiting = execution.state is ExecutionState.WAITING
        if is_waiting and not _retry_scheduler.has_other_upstream(
            execution, self._services.get(name)
        ):
            refusal = refusal or ErrorCode.NO_UPSTREAM
        if refusal is not None:
            self._fail(now, execution, refusal)

    def _enqueue(self, now: float, execution: _execution.Execution) -> None:
        offered = self._queue.offer(now, execution.request, execution.deadline)
        if isinstance(offered, admission.Refusal):
            self._fail_by_number(
                now,
                execution.request.number,
                offered.code,
                offered.retry_after_seconds,
            )
            return
        for evicted in offered.evicted:
            self._fail_by_number(
                now,
                evicted.request.number,
                evicted.code,
                evicted.retry_after_seconds,
            )

    def _list_expired(self, now: float) -> Iterator[_execution.Execution]:
        for execution in self._executions.values():
            if execution.deadline <= now:
                yield execution

    def _dispatch_retries(self, now: float, service_name: str) -> None:
        for execution in self._retry_scheduler.list_due(now, service_name):
            choice = self._selector.choose(now, service_name, execution.failed)
            if choice.upstream is not None:
                self._dispatch(now, execution, choice)

    def _dispatch(
        self,
        now: float,
        execution: _execution.Execution,
        choice: selection.Choice,
    ) -> None:
        if execution.deadline <= now:
            self._fail(now, execution, ErrorCode.DEADLINE_EXCEEDED)
            return
        service = self._services[execution.request.service]
        self._attempts.dispatch(now, execution, service, choice)
        self._retry_scheduler.record_attempt(execution)

    def _handle_failure(
        self,
        now: float,
        execution: _execution.Execution,
        outcome: Outcome,
        answer: request_module.Answer | None,
    ) -> None:
        execution.failed |= {execution.upstream}
        if outcome.verdict is Verdict.MAY_HAVE_RUN:
            execution.may_have_run = True
        service = self._services.get(execution.request.service)
        if self._retry_scheduler.schedule(now, execution, service):
            return
        retry_after_seconds = answer.retry_after_seconds if answer else None
        self._fail(
            now,
            execution,
            _answers.get_error_code(outcome),
            retry_after_seconds,
        )

    def _fail_by_number(
        self, now: float, number: int, code: str, retry_after_seconds: float
    ) -> None:
        execution = self._executions.get(number)
        if execution is not None:
            self._fail(now, execution, code, retry_after_seconds)

    def _fail(
        self,
        now: float,
        execution: _execution.Execution,
        code: str,
        retry_after_seconds: float | None = None,
    ) -> None:
        if retry_after_seconds is None:
            retry_after_seconds = self._settings.retry_after_seconds
        verdict = Verdict.NOT_RUN
        if execution.may_have_run:
            verdict = Verdict.MAY_HAVE_RUN
        answer = _answers.build_refusal(verdict, code, retry_after_seconds)
        self._end(now, execution, answer)

    def _end(
        self,
        now: float,
        execution: _execution.Execution,
        answer: request_module.Answer,
    ) -> None:
        number = execution.request.number
        if execution.state is ExecutionState.QUEUED:
            self._queue.cancel(number)
        execution.state = ExecutionState.ENDED
        del self._executions[number]
        self._retry_scheduler.discard(number)
        self._context.count(f'{metric.REQUESTS_ANSWERED}.{answer.verdict}')
        self._on_ended(now, execution, answer)
