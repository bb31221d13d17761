"""HTTP/1.1 on streams: one client connection, one small server."""

from __future__ import annotations

from collections.abc import Callable

from skylarkfold import deferred_log
from skylarkfold import light_imports
from skylarkfold.reactor import _loop
from skylarkfold.reactor import _stream

# An answer larger than this ends the connection: the store's pages are
# about 1 MB, its values 1 MB at most.
MAXIMUM_BODY_BYTES = 8 * 1024 * 1024
# A request of a health check has some hundred bytes.
MAXIMUM_REQUEST_BYTES = 16 * 1024
# A client of the server that sends no whole request for so long is cut
# off; health checks send theirs at once.
_REQUEST_SECONDS = 5.0

# A connection that has idled for longer may be silent for good. Pauses
# between the calls of one who has a duty are shorter.
_IDLE_SECONDS = 1.5

# Stands for the status where no answer came.
_NO_ANSWER = 0
# More headers than these are no answer of a store or a health check.
_MOST_HEADERS = 64
_REASONS = {200: 'OK', 404: 'Not Found', 503: 'Service Unavailable'}

_logger = deferred_log.LOGGER


class Reply:
    """The answer to a request.

    :param status: the status; 0 where no answer came.
    :param headers: values by name in lower case.
    :param body: the body.
    """

    __slots__ = ('body', 'headers', 'status')

    def __init__(
        self,
        status: int,
        headers: dict[str, str] | None = None,
        body: bytes = b'',
    ) -> None:
        self.status = status
        self.headers = headers or {}
        self.body = body


Answered = Callable[[Reply], object]


class HttpClient:
    """One connection to a server, with one request at a time.

    Opened at the first request, again after it ended, and where it has
    idled: an open connection may fall silent without an end.

    :param loop: the event loop.
    :param address: the server's host and port.
    :param idle_seconds: a connection that was not used for so long is not
        trusted any more.
    """

    __slots__ = (
        '_address',
        '_answered',
        '_connection',
        '_host',
        '_idle_seconds',
        '_loop',
        '_timer',
        '_used_at',
    )

    def __init__(
        self,
        loop: _loop.Loop,
        address: tuple[str, int],
        idle_seconds: float = _IDLE_SECONDS,
    ) -> None:
        self._loop = loop
        self._address = address
        self._idle_seconds = idle_seconds
        self._used_at = loop.now()
        self._host = f'{address[0]}:{address[1]}'
        self._connection: _Connection | None = None
        self._answered: Answered | None = None
        self._timer: _loop.Timer | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a request waits for its answer."""
        return self._answered is not None

    def request(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_seconds: float,
        answered: Answered,
    ) -> None:
        """Send a request.

        :param method: for example ``GET``.
        :param path: with its query.
        :param body: JSON; empty for none.
        :param timeout_seconds: how long to wait for the whole answer; then
            the connection is closed, since what comes on it belongs to
            nothing any more.
        :param answered: takes the answer, always.
        :raises RuntimeError: if the last request is not answered yet.
        """
        if self.is_busy:
            raise RuntimeError('the last request is not answered')
        if self._loop.now() - self._used_at >= self._idle_seconds:
            self.close()
        self._answered = answered
        self._timer = self._loop.call_later(timeout_seconds, self._time_out)
        if self._connection is None:
            stream = _stream.connect(self._loop, self._address)
            self._connection = _Connection(stream, self._handle_answer)
        head = f'{method} {path} HTTP/1.1\r\nHost: {self._host}\r\n'
        if body:
            head += 'Content-Type: application/json\r\n'
            head += f'Content-Length: {len(body)}\r\n'
        self._connection.write(head.encode('ascii') + b'\r\n' + body)

    def close(self) -> None:
        """Close the connection; a waiting request gets no answer."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abandon()
        self._end_request(Reply(_NO_ANSWER))

    def _time_out(self) -> None:
        self._timer = None
        self.close()

    def _handle_answer(self, reply: Reply, is_last: bool) -> None:
        if is_last:
            connection, self._connection = self._connection, None
            connection.abandon()
        self._end_request(reply)

    def _end_request(self, reply: Reply) -> None:
        answered, self._answered = self._answered, None
        self._used_at = self._loop.now()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if answered is not None:
            answered(reply)


