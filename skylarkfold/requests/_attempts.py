"""Tracking of attempts in flight at upstreams and peers."""

from __future__ import annotations

from collections.abc import Callable

from skylarkfold import effect
from skylarkfold import request as request_module
from skylarkfold.requests import _context
from skylarkfold.requests import _execution
from skylarkfold import selection
from skylarkfold import service as service_module

ForwardCallback = Callable[[float, _execution.Execution, str, int], int]


class AttemptTracker:
    """Registry of attempts: numbers them, starts them and records their end.

    :param context: shared identity, settings and effects of the core.
    :param selector: records each dispatch to an upstream and its outcome.
    :param forward: called with the time, the execution, the peer and the
        number of the attempt; forwards the request to the peer and returns
        the forward's ID, or 0 if the peer is unreachable.
    """

    __slots__ = (
        '_context',
        '_forward',
        '_last_number',
        '_running',
        '_selector',
    )

    def __init__(
        self,
        context: _context.Context,
        selector: selection.Selector,
        forward: ForwardCallback,
    ) -> None:
        self._context = context
        self._selector = selector
        self._forward = forward
        self._running: dict[int, _execution.Execution] = {}
        self._last_number = 0

    def dispatch(
        self,
        now: float,
        execution: _execution.Execution,
        service: service_module.Service,
        choice: selection.Choice,
    ) -> None:
        """Dispatch a request to the chosen upstream.

        :param now: the current time.
        :param execution: the execution of the request, before its deadline.
        :param service: the request's service.
        :param choice: the upstream and the reason of its choice.
        """
        self._start(now, execution, choice.upstream.name)
        self._selector.record_dispatch(
            now, execution.request.service, execution.upstream
        )
        self._log(execution, 'dispatch', choice.reason)
        self._context.effects.append(
            effect.DispatchAttempt(
                attempt=execution.attempt,
                request=execution.request,
                service=service,
                upstream=choice.upstream,
                timeout_seconds=execution.deadline - now,
            )
        )

    def forward_to(
        self, now: float, execution: _execution.Execution, peer: str
    ) -> bool:
        """Forward a request to a peer, which makes the next attempt.

        :param now: the current time.
        :param execution: the execution of the request.
        :param peer: the peer's name.
        :returns: False if the request itself came from a peer, is past its
            deadline or the peer is unreachable.
        """
        if execution.request.number < 0 or execution.deadline <= now:
            return False
        forward_id = self._forward(now, execution, peer, self._last_number + 1)
        if not forward_id:
            return False
        self._start(now, execution, '')
        execution.forward_id = forward_id
        return True

    def pop(self, number: int) -> _execution.Execution | None:
        """Remove an attempt that has ended.

        :param number: the attempt's number.
        :returns: its execution, or None if the attempt was abandoned before.
        """
        return self._running.pop(number, None)

    def record_end(
        self,
        now: float,
        execution: _execution.Execution,
        outcome: request_module.Outcome,
    ) -> None:
        """Record the outcome of an attempt.

        :param now: the current time.
        :param execution: the execution whose attempt is no longer in flight.
        :param outcome: how the attempt ended.
        """
        if execution.upstream:
            self._selector.record_outcome(
                now,
                execution.request.service,
                execution.upstream,
                outcome,
                now - execution.started,
            )
        self._log(execution, 'attempt-end', outcome)
        execution.attempt = 0

    def abandon(
        self,
        now: float,
        execution: _execution.Execution,
        outcome: request_module.Outcome,
    ) -> None:
        """Cancel the attempt in flight; the upstream may still run it.

        :param now: the current time.
        :param execution: the execution whose attempt is cancelled.
        :param outcome: the outcome to record.
        """
        self._running.pop(execution.attempt, None)
        if execution.upstream:
            cancelled = effect.CancelAttempt(execution.attempt)
            self._context.effects.append(cancelled)
        self.record_end(now, execution, outcome)
        execution.may_have_run = True

    def _start(
        self, now: float, execution: _execution.Execution, upstream: str
    ) -> None:
        self._last_number += 1
        execution.state = _execution.ExecutionState.RUNNING
        execution.attempt = self._last_number
        execution.upstream = upstream
        execution.forward_id = 0
        execution.started = now
        execution.attempts += 1
        self._running[execution.attempt] = execution

    def _log(
        self, execution: _execution.Execution, kind: str, reason: str
    ) -> None:
        request = execution.request
        self._context.log(
            kind,
            f'{request.number}/{execution.attempt}',
            reason,
            request.service,
            execution.upstream,
        )
