"""Resets of open flows whose route was added a moment ago.

All that happens is planned work: the operator changes the configuration, and
one instance is stopped with SIGTERM and started again, so that flows move to
it. ``claim.txt`` says which rule that breaks.
"""

from __future__ import annotations

from collections.abc import Callable
import itertools
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
import types

from skylarkfold import reactor

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent.parent
DEPENDENCIES = ROOT / 'target' / 'deps'

# The stand-ins' package imports libraries for tests, which a build for the
# platform lacks; its part for packets needs none of them.
_standin = types.ModuleType('skylarkfold.standin')
_standin.__path__ = [str(DEPENDENCIES / 'skylarkfold' / 'standin')]
sys.modules[_standin.__name__] = _standin

from skylarkfold.standin import packets  # noqa: E402
from skylarkfold.standin.packets import _server  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2

# Instances by zone, as in the small deployments with a spare machine.
ZONES = {'hall-a': 4, 'hall-b': 2, 'hall-c': 2}
# The zone of the clients, and the instance that is stopped and started.
CLIENT_ZONE = 'hall-a'
RESTARTED = 'edge-hall-a-1'
SERVICE = 'press-desk'
UPSTREAMS = 6
WORK_SECONDS = 0.003
# Routes without traffic.
IDLE_ROUTES = 8
TERMS = ('base', 'drain', 'config', 'cost', 'recover', 'flows', 'platform')
BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'stable_window_ms': 4000,
    'ack_ms': 5000,
    'catch_up_s': 4,
    'drain_ms': 3000,
    'grace_s': 6,
    'config_apply_ms': 3000,
    'rollback_slack_ms': 250,
    'unsettled_grace_ms': 12000,
    'recovery_s': 12,
    'flow_ms': 2000,
    'max_flow_s': 60,
}

# New rounds are begun for so long; a round takes about six seconds.
ROUNDS_SECONDS = 80.0
# The longest time that a part of a round may take.
PART_SECONDS = 12.0
# How long the platform takes to start a process that has ended.
RESTART_SECONDS = 1.3
# After a check of readiness, of which there are two a second: when the
# operator changes a time-out, when the platform starts the process again, and
# when the operator adds a route. The next check takes the process into
# rotation.
TIMEOUT_CHANGE_SECONDS = 0.02
LEAST_START_SECONDS = 0.12
MOST_START_SECONDS = 0.42
ROUTE_CHANGE_SECONDS = 0.46
# From the acknowledgement on, a flow is opened this often, for so long.
FLOW_EVERY_SECONDS = 0.001
FLOWS_SECONDS = 0.2
# How long a flow is used, and the pause between its requests.
FLOW_SECONDS = 0.6
REQUEST_PAUSE_SECONDS = 0.02
DEADLINE_SECONDS = 1.0


class StoreSession(_server._Session):
    """A connection to the store, without the header for restored stores."""

    def _answer(self, status: int, body: object) -> None:
        data = json.dumps(body).encode()
        head = (
            f'HTTP/1.1 {status} Answer\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(data)}\r\n\r\n'
        )
        self._stream.write(head.encode() + data)


_server._Session = StoreSession


class Routers(packets.Fabric):
    """The platform's routers; tells when they check the instances."""

    def __init__(self, loop: reactor.Loop) -> None:
        self.next_check: Callable[[], object] | None = None
        super().__init__(loop)

    def _check_all(self) -> None:
        super()._check_all()
        callback, self.next_check = self.next_check, None
        if callback is not None:
            callback()


