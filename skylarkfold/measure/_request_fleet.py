"""Instances, upstreams and the ways between them, on a virtual clock."""

from __future__ import annotations

import functools

from skylarkfold import codec
from skylarkfold import configuration
from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold import event
from skylarkfold import instance
from skylarkfold.measure import _request_case
from skylarkfold.measure import _request_clock
from skylarkfold.measure import _request_core
from skylarkfold.measure import _request_upstream
from skylarkfold import member
from skylarkfold import request as request_module
from skylarkfold import service

SERVICE = 'press-desk'

# The part of the run after which a cold upstream joins; also the part
# that is left out of the results.
JOIN_SHARE = 0.1


def _name_upstream(index: int) -> str:
    return f'{SERVICE}-{index}'


def _name_instance(index: int) -> str:
    return f'entry-{index}'


class Instance:
    """One entry instance: the real cores, and effects made to happen.

    :param fleet: all that surrounds it.
    :param index: its number.
    """

    def __init__(self, fleet: Fleet, index: int) -> None:
        self._fleet = fleet
        self._attempts: dict[int, Sent] = {}
        self.zone = fleet.case.get_zone(index)
        settings = instance.InstanceSettings(
            name=_name_instance(index),
            zone=self.zone,
            region='region',
            peer_address=endpoint.Endpoint('127.0.0.1', 1 + index),
        )
        self.name = settings.name
        self._core = _request_core.build_core(settings, fleet.case, index)

    def handle(self, received: object) -> None:
        """Feed an event to the core and do what it asks.

        :param received: an event.
        """
        for produced in self._core.handle(self._fleet.clock.now, received):
            _perform(produced, self)

    def dispatch(self, dispatched: effect.DispatchAttempt) -> None:
        """Send an attempt to its upstream.

        :param dispatched: the effect.
        """
        fleet = self._fleet
        model = fleet.upstreams[dispatched.upstream.name]
        delay = fleet.case.measure_delay(self.zone, dispatched.upstream.zone)
        work = _request_upstream.Work(
            number=dispatched.request.number,
            service_seconds=fleet.service_seconds[dispatched.request.number],
            deadline=fleet.clock.now + dispatched.timeout_seconds,
            ended=functools.partial(self._end, dispatched.attempt, delay),
        )
        self._attempts[dispatched.attempt] = Sent(model, work, delay)
        fleet.clock.call_later(delay, lambda: model.take(work))

    def cancel(self, attempt: int) -> None:
        """Give an attempt up.

        :param attempt: its number.
        """
        sent = self._attempts.pop(attempt, None)
        if sent is None:
            return
        self._fleet.clock.call_later(
            sent.delay, lambda: sent.model.cancel(sent.work)
        )

    def answer(self, sent: effect.SendAnswer) -> None:
        """Give a caller its answer.

        :param sent: the effect.
        """
        self._fleet.record_answer(sent.request, sent.answer)

    def send(self, sent: effect.SendToPeer) -> None:
        """Send a peer a message.

        :param sent: the effect.
        """
        self._fleet.send(self, sent.peer, sent.message)

    def _end(
        self,
        attempt: int,
        delay: float,
        outcome: request_module.Outcome,
        answer: request_module.Answer | None,
    ) -> None:
        self._fleet.clock.call_later(
            delay, lambda: self._hear(attempt, outcome, answer)
        )

    def _hear(
        self,
        attempt: int,
        outcome: request_module.Outcome,
        answer: request_module.Answer | None,
    ) -> None:
        if self._attempts.pop(attempt, None) is not None:
            self.handle(event.AttemptEnded(attempt, outcome, answer))


class Sent:
    """An attempt on its way."""

    __slots__ = ('delay', 'model', 'work')

    def __init__(
        self,
        model: _request_upstream.UpstreamModel,
        work: _request_upstream.Work,
        delay: float,
    ) -> None:
        self.model = model
        self.work = work
        self.delay = delay


@functools.singledispatch
def _perform(produced: object, sender: Instance) -> None:
    """Ignore log lines and counters."""


@_perform.register
def _(produced: effect.DispatchAttempt, sender: Instance) -> None:
    sender.dispatch(produced)


@_perform.register
def _(produced: effect.CancelAttempt, sender: Instance) -> None:
    sender.cancel(produced.attempt)