class _Connection:
    """A client's connection with the parser of its answers."""

    __slots__ = (
        '_body',
        '_handle_answer',
        '_headers',
        '_parser',
        '_size',
        '_stream',
    )

    def __init__(
        self,
        stream: _stream.Stream,
        handle_answer: Callable[[Reply, bool], object],
    ) -> None:
        self._stream = stream
        self._handle_answer = handle_answer
        self._body: list[bytes] = []
        self._headers: dict[str, str] = {}
        self._size = 0
        self._parser = light_imports.http_parser.HttpResponseParser(self)
        stream.on_data = self._take
        stream.on_close = self._lose

    def write(self, data: bytes) -> None:
        self._stream.write(data)

    def abandon(self) -> None:
        """Close it; nothing that is still in it is handed over."""
        self._handle_answer = _ignore_answer
        self._stream.close()

    def _take(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except light_imports.http_parser.HttpParserError as error:
            _logger.warning('a server sent no HTTP: %s', error)
            self._lose('no HTTP')

    def _lose(self, _reason: str) -> None:
        self._handle_answer(Reply(_NO_ANSWER), True)

    def on_message_begin(self) -> None:
        """Begin to collect an answer; called by the parser."""
        self._body, self._headers, self._size = [], {}, 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; called by the parser."""
        if len(self._headers) < _MOST_HEADERS:
            key = name.decode('latin-1').lower()
            self._headers[key] = value.decode('latin-1')

    def on_body(self, part: bytes) -> None:
        """Collect a part of the body; called by the parser."""
        self._size += len(part)
        if self._size <= MAXIMUM_BODY_BYTES:
            self._body.append(part)

    def on_message_complete(self) -> None:
        """Hand the answer over; called by the parser."""
        if self._size > MAXIMUM_BODY_BYTES:
            self._lose('too large')
            return
        is_last = not self._parser.should_keep_alive()
        status = self._parser.get_status_code()
        reply = Reply(status, self._headers, b''.join(self._body))
        self._handle_answer(reply, is_last)


class HttpServer:
    """Answers small requests, each on a connection of its own.

    :param loop: the event loop.
    :param address: where to listen.
    :param answer: takes a path and gives status and body.
    :raises OSError: if the address can't be bound.
    """

    __slots__ = ('_answer', '_listener', '_loop')

    def __init__(
        self,
        loop: _loop.Loop,
        address: tuple[str, int],
        answer: Callable[[str], tuple[int, bytes]],
    ) -> None:
        self._loop = loop
        self._answer = answer
        self._listener = _stream.Listener(loop, address, self._accept)

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        return self._listener.address

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    def _accept(self, stream: _stream.Stream) -> None:
        _Exchange(self._loop, stream, self._answer)


class _Exchange:
    """One request and its answer."""

    __slots__ = ('_answer', '_parser', '_path', '_size', '_stream', '_timer')

    def __init__(
        self,
        loop: _loop.Loop,
        stream: _stream.Stream,
        answer: Callable[[str], tuple[int, bytes]],
    ) -> None:
        self._stream = stream
        self._answer = answer
        self._path = b''
        self._size = 0
        self._parser = light_imports.http_parser.HttpRequestParser(self)
        self._timer = loop.call_later(_REQUEST_SECONDS, stream.close)
        stream.on_data = self._take
        stream.on_close = self._end

    def _take(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > MAXIMUM_REQUEST_BYTES:
            self._stream.close('too large')
            return
        try:
            self._parser.feed_data(data)
        except light_imports.http_parser.HttpParserError:
            self._stream.close('no HTTP')

    def _end(self, _reason: str) -> None:
        self._timer.cancel()

    def on_url(self, path: bytes) -> None:
        """Collect the path; called by the parser."""
        self._path += path

    def on_message_complete(self) -> None:
        """Answer; called by the parser."""
        path = self._path.decode('latin-1').partition('?')[0]
        status, body = self._answer(path)
        head = (
            f'HTTP/1.1 {status} {_REASONS.get(status, "Answer")}\r\n'
            'Content-Type: text/plain\r\n'
            f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
        )
        self._stream.write(head.encode('ascii') + body)
        self._stream.finish()


def _ignore_answer(_reply: Reply, _is_last: bool) -> None:
    """Take what a connection brings that was given up."""
