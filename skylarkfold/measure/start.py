"""Measures what it takes an instance to be ready.

Whole processes, in turn within one run: the interpreter alone, the event
loop's libraries, the entry daemon's modules, and an instance on the users'
platform from its first instruction until it says that it is ready, beside
a store of its own on loopback. The instance runs from a build, as deployed.
"""

from __future__ import annotations

import compileall
import dataclasses
import os
import pathlib
import shutil
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time

from skylarkfold import reactor
from skylarkfold.standin import packets

_SHOTS = {
    'interpreter': 'pass',
    'uvloop': 'import asyncio, uvloop',
    'entry-modules': 'import skylarkfold.daemon',
}
INSTANCE = 'platform-instance'
_ROOT = pathlib.Path(__file__).parent.parent.parent
_KIBIBYTES = 1024
_LOOK_SECONDS = 0.002
_LONGEST_SECONDS = 30.0
_HOST = '127.0.0.9'
_ANSWER_SECONDS = 0.5
_ANSWER_BYTES = 1024
_READY = b' 200 '


@dataclasses.dataclass(frozen=True, slots=True)
class StartResult:
    """One kind of process.

    :param process: what was started.
    :param core_seconds: processor time until it was done or ready.
    :param ratio: the same over that of the interpreter alone.
    :param peak_mb: the most memory that it had, in MiB.
    :param rounds: how often it was measured; medians are given.
    """

    process: str
    core_seconds: float
    ratio: float
    peak_mb: float
    rounds: int


def measure(seed: int = 1, rounds: int = 7) -> list[StartResult]:
    """Measure all kinds.

    :param seed: nothing is drawn here.
    :param rounds: how often each is measured.
    :returns: one result a kind.
    """
    taken: dict[str, list[tuple[float, float]]] = {}
    with tempfile.TemporaryDirectory() as scratch:
        build = _build(pathlib.Path(scratch))
        for _ in range(rounds):
            for name, code in _SHOTS.items():
                taken.setdefault(name, []).append(_run(code, build))
            taken.setdefault(INSTANCE, []).append(_run_instance(build))
    base = _median(taken['interpreter'], 0)
    return [
        StartResult(
            name,
            round(_median(readings, 0), 4),
            round(_median(readings, 0) / base, 2),
            round(_median(readings, 1), 1),
            rounds,
        )
        for name, readings in taken.items()
    ]


def _median(readings: list[tuple[float, float]], place: int) -> float:
    return statistics.median(each[place] for each in readings)


def _build(folder: pathlib.Path) -> dict[str, str]:
    """Do what a build does after the dependencies are there.

    :param folder: where to.
    :returns: the environment of processes that are started from it.
    """
    package = _ROOT / 'skylarkfold'
    shutil.copytree(
        package,
        folder / package.name,
        ignore=shutil.ignore_patterns('__pycache__', 'tests'),
    )
    compileall.compile_dir(folder, quiet=1)
    places = [str(folder), *filter(None, sys.path)]
    environment = dict(os.environ, PYTHONPATH=os.pathsep.join(places))
    command = [sys.executable, '-S', '-P', str(_ROOT / 'deploy/bundle.py')]
    subprocess.run(command, env=environment, check=True)
    return environment


def _run(code: str, environment: dict[str, str]) -> tuple[float, float]:
    shown = "; print(open('/proc/self/status').read())"
    process = subprocess.Popen(
        [sys.executable, '-S', '-P', '-c', code + shown],
        env=environment,
        stdout=subprocess.PIPE,
    )
    status = process.stdout.read().decode()
    process.stdout.close()
    return _wait(process), _read_peak(status)


def _wait(process: subprocess.Popen) -> float:
    """Wait for a process and tell what processor time it took."""
    _, status, used = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    return used.ru_utime + used.ru_stime


def _is_ready(address: tuple[str, int]) -> bool:
    try:
        with socket.create_connection(address, _ANSWER_SECONDS) as asked:
            asked.sendall(b'GET / HTTP/1.1\r\nHost: instance\r\n\r\n')
            return _READY in asked.recv(_ANSWER_BYTES)
    except OSError:
        # It does not listen yet.
        return False


def _read_peak(status: str) -> float:
    for line in status.splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) / _KIBIBYTES
    return 0.0


def _run_instance(build: dict[str, str]) -> tuple[float, float]:
    loop = reactor.Loop()
    store = packets.ObjectStore()
    store.put(
        'config',
        'main',
        {'version': 1, 'routes': [], 'limits': {'idle_timeout_ms': 15000}},
    )
    server = packets.StoreServer(loop, ('127.0.0.1', 0), store)
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(scratch)
        try:
            return _start_instance(loop, server, folder, build)
        finally:
            server.close()
            loop.close()


def _start_instance(
    loop: reactor.Loop,
    server: packets.StoreServer,
    folder: pathlib.Path,
    build: dict[str, str],
) -> tuple[float, float]:
    path = folder / 'instance.settings'
    port = server.address[1]
    packets.write_settings(
        path, 'one', 'a', '127.0.0.9', port, [], server.address
    )
    environment = dict(build, SKYLARKFOLD_CONFIG=str(path))
    command = [sys.executable, '-S', '-P', str(_ROOT / 'deploy/start.py')]
    process = subprocess.Popen(
        command, env=environment, stdout=subprocess.DEVNULL
    )
    limit = time.monotonic() + _LONGEST_SECONDS

    def look() -> None:
        is_over = time.monotonic() > limit or process.poll() is not None
        if is_over or _is_ready((_HOST, port + 1)):
            loop.stop()
        else:
            loop.call_later(_LOOK_SECONDS, look)

    loop.call_later(0.0, look)
    loop.run()
    peak = _read_peak(pathlib.Path(f'/proc/{process.pid}/status').read_text())
    process.send_signal(signal.SIGKILL)
    return _wait(process), peak
