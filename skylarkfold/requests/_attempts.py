"""Attempts in flight, at upstreams and at peers."""

from __future__ import annotations

from collections.abc import Callable

from skylarkfold import effect
from skylarkfold import request as request_module
from skylarkfold.requests import _context
from skylarkfold.requests import _exchange
from skylarkfold import selection
from skylarkfold import service as service_module

PassOn = Callable[[float, _exchange.Exchange, str, int], int]


class Attempts:
    """Numbers attempts, starts them and records how each ended.

    :param context: what the parts of the core share.
    :param selector: learns what upstreams were given and how it went.
    :param pass_on: passes an exchange to a peer as the attempt of that
        number and returns the number of the pass, 0 where the peer can't
        be told.
    """

    __slots__ = ('_context', '_last', '_pass_on', '_running', '_selector')

    def __init__(
        self,
        context: _context.Context,
        selector: selection.Selector,
        pass_on: PassOn,
    ) -> None:
        self._context = context
        self._selector = selector
        self._pass_on = pass_on
        self._running: dict[int, _exchange.Exchange] = {}
        self._last = 0

    def dispatch(
        self,
        now: float,
        exchange: _exchange.Exchange,
        service: service_module.Service,
        choice: selection.Choice,
    ) -> None:
        """Send an exchange to the upstream that was chosen.

        :param now: the time.
        :param exchange: the exchange, before its deadline.
        :param service: its service.
        :param choice: the upstream and why.
        """
        self._start(now, exchange, choice.upstream.name)
        self._selector.record_dispatch(
            now, exchange.request.service, exchange.upstream
        )
        self._log(exchange, 'dispatch', choice.reason)
        self._context.effects.append(
            effect.DispatchAttempt(
                attempt=exchange.attempt,
                request=exchange.request,
                service=service,
                upstream=choice.upstream,
                timeout_seconds=exchange.deadline - now,
            )
        )

    def pass_to(
        self, now: float, exchange: _exchange.Exchange, peer: str
    ) -> bool:
        """Let a peer make the next attempt.

        :param now: the time.
        :param exchange: the exchange.
        :param peer: the peer.
        :returns: False where the exchange came from a peer itself, is late
            or the peer can't be told.
        """
        if exchange.request.number < 0 or exchange.deadline <= now:
            return False
        number = self._pass_on(now, exchange, peer, self._last + 1)
        if not number:
            return False
        self._start(now, exchange, '')
        exchange.pass_number = number
        return True

    def take(self, number: int) -> _exchange.Exchange | None:
        """Take an attempt that has ended by itself.

        :param number: its number.
        :returns: its exchange; None where it had been given up.
        """
        return self._running.pop(number, None)

    def end(
        self,
        now: float,
        exchange: _exchange.Exchange,
        outcome: request_module.Outcome,
    ) -> None:
        """Record how an attempt ended.

        :param now: the time.
        :param exchange: its exchange, no longer in flight.
        :param outcome: how it ended.
        """
        if exchange.upstream:
            self._selector.record_outcome(
                now,
                exchange.request.service,
                exchange.upstream,
                outcome,
                now - exchange.started,
            )
        self._log(exchange, 'attempt-end', outcome)
        exchange.attempt = 0

    def abandon(
        self,
        now: float,
        exchange: _exchange.Exchange,
        outcome: request_module.Outcome,
    ) -> None:
        """Give up the attempt in flight, which may run all the same.

        :param now: the time.
        :param exchange: its exchange.
        :param outcome: why.
        """
        self._running.pop(exchange.attempt, None)
        if exchange.upstream:
            cancelled = effect.CancelAttempt(exchange.attempt)
            self._context.effects.append(cancelled)
        self.end(now, exchange, outcome)
        exchange.may_have_run = True

    def _start(
        self, now: float, exchange: _exchange.Exchange, upstream: str
    ) -> None:
        self._last += 1
        exchange.state = _exchange.State.RUNNING
        exchange.attempt = self._last
        exchange.upstream = upstream
        exchange.pass_number = 0
        exchange.started = now
        exchange.attempts += 1
        self._running[exchange.attempt] = exchange

    def _log(
        self, exchange: _exchange.Exchange, kind: str, reason: str
    ) -> None:
        request = exchange.request
        self._context.log(
            kind,
            f'{request.number}/{exchange.attempt}',
            reason,
            request.service,
            exchange.upstream,
        )
