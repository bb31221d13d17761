"""Admission, dispatch, retry and judgement of requests.

The state machine of all exchanges on one instance. It knows nothing of
keys or peers: what began an exchange is told its answer by a callback.
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
from skylarkfold.requests import _exchange
from skylarkfold.requests import _retry
from skylarkfold import selection
from skylarkfold import service as service_module
from skylarkfold import verdict as verdict_module

Ended = Callable[[float, _exchange.Exchange, request_module.Answer], None]
Verdict = verdict_module.Verdict
Outcome = request_module.Outcome
ErrorCode = _answers.ErrorCode
State = _exchange.State


class Lifecycle:
    """All exchanges that this instance runs itself.

    :param context: what the parts of the core share.
    :param ended: called once with each exchange's final answer.
    :param pass_on: passes an exchange to a peer as the attempt of that
        number and returns the number of the pass, 0 where the peer can't
        be told.
    """

    def __init__(
        self,
        context: _context.Context,
        ended: Ended,
        pass_on: _attempts.PassOn,
    ) -> None:
        self._context = context
        self._settings = context.settings
        self._ended = ended
        self._retries = _retry.Retries(context)
        self._selector = selection.Selector(
            context.instance,
            context.settings.selection,
            context.draw('selection'),
        )
        self._attempts = _attempts.Attempts(context, self._selector, pass_on)
        self._queue = admission.AdmissionQueue(context.settings.admission)
        self._services: dict[str, service_module.Service] = {}
        self._exchanges: dict[int, _exchange.Exchange] = {}
        self._is_touched = False

    def __len__(self) -> int:
        return len(self._exchanges)

    def __contains__(self, number: int) -> bool:
        return number in self._exchanges

    def configure(
        self,
        now: float,
        services: dict[str, service_module.Service],
        owners: tuple[str, ...],
    ) -> None:
        """Take the newest services and owners.

        :param now: the time.
        :param services: all services by name.
        :param owners: the instances that share the upstreams' slots.
        """
        self._is_touched = True
        for name in self._services.keys() - services.keys():
            self._selector.remove(name)
        self._services = services
        for service in services.values():
            self._selector.configure(service, owners)
        for exchange in list(self._exchanges.values()):
            self._give_up_hopeless(now, exchange)

    def record_load(self, now: float, reported: event.LoadReported) -> None:
        """Take what an upstream says of itself.

        :param now: the time.
        :param reported: its health and load, both maybe wrong.
        """
        self._selector.record_load(now, reported)

    def begin(
        self, now: float, request: request_module.Request, deadline: float
    ) -> None:
        """Admit a request, or end it at once.

        :param now: the time.
        :param request: the request, its number not in use here.
        :param deadline: the caller's deadline by the local clock.
        """
        exchange = _exchange.Exchange(request=request, deadline=deadline)
        self._exchanges[request.number] = exchange
        refusal = self._check_service(request.service)
        if refusal is not None:
            self._give_up(now, exchange, refusal)
            return
        if deadline <= now:
            self._give_up(now, exchange, ErrorCode.DEADLINE_EXCEEDED)
            return
        self._offer(now, exchange)
        self.pump(now, request.service)

    def cancel(self, now: float, number: int) -> None:
        """Give up an exchange whose caller has gone.

        :param now: the time.
        :param number: the request's number.
        """
        exchange = self._exchanges.get(number)
        if exchange is None:
            return
        if exchange.state is State.RUNNING:
            self._attempts.abandon(now, exchange, Outcome.CANCELLED)
        self._give_up(now, exchange, ErrorCode.CANCELLED)
        self.pump(now, exchange.request.service)

    def cancel_waiting(self, now: float, number: int) -> None:
        """Give an exchange up unless an attempt is in flight.

        :param now: the time.
        :param number: the request's number.
        """
        exchange = self._exchanges.get(number)
        if exchange is not None and exchange.state is not State.RUNNING:
            self._give_up(now, exchange, ErrorCode.CANCELLED)

    def end_attempt(self, now: float, ended: event.AttemptEnded) -> None:
        """Judge an attempt.

        :param now: the time.
        :param ended: how it ended; an attempt that was given up is
            unknown here and its answer goes to nobody.
        """
        exchange = self._attempts.take(ended.attempt)
        if exchange is None:
            self._context.count(metric.REQUESTS_LATE_ANSWERS)
            return
        outcome = _answers.classify(exchange.request, ended)
        if outcome is Outcome.ANSWERED and exchange.upstream:
            self._queue.record_service_time(
                now, exchange.request.service, now - exchange.started
            )
        self._attempts.end(now, exchange, outcome)
        if outcome is Outcome.ANSWERED:
            self._end(now, exchange, _answers.confirm(ended.answer))
        else:
            self._judge_failure(now, exchange, outcome, ended.answer)
        self.pump(now, exchange.request.service)

    def tick(self, now: float) -> None:
        """End what is past its deadline and retry what is due.

        :param now: the time.
        """
        self._is_touched = True
        self._context.effects += self._selector.tick(now)
        self._end_expired(now)
        for exchange in list(self._list_late(now)):
            if exchange.state is State.RUNNING:
                self._attempts.abandon(now, exchange, Outcome.TIMED_OUT)
            self._give_up(now, exchange, ErrorCode.DEADLINE_EXCEEDED)
        for service_name in self._services:
            self.pump(now, service_name)

    def handle_message(
        self, now: float, sender: str, received: message_module.PeerMessage
    ) -> None:
        """Take a peer's message about slots.

        :param now: the time.
        :param sender: the peer.
        :param received: one of the selector's messages.
        """
        self._is_touched = True
        effects = self._selector.handle_message(now, sender, received)
        self._context.effects += effects
        for service_name in self._list_pending():
            self.pump(now, service_name)

    def handle_peer_lost(self, now: float, peer: str) -> None:
        """Take the loss of a peer.

        :param now: the time.
        :param peer: its name.
        """
        self._is_touched = True
        self._context.effects += self._selector.handle_peer_lost(now, peer)

    def flush(self, now: float) -> None:
        """Send what the selector has gathered during an event.

        :param now: the time.
        """
        if not self._is_touched:
            return
        self._is_touched = False
        self._context.effects += self._selector.flush(now)
        ready = self._selector.list_ready()
        for service_name in ready:
            self.pump(now, service_name)
        if ready:
            self._context.effects += self._selector.flush(now)

    def pump(self, now: float, service_name: str) -> None:
        """Dispatch what a service has room for.

        :param now: the time.
        :param service_name: the service.
        """
        self._is_touched = True
        self._record_waiting(now, service_name)
        if not self._retries and not self._queue.has_waiting(service_name):
            return
        self._pump_retries(now, service_name)
        self._pump_queue(now, service_name)
        self._record_waiting(now, service_name)

    def _record_waiting(self, now: float, service_name: str) -> None:
        waiting = self._queue.count_waiting(service_name)
        self._selector.record_waiting(now, service_name, waiting)

    def _list_pending(self) -> list[str]:
        names = set(self._queue.list_services())
        names.update(self._retries.list_services())
        return sorted(names)

    def _pump_queue(self, now: float, service_name: str) -> None:
        nobody = frozenset()
        while self._queue.has_waiting(service_name):
            choice = self._selector.choose(now, service_name, nobody)
            if choice.upstream is None and choice.pass_to is None:
                return
            before = len(self._queue)
            queued = self._queue.take(now, service_name)
            if before - len(self._queue) != 1 or queued is None:
                self._end_expired(now)
            if queued is None:
                return
            exchange = self._exchanges[queued.request.number]
            if choice.upstream is not None:
                self._dispatch(now, exchange, choice)
            elif self._attempts.pass_to(now, exchange, choice.pass_to):
                self._retries.note_attempt(exchange)
            else:
                self._give_up(now, exchange, ErrorCode.UPSTREAM_UNREACHABLE)

    def _end_expired(self, now: float) -> None:
        for late in self._queue.expire(now):
            self._end_refused(
                now, late.request.number, late.code, late.retry_after_seconds
            )

    def _check_service(self, service_name: str) -> ErrorCode | None:
        service = self._services.get(service_name)
        if service is None:
            return ErrorCode.NO_SERVICE
        if not any(each.takes_new_work for each in service.upstreams):
            return ErrorCode.NO_UPSTREAM
        return None

    def _give_up_hopeless(
        self, now: float, exchange: _exchange.Exchange
    ) -> None:
        if exchange.state is State.RUNNING:
            return
        name = exchange.request.service
        refusal = self._check_service(name)
        is_waiting = exchange.state is State.WAITING
        if is_waiting and not _retry.has_other_upstream(
            exchange, self._services.get(name)
        ):
            refusal = refusal or ErrorCode.NO_UPSTREAM
        if refusal is not None:
            self._give_up(now, exchange, refusal)

    def _offer(self, now: float, exchange: _exchange.Exchange) -> None:
        offered = self._queue.offer(now, exchange.request, exchange.deadline)
        if isinstance(offered, admission.Refusal):
            self._end_refused(
                now,
                exchange.request.number,
                offered.code,
                offered.retry_after_seconds,
            )
            return
        for evicted in offered.evicted:
            self._end_refused(
                now,
                evicted.request.number,
                evicted.code,
                evicted.retry_after_seconds,
            )

    def _list_late(self, now: float) -> Iterator[_exchange.Exchange]:
        for exchange in self._exchanges.values():
            if exchange.deadline <= now:
                yield exchange

    def _pump_retries(self, now: float, service_name: str) -> None:
        for exchange in self._retries.list_due(now, service_name):
            choice = self._selector.choose(now, service_name, exchange.failed)
            if choice.upstream is not None:
                self._dispatch(now, exchange, choice)

    def _dispatch(
        self,
        now: float,
        exchange: _exchange.Exchange,
        choice: selection.Choice,
    ) -> None:
        if exchange.deadline <= now:
            self._give_up(now, exchange, ErrorCode.DEADLINE_EXCEEDED)
            return
        service = self._services[exchange.request.service]
        self._attempts.dispatch(now, exchange, service, choice)
        self._retries.note_attempt(exchange)

    def _judge_failure(
        self,
        now: float,
        exchange: _exchange.Exchange,
        outcome: Outcome,
        answer: request_module.Answer | None,
    ) -> None:
        exchange.failed |= {exchange.upstream}
        if outcome.verdict is Verdict.MAY_HAVE_RUN:
            exchange.may_have_run = True
        service = self._services.get(exchange.request.service)
        if self._retries.plan(now, exchange, service):
            return
        advice = answer.retry_after_seconds if answer else None
        self._give_up(now, exchange, _answers.name_outcome(outcome), advice)

    def _end_refused(
        self, now: float, number: int, code: str, retry_after_seconds: float
    ) -> None:
        exchange = self._exchanges.get(number)
        if exchange is not None:
            self._give_up(now, exchange, code, retry_after_seconds)

    def _give_up(
        self,
        now: float,
        exchange: _exchange.Exchange,
        code: str,
        retry_after_seconds: float | None = None,
    ) -> None:
        if retry_after_seconds is None:
            retry_after_seconds = self._settings.retry_after_seconds
        verdict = Verdict.NOT_RUN
        if exchange.may_have_run:
            verdict = Verdict.MAY_HAVE_RUN
        answer = _answers.refuse(verdict, code, retry_after_seconds)
        self._end(now, exchange, answer)

    def _end(
        self,
        now: float,
        exchange: _exchange.Exchange,
        answer: request_module.Answer,
    ) -> None:
        number = exchange.request.number
        if exchange.state is State.QUEUED:
            self._queue.cancel(number)
        exchange.state = State.ENDED
        del self._exchanges[number]
        self._retries.forget(number)
        self._context.count(f'{metric.REQUESTS_ANSWERED}.{answer.verdict}')
        self._ended(now, exchange, answer)
