"""The deployment and the stand-ins that the scripts of this review share.

Instances are processes started with the command of the deploy file, on
loopback addresses; their settings are those of the small deployments.
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

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPENDENCIES = ROOT / 'target' / 'deps'

# The stand-ins' package imports libraries for tests, which a build for the
# platform lacks; its part for packets needs none of them.
_standin = types.ModuleType('skylarkfold.standin')
_standin.__path__ = [str(DEPENDENCIES / 'skylarkfold' / 'standin')]
sys.modules[_standin.__name__] = _standin

from skylarkfold.standin import packets  # noqa: E402
from skylarkfold.standin.packets import _server  # noqa: E402
from skylarkfold.standin.packets import _wire  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2

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
# The longest time until all instances are ready.
READY_SECONDS = 12.0

Address = tuple[str, int]


class StoreSession(_server._Session):
    """A connection to the store, without the header for restored stores.

    :cvar watched: told the kind and the caller's host of each watch.
    """

    watched: Callable[[str, str], object] | None = None

    def _watch(self, kind: str, revision: int, until: float) -> None:
        if StoreSession.watched is not None:
            StoreSession.watched(kind, self._stream.peer_host)
        super()._watch(kind, revision, until)

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
    """The platform's routers.

    :ivar next_check: called at the next check of the instances, once.
    :ivar last_target: the machine that got the last packet.
    """

    def __init__(self, loop: reactor.Loop) -> None:
        self.next_check: Callable[[], object] | None = None
        self.last_target = ''
        self._names: dict[Address, str] = {}
        super().__init__(loop)

    def add(
        self, name: str, zone: str, packets: Address, ready: Address
    ) -> None:
        self._names[packets] = name
        super().add(name, zone, packets, ready)

    def send(
        self, zone: str, source: Address, address: Address, data: bytes
    ) -> None:
        targets = self._list_targets(zone)
        if targets:
            hashed = _wire.hash_bytes(f'{source}{address}'.encode())
            target = targets[hashed % len(targets)]
            self.last_target = self._names[target.packets]
        super().send(zone, source, address, data)

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
        self.store_address = bench.store_server.address
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
            self.store_address,
            list(bench.zones),
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
    """A deployment, its stand-ins and the record.

    :param folder: for settings and logs of the instances.
    :param record: the path of the record.
    :param zones: the number of instances by zone.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        record: pathlib.Path,
        zones: dict[str, int],
    ) -> None:
        self.folder = folder
        self.zones = zones
        self.loop = reactor.Loop()
        self._begun_at = self.loop.now()
        self._record = open(record, 'w')
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        self.command = shlex.split(deploy['roles']['forwarder']['run'])
        net = self.net = random.randrange(20, 250)
        self.port = _find_port()
        self.store = packets.ObjectStore()
        self.store_server = packets.StoreServer(
            self.loop, (f'127.{net}.9.1', 0), self.store
        )
        self.routers = Routers(self.loop)
        self.machines = {
            f'edge-{zone}-{index + 1}': Machine(
                self,
                f'edge-{zone}-{index + 1}',
                zone,
                f'127.{net}.{number + 1}.{index + 1}',
            )
            for number, (zone, count) in enumerate(zones.items())
            for index in range(count)
        }
        # As in the example of the settings: one machine of each zone.
        self.seeds = [self.machines[f'edge-{zone}-1'].host for zone in zones]
        self.upstreams = [
            packets.Upstream(
                self.loop,
                f'i-{random.getrandbits(40):010x}',
                SERVICE,
                list(zones)[number % len(zones)],
                (f'127.{net}.7.{number + 1}', self.port),
                self.port,
            )
            for number in range(UPSTREAMS)
        ]
        self.runs: dict[bytes, int] = {}
        for each in self.upstreams:
            each.work_seconds = WORK_SECONDS
            each.ran = self._note_run
        self.clients = {
            zone: packets.Caller(
                self.loop,
                f'127.{net}.8.{number + 1}',
                self.port,
                lambda source, address, data, zone=zone: self.routers.send(
                    zone, source, address, data
                ),
            )
            for number, zone in enumerate(zones)
        }
        self.version = 0
        # Routes with traffic, by name.
        self.routes: dict[str, Address] = {}
        self._requests = itertools.count(1)

    @property
    def seconds(self) -> float:
        """How long the case has run."""
        return self.loop.now() - self._begun_at

    def note(self, text: str) -> None:
        self._record.write(f'{self.seconds:9.4f} s  {text}\n')

    def start(self) -> bool:
        """Start all instances; return whether they became ready."""
        for each in self.upstreams:
            self.store.put('servers', each.name, each.describe())
        self.write_configuration()
        for each in self.machines.values():
            self.routers.add(
                each.name,
                each.zone,
                (each.host, self.port),
                (each.host, self.port + 1),
            )
            each.start()
        if not self.wait(self.are_all_in, READY_SECONDS):
            self.note('the instances did not become ready')
            return False
        self.pause(3.0)
        return True

    def end(self) -> None:
        """End all processes and stand-ins."""
        for each in self.machines.values():
            each.end()
        for each in self.upstreams:
            each.end()
        for each in self.clients.values():
            each.close()
        self.routers.close()
        self.store_server.close()
        self._record.close()

    def name_request(self) -> bytes:
        return next(self._requests).to_bytes(8, 'big')

    def count_forged(self) -> int:
        """Count packets that the system has changed."""
        ends = [*self.upstreams, *self.clients.values()]
        return sum(each.forged for each in ends)

    def _note_run(self, _upstream: packets.Upstream, request: bytes) -> None:
        self.runs[request] = self.runs.get(request, 0) + 1

    def write_configuration(self) -> None:
        """Write the next version, with other time-outs."""
        self.version += random.randint(1, 5)
        routes = {
            f'idle-{number}': ('198.51.100.9', number)
            for number in range(1, IDLE_ROUTES + 1)
        }
        routes.update(self.routes)
        self.store.put(
            'config',
            'main',
            {
                'version': self.version,
                'routes': [
                    self._describe_route(name, address)
                    for name, address in routes.items()
                ],
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
        names = ' '.join(self.routes) or 'none'
        self.note(
            f'version {self.version} is acknowledged; routes with traffic: '
            f'{names}'
        )

    def _describe_route(
        self, name: str, address: Address
    ) -> dict[str, object]:
        return {
            'name': name,
            'host': address[0],
            'path_prefix': f'/{address[1]}/',
            'type': 'non_idempotent',
            'priority': 1,
            'service': SERVICE,
            'timeout_ms': 1000 + self.version,
            'target_latency_ms': 150,
            'max_attempts': 1,
        }

    def are_all_in(self) -> bool:
        """Return whether all instances are in rotation."""
        return all(map(self.routers.is_in_rotation, self.machines))

    def pause(self, seconds: float) -> None:
        self.wait(lambda: False, seconds)

    def wait(self, is_over: Callable[[], bool], seconds: float) -> bool:
        """Go on until something is over; return whether it is."""
        until = self.loop.now() + seconds

        def poll() -> None:
            if is_over() or self.loop.now() >= until:
                self.loop.stop()
            else:
                self.loop.call_later(0.02, poll)

        self.loop.call_later(0.0, poll)
        self.loop.run()
        return is_over()


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


def main(
    play: Callable[[Bench], int],
    record: pathlib.Path,
    zones: dict[str, int],
    prepare: Callable[[Bench], object] | None = None,
) -> int:
    """Run a case.

    :param play: plays it and returns the exit status.
    :param record: the path of the record.
    :param zones: the number of instances by zone.
    :param prepare: called before the instances start.
    :returns: the exit status.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    with tempfile.TemporaryDirectory() as folder:
        bench = Bench(pathlib.Path(folder), record, zones)
        try:
            if prepare is not None:
                prepare(bench)
            return play(bench) if bench.start() else COULD_NOT_RUN
        except Exception as error:
            bench.note(f'the case could not run: {error!r}')
            return COULD_NOT_RUN
        finally:
            bench.end()