class Machine:
    """A machine with one instance."""

    def __init__(self, bench: Bench, name: str, zone: str, host: str) -> None:
        self.name = name
        self.zone = zone
        self.host = host
        self._bench = bench
        self._path = bench.folder / f'{name}.settings'
        self._process: subprocess.Popen | None = None

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        bench = self._bench
        fields = packets.build_fields(
            self.name,
            self.zone,
            self.host,
            bench.port,
            bench.seeds,
            bench.store_server.address,
            list(ZONES),
        )
        fields['contracts'] = list(TERMS)
        fields['bounds'] = BOUNDS
        template = (ROOT / 'deploy' / 'settings.template').read_text()
        self._path.write_text(packets.fill(template, fields))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['SKYLARKFOLD_CONFIG'] = str(self._path)
        environment['PYTHONPATH'] = str(DEPENDENCIES)
        with open(bench.folder / f'{self.name}.log', 'ab') as log:
            self._process = subprocess.Popen(
                bench.command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def terminate(self) -> None:
        self._process.send_signal(signal.SIGTERM)

    def end(self) -> None:
        if self.is_running:
            self._process.kill()
            self._process.wait()


class Bench:
    """The deployment, its stand-ins and the record."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.loop = reactor.Loop()
        self._begun_at = self.loop.now()
        self._record = open(HERE / 'record.txt', 'w')
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        self.command = shlex.split(deploy['roles']['forwarder']['run'])
        net = random.randrange(20, 250)
        self.port = _find_port()
        self.store = packets.ObjectStore()
        self.store_server = packets.StoreServer(
            self.loop, (f'127.{net}.9.1', 0), self.store
        )
        self._routers = Routers(self.loop)
        self._machines = {
            f'edge-{zone}-{index + 1}': Machine(
                self,
                f'edge-{zone}-{index + 1}',
                zone,
                f'127.{net}.{number + 1}.{index + 1}',
            )
            for number, (zone, count) in enumerate(ZONES.items())
            for index in range(count)
        }
        # As in the example of the settings: one machine of each zone.
        self.seeds = [self._machines[f'edge-{zone}-1'].host for zone in ZONES]
        self.upstreams = [
            packets.Upstream(
                self.loop,
                f'i-{random.getrandbits(40):010x}',
                SERVICE,
                list(ZONES)[number % len(ZONES)],
                (f'127.{net}.7.{number + 1}', self.port),
                self.port,
            )
            for number in range(UPSTREAMS)
        ]
        self.runs: dict[bytes, int] = {}
        for each in self.upstreams:
            each.work_seconds = WORK_SECONDS
            each.ran = self._note_run
        self.client = packets.Caller(
            self.loop,
            f'127.{net}.8.1',
            self.port,
            lambda source, address, data: self._routers.send(
                CLIENT_ZONE, source, address, data
            ),
        )
        self._version = 0
        self._added: list[tuple[str, int]] = []
        self._requests = itertools.count(1)
        self.opened = 0
        self.sent = 0
        self.answered = 0
        self.unanswered = 0
        self.resets = 0

    def note(self, text: str) -> None:
        at = self.loop.now() - self._begun_at
        self._record.write(f'{at:9.4f} s  {text}\n')

    def run(self) -> int:
        """Play the rounds.

        :returns: the exit status.
        """
        for each in self.upstreams:
            self.store.put('servers', each.name, each.describe())
        self._write_configuration()
        for each in self._machines.values():
            self._routers.add(
                each.name,
                each.zone,
                (each.host, self.port),
                (each.host, self.port + 1),
            )
            each.start()
        if not self._wait(self._are_all_in, PART_SECONDS):
            self.note('the instances did not become ready')
            return COULD_NOT_RUN
        self._pause(3.0)
        rounds = 0
        while self.loop.now() - self._begun_at < ROUNDS_SECONDS:
            rounds += 1
            if not self._play_round(rounds):
                self.note('an instance did not stop, start or become ready')
                return COULD_NOT_RUN
        twice = sum(count > 1 for count in self.runs.values())
        forged = sum(each.forged for each in self.upstreams)
        self.note(
            f'{rounds} rounds: {self.opened} flows opened, {self.sent} '
            f'requests sent on them, {self.answered} answered, '
            f'{self.unanswered} not; {len(self.runs)} requests ran, {twice} '
            f'of them twice; {forged + self.client.forged} packets changed on '
            f'the way; {self.resets} open flows reset by the system while '
            'their backend lived and their route existed'
        )
        if not self.opened:
            return COULD_NOT_RUN
        return BROKEN if self.resets else HELD

    def end(self) -> None:
        """End all processes and stand-ins."""
        for each in self._machines.values():
            each.end()
        for each in self.upstreams:
            each.end()
        self.client.close()
        self._routers.close()
        self.store_server.close()
        self._record.close()

    def name_request(self) -> bytes:
        return next(self._requests).to_bytes(8, 'big')

    def _note_run(self, _upstream: packets.Upstream, request: bytes) -> None:
        self.runs[request] = self.runs.get(request, 0) + 1

    def _play_round(self, number: int) -> bool:
        machine = self._machines[RESTARTED]
        if HAS_TROUBLE:
            self.note(f'round {number}: {machine.name} gets SIGTERM')
            machine.terminate()
            if not self._wait(lambda: not machine.is_running, PART_SECONDS):
                return False
        self._pause(RESTART_SECONDS)
        state = {'is_over': False}

        def begin() -> None:
            later = self.loop.call_later
            later(TIMEOUT_CHANGE_SECONDS, self._write_configuration)
            if HAS_TROUBLE:
                span = (LEAST_START_SECONDS, MOST_START_SECONDS)
                later(random.uniform(*span), start)
            later(ROUTE_CHANGE_SECONDS, add_route)

        def start() -> None:
            self.note(f'round {number}: {machine.name} starts again')
            machine.start()

        def add_route() -> None:
            address = ('198.51.100.7', 1000 + number)
            self._added.append(address)
            self._write_configuration()
            self._open_flows(address, self.loop.now() + FLOWS_SECONDS)
            self.loop.call_later(FLOWS_SECONDS + FLOW_SECONDS + 0.4, finish)

        def finish() -> None:
            state['is_over'] = True

        self._routers.next_check = begin
        if not self._wait(lambda: state['is_over'], PART_SECONDS):
            return False
        if not self._wait(self._are_all_in, PART_SECONDS):
            return False
        self._pause(1.0)
        return True

    def _write_configuration(self) -> None:
        self._version += random.randint(1, 5)
        routes = [
            self._describe_route(f'idle-{number}', ('198.51.100.9', number))
            for number in range(1, IDLE_ROUTES + 1)
        ]
        routes += [
            self._describe_route(f'added-{number}', address)
            for number, address in enumerate(self._added)
        ]
        self.store.put(
            'config',
            'main',
            {
                'version': self._version,
                'routes': routes,
                'services': [
                    {
                        'name': SERVICE,
                        'health_check_path': '/healthz',
                        'max_connections': 2000,
                    }
                ],
                'limits': {'idle_timeout_ms': 15000},
            },
        )
        newest = self._added[-1] if self._added else None
        self.note(
            f'version {self._version} is acknowledged; newest route: {newest}'
        )

    def _describe_route(
        self, name: str, address: tuple[str, int]
    ) -> dict[str, object]:
        return {
            'name': name,
            'host': address[0],
            'path_prefix': f'/{address[1]}/',
            'type': 'non_idempotent',
            'priority': 1,
            'service': SERVICE,
            'timeout_ms': 1000 + self._version,
            'target_latency_ms': 150,
            'max_attempts': 1,
        }

    def _open_flows(self, address: tuple[str, int], until: float) -> None:
        if self.loop.now() >= until:
            return
        Conversation(self, address, until + FLOW_SECONDS)
        self.loop.call_later(
            FLOW_EVERY_SECONDS, lambda: self._open_flows(address, until)
        )

    def _are_all_in(self) -> bool:
        return all(map(self._routers.is_in_rotation, self._machines))

    def _pause(self, seconds: float) -> None:
        self._wait(lambda: False, seconds)

    def _wait(self, is_over: Callable[[], bool], seconds: float) -> bool:
        until = self.loop.now() + seconds

        def poll() -> None:
            if is_over() or self.loop.now() >= until:
                self.loop.stop()
            else:
                self.loop.call_later(0.02, poll)

        self.loop.call_later(0.0, poll)
        self.loop.run()
        return is_over()


class Conversation:
    """A flow with one request after the other.

    :param bench: the deployment.
    :param address: the address of its route.
    :param until: when it ends.
    """

    def __init__(
        self, bench: Bench, address: tuple[str, int], until: float
    ) -> None:
        self._bench = bench
        self._until = until
        self._answers = 0
        self._flow = bench.client.open(address)
        self._flow.was_reset = self._note_reset
        self._request()

    def _request(self) -> None:
        if self._flow.is_over:
            return
        exchange = packets.Exchange(self._bench.name_request())
        if self._answers:
            self._bench.sent += 1
        self._flow.request(exchange, DEADLINE_SECONDS, self._end)

    def _end(self, exchange: packets.Exchange) -> None:
        bench = self._bench
        if exchange.outcome != packets.ANSWERED:
            if self._answers or exchange.is_opened:
                bench.unanswered += 1
                runs = bench.runs.get(exchange.request, 0)
                self._note(
                    f'request {exchange.request.hex()} is not answered '
                    f'({exchange.outcome}); it ran {runs} times'
                )
            self._flow.finish()
            return
        if not self._answers:
            bench.opened += 1
            bench.sent += 1
        self._answers += 1
        bench.answered += 1
        if bench.loop.now() >= self._until:
            self._note(f'{self._answers} requests sent and answered')
            self._flow.finish()
            return
        bench.loop.call_later(REQUEST_PAUSE_SECONDS, self._request)

    def _note_reset(self, flow: packets.Flow) -> None:
        """Count a reset of the system on a flow that its backend holds."""
        bench = self._bench
        is_from_system = flow.resets[-1]
        for each in bench.upstreams:
            is_held = each.holds(flow.source, flow.address)
            if is_from_system and is_held and not each.is_ended:
                bench.resets += 1
                self._note(
                    f'open at {each.name} after {self._answers} answers: the '
                    'client gets a reset of the system (FLOW)'
                )

    def _note(self, text: str) -> None:
        flow = self._flow
        host, port = flow.address
        self._bench.note(f'flow {flow.source[1]} > {host}:{port}: {text}')


def _find_port() -> int:
    """Find the first of the ports that all instances use."""
    while True:
        port = random.randrange(12000, 32000, 10)
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        return port


def main() -> int:
    """Run the case.

    :returns: the exit status.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    with tempfile.TemporaryDirectory() as folder:
        bench = Bench(pathlib.Path(folder))
        try:
            return bench.run()
        except Exception as error:
            bench.note(f'the case could not run: {error!r}')
            return COULD_NOT_RUN
        finally:
            bench.end()


if __name__ == '__main__':
    sys.exit(main())
