"""HTTP/1.1 on streams: a client with one connection, and a small server."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from skylarkfold import deferred_log
from skylarkfold import light_imports
from skylarkfold.reactor import _loop
from skylarkfold.reactor import _stream

# Larger response bodies close the connection. The store's pages take about
# 1 MB, its values 1 MB at most.
MAXIMUM_BODY_BYTES = 8 * 1024 * 1024
# Larger requests close the connection; health checks send some 100 bytes.
MAXIMUM_REQUEST_BYTES = 16 * 1024
# The server closes a connection that has not sent a whole request by then.
_REQUEST_SECONDS = 5.0

# A connection that was idle for longer may be dead and is opened again.
# Regular users of a connection send requests more often.
_IDLE_SECONDS = 1.5

# The status of a reply that stands for a failed request.
_NO_REPLY = 0
_CONTENT_LENGTH = 'content-length'
_REASONS = {200: 'OK', 404: 'Not Found', 503: 'Service Unavailable'}

_logger = deferred_log.LOGGER


class Failure:
    """Why there is no reply to a request."""

    NONE = ''
    # Nothing usable arrived: no connection, or it was closed or timed out.
    NO_REPLY = 'no-reply'
    # The response isn't valid HTTP.
    MALFORMED = 'malformed'
    # The body is larger than MAXIMUM_BODY_BYTES.
    TOO_LARGE = 'too-large'
    # The response began, but did not arrive within the time allowed.
    INCOMPLETE = 'incomplete'


class Reply:
    """The reply to a request.

    :param status: the HTTP status; 0 if the request failed.
    :param headers: header values by lower-case name.
    :param body: the body.
    :param failure: why the request failed, one of :class:`Failure`.
    """

    __slots__ = ('body', 'failure', 'headers', 'status')

    def __init__(
        self,
        status: int,
        headers: dict[str, str] | None = None,
        body: bytes = b'',
        failure: str = Failure.NONE,
    ) -> None:
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.failure = failure


ReplyCallback = Callable[[Reply], object]


class HttpClient:
    """One connection to a server, with one request at a time.

    The connection is opened with the first request, and again after it was
    closed or was idle: an idle connection may be dead without notice.

    :param loop: the event loop.
    :param address: the server's host and port.
    :param idle_seconds: a connection that was not used for this long is
        closed and opened again.
    :param headers: lower-case names of the headers that replies include.
    """

    __slots__ = (
        '_address',
        '_connection',
        '_ends_at',
        '_headers',
        '_host',
        '_idle_seconds',
        '_loop',
        '_on_reply',
        '_timeout_seconds',
        '_timer',
        '_used_at',
    )

    def __init__(
        self,
        loop: _loop.Loop,
        address: tuple[str, int],
        idle_seconds: float = _IDLE_SECONDS,
        headers: Iterable[str] = (),
    ) -> None:
        self._loop = loop
        self._address = address
        self._idle_seconds = idle_seconds
        self._headers = frozenset((*headers, _CONTENT_LENGTH))
        self._used_at = loop.now()
        self._host = f'{address[0]}:{address[1]}'
        self._connection: _Connection | None = None
        self._on_reply: ReplyCallback | None = None
        self._timer: _loop.Timer | None = None
        self._timeout_seconds = 0.0
        # When a reply that keeps arriving times out.
        self._ends_at = float('-inf')

    @property
    def is_busy(self) -> bool:
        """Whether a request is pending."""
        return self._on_reply is not None

    def request(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_seconds: float,
        on_reply: ReplyCallback,
        transfer_seconds: float = 0.0,
    ) -> None:
        """Send a request.

        :param method: for example ``GET``.
        :param path: the path with the query.
        :param body: a JSON document; empty for none.
        :param timeout_seconds: how long to wait for the whole reply; then the
            connection is closed, since a late reply would be taken for the
            next request's.
        :param on_reply: always called, with the reply.
        :param transfer_seconds: how much longer a reply may take that keeps
            arriving: a part of it in each period of the timeout.
        :raises RuntimeError: if a request is pending.
        """
        if self.is_busy:
            raise RuntimeError('another request is pending')
        if self._loop.now() - self._used_at >= self._idle_seconds:
            self.close()
        self._on_reply = on_reply
        self._timeout_seconds = timeout_seconds
        self._ends_at = self._loop.now() + timeout_seconds + transfer_seconds
        self._timer = self._loop.call_later(
            timeout_seconds, self._handle_timeout
        )
        if self._connection is None:
            stream = _stream.connect(self._loop, self._address)
            self._connection = _Connection(
                stream, self._headers, self._handle_reply
            )
        head = f'{method} {path} HTTP/1.1\r\nHost: {self._host}\r\n'
        if body:
            head += 'Content-Type: application/json\r\n'
            head += f'Content-Length: {len(body)}\r\n'
        self._connection.write(head.encode('ascii') + b'\r\n' + body)

    def close(self) -> None:
        """Close the connection; a pending request fails."""
        self._disconnect()
        self._end_request(_build_failure(Failure.NO_REPLY))

    def _disconnect(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abandon()

    def _handle_timeout(self) -> None:
        self._timer = None
        connection = self._connection
        failure = Failure.NO_REPLY
        if connection is not None and connection.has_begun:
            seconds = self._compute_extension(connection.take_size())
            if seconds:
                self._timer = self._loop.call_later(
                    seconds, self._handle_timeout
                )
                return
            failure = Failure.INCOMPLETE
        self._disconnect()
        self._end_request(_build_failure(failure))

    def _compute_extension(self, received_bytes: int) -> float:
        """Return the further time for a response that is arriving.

        :param received_bytes: how much of it arrived since the last time.
        :returns: the time in seconds; 0 if it is over.
        """
        if not received_bytes:
            return 0.0
        remaining = self._ends_at - self._loop.now()
        return max(0.0, min(remaining, self._timeout_seconds))

    def _handle_reply(self, reply: Reply, is_last: bool) -> None:
        if is_last:
            connection, self._connection = self._connection, None
            connection.abandon()
        self._end_request(reply)

    def _end_request(self, reply: Reply) -> None:
        on_reply, self._on_reply = self._on_reply, None
        self._used_at = self._loop.now()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if on_reply is not None:
            on_reply(reply)


class _Connection:
    """A client's connection with its response parser.

    :ivar has_begun: whether a part of a response has arrived, but not all.
    """

    __slots__ = (
        '_body',
        '_handle_reply',
        '_headers',
        '_kept_headers',
        '_parser',
        '_size',
        '_stream',
        '_taken_size',
        'has_begun',
    )

    def __init__(
        self,
        stream: _stream.Stream,
        kept_headers: frozenset[str],
        handle_answer: Callable[[Reply, bool], object],
    ) -> None:
        self._stream = stream
        self._kept_headers = kept_headers
        self._handle_reply = handle_answer
        self._body: list[bytes] = []
        self._headers: dict[str, str] = {}
        self._size = 0
        self._taken_size = 0
        self.has_begun = False
        self._parser = light_imports.http_parser.HttpResponseParser(self)
        stream.on_data = self._handle_data
        stream.on_close = self._handle_close

    def write(self, data: bytes) -> None:
        self._stream.write(data)

    def take_size(self) -> int:
        """Return how much of a body has arrived since the last call.

        :returns: the size in bytes.
        """
        size, self._taken_size = self._size - self._taken_size, self._size
        return size

    def abandon(self) -> None:
        """Close the connection and discard further data."""
        self._handle_reply = _ignore_reply
        self._stream.close()

    def _handle_data(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except light_imports.http_parser.HttpParserError as error:
            _logger.warning('malformed HTTP response: %s', error)
            self._fail(Failure.MALFORMED)

    def _handle_close(self, _reason: str) -> None:
        self._fail(Failure.NO_REPLY)

    def _fail(self, failure: str) -> None:
        self._handle_reply(_build_failure(failure), True)

    def on_message_begin(self) -> None:
        """Reset the state for a new response; called by the parser."""
        self._body, self._headers, self._size = [], {}, 0
        self._taken_size = 0
        self.has_begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header that is kept; called by the parser."""
        key = name.decode('latin-1').lower()
        if key in self._kept_headers:
            self._headers[key] = value.decode('latin-1')

    def on_headers_complete(self) -> None:
        """Refuse a response that is too large; called by the parser."""
        length = self._headers.get(_CONTENT_LENGTH, '')
        if length.isdecimal() and int(length) > MAXIMUM_BODY_BYTES:
            self._fail(Failure.TOO_LARGE)

    def on_body(self, part: bytes) -> None:
        """Store a part of the body; called by the parser."""
        self._size += len(part)
        if self._size > MAXIMUM_BODY_BYTES:
            self._body.clear()
            self._fail(Failure.TOO_LARGE)
            return
        self._body.append(part)

    def on_message_complete(self) -> None:
        """Pass the complete response on; called by the parser."""
        self.has_begun = False
        is_last = not self._parser.should_keep_alive()
        status = self._parser.get_status_code()
        reply = Reply(status, self._headers, b''.join(self._body))
        self._handle_reply(reply, is_last)


