"""Callers: flows with requests, repeated packets, deadlines."""

from __future__ import annotations

from collections.abc import Callable
import itertools
import os

from skylarkfold import datagram
from skylarkfold import reactor
from skylarkfold.standin.packets import _wire

# When the copies of a first packet are sent, and when it is given up.
_COPIES_SECONDS = (0.2, 0.6)
_OPENING_SECONDS = 1.4
_REPEAT_SECONDS = 0.2
_LONGEST_REPEAT_SECONDS = 1.6
_MODULUS = 1 << 32
_FIRST_PORT = 1024

ANSWERED = 'answered'
RESET = 'reset'
NOT_OPENED = 'not-opened'
DEADLINE = 'deadline'


class Exchange:
    """One request on a flow, with its end.

    :param request: the 8 bytes that name it.
    :ivar outcome: how it ended, empty while it goes on.
    :ivar answer: the service that answered.
    :ivar is_opened: whether the flow had opened.
    """

    def __init__(self, request: bytes) -> None:
        self.request = request
        self.outcome = ''
        self.answer = ''
        self.is_opened = False
        self.begun_at = 0.0
        self.ended_at = 0.0


class Caller:
    """One address with any number of flows.

    :param loop: the event loop.
    :param host: its address.
    :param port: where it takes packets.
    :param send: hands a packet to the fabric.
    :ivar forged: packets that neither an upstream nor a reset wrote.
    """

    def __init__(
        self,
        loop: reactor.Loop,
        host: str,
        port: int,
        send: Callable[[tuple[str, int], tuple[str, int], bytes], object],
    ) -> None:
        self.loop = loop
        self.host = host
        self.send = send
        self.forged = 0
        self._ports = itertools.count(_FIRST_PORT)
        self._flows: dict[int, Flow] = {}
        self._socket = datagram.bind((host, port))
        loop.watch(self._socket, reactor.READ, self._receive)

    def open(self, address: tuple[str, int]) -> Flow:
        """Begin a flow.

        :param address: the service's address.
        :returns: the flow.
        """
        flow = Flow(self, next(self._ports), address)
        self._flows[flow.source[1]] = flow
        return flow

    def close(self) -> None:
        """Close its socket."""
        self.loop.unwatch(self._socket)
        self._socket.close()

    def drop(self, flow: Flow) -> None:
        """Forget a flow that has ended.

        :param flow: the flow.
        """
        self._flows.pop(flow.source[1], None)

    def _receive(self, _events: int) -> None:
        while True:
            try:
                data = self._socket.recv(4096)
            except (BlockingIOError, ValueError):
                return
            except OSError:
                return
            segment = _wire.unpack(data)
            if segment is None:
                self.forged += 1
                continue
            is_reset = segment.flags & _wire.RST and segment.sum == 0
            if not is_reset and segment.sum != _wire.compute_sum(segment):
                self.forged += 1
                continue
            flow = self._flows.get(segment.destination[1])
            if flow is not None:
                flow.take(segment)


