"""Measures packets a second through one instance's data path.

The same callers and the same echo stand on both sides of a bare uvloop
forwarder, of an entry instance without a line for each packet, and of
one with it, in turn within one run. All are processes of their own.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import statistics
import tempfile

import aiohttp

from skylarkfold import endpoint
from skylarkfold import load

MODULE = 'skylarkfold.measure._datapath_process'
TEAM = 'measured'
SERVICE = 'measured'
ZONE = 'zone-a'
UPSTREAMS = 2
CALLERS = 2
NANOSECONDS = 1_000_000_000
KIBIBYTES = 1024
LINES_DROPPED = 'log.lines_dropped'


@dataclasses.dataclass(frozen=True, slots=True)
class DatapathResult:
    """Packets a second; a packet there and its answer back count as one.

    :param bare_per_core_second: the bare forwarder, for each second of
        its processor time.
    :param forward_per_core_second: an entry instance, no line a packet.
    :param with_logging_per_core_second: with a line for each packet.
    :param new_flows_per_core_second: flows of one packet each, with a
        line for each packet.
    :param bare_per_second: the bare forwarder, by the clock.
    :param forward_per_second: an entry instance, no line a packet.
    :param with_logging_per_second: with a line for each packet.
    :param new_flows_per_second: flows of one packet each.
    :param forward_ratio: ours over bare, for the same processor time.
    :param with_logging_ratio: the same with a line for each packet.
    :param process_mb: resident memory of the logging instance at the end.
    :param lines_dropped: log lines that the logging instance dropped.
    :param rounds: how often each was measured; medians are given.
    :param seconds: how long each time.
    """

    bare_per_core_second: int
    forward_per_core_second: int
    with_logging_per_core_second: int
    new_flows_per_core_second: int
    bare_per_second: int
    forward_per_second: int
    with_logging_per_second: int
    new_flows_per_second: int
    forward_ratio: float
    with_logging_ratio: float
    process_mb: float
    lines_dropped: int
    rounds: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Reading:
    packets: int
    seconds: float
    core_seconds: float


def _read_core_seconds(pid: int) -> float:
    """Read the processor time of all threads of a process."""
    files = pathlib.Path(f'/proc/{pid}/task').glob('*/schedstat')
    return sum(int(each.read_text().split()[0]) for each in files) / (
        NANOSECONDS
    )


def _read_memory_mb(pid: int) -> float:
    """Read the resident memory of a process."""
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    line = next(
        line for line in text.splitlines() if line.startswith('VmRSS:')
    )
    return round(int(line.split()[1]) / KIBIBYTES, 1)


class _Bench:
    """Starts the processes and measures one forwarder at a time."""

    def __init__(self, folder: pathlib.Path, seconds: float) -> None:
        self._folder = folder
        self._seconds = seconds
        self._stack = contextlib.AsyncExitStack()
        self._subnet = load.choose_subnet()

    async def __aenter__(self) -> _Bench:
        await self._stack.__aenter__()
        make_session = aiohttp.ClientSession()
        self._session = await self._stack.enter_async_context(make_session)
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._stack.__aexit__(*error)

    async def start(
        self, name: str, arguments: list[str]
    ) -> tuple[load.Process, str]:
        """Start a process that is stopped at the end."""
        log = self._folder / f'{name}.err'
        process = load.Process(name, arguments, log)
        ready = await process.start()
        self._stack.push_async_callback(process.stop)
        return process, ready

    async def start_echoes(self) -> list[str]:
        """Start the upstreams."""
        started = [
            await self.start(f'echo-{number}', ['-m', MODULE, 'echo'])
            for number in range(UPSTREAMS)
        ]
        return [address for _, address in started]

    async def start_bare(self, upstream: str) -> tuple[load.Process, str]:
        """Start the bare forwarder."""
        arguments = ['-m', MODULE, 'forwarder', upstream]
        return await self.start('bare', arguments)

    async def start_platform(self, upstreams: list[str]) -> str:
        """Start the platform with the service's settings."""
        arguments = ['-m', 'skylarkfold', 'platform-standin']
        _, address = await self.start('platform', arguments)
        host = f'{self._subnet}.1'
        service = {
            'address': f'{host}:{load.find_port([host])}',
            'upstreams': {
                f'echo-{number}': {
                    'address': upstream,
                    'zone': ZONE,
                    'connections': 1_000_000,
                }
                for number, upstream in enumerate(upstreams)
            },
        }
        await self._put_settings(f'http://{address}', service)
        self._port = endpoint.parse_endpoint(service['address']).port
        return f'http://{address}'

    async def _put_settings(self, url: str, service: object) -> None:
        operator = load.Operator(TEAM, url, self._folder, self._session)
        await operator.apply({'services': {SERVICE: service}})

    async def start_entry(
        self, number: int, platform: str, packets: bool
    ) -> tuple[load.Process, str]:
        """Start an entry instance."""
        host = f'{self._subnet}.{10 + number}'
        name = f'entry-{number}'
        self._admin = f'{host}:{load.find_port([host])}'
        settings = {
            'instance': {
                'name': name,
                'zone': ZONE,
                'region': 'region-a',
                'peer_address': f'{host}:{load.find_port([host])}',
                'bind_host': host,
            },
            'platform': {'url': platform},
            'admin_address': self._admin,
            'log': {
                'path': str(self._folder / f'{name}.log'),
                'packets': packets,
            },
        }
        path = self._folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        arguments = ['-m', 'skylarkfold', 'entry', '--settings', str(path)]
        process, _ = await self.start(name, arguments)
        return process, f'{host}:{self._port}'

    async def read_counter(self, name: str) -> int:
        """Read a counter of the entry instance that was started last."""
        async with self._session.get(f'http://{self._admin}/status') as answer:
            status = await answer.json()
        return status['counters'].get(name, 0)

    async def measure(
        self, process: load.Process, target: str, mode: str, flows: int
    ) -> _Reading:
        """Measure a forwarder once."""
        arguments = ['-m', MODULE, 'caller', mode, target]
        arguments += [str(self._seconds), str(flows)]
        before = _read_core_seconds(process.pid)
        ended = await asyncio.gather(
            *(load.run_command(arguments) for _ in range(CALLERS))
        )
        core_seconds = _read_core_seconds(process.pid) - before
        packets = sum(int(output) for _, output in ended)
        return _Reading(packets, self._seconds, core_seconds)


