"""An upstream that takes flows of packets."""

from __future__ import annotations

from collections.abc import Callable
import os
import socket

from skylarkfold import datagram
from skylarkfold import reactor
from skylarkfold.standin.packets import _wire

# Connections that fill the queue of a listener that takes none.
_FILLERS = 4
_MODULUS = 1 << 32


class _Flow:
    def __init__(self, segment: _wire.Segment) -> None:
        self.seq = int.from_bytes(os.urandom(4), 'big')
        self.expected = (segment.seq + 1) % _MODULUS
        self.echo = segment.echo
        self.is_open = False
        self.waiting: dict[int, bytes] = {}
        self.unanswered: dict[bytes, int] = {}


class Upstream:
    """One process of a service: registers, answers, drains, ends.

    A request is one packet: 8 bytes that name it. The answer repeats them
    and adds the upstream's service.

    :param loop: the event loop.
    :param name: its name, digits after a dash.
    :param service: its service.
    :param zone: its availability zone.
    :param address: where it takes packets and probes.
    :param caller_port: where callers take packets.
    :param born: the Unix millisecond of its start; None where it does not
        say so.
    :ivar runs: the requests that it ran, in order.
    :ivar forged: packets whose sum is wrong.
    :ivar work_seconds: how long a request takes.
    :ivar ran: told of each request that runs.
    :ivar was_opened: told of each flow that opens.
    """

    def __init__(
        self,
        loop: reactor.Loop,
        name: str,
        service: str,
        zone: str,
        address: tuple[str, int],
        caller_port: int,
        born: int | None = None,
    ) -> None:
        self.loop = loop
        self.name = name
        self.born = born
        self.service = service
        self.zone = zone
        self.address = address
        self.runs: list[bytes] = []
        self.opened = 0
        self.forged = 0
        self.beats = 0
        self.is_draining = False
        self.is_ended = False
        self.work_seconds = 0.01
        self.ran: Callable[[Upstream, bytes], object] = _ignore
        self.was_opened: Callable[[Upstream], object] = _ignore
        self._fillers: list[socket.socket] = []
        self._caller_port = caller_port
        self._number = int(name.rpartition('-')[2], 16)
        self._flows: dict[tuple, _Flow] = {}
        self._socket = datagram.bind(address)
        loop.watch(self._socket, reactor.READ, self._receive)
        self._listener = reactor.Listener(loop, address, _accept)

    def describe(self) -> dict[str, object]:
        """Write its entry in the store, once more each time."""
        self.beats += 1
        entry = {
            'service': self.service,
            'address': f'{self.address[0]}:{self.address[1]}',
            'zone': self.zone,
            'version': 'v1',
            'max_concurrency': 2,
            'state': 'draining' if self.is_draining else 'ready',
            'warmup_left_ms': 0,
            'sequence': self.beats,
        }
        if self.born is not None:
            entry['born'] = self.born
        return entry

    def holds(self, caller: tuple[str, int], address: tuple[str, int]) -> bool:
        """Tell whether it holds an open flow, or did when it ended."""
        flow = self._flows.get((caller, address))
        return flow is not None and flow.is_open

    def end(self) -> None:
        """End at once; flows are lost."""
        if self.is_ended:
            return
        self.is_ended = True
        self.loop.unwatch(self._socket)
        self._socket.close()
        self._listener.close()

    def fall_silent(self) -> None:
        """End, so that packets and connections get no answer at all."""
        self.end()
        # A listener whose queue is full drops what opens a connection.
        silent = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        silent.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        silent.bind(self.address)
        silent.listen(0)
        swallowing = datagram.bind(self.address)
        self._fillers = [silent, swallowing]
        for _ in range(_FILLERS):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self._fillers.append(filler)

    def release(self) -> None:
        """Free the address after it has fallen silent."""
        for each in self._fillers:
            each.close()
        self._fillers = []

    def _receive(self, _events: int) -> None:
        while not self.is_ended:
            try:
                data = self._socket.recv(4096)
            except BlockingIOError:
                return
            number = int.from_bytes(data[: _wire.ID_BYTES], 'big')
            segment = _wire.unpack(data[_wire.ID_BYTES :])
            if segment is None or number not in (0, self._number):
                continue
            if segment.sum != _wire.compute_sum(segment):
                self.forged += 1
                continue
            self._take(segment)

    def _take(self, segment: _wire.Segment) -> None:
        key = (segment.source, segment.destination)
        flow = self._flows.get(key)
        if segment.flags & _wire.SYN:
            if flow is None:
                flow = self._flows[key] = _Flow(segment)
            self._send(key, flow, _wire.SYN | _wire.ACK, flow.seq)
            return
        if flow is None:
            self._send_reset(segment)
            return
        flow.echo = segment.echo
        if not flow.is_open:
            if segment.ack != (flow.seq + 1) % _MODULUS:
                return
            flow.is_open = True
            flow.seq = segment.ack
            self.opened += 1
            self.was_opened(self)
        if segment.data:
            self._take_data(key, flow, segment)
        if segment.flags & _wire.FIN:
            self._send(key, flow, _wire.FIN | _wire.ACK, flow.seq)
            del self._flows[key]

    def _take_data(
        self, key: tuple, flow: _Flow, segment: _wire.Segment
    ) -> None:
        request = segment.data[:8]
        is_new = segment.seq == flow.expected
        if is_new:
            length = len(segment.data)
            flow.expected = (flow.expected + length) % _MODULUS
            self.runs.append(request)
            self.ran(self, request)
            self.loop.call_later(
                self.work_seconds, lambda: self._answer(key, flow, request)
            )
        elif request in flow.unanswered:
            self._send_answer(key, flow, request)

    def _answer(self, key: tuple, flow: _Flow, request: bytes) -> None:
        if self.is_ended or key not in self._flows:
            return
        flow.unanswered = {request: flow.seq}
        data = request + self.service.encode()
        flow.seq = (flow.seq + len(data)) % _MODULUS
        self._send_answer(key, flow, request)

    def _send_answer(self, key: tuple, flow: _Flow, request: bytes) -> None:
        data = request + self.service.encode()
        seq = flow.unanswered[request]
        self._send(key, flow, _wire.ACK, seq, data)

    def _send(
        self,
        key: tuple,
        flow: _Flow,
        flags: int,
        seq: int,
        data: bytes = b'',
    ) -> None:
        caller, address = key
        segment = _wire.Segment(
            address, caller, flags, seq, flow.expected, flow.echo, data
        )
        self._transmit(caller, segment)

    def _send_reset(self, segment: _wire.Segment) -> None:
        reset = _wire.Segment(
            segment.destination, segment.source, _wire.RST, segment.ack, 0
        )
        self._transmit(segment.source, reset)

    def _transmit(
        self, caller: tuple[str, int], segment: _wire.Segment
    ) -> None:
        try:
            self._socket.sendto(segment.pack(), (caller[0], self._caller_port))
        except OSError:
            # The caller is gone, or the socket's buffer is full: lost.
            return


def _accept(stream: reactor.Stream) -> None:
    stream.on_data = lambda data: None


def _ignore(*_arguments: object) -> None:
    """Take what nobody wants to know."""
