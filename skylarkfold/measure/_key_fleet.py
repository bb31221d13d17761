"""Request cores with links, a platform and upstreams in virtual time."""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses
import functools
import heapq
import time

from skylarkfold import codec
from skylarkfold import configuration as configuration_module
from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold import event
from skylarkfold import instance as instance_module
from skylarkfold import member as member_module
from skylarkfold import platform_api
from skylarkfold import request as request_module
from skylarkfold import requests
from skylarkfold import service as service_module
from skylarkfold import verdict as verdict_module

ZONES = ('hall-a', 'hall-b', 'hall-c')
SERVICE = 'press-desk'
TICK_SECONDS = 0.1
NEAR_SECONDS = 0.0001
FAR_SECONDS = 0.0015
PLATFORM_SECONDS = 0.005
NEWS_SECONDS = 0.2
SERVICE_SECONDS = 0.02
TIMEOUT_SECONDS = 5.0

_ADDRESS = endpoint.Endpoint('127.0.0.1', 1)


@dataclasses.dataclass(slots=True, eq=False)
class Process:
    """One running instance.

    :param name: its name.
    :param zone: its zone.
    :param core: its request core.
    :param states: how it sees the members.
    """

    name: str
    zone: str
    core: requests.RequestCore
    states: dict[str, member_module.MemberState]
    is_alive: bool = True
    is_stopping: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Sent:
    """A request that a caller sent.

    :param key: its key.
    :param at: when.
    :param answer: its answer, None while there is none.
    :param answered_at: when it came.
    """

    key: str
    at: float
    answer: request_module.Answer | None = None
    answered_at: float = 0.0


