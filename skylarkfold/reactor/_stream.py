"""Non-blocking TCP streams."""

from __future__ import annotations

from collections.abc import Callable
import errno

from skylarkfold import deferred_log
from skylarkfold import light_imports
from skylarkfold.reactor import _loop

_RECEIVE_BYTES = 64 * 1024
# The length of the accept queue. If it is full, the kernel drops SYN packets,
# and clients retry after a second or more.
_BACKLOG = 256
# A stream with more unsent data than this is closed.
MAXIMUM_WAITING_BYTES = 4 * 1024 * 1024

_logger = deferred_log.LOGGER


class Stream:
    """A TCP connection.

    :param loop: the event loop.
    :param connection: a non-blocking socket, connected or connecting.
    :param is_connected: whether it is connected already.
    :ivar on_open: called when the connection is established.
    :ivar on_data: called with received data.
    :ivar on_close: called once when the stream is closed, with the reason:
        empty for an orderly close by the other side.
    """

    __slots__ = (
        '_connection',
        '_is_connected',
        '_is_finishing',
        '_loop',
        '_output',
        'is_closed',
        'on_close',
        'on_data',
        'on_open',
    )

    def __init__(
        self,
        loop: _loop.Loop,
        connection: light_imports.Socket,
        is_connected: bool = True,
    ) -> None:
        self._loop = loop
        self._connection = connection
        self._is_connected = is_connected
        self._is_finishing = False
        self._output = bytearray()
        self.is_closed = False
        self.on_open: Callable[[], object] = _do_nothing
        self.on_data: Callable[[bytes], object] = _do_nothing
        self.on_close: Callable[[str], object] = _do_nothing
        connection.setsockopt(
            light_imports.IPPROTO_TCP, light_imports.TCP_NODELAY, 1
        )
        events = _loop.READ if is_connected else _loop.WRITE
        loop.watch(connection, events, self._handle_events)

    @property
    def peer_host(self) -> str:
        """The remote address; empty if the connection is closed."""
        try:
            return self._connection.getpeername()[0]
        except OSError:
            return ''

    def write(self, data: bytes) -> None:
        """Send data, buffering what can't be sent immediately.

        :param data: the data; ignored if the stream is closed or finishing.
        """
        if self.is_closed or self._is_finishing:
            return
        self._output += data
        if len(self._output) > MAXIMUM_WAITING_BYTES:
            self.close('the other side does not read')
            return
        if self._is_connected:
            self._flush()

    def finish(self) -> None:
        """Close the stream after all written data was sent."""
        self._is_finishing = True
        if self._is_connected and not self._output:
            self.close('')

    def close(self, reason: str = '') -> None:
        """Close the stream immediately.

        :param reason: passed to ``on_close``.
        """
        if self.is_closed:
            return
        self.is_closed = True
        self._loop.unwatch(self._connection)
        self._connection.close()
        self.on_close(reason)

    def _handle_events(self, events: int) -> None:
        try:
            if not self._is_connected:
                self._finish_connecting()
            if events & _loop.WRITE and not self.is_closed:
                self._flush()
            if events & _loop.READ and not self.is_closed:
                self._read()
        except OSError as error:
            self.close(_format_error(error))

    def _finish_connecting(self) -> None:
        code = self._connection.getsockopt(
            light_imports.SOL_SOCKET, light_imports.SO_ERROR
        )
        if code:
            raise OSError(code, errno.errorcode.get(code, str(code)))
        self._is_connected = True
        self._loop.watch(self._connection, _loop.READ, self._handle_events)
        self.on_open()

    def _read(self) -> None:
        try:
            data = self._connection.recv(_RECEIVE_BYTES)
        except BlockingIOError:
            return
        if data:
            self.on_data(data)
        else:
            self.close('')

    def _flush(self) -> None:
        if self._output:
            try:
                sent = self._connection.send(self._output)
                del self._output[:sent]
            except BlockingIOError:
                _logger.debug('the send buffer of a stream is full')
            except OSError as error:
                self.close(_format_error(error))
                return
        if self._output:
            events = _loop.READ | _loop.WRITE
        else:
            events = _loop.READ
        self._loop.watch(self._connection, events, self._handle_events)
        if self._is_finishing and not self._output:
            self.close('')


class Listener:
    """Accepts TCP connections.

    :param loop: the event loop.
    :param address: host and port.
    :param accept: called with the stream of each accepted connection.
    :raises OSError: if the address can't be bound.
    """

    __slots__ = ('_accept', '_loop', '_socket')

    def __init__(
        self,
        loop: _loop.Loop,
        address: tuple[str, int],
        accept: Callable[[Stream], object],
    ) -> None:
        self._loop = loop
        self._accept = accept
        self._socket = light_imports.Socket(
            light_imports.AF_INET, light_imports.SOCK_STREAM
        )
        self._socket.setsockopt(
            light_imports.SOL_SOCKET, light_imports.SO_REUSEADDR, 1
        )
        self._socket.setblocking(False)
        self._socket.bind(address)
        self._socket.listen(_BACKLOG)
        loop.watch(self._socket, _loop.READ, self._accept_connections)

    @property
    def address(self) -> tuple[str, int]:
        """The address that the socket is bound to."""
        return self._socket.getsockname()

    def _accept_connections(self, _events: int) -> None:
        while True:
            try:
                connection = light_imports.accept(self._socket)
            except BlockingIOError:
                return
            except OSError as error:
                # Out of file descriptors, or the client closed the connection.
                _logger.warning('accept failed: %s', _format_error(error))
                return
            connection.setblocking(False)
            self._accept(Stream(self._loop, connection))

    def close(self) -> None:
        """Stop accepting connections."""
        self._loop.unwatch(self._socket)
        self._socket.close()


def connect(loop: _loop.Loop, address: tuple[str, int]) -> Stream:
    """Start to open a connection.

    :param loop: the event loop.
    :param address: host and port.
    :returns: the stream. If the connection fails, its ``on_close`` is called
        after this function has returned.
    """
    connection = light_imports.Socket(
        light_imports.AF_INET, light_imports.SOCK_STREAM
    )
    connection.setblocking(False)
    code = connection.connect_ex(address)
    stream = Stream(loop, connection, is_connected=False)
    if code not in (0, errno.EINPROGRESS):
        reason = errno.errorcode.get(code, str(code))
        loop.call_later(0.0, lambda: stream.close(reason))
    return stream


def _format_error(error: OSError) -> str:
    return errno.errorcode.get(error.errno or 0, str(error))


def _do_nothing(*_arguments: object) -> None:
    """Do nothing; the default of the callbacks."""
