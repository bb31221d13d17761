"""Simulated request cores with a network, a platform and upstreams.

The test takes every step: a message stays in flight until the test delivers,
drops or duplicates it. The checker records what ran and checks the answers.
"""

import dataclasses

from skylarkfold import codec
from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold import event
from skylarkfold import instance
from skylarkfold import member
from skylarkfold import platform_api
from skylarkfold import request as request_module
from skylarkfold import requests
from skylarkfold.requests import _holders
from skylarkfold.tests.requests import samples
from skylarkfold import verdict as verdict_module

Outcome = request_module.Outcome
Verdict = verdict_module.Verdict
State = member.MemberState
LOST = (Outcome.BROKEN, Outcome.TIMED_OUT)
ZONES = ('hall-a', 'hall-b', 'hall-c')
END = b'.'
STEP_SECONDS = 0.25
LONGEST_STEP_SECONDS = 4.0
CLOCK_STEP_SECONDS = 1000.0


class InvariantViolation(AssertionError):
    """An execution or answer violates the at-most-once guarantee."""


@dataclasses.dataclass(slots=True, eq=False)
class Process:
    """A simulated process, whose clock is shifted by ``offset``."""

    name: str
    zone: str
    core: requests.RequestCore
    offset: float
    views: dict
    is_alive: bool = True
    is_paused: bool = False
    is_stopping: bool = False
    seen_revision: int = 0
    inbox: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, eq=False)
class Envelope:
    """A message in flight."""

    source: Process
    target: str
    message: object


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """An attempt at an upstream that has not ended."""

    process: Process
    dispatch: effect.DispatchAttempt
    sent_at: float
    has_run: bool = False

    @property
    def identity(self):
        return identify(self.dispatch.request)


@dataclasses.dataclass(slots=True, eq=False)
class SentRequest:
    """A caller's request with the answers that it got."""

    process: Process
    request: request_module.Request
    answers: list = dataclasses.field(default_factory=list)


def identify(request):
    """Return the key and body; requests without a key differ by body."""
    return request.key, request.body


class Checker:
    """Recorder of executions that checks the answers against them."""

    def __init__(self):
        self.runs = {}
        self.keys = {}

    def run(self, attempt):
        request = attempt.dispatch.request
        identity = attempt.identity
        self.runs[identity] = self.runs.get(identity, 0) + 1
        if request.idempotent:
            return
        self._check(self.runs[identity] == 1, f'{identity} ran twice')
        if request.key:
            body = self.keys.setdefault(request.key, request.body)
            self._check(body == request.body, f'{request.key} ran twice')

    def answer(self, sent, answer, attempts):
        identity = identify(sent.request)
        sent.answers.append(answer)
        self._check(len(sent.answers) == 1, f'{identity} answered twice')
        if answer.verdict is Verdict.RAN:
            expected = sent.request.body + END
            self._check(
                answer.body == expected, f'{identity} got {answer.body!r}'
            )
            self._check(identity in self.runs, f'{identity} never ran')
        if answer.verdict is Verdict.NOT_RUN:
            self._check(identity not in self.runs, f'{identity} ran')
            self._check(
                not any(each.identity == identity for each in attempts),
                f'{identity} may still run',
            )
            self._check(
                answer.retry_after_seconds is not None,
                'no retry_after_seconds',
            )

    def _check(self, holds, text):
        if not holds:
            raise InvariantViolation(text)


