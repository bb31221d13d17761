"""Measures what a packet costs whose flow carries a token.

Decisions and codec without sockets, each as a multiple of reading the
header and joining the bytes that are sent on, timed in turn in one run.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import logging
import os
import time

from skylarkfold import affinity
from skylarkfold import deferred_log
from skylarkfold.forwarder import _lines
from skylarkfold.forwarder import _reporter
from skylarkfold.forwarder import _settings
from skylarkfold.platform import _packet
from skylarkfold.standin.packets import _wire

_ADDRESS = ('198.51.100.1', 443)
_SERVICE = 'measured'
_ZONE = 'zone-a'
_TIMES = 15
_PACKETS = 2000
# More than are measured; and how many are written together, as a busy
# instance does ten times a second.
_ALL_LINES = 1 << 30
_FLUSHED_LINES = 50


@dataclasses.dataclass(frozen=True, slots=True)
class TokenResult:
    """One kind of packet.

    :param packet: which.
    :param upstreams: upstreams of the service.
    :param microseconds: for each packet, the least of several rounds.
    :param ratio: the same over the bare copy.
    """

    packet: str
    upstreams: int
    microseconds: float
    ratio: float


def measure(
    seed: int = 1, upstreams: tuple[int, ...] = (7, 60)
) -> list[TokenResult]:
    """Measure all kinds.

    :param seed: nothing is drawn here.
    :param upstreams: numbers of upstreams.
    :returns: one result a kind and number.
    """
    with _open_nowhere() as nowhere:
        return _measure_all(upstreams, nowhere)


def _measure_all(
    upstreams: tuple[int, ...], nowhere: int
) -> list[TokenResult]:
    results = []
    for count in upstreams:
        known = [_build_upstream(number) for number in range(1, count + 1)]
        kinds = {
            'bare copy': _bare(known),
            'known flow': _known(known),
            'flow from elsewhere': _moved(known),
            'new flow': _new(known),
            'new flow, its line written': _logged(known, _ALL_LINES, nowhere),
            'new flow, its line left out': _logged(known, 0, nowhere),
        }
        least: dict[str, float] = {}
        for _ in range(_TIMES):
            for name, run in kinds.items():
                taken = _time(run)
                least[name] = min(least.get(name, taken), taken)
        base = least['bare copy']
        results += [
            TokenResult(
                name, count, round(taken * 1e6, 2), round(taken / base, 2)
            )
            for name, taken in least.items()
        ]
    return results


@contextlib.contextmanager
def _open_nowhere() -> Iterator[int]:
    """Give a descriptor for lines, and leave the logger as it was."""
    logger = logging.getLogger(deferred_log.NAME)
    before = logger.handlers[:], logger.propagate, logger.level
    nowhere = os.open(os.devnull, os.O_WRONLY)
    try:
        yield nowhere
    finally:
        os.close(nowhere)
        logger.handlers[:], logger.propagate, level = before
        logger.setLevel(level)


def _time(run: Callable[[int], object]) -> float:
    begun = time.perf_counter()
    for number in range(_PACKETS):
        run(number)
    return (time.perf_counter() - begun) / _PACKETS


def _build_upstream(number: int) -> affinity.Upstream:
    address = (f'10.0.{number >> 8}.{number & 255}', 8080)
    return affinity.Upstream(
        f'i-{number:x}', number, _SERVICE, address, _ZONE, 2, created=number
    )


def _build_core(known: list[affinity.Upstream]) -> affinity.AffinityCore:
    settings = affinity.AffinitySettings(flow_limit=1 << 20)
    core = affinity.AffinityCore(_ZONE, settings)
    address = affinity.pack_address(*_ADDRESS)
    route = affinity.Route(address, ((_SERVICE, 1),), is_idempotent=True)
    core.set_routes(0.0, affinity.RouteTable(1, [route]))
    core.set_upstreams(0.0, known)
    return core


def _build_packet(caller: int, flags: int, echo: int) -> bytes:
    host = f'10.9.{caller >> 16 & 255}.{caller >> 8 & 255}'
    source = (host, 1024 + (caller & 255))
    segment = _wire.Segment(source, _ADDRESS, flags, 1, 1, echo, b'x' * 200)
    return segment.pack()


def _bare(known: list[affinity.Upstream]) -> Callable[[int], object]:
    data = _build_packet(1, _wire.ACK, 1)
    prefix = bytes(8)

    def run(_number: int) -> bytes:
        _packet._HEADER.unpack_from(data)
        return b''.join((prefix, data[:22], data[22:26], data[26:]))

    return run


def _carry(core: affinity.AffinityCore, now: float, data: bytes) -> None:
    for wanted in core.handle_packet(now, _packet.decode(data)):
        if isinstance(wanted, affinity.Forward):
            _packet.encode_forward(wanted.upstream, wanted.data)


def _known(known: list[affinity.Upstream]) -> Callable[[int], object]:
    core = _build_core(known)
    data = [
        _build_packet(caller, _wire.ACK, known[caller % len(known)].token)
        for caller in range(_PACKETS)
    ]
    for each in data:
        _carry(core, 1.0, each)
    return lambda number: _carry(core, 1.0, data[number])


def _moved(known: list[affinity.Upstream]) -> Callable[[int], object]:
    core = _build_core(known)
    made = iter(range(_PACKETS * _TIMES))
    data = [
        _build_packet(caller, _wire.ACK, known[caller % len(known)].token)
        for caller in range(_PACKETS * _TIMES)
    ]
    return lambda _number: _carry(core, 1.0, data[next(made)])


def _new(known: list[affinity.Upstream]) -> Callable[[int], object]:
    core = _build_core(known)
    made = iter(range(_PACKETS * _TIMES))
    data = [
        _build_packet(caller, _wire.SYN, 0)
        for caller in range(_PACKETS * _TIMES)
    ]
    return lambda _number: _carry(core, 1.0, data[next(made)])


def _logged(
    known: list[affinity.Upstream], lines_per_second: int, nowhere: int
) -> Callable[[int], object]:
    """Place new flows and log each, as the daemon does."""
    core = _build_core(known)
    settings = _settings.LogSettings(
        lines_per_second=lines_per_second, burst_lines=lines_per_second
    )
    made = iter(range(_PACKETS * _TIMES))
    data = [
        _build_packet(caller, _wire.SYN, 0)
        for caller in range(_PACKETS * _TIMES)
    ]
    reporter = _reporter.Reporter('measured', settings, dict)
    deferred_log.LOGGER.release()
    handler = _lines.LineHandler('measured', settings, nowhere)
    logger = logging.getLogger(deferred_log.NAME)

    def run(number: int) -> None:
        logger.handlers[:] = [handler]
        for wanted in core.handle_packet(
            1.0, _packet.decode(data[next(made)])
        ):
            if isinstance(wanted, affinity.Forward):
                _packet.encode_forward(wanted.upstream, wanted.data)
            elif isinstance(wanted, affinity.RecordDecision):
                reporter.record(wanted)
        if number % _FLUSHED_LINES == 0:
            handler.flush()

    return run