def _get_core_median(readings: list[_Reading]) -> int:
    rates = [each.packets / each.core_seconds for each in readings]
    return round(statistics.median(rates))


def _get_clock_median(readings: list[_Reading]) -> int:
    rates = [each.packets / each.seconds for each in readings]
    return round(statistics.median(rates))


async def _measure(
    folder: pathlib.Path, seconds: float, rounds: int, flows: int
) -> DatapathResult:
    async with _Bench(folder, seconds) as bench:
        upstreams = await bench.start_echoes()
        platform = await bench.start_platform(upstreams)
        forwarders = [
            (await bench.start_bare(upstreams[0]), 'known'),
            (await bench.start_entry(1, platform, False), 'known'),
            (await bench.start_entry(2, platform, True), 'known'),
        ]
        forwarders.append((forwarders[-1][0], 'new'))
        readings: list[list[_Reading]] = [[] for _ in forwarders]
        for _ in range(rounds):
            for index, (forwarder, mode) in enumerate(forwarders):
                reading = await bench.measure(*forwarder, mode, flows)
                readings[index].append(reading)
        dropped = await bench.read_counter(LINES_DROPPED)
        process_mb = _read_memory_mb(forwarders[-1][0][0].pid)
    result = _conclude(readings, dropped, rounds, seconds)
    return dataclasses.replace(result, process_mb=process_mb)


def _conclude(
    readings: list[list[_Reading]], dropped: int, rounds: int, seconds: float
) -> DatapathResult:
    bare, forward, logging, new = map(_get_core_median, readings)
    clock = list(map(_get_clock_median, readings))
    return DatapathResult(
        bare_per_core_second=bare,
        forward_per_core_second=forward,
        with_logging_per_core_second=logging,
        new_flows_per_core_second=new,
        bare_per_second=clock[0],
        forward_per_second=clock[1],
        with_logging_per_second=clock[2],
        new_flows_per_second=clock[3],
        forward_ratio=round(forward / bare, 3),
        with_logging_ratio=round(logging / bare, 3),
        process_mb=0.0,
        lines_dropped=dropped,
        rounds=rounds,
        seconds=seconds,
    )


def measure(
    seed: int = 1, seconds: float = 2.0, rounds: int = 3, flows: int = 64
) -> list[DatapathResult]:
    """Measure the data path of one instance.

    :param seed: unused: nothing here is drawn at random.
    :param seconds: how long each forwarder is measured at a time.
    :param rounds: how often each is measured, in turn.
    :param flows: flows of each of the callers.
    :returns: one result.
    """
    with tempfile.TemporaryDirectory(prefix='skylarkfold-datapath-') as name:
        folder = pathlib.Path(name)
        return [asyncio.run(_measure(folder, seconds, rounds, flows))]
