"""The store's HTTP interface, with faults."""

from __future__ import annotations

from collections.abc import Callable
import json
import urllib.parse

import httptools

from skylarkfold import reactor
from skylarkfold.standin.packets import _objects

_POLL_SECONDS = 0.01
PAGE_OBJECTS = 50

SILENT = 'silent'
BUSY = 'busy'
RESET = 'reset'
MANY = 'many'
_STATUSES = {BUSY: 503, MANY: 429}
# Marks the place of a value that is sent as it was written.
_RAW_MARK = '~raw~'


class StoreServer:
    """Serves listings and watches.

    :param loop: the event loop.
    :param address: where to listen.
    :param store: the objects.
    :ivar fault: takes a caller's host, gives how its calls fail: one of
        this module's words, empty for not at all.
    :ivar delay_seconds: how long an answer takes.
    :ivar calls: how many calls came, by host.
    """

    def __init__(
        self,
        loop: reactor.Loop,
        address: tuple[str, int],
        store: _objects.ObjectStore,
    ) -> None:
        self.loop = loop
        self.store = store
        self.fault: Callable[[str], str] = lambda host: ''
        self.delay_seconds = 0.004
        self.calls = 0
        self._listener = reactor.Listener(loop, address, self._accept)

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        return self._listener.address

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    def _accept(self, stream: reactor.Stream) -> None:
        _Session(self, stream)


class _Session:
    """One connection of a client."""

    def __init__(self, server: StoreServer, stream: reactor.Stream) -> None:
        self._server = server
        self._stream = stream
        self._url = b''
        self._parser = httptools.HttpRequestParser(self)
        stream.on_data = self._take

    def _take(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._stream.close('no HTTP')

    def on_message_begin(self) -> None:
        self._url = b''

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_message_complete(self) -> None:
        server = self._server
        server.calls += 1
        fault = server.fault(self._stream.peer_host)
        if fault == RESET:
            self._stream.close('fault')
        elif fault in _STATUSES:
            self._answer(_STATUSES[fault], {})
        elif fault != SILENT:
            url = self._url.decode()
            server.loop.call_later(
                server.delay_seconds, lambda: self._perform(url)
            )

    def _perform(self, url: str) -> None:
        parts = urllib.parse.urlsplit(url)
        query = dict(urllib.parse.parse_qsl(parts.query))
        kind = parts.path.removeprefix('/objects/')
        store = self._server.store
        if 'watch' not in query:
            found = store.list(kind, query.get('after', ''), PAGE_OBJECTS)
            self._answer(200, found)
            return
        until = self._server.loop.now() + int(query['wait_ms']) / 1000
        self._watch(kind, int(query['watch']), until)

    def _watch(self, kind: str, revision: int, until: float) -> None:
        server = self._server
        if self._stream.is_closed:
            return
        if server.fault(self._stream.peer_host) == SILENT:
            return
        store = server.store
        if not store.forgotten <= revision <= store.revision:
            self._answer(410, {})
            return
        events = server.store.list_events(kind, revision)
        if events or server.loop.now() >= until:
            body = {'events': events, 'current_rev': server.store.revision}
            self._answer(200, body)
            return
        server.loop.call_later(
            _POLL_SECONDS, lambda: self._watch(kind, revision, until)
        )

    def _answer(self, status: int, body: object) -> None:
        data = _encode(body)
        head = (
            f'HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n'
            f'Store-Era: {self._server.store.era}\r\n'
            f'Content-Length: {len(data)}\r\n\r\n'
        )
        self._stream.write(head.encode() + data)


def _encode(body: object) -> bytes:
    """Encode a body as JSON, in which values of bytes are put as they are."""
    values: list[bytes] = []

    def mark(value: bytes) -> str:
        values.append(value)
        return _RAW_MARK

    text, *rest = json.dumps(body, default=mark).split(f'"{_RAW_MARK}"')
    parts = [text.encode()]
    for value, text in zip(values, rest, strict=True):
        parts += (value, text.encode())
    return b''.join(parts)