class Flow:
    """One flow with one request at a time.

    :param caller: whose it is.
    :param port: the caller's port.
    :param address: the service's address.
    :ivar resets: for each reset that it got, whether an instance sent it.
    :ivar was_reset: told when an instance ends it while it is open.
    """

    def __init__(
        self, caller: Caller, port: int, address: tuple[str, int]
    ) -> None:
        self.source = (caller.host, port)
        self.address = address
        self.resets: list[bool] = []
        self.was_reset: Callable[[Flow], object] = _ignore
        self.is_open = False
        self.is_over = False
        self.upstream_echo = 0
        self._caller = caller
        self._loop = caller.loop
        self._seq = int.from_bytes(os.urandom(4), 'big')
        self._ack = 0
        self._echo = 0
        self._exchange: Exchange | None = None
        self._ended: Callable[[Exchange], object] = _ignore
        self._pending = b''
        self._begin()

    def request(
        self,
        exchange: Exchange,
        deadline_seconds: float,
        ended: Callable[[Exchange], object],
    ) -> None:
        """Send a request, as soon as the flow is open.

        :param exchange: the request.
        :param deadline_seconds: when to give up.
        :param ended: takes the exchange at its end, once.
        """
        exchange.begun_at = self._loop.now()
        exchange.is_opened = self.is_open
        self._exchange = exchange
        self._ended = ended
        self._loop.call_later(
            deadline_seconds, lambda: self._end(exchange, DEADLINE)
        )
        if self.is_over:
            self._loop.call_later(0.0, lambda: self._end(exchange, RESET))
        elif self.is_open:
            self._send_request()

    def finish(self) -> None:
        """End the flow in order."""
        if self.is_over:
            return
        self.is_over = True
        if self.is_open:
            self._send(_wire.FIN | _wire.ACK, self._seq)
        self._caller.drop(self)

    def take(self, segment: _wire.Segment) -> None:
        """Take a packet.

        :param segment: the packet.
        """
        if segment.flags & _wire.RST:
            self._take_reset(segment)
            return
        if segment.flags & _wire.SYN:
            if not self.is_open and not self.is_over:
                self._open(segment)
            return
        if not self.is_open:
            return
        self._echo = segment.echo
        if not segment.data:
            return
        if segment.seq == self._ack:
            self._ack = (self._ack + len(segment.data)) % _MODULUS
            self._take_answer(segment.data)
        self._send(_wire.ACK, self._seq)

    def _begin(self) -> None:
        self._send(_wire.SYN, self._seq)
        for number, seconds in enumerate(_COPIES_SECONDS):
            self._loop.call_later(
                seconds, lambda number=number: self._copy(number + 1)
            )
        self._loop.call_later(_OPENING_SECONDS, self._give_up_opening)

    def _copy(self, number: int) -> None:
        if not self.is_open and not self.is_over:
            self._ack = number
            self._send(_wire.SYN, self._seq)

    def _give_up_opening(self) -> None:
        if not self.is_open and not self.is_over:
            self._abort(NOT_OPENED)

    def _open(self, segment: _wire.Segment) -> None:
        self.is_open = True
        self._seq = (self._seq + 1) % _MODULUS
        self._ack = (segment.seq + 1) % _MODULUS
        self._echo = self.upstream_echo = segment.echo
        if self._exchange is None:
            self._send(_wire.ACK, self._seq)
        else:
            self._exchange.is_opened = True
            self._send_request()

    def _send_request(self) -> None:
        self._pending = self._exchange.request
        self._repeat(self._pending, _REPEAT_SECONDS)

    def _repeat(self, pending: bytes, pause: float) -> None:
        if self._pending != pending or self.is_over:
            return
        self._send(_wire.ACK, self._seq, pending)
        longer = min(2 * pause, _LONGEST_REPEAT_SECONDS)
        self._loop.call_later(pause, lambda: self._repeat(pending, longer))

    def _take_answer(self, data: bytes) -> None:
        exchange = self._exchange
        if exchange is None or data[:8] != exchange.request:
            self._caller.forged += 1
            return
        self._pending = b''
        self._seq = (self._seq + len(exchange.request)) % _MODULUS
        exchange.answer = data[8:].decode()
        self._end(exchange, ANSWERED)

    def _take_reset(self, segment: _wire.Segment) -> None:
        if self.is_over:
            return
        is_ours = segment.sum == 0
        self.resets.append(is_ours)
        if self.resets[-1] and self.is_open:
            self.was_reset(self)
        self._abort(RESET)

    def _abort(self, outcome: str) -> None:
        self.is_over = True
        self._caller.drop(self)
        if self._exchange is not None:
            self._end(self._exchange, outcome)

    def _end(self, exchange: Exchange, outcome: str) -> None:
        if exchange.outcome:
            return
        exchange.outcome = outcome
        exchange.ended_at = self._loop.now()
        self._pending = b''
        if self._exchange is exchange:
            self._exchange = None
        if outcome == DEADLINE:
            self.finish()
        self._ended(exchange)

    def _send(self, flags: int, seq: int, data: bytes = b'') -> None:
        segment = _wire.Segment(
            self.source, self.address, flags, seq, self._ack, self._echo, data
        )
        self._caller.send(self.source, self.address, segment.pack())


def _ignore(*_arguments: object) -> None:
    """Take an end that nobody waits for."""