class KeyFleet:
    """Instances that answer for keys together.

    :param size: how many.
    :param settings: the request settings.
    :param seed: sets all draws.
    """

    def __init__(
        self, size: int, settings: requests.RequestSettings, seed: int
    ) -> None:
        self.now = 0.0
        self.settings = settings
        self.processes: dict[str, Process] = {}
        self.runs: collections.Counter[str] = collections.Counter()
        self.dispatched: dict[str, float] = {}
        self.control_messages = 0
        self.control_bytes = 0
        self.decision_seconds = 0.0
        self.cut_zone = ''
        self.is_platform_up = True
        self._seed = seed * 1_000_000
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._steps = 0
        self._sent: dict[tuple[int, int], Sent] = {}
        self._numbers = 0
        self._cancelled: set[tuple[int, int]] = set()
        self._object: platform_api.StoredObject | None = None
        self._configuration = _make_configuration()
        for number in range(size):
            self.start(f'entry-{number}')
        self.plan(0.0, self._tick)

    def start(self, name: str) -> None:
        """Start an instance under a name that is free.

        :param name: the name.
        """
        self._seed += 1
        zone = ZONES[int(name.rpartition('-')[2]) % len(ZONES)]
        instance = instance_module.InstanceSettings(
            name, zone, 'sierra-norte', _ADDRESS
        )
        core = requests.RequestCore(instance, self.settings, self._seed)
        states = {each.name: _ALIVE for each in self.list_alive()}
        process = Process(name, zone, core, states)
        self.processes[name] = process
        self.feed(process, event.ConfigurationChanged(self._configuration))
        self.see(name, _ALIVE)
        if self._object is not None:
            self.feed(process, event.ObjectChanged(self._object))

    def kill(self, name: str, is_noticed: bool = True) -> None:
        """End an instance at once.

        :param name: its name.
        :param is_noticed: whether the others see it dead.
        """
        self.processes[name].is_alive = False
        if is_noticed:
            self.see(name, member_module.MemberState.DEAD)

    def stop(self, name: str) -> None:
        """Ask an instance to stop.

        :param name: its name.
        """
        self.processes[name].is_stopping = True
        self.see(name, member_module.MemberState.LEAVING)
        self.feed(self.processes[name], event.StopRequested())

    def see(self, name: str, state: member_module.MemberState) -> None:
        """Let all instances see a member in a state.

        :param name: the member.
        :param state: its state.
        """
        for process in self.list_alive():
            process.states[name] = state
            self.feed(process, _make_membership(process, self.processes))

    def list_alive(self) -> list[Process]:
        """List the running instances."""
        return [each for each in self.processes.values() if each.is_alive]

    def send(self, name: str, key: str) -> Sent:
        """Send a request that may run only once.

        :param name: the instance that gets it.
        :param key: its key.
        :returns: what becomes of it.
        """
        self._numbers += 1
        process = self.processes[name]
        made = request_module.Request(
            number=self._numbers,
            service=SERVICE,
            method='POST',
            target='/tonnage',
            headers=(),
            body=b'{"bend": 12, "force": 84}',
            key=key,
            idempotent=False,
            priority=request_module.Priority.EXCHANGE,
            timeout_seconds=TIMEOUT_SECONDS,
        )
        sent = Sent(key, self.now)
        self._sent[id(process), made.number] = sent
        self.feed(process, event.RequestReceived(made))
        return sent

    def run(self, seconds: float) -> None:
        """Let time pass.

        :param seconds: how much.
        """
        until = self.now + seconds
        while self._due and self._due[0][0] <= until:
            self.now, _, act = heapq.heappop(self._due)
            act()
        self.now = until

    def feed(self, process: Process, received: object) -> None:
        """Hand an event to an instance and perform what follows.

        :param process: the instance.
        :param received: the event.
        """
        if not process.is_alive:
            return
        begun = time.process_time()
        produced = process.core.handle(self.now, received)
        self.decision_seconds += time.process_time() - begun
        for each in produced:
            _perform(each, self, process)
        if process.is_stopping and process.core.is_finished:
            process.is_alive = False
            self.see(process.name, member_module.MemberState.LEFT)

    def carry(self, source: Process, wanted: effect.SendToPeer) -> None:
        """Carry a message to another instance.

        :param source: who sends it.
        :param wanted: the message and where it goes.
        """
        target = self.processes.get(wanted.peer)
        if target is None or self._is_cut(source, target):
            return
        self.control_messages += 1
        self.control_bytes += len(codec.encode(wanted.message))
        is_near = source.zone == target.zone
        received = event.PeerMessageReceived(source.name, wanted.message)
        self.plan(
            NEAR_SECONDS if is_near else FAR_SECONDS,
            functools.partial(self.feed, target, received),
        )

    def dispatch(
        self, process: Process, wanted: effect.DispatchAttempt
    ) -> None:
        """Let an upstream run a request and answer it.

        :param process: who sends it.
        :param wanted: the attempt.
        """
        self.runs[wanted.request.key] += 1
        self.dispatched.setdefault(wanted.request.key, self.now)
        answer = request_module.Answer(
            verdict_module.Verdict.RAN, 200, body=wanted.request.body
        )
        ended = event.AttemptEnded(
            wanted.attempt, request_module.Outcome.ANSWERED, answer
        )
        self.plan(
            SERVICE_SECONDS, functools.partial(self.feed, process, ended)
        )

    def answer(self, process: Process, wanted: effect.SendAnswer) -> None:
        """Hand an answer to its caller.

        :param process: who sends it.
        :param wanted: the answer.
        """
        sent = self._sent[id(process), wanted.request]
        sent.answer = wanted.answer
        sent.answered_at = self.now

    def write(self, process: Process, wanted: effect.RequestWrite) -> None:
        """Let the platform take a conditional write.

        :param process: who writes.
        :param wanted: the write.
        """
        if self.is_platform_up:
            act = functools.partial(self._write, process, wanted.write)
            self.plan(PLATFORM_SECONDS, act)

    def _write(
        self, process: Process, write: platform_api.WriteObject
    ) -> None:
        known = self._object
        version = known.version if known is not None else 0
        status = platform_api.PlatformStatus.CONFLICT
        if version == write.expected_version:
            status = platform_api.PlatformStatus.OK
            known = platform_api.StoredObject(
                write.path, version + 1, version + 1, write.value
            )
            self._object = known
            for each in self.list_alive():
                changed = event.ObjectChanged(known)
                act = functools.partial(self.feed, each, changed)
                self.plan(NEWS_SECONDS, act)
        self.feed(process, event.WriteEnded(write.path, status, known))

    def _is_cut(self, one: Process, other: Process) -> bool:
        is_inside = one.zone == self.cut_zone
        return is_inside != (other.zone == self.cut_zone)

    def _tick(self) -> None:
        for process in self.list_alive():
            self.feed(process, event.Tick())
        self.plan(TICK_SECONDS, self._tick)

    def plan(self, seconds: float, act: Callable[[], None]) -> None:
        """Do something later.

        :param seconds: how much later.
        :param act: what to do.
        """
        self._steps += 1
        heapq.heappush(self._due, (self.now + seconds, self._steps, act))


_ALIVE = member_module.MemberState.ALIVE


@functools.singledispatch
def _perform(produced: object, fleet: KeyFleet, process: Process) -> None:
    """Perform an effect; others concern no measurement."""


@_perform.register
def _(produced: effect.SendToPeer, fleet: KeyFleet, process: Process) -> None:
    fleet.carry(process, produced)


@_perform.register
def _(
    produced: effect.DispatchAttempt, fleet: KeyFleet, process: Process
) -> None:
    fleet.dispatch(process, produced)


@_perform.register
def _(produced: effect.SendAnswer, fleet: KeyFleet, process: Process) -> None:
    fleet.answer(process, produced)


@_perform.register
def _(
    produced: effect.RequestWrite, fleet: KeyFleet, process: Process
) -> None:
    fleet.write(process, produced)


def _make_configuration() -> configuration_module.Configuration:
    upstreams = tuple(
        service_module.Upstream(
            name=f'press-desk-{number}',
            address=_ADDRESS,
            zone=ZONES[number % len(ZONES)],
            request_port=1,
            slots=2,
        )
        for number in range(7)
    )
    service = service_module.Service(SERVICE, 'desk', _ADDRESS, upstreams)
    return configuration_module.Configuration(1, {SERVICE: service})


def _make_membership(
    process: Process, processes: dict[str, Process]
) -> event.MembershipChanged:
    members = {
        name: member_module.Member(
            name, processes[name].zone, 'sierra-norte', _ADDRESS, state=state
        )
        for name, state in sorted(process.states.items())
    }
    return event.MembershipChanged(member_module.Membership(1, members))
