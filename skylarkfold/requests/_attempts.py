"""Attempts in flight, at upstreams and at peers."""

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
    """Numbers attempts, starts them and records how each ended.

    :param context: what the parts of the core share.
    :param selector: learns what upstreams were given and how it went.
    :param pass_on: passes an exchange to a peer as the attempt of that
        number and returns the number of the pass, 0 where the peer can't
        be told.
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
        """Send an exchange to the upstream that was chosen.

        :param now: the time.
        :param exchange: the exchange, before its deadline.
        :param service: its service.
        :param choice: the upstream and why.
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
        """Let a peer make the next attempt.

        :param now: the time.
        :param exchange: the exchange.
        :param peer: the peer.
        :returns: False where the exchange came from a peer itself, is late
            or the peer can't be told.
        """
        if execution.request.number < 0 or execution.deadline <= now:
            return False
        number = self._forward(now, execution, peer, self._last_number + 1)
        if not number:
            return False
        self._start(now, execution, '')
        execution.forward_id = number
        return True

    def pop(self, number: int) -> _execution.Execution | None:
        """Take an attempt that has ended by itself.

        :param number: its number.
        :returns: its exchange; None where it had been given up.
        """
        return self._running.pop(number, None)

    def record_end(
        self,
        now: float,
        execution: _execution.Execution,
        outcome: request_module.Outcome,
    ) -> None:
        """Record how an attempt ended.

        :param now: the time.
        :param exchange: its exchange, no longer in flight.
        :param outcome: how it ended.
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
        """Give up the attempt in flight, which may run all the same.

        :param now: the time.
        :param exchange: its exchange.
        :param outcome: why.
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