class Fleet:
    """Simulated instances, network, platform and upstreams."""

    def __init__(self, size=5, core_type=requests.RequestCore, **options):
        defaults = {
            'maximum_timeout_seconds': 8.0,
            'key_memory_seconds': 20.0,
            'hand_on_seconds': 3.0,
            'claim_patience_seconds': 2.0,
        }
        self.settings = requests.RequestSettings(**defaults | options)
        self.core_type = core_type
        self.now = 0.0
        self.checker = Checker()
        self.envelopes = []
        self.attempts = []
        self.abandoned_attempts = []
        self.writes = []
        self.sent_requests = {}
        self.objects = {}
        self.revision = 0
        self.is_platform_up = True
        self.broken_links = set()
        self.left = set()
        self.announces_leaving = True
        self.processes = {}
        self.last_seed = 0
        self.last_number = 0
        upstreams = [
            samples.make_upstream(f'u-{number}', slots=3)
            for number in range(3)
        ]
        self.configuration = samples.make_configuration(*upstreams)
        names = [f'e-{number}' for number in range(size)]
        for name in names:
            self.start(name)

    def provide_holders(self):
        """Store a list of holders with all processes and deliver it."""
        holders = tuple(
            _holders.Holder(each.name, each.zone, each.core.context.boot_id)
            for each in self.processes.values()
        )
        value = _holders.encode_value(_holders.HolderValue(holders))
        self.revision += 1
        self.objects[_holders.PATH] = platform_api.StoredObject(
            _holders.PATH, 1, self.revision, value
        )
        for each in self.list_alive():
            self.deliver_objects(each)

    def declare_gone(self, *names):
        """Store the names of instances that operators declare gone."""
        self.revision += 1
        value = ('["' + '","'.join(names) + '"]').encode()
        self.objects[_holders.GONE_PATH] = platform_api.StoredObject(
            _holders.GONE_PATH, 1, self.revision, value
        )

    def start(self, name, is_known=True):
        """Start a process under a name that no running process has."""
        self.last_seed += 1
        zone = ZONES[int(name.rpartition('-')[2]) % len(ZONES)]
        settings = instance.InstanceSettings(
            name, zone, 'sierra-norte', endpoint.Endpoint('127.0.0.1', 1)
        )
        core = self.core_type(settings, self.settings, self.last_seed)
        process = Process(
            name=name,
            zone=zone,
            core=core,
            offset=self.last_seed * CLOCK_STEP_SECONDS,
            views={},
        )
        self.processes[name] = process
        self.left.discard(name)
        self.feed(process, event.ConfigurationChanged(self.configuration))
        for each in self.processes.values():
            if is_known or name not in each.views:
                self.set_view(each, name, State.ALIVE)
            self.set_view(process, each.name, State.ALIVE)

    def kill(self, name, is_known=True):
        self.processes[name].is_alive = False
        if is_known:
            self.set_member_state(name, State.DEAD)

    def set_member_state(self, name, state):
        """Set a member's state in the views of all running processes."""
        for each in self.list_alive():
            self.set_view(each, name, state)

    def set_view(self, process, name, state):
        """Set a member's state in one process's view."""
        if name == process.name and state is not State.ALIVE:
            return
        process.views[name] = state
        members = {
            each: member.Member(
                each,
                self.processes[each].zone,
                'sierra-norte',
                endpoint.Endpoint('127.0.0.1', 1),
                state=process.views[each],
            )
            for each in sorted(process.views)
        }
        membership = member.Membership(len(members), members)
        self.feed(process, event.MembershipChanged(membership))

    def cancel(self, sent):
        """Disconnect the caller of a request."""
        number = sent.request.number
        self.feed(sent.process, event.RequestCancelled(number))

    def list_alive(self):
        return [each for each in self.processes.values() if each.is_alive]

    def feed(self, process, received):
        if not process.is_alive:
            return
        if process.is_paused:
            process.inbox.append(received)
            return
        now = self.now + process.offset
        for produced in process.core.handle(now, received):
            self._perform(process, produced)
        if process.is_stopping and process.core.is_finished:
            process.is_alive = False
            self.left.add(process.name)
            if self.announces_leaving:
                self.set_member_state(process.name, State.LEFT)

    def _perform(self, process, produced):
        if isinstance(produced, effect.SendToPeer):
            envelope = Envelope(process, produced.peer, produced.message)
            self.envelopes.append(envelope)
        elif isinstance(produced, effect.DispatchAttempt):
            self.attempts.append(Attempt(process, produced, self.now))
        elif isinstance(produced, effect.CancelAttempt):
            pass
        elif isinstance(produced, effect.SendAnswer):
            sent = self.sent_requests[id(process), produced.request]
            self.checker.answer(sent, produced.answer, self._list_startable())
        elif isinstance(produced, effect.RequestWrite):
            self.writes.append((process, produced.write))

    def send_request(
        self, name, key='', body=b'x', idempotent=False, timeout=5.0
    ):
        """Send a caller's request to an instance."""
        self.last_number += 1
        process = self.processes[name]
        request = samples.make_request(
            self.last_number,
            key=key,
            body=body,
            idempotent=idempotent,
            timeout_seconds=timeout,
        )
        sent = SentRequest(process, request)
        self.sent_requests[id(process), request.number] = sent
        self.feed(process, event.RequestReceived(request))
        return sent

    def is_link_broken(self, one, other):
        return frozenset((one, other)) in self.broken_links

    def isolate_zone(self, zone):
        """Break all links between a zone and the others."""
        for one in self.processes.values():
            for other in self.processes.values():
                if (one.zone == zone) != (other.zone == zone):
                    self.broken_links.add(frozenset((one.name, other.name)))

    def deliver(self, envelope, keep=False):
        """Deliver a message unless the link is broken."""
        if self.is_link_broken(envelope.source.name, envelope.target):
            return
        if not keep:
            self.envelopes.remove(envelope)
        target = self.processes.get(envelope.target)
        if target is None:
            return
        decoder = codec.StreamDecoder(requests.MESSAGES)
        [decoded] = decoder.feed(codec.encode(envelope.message))
        received = event.PeerMessageReceived(envelope.source.name, decoded)
        self.feed(target, received)

    def lose_stream(self, one, other):
        """Drop the messages between two processes and report the loss."""
        pair = {one, other}
        self.envelopes = [
            each
            for each in self.envelopes
            if {each.source.name, each.target} != pair
        ]
        self.feed(self.processes[one], event.PeerLost(other))
        self.feed(self.processes[other], event.PeerLost(one))

    def write(self, process, write, is_answered=True):
        """Perform a conditional write on the platform."""
        self.writes.remove((process, write))
        stored = self.objects.get(write.path)
        version = stored.version if stored else 0
        status = platform_api.PlatformStatus.CONFLICT
        if version == write.expected_version:
            self.revision += 1
            stored = platform_api.StoredObject(
                write.path, version + 1, self.revision, write.value
            )
            self.objects[write.path] = stored
            status = platform_api.PlatformStatus.OK
        if is_answered:
            ended = event.WriteEnded(write.path, status, stored)
        else:
            unknown = platform_api.PlatformStatus.UNKNOWN
            ended = event.WriteEnded(write.path, unknown, None)
        self.feed(process, ended)

    def deliver_objects(self, process):
        """Deliver the newest objects of the platform to a process."""
        process.seen_revision = self.revision
        for stored in self.objects.values():
            self.feed(process, event.ObjectChanged(stored))

    def run(self, attempt):
        """Run an attempt, or refuse it if its deadline has passed."""
        if not self._can_start(attempt):
            self.end(attempt, Outcome.REFUSED)
            return
        attempt.has_run = True
        self.checker.run(attempt)

    def answer(self, attempt, is_whole=True):
        """Answer an attempt that has run."""
        body = attempt.dispatch.request.body + END
        headers = (('content-length', str(len(body))),)
        sent = body if is_whole else body[:-1]
        answer = samples.make_answer(sent, headers=headers)
        self.end(attempt, Outcome.ANSWERED, answer)

    def end(self, attempt, outcome, answer=None):
        self.attempts.remove(attempt)
        if outcome in LOST and not attempt.has_run:
            self.abandoned_attempts.append(attempt)
        ended = event.AttemptEnded(attempt.dispatch.attempt, outcome, answer)
        self.feed(attempt.process, ended)

    def _can_start(self, attempt):
        timeout = attempt.dispatch.timeout_seconds
        return not attempt.has_run and self.now < attempt.sent_at + timeout

    def _list_startable(self):
        both = self.attempts + self.abandoned_attempts
        return [each for each in both if self._can_start(each)]

    def run_abandoned(self, attempt):
        """Run an attempt that its instance has abandoned."""
        self.abandoned_attempts.remove(attempt)
        if self._can_start(attempt):
            attempt.has_run = True
            self.checker.run(attempt)

    def advance(self, seconds):
        """Advance the clock in limited steps and tick all processes."""
        until = self.now + seconds
        while self.now < until:
            self.now = min(until, self.now + LONGEST_STEP_SECONDS)
            for process in self.list_alive():
                self.feed(process, event.Tick())

    def pause(self, name):
        self.processes[name].is_paused = True

    def resume(self, name):
        process = self.processes[name]
        process.is_paused = False
        waiting = process.inbox[:]
        process.inbox.clear()
        for received in waiting:
            self.feed(process, received)

    def stop(self, name):
        process = self.processes[name]
        process.is_stopping = True
        for each in self.list_alive():
            self.set_view(each, name, State.LEAVING)
        self.feed(process, event.StopRequested())

    def settle(self, seconds=1.0, runs=True):
        """Alternate deliveries, attempts and ticks for some seconds."""
        until = self.now + seconds
        while self.now < until:
            self.deliver_pending()
            if runs:
                self.serve()
                self.deliver_pending()
            self.advance(STEP_SECONDS)
        self.deliver_pending()

    def deliver_pending(self):
        """Deliver messages, writes and objects until none is pending."""
        for _ in range(40):
            due = [
                each
                for each in self.envelopes
                if not self.is_link_broken(each.source.name, each.target)
            ]
            for envelope in due:
                if envelope in self.envelopes:
                    self.deliver(envelope)
            if self.is_platform_up:
                for process, write in list(self.writes):
                    self.write(process, write)
                for process in self.list_alive():
                    if process.seen_revision < self.revision:
                        self.deliver_objects(process)
            elif not due:
                return
            if not self.envelopes and not self.writes:
                return

    def serve(self):
        """Run and answer all pending attempts."""
        for attempt in list(self.attempts):
            if not attempt.has_run:
                self.run(attempt)
            if attempt in self.attempts:
                self.answer(attempt)