@_perform.register
def _(produced: effect.SendAnswer, sender: Instance) -> None:
    sender.answer(produced)


@_perform.register
def _(produced: effect.SendToPeer, sender: Instance) -> None:
    sender.send(produced)


class Fleet:
    """All instances and upstreams of one run.

    :param case: the run.
    :param service_seconds: each request's service time.
    """

    def __init__(
        self,
        case: _request_case.Case,
        service_seconds: list[float],
    ) -> None:
        self.case = case
        self.clock = _request_clock.VirtualClock()
        self.service_seconds = service_seconds
        self.upstreams = {
            _name_upstream(index): _request_upstream.UpstreamModel(
                self.clock, case, index == 0
            )
            for index in range(case.upstreams)
        }
        self.instances = [
            Instance(self, index) for index in range(case.instances)
        ]
        self.answers: dict[int, Received] = {}
        self.doubled_answers = 0
        self.control_bytes = dict.fromkeys(
            (each.name for each in self.instances), 0
        )
        self._by_name = {each.name: each for each in self.instances}
        self._begin()

    def record_answer(
        self, number: int, answer: request_module.Answer
    ) -> None:
        """Keep a caller's answer.

        :param number: the request's number.
        :param answer: the answer.
        """
        if number in self.answers:
            self.doubled_answers += 1
            return
        self.answers[number] = Received(self.clock.now, answer)

    def send(self, sender: Instance, peer: str, message: object) -> None:
        """Carry a message to a peer and count its bytes.

        :param sender: from whom.
        :param peer: to whom.
        :param message: the message.
        """
        receiver = self._by_name[peer]
        size_bytes = len(codec.encode(message))
        self.control_bytes[sender.name] += size_bytes
        self.control_bytes[peer] += size_bytes
        delay = self.case.measure_delay(sender.zone, receiver.zone)
        received = event.PeerMessageReceived(sender.name, message)
        self.clock.call_later(delay, lambda: receiver.handle(received))

    def _begin(self) -> None:
        is_cold = self.case.scenario is _request_case.Scenario.COLD
        first = 1 if is_cold else 0
        self._configure(1, first)
        for index, each in enumerate(self.instances):
            each.handle(event.MembershipChanged(self._list_members()))
            self._tick(each)
            self._report(index, each)
        if is_cold:
            self.clock.call_later(
                self.case.seconds * JOIN_SHARE,
                lambda: self._configure(2, 0),
            )

    def _configure(self, revision: int, first: int) -> None:
        upstreams = tuple(
            service.Upstream(
                name=_name_upstream(index),
                address=endpoint.Endpoint('127.0.0.1', 9000 + index),
                zone=self.case.get_zone(index),
                slots=self.case.slots,
            )
            for index in range(first, self.case.upstreams)
        )
        configured = service.Service(
            name=SERVICE,
            team='team',
            address=endpoint.Endpoint('127.0.0.1', 7000),
            upstreams=upstreams,
        )
        changed = event.ConfigurationChanged(
            configuration.Configuration(revision, {SERVICE: configured})
        )
        for each in self.instances:
            each.handle(changed)

    def _list_members(self) -> member.Membership:
        members = {
            each.name: member.Member(
                each.name,
                each.zone,
                'region',
                endpoint.Endpoint('127.0.0.1', 1 + index),
            )
            for index, each in enumerate(self.instances)
        }
        return member.Membership(version=1, members=members)

    def _tick(self, ticked: Instance) -> None:
        ticked.handle(event.Tick())
        self.clock.call_later(
            self.case.tick_seconds, lambda: self._tick(ticked)
        )

    def _report(self, index: int, listener: Instance) -> None:
        """Ask all upstreams for their load, again and again."""
        for name, model in self.upstreams.items():
            report = event.LoadReported(
                SERVICE, name, True, model.reported_running, 0
            )
            self.clock.call_later(
                self.case.report_lag_seconds,
                functools.partial(listener.handle, report),
            )
        # Instances ask at different moments.
        share = (index + 1) / self.case.instances
        pause = self.case.report_seconds
        if self.clock.now == 0:
            pause *= share
        self.clock.call_later(pause, lambda: self._report(index, listener))


class Received:
    """An answer and when it came."""

    __slots__ = ('answer', 'at')

    def __init__(self, at: float, answer: request_module.Answer) -> None:
        self.at = at
        self.answer = answer
