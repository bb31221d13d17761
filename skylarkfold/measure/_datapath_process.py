"""The processes around the forwarder in the data-path measure.

``python -m skylarkfold.measure._datapath_process echo`` answers each
datagram with the same bytes; ``... forwarder HOST:PORT`` is the bare
forwarder; ``... caller HOST:PORT SECONDS FLOWS`` keeps a window of
datagrams on their way and prints how many came back.
"""

from __future__ import annotations

import asyncio
import selectors
import socket
import sys
import time

import uvloop

from skylarkfold import endpoint

PAYLOAD = b'x' * 64
WINDOW = 4
SILENCE_SECONDS = 0.2
BUFFER_BYTES = 4 * 1024 * 1024
MAXIMUM_DATAGRAM_BYTES = 65536
LOOPBACK = '127.0.0.1'
FLOW_SECONDS = 0.02


def _open_socket() -> socket.socket:
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    opened.bind((LOOPBACK, 0))
    return opened


def _print_ready(address: tuple[str, int]) -> None:
    print(f'ready {endpoint.Endpoint(*address)}', flush=True)


def echo() -> None:
    """Answer each datagram with the same bytes, until killed."""
    opened = _open_socket()
    _print_ready(opened.getsockname())
    while True:
        data, sender = opened.recvfrom(MAXIMUM_DATAGRAM_BYTES)
        opened.sendto(data, sender)


class _Towards(asyncio.DatagramProtocol):
    """One side of the bare forwarder: sends on what the other got."""

    def __init__(self, upstream: endpoint.Endpoint | None) -> None:
        self._target = upstream
        self.other: _Towards | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, sender: tuple) -> None:
        other = self.other
        other.transport.sendto(data, other._target)
        if sender != self._target:
            self._target = sender


async def _forward(upstream: endpoint.Endpoint) -> None:
    """Forward with the least work that forwarding takes in uvloop.

    Answers go to the caller that was heard last: the bare forwarder
    keeps no flows.
    """
    loop = asyncio.get_running_loop()
    callers, upstreams = _Towards(None), _Towards(upstream)
    callers.other, upstreams.other = upstreams, callers
    for side in (callers, upstreams):
        await loop.create_datagram_endpoint(
            lambda side=side: side, sock=_open_socket()
        )
    _print_ready(callers.transport.get_extra_info('sockname'))
    await asyncio.Event().wait()


class Caller:
    """Keeps a window of datagrams of several flows on their way.

    :param target: where to send them.
    :param flows: how many flows, each with a socket of its own.
    """

    def __init__(self, target: endpoint.Endpoint, flows: int) -> None:
        self._target = target
        self._selector = selectors.EpollSelector()
        self._sockets = [_open_socket() for _ in range(flows)]
        for opened in self._sockets:
            opened.setblocking(False)
            self._selector.register(opened, selectors.EVENT_READ)

    def run(self, seconds: float) -> int:
        """Send for a while.

        :param seconds: how long.
        :returns: how many datagrams came back.
        """
        ends = time.monotonic() + seconds
        received = 0
        self._fill_window()
        while time.monotonic() < ends:
            ready = self._selector.select(SILENCE_SECONDS)
            if not ready:
                self._fill_window()
            for key, _ in ready:
                received += self._turn_around(key.fileobj)
        return received

    def _fill_window(self) -> None:
        for opened in self._sockets:
            for _ in range(WINDOW):
                opened.sendto(PAYLOAD, self._target)

    def _turn_around(self, opened: socket.socket) -> int:
        count = 0
        try:
            while count < WINDOW:
                opened.recv(MAXIMUM_DATAGRAM_BYTES)
                count += 1
                opened.sendto(PAYLOAD, self._target)
        except BlockingIOError:
            return count
        return count

    def begin_flows(self, seconds: float) -> int:
        """Begin flows of one datagram each, one after another's answer.

        :param seconds: how long.
        :returns: how many were answered.
        """
        ends = time.monotonic() + seconds
        answered = 0
        while time.monotonic() < ends:
            burst = [_open_socket() for _ in self._sockets]
            for opened in burst:
                opened.sendto(PAYLOAD, self._target)
            for opened in burst:
                opened.settimeout(FLOW_SECONDS)
                answered += self._wait_for_answer(opened)
                opened.close()
        return answered

    def _wait_for_answer(self, opened: socket.socket) -> int:
        try:
            opened.recv(MAXIMUM_DATAGRAM_BYTES)
        except TimeoutError:
            return 0
        return 1


def call(mode: str, target: str, seconds: str, flows: str) -> None:
    """Send, and print how many datagrams came back.

    :param mode: ``known`` for flows that go on, ``new`` for new ones.
    :param target: where to send.
    :param seconds: how long.
    :param flows: how many flows at a time.
    """
    caller = Caller(endpoint.parse_endpoint(target), int(flows))
    run = caller.begin_flows if mode == 'new' else caller.run
    print(run(float(seconds)))


def main(arguments: list[str]) -> None:
    """Run one process of the measure.

    :param arguments: which, and what it needs.
    """
    role, *rest = arguments
    if role == 'echo':
        echo()
    elif role == 'forwarder':
        uvloop.run(_forward(endpoint.parse_endpoint(rest[0])))
    else:
        call(*rest)


if __name__ == '__main__':
    main(sys.argv[1:])