class HttpServer:
    """Serves small requests, each on a new connection.

    :param loop: the event loop.
    :param address: the address to listen on.
    :param handle_request: called with a path; returns the status and the
        body.
    :raises OSError: if the address can't be bound.
    """

    __slots__ = ('_handle_request', '_listener', '_loop')

    def __init__(
        self,
        loop: _loop.Loop,
        address: tuple[str, int],
        handle_request: Callable[[str], tuple[int, bytes]],
    ) -> None:
        self._loop = loop
        self._handle_request = handle_request
        self._listener = _stream.Listener(loop, address, self._accept)

    @property
    def address(self) -> tuple[str, int]:
        """The address that the server listens on."""
        return self._listener.address

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    def _accept(self, stream: _stream.Stream) -> None:
        _Exchange(self._loop, stream, self._handle_request)


class _Exchange:
    """One request and its response."""

    __slots__ = (
        '_handle_request',
        '_parser',
        '_path',
        '_size',
        '_stream',
        '_timer',
    )

    def __init__(
        self,
        loop: _loop.Loop,
        stream: _stream.Stream,
        handle_request: Callable[[str], tuple[int, bytes]],
    ) -> None:
        self._stream = stream
        self._handle_request = handle_request
        self._path = b''
        self._size = 0
        self._parser = light_imports.http_parser.HttpRequestParser(self)
        self._timer = loop.call_later(_REQUEST_SECONDS, stream.close)
        stream.on_data = self._handle_data
        stream.on_close = self._handle_close

    def _handle_data(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > MAXIMUM_REQUEST_BYTES:
            self._stream.close('too large')
            return
        try:
            self._parser.feed_data(data)
        except light_imports.http_parser.HttpParserError:
            self._stream.close('no HTTP')

    def _handle_close(self, _reason: str) -> None:
        self._timer.cancel()

    def on_url(self, path: bytes) -> None:
        """Store a part of the path; called by the parser."""
        self._path += path

    def on_message_complete(self) -> None:
        """Send the response; called by the parser."""
        path = self._path.decode('latin-1').partition('?')[0]
        status, body = self._handle_request(path)
        head = (
            f'HTTP/1.1 {status} {_REASONS.get(status, "Answer")}\r\n'
            'Content-Type: text/plain\r\n'
            f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
        )
        self._stream.write(head.encode('ascii') + body)
        self._stream.finish()


def _build_failure(failure: str) -> Reply:
    return Reply(_NO_REPLY, failure=failure)


def _ignore_reply(_reply: Reply, _is_last: bool) -> None:
    """Discard a reply on an abandoned connection."""
