"""TCP streams that never block."""

from __future__ import annotations

from collections.abc import Callable
import errno

from skylarkfold import deferred_log
from skylarkfold import light_imports
from skylarkfold.reactor import _loop

_PORTION_BYTES = 64 * 1024
# Connections that wait to be accepted. An opening packet that finds the
# queue full is sent again after a second or more.
_BACKLOG = 256
# What may wait for a peer that does not read; more ends the stream.
MAXIMUM_WAITING_BYTES = 4 * 1024 * 1024

_logger = deferred_log.LOGGER


class Stream:
    """One TCP connection.

    :param loop: the event loop.
    :param connection: a non-blocking socket, connected or connecting.
    :param is_connected: whether it is connected already.
    :ivar on_open: called once it is connected.
    :ivar on_data: called with bytes that arrived.
    :ivar on_close: called once when it ended, with the reason: empty for
        an orderly end by the other side.
    """

    __slots__ = (
        '_connection',
        '_is_connected',
        '_loop',
        '_must_close',
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
        self._must_close = False
        self._output = bytearray()
        self.is_closed = False
        self.on_open: Callable[[], object] = _do_nothing
        self.on_data: Callable[[bytes], object] = _do_nothing
        self.on_close: Callable[[str], object] = _do_nothing
        connection.setsockopt(
            light_imports.IPPROTO_TCP, light_imports.TCP_NODELAY, 1
        )
        events = _loop.READ if is_connected else _loop.WRITE
        loop.watch(connection, events, self._take_events)

    @property
    def peer_host(self) -> str:
        """The other side's address; empty once it is gone."""
        try:
            return self._connection.getpeername()[0]
        except OSError:
            return ''

    def write(self, data: bytes) -> None:
        """Send bytes, now or as soon as the other side takes them.

        :param data: the bytes; ignored once the stream is closed.
        """
        if self.is_closed or self._must_close:
            return
        self._output += data
        if len(self._output) > MAXIMUM_WAITING_BYTES:
            self.close('the other side does not read')
            return
        if self._is_connected:
            self._flush()

    def finish(self) -> None:
        """Close the stream once everything written was sent."""
        self._must_close = True
        if self._is_connected and not self._output:
            self.close('')

    def close(self, reason: str = '') -> None:
        """End the stream at once.

        :param reason: handed to ``on_close``.
        """
        if self.is_closed:
            return
        self.is_closed = True
        self._loop.unwatch(self._connection)
        self._connection.close()
        self.on_close(reason)

    def _take_events(self, events: int) -> None:
        try:
            if not self._is_connected:
                self._end_connecting()
            if events & _loop.WRITE and not self.is_closed:
                self._flush()
            if events & _loop.READ and not self.is_closed:
                self._read()
        except OSError as error:
            self.close(_describe(error))

    def _end_connecting(self) -> None:
        code = self._connection.getsockopt(
            light_imports.SOL_SOCKET, light_imports.SO_ERROR
        )
        if code:
            raise OSError(code, errno.errorcode.get(code, str(code)))
        self._is_connected = True
        self._loop.watch(self._connection, _loop.READ, self._take_events)
        self.on_open()

    def _read(self) -> None:
        try:
            data = self._connection.recv(_PORTION_BYTES)
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
                _logger.debug('a stream is full')
            except OSError as error:
                self.close(_describe(error))
                return
        if self._output:
            events = _loop.READ | _loop.WRITE
        else:
            events = _loop.READ
        self._loop.watch(self._connection, events, self._take_events)
        if self._must_close and not self._output:
            self.close('')


class Listener:
    """Accepts TCP connections.

    :param loop: the event loop.
    :param address: host and port.
    :param accept: called with the stream of each connection.
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
        loop.watch(self._socket, _loop.READ, self._take_connections)

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        return self._socket.getsockname()

    def _take_connections(self, _events: int) -> None:
        while True:
            try:
                connection = light_imports.accept(self._socket)
            except BlockingIOError:
                return
            except OSError as error:
                # No descriptors are left, or the caller went away.
                _logger.warning('accept failed: %s', _describe(error))
                return
            connection.setblocking(False)
            self._accept(Stream(self._loop, connection))

    def close(self) -> None:
        """Accept nothing more."""
        self._loop.unwatch(self._socket)
        self._socket.close()


def connect(loop: _loop.Loop, address: tuple[str, int]) -> Stream:
    """Open a connection.

    :param loop: the event loop.
    :param address: host and port.
    :returns: the stream; its ``on_close`` is called if it can't be
        opened, after this function returned.
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


def _describe(error: OSError) -> str:
    return errno.errorcode.get(error.errno or 0, str(error))


def _do_nothing(*_arguments: object) -> None:
    """Stand in until a callback is set."""
