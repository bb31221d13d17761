"""Message streams between instances.

Each instance opens one stream to each peer that it sends to and receives
on the streams that peers open to it. The first message of a stream is a
greeting with the sender's name; with TLS the sender's certificate must
contain that name.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging
import ssl

from skylarkfold import codec
from skylarkfold.edge import _runtime
from skylarkfold.edge import _settings
from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold import errors
from skylarkfold import event
from skylarkfold import log
from skylarkfold import message as message_module
from skylarkfold import metric

_READ_BYTES = 64 * 1024
_CONNECT_TIMEOUT_SECONDS = 3.0
_IDLE_TIMEOUT_SECONDS = 60.0
_WRITE_TIMEOUT_SECONDS = 10.0
_RECONNECT_DELAY_SECONDS = 0.3

_logger = logging.getLogger(log.LOGGER_NAME)

Resolver = Callable[[str], endpoint.Endpoint | None]


class Greeting(message_module.PeerMessage, tag=80):
    """The first message on a stream.

    :param name: the sender's name.
    """

    name: str


class _PeerConnection:
    """The outgoing stream to one peer, opened when data is queued."""

    def __init__(self, streams: PeerStreams, peer: str) -> None:
        self._streams = streams
        self._peer = peer
        self._buffer = bytearray()
        self._has_data = asyncio.Event()
        self.task: asyncio.Task | None = None
        self.retry_at = 0.0

    def send(self, data: bytes, maximum_bytes: int) -> bool:
        if len(self._buffer) + len(data) > maximum_bytes:
            return False
        self._buffer += data
        self._has_data.set()
        return True

    async def run(self, address: endpoint.Endpoint) -> None:
        connected = False
        try:
            reader, writer = await self._streams.connect(address)
        except (OSError, TimeoutError, ssl.SSLError):
            self._finish(connected)
            return
        try:
            connected = True
            self._streams.report(event.PeerConnected(self._peer))
            await self._send_buffered(reader, writer)
        except (OSError, TimeoutError, ssl.SSLError):
            pass
        finally:
            writer.transport.abort()
            self._finish(connected)

    def _finish(self, connected: bool) -> None:
        # Unsent data is dropped; the cores resend the messages that matter.
        self._buffer.clear()
        self.task = None
        self.retry_at = self._streams.now() + _RECONNECT_DELAY_SECONDS
        self._streams.report(event.PeerLost(self._peer))

    async def _send_buffered(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer_closed = asyncio.ensure_future(reader.read(1))
        try:
            while not peer_closed.done():
                await self._write(writer)
                data_ready = asyncio.ensure_future(self._has_data.wait())
                await asyncio.wait(
                    {data_ready, peer_closed},
                    timeout=_IDLE_TIMEOUT_SECONDS,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                data_ready.cancel()
                if not self._buffer:
                    return
        finally:
            peer_closed.cancel()

    async def _write(self, writer: asyncio.StreamWriter) -> None:
        self._has_data.clear()
        if not self._buffer:
            return
        data = bytes(self._buffer)
        self._buffer.clear()
        writer.write(data)
        await asyncio.wait_for(writer.drain(), _WRITE_TIMEOUT_SECONDS)


class PeerStreams:
    """All streams to and from other instances.

    :param runtime: the runtime that all parts of the daemon share.
    :param settings: limits on sizes and times.
    :param name: this instance's name.
    :param message_types: the union of message types that peers may send.
    :param resolve: returns a peer's address, None if it is unknown.
    :param server_context: TLS for accepted streams, None without TLS.
    :param client_context: TLS for opened streams, None without TLS.
    """

    def __init__(
        self,
        runtime: _runtime.Runtime,
        settings: _settings.EdgeSettings,
        name: str,
        message_types: object,
        resolve: Resolver,
        server_context: ssl.SSLContext | None = None,
        client_context: ssl.SSLContext | None = None,
    ) -> None:
        self._runtime = runtime
        self._settings = settings
        self._name = name
        self._message_types = message_types | Greeting
        self._resolve = resolve
        self._server_context = server_context
        self._client_context = client_context
        self._connections: dict[str, _PeerConnection] = {}
        self._accepted: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.now = runtime.clock
        self.report = runtime.handle_later

    async def listen(self, address: endpoint.Endpoint) -> None:
        """Accept peers' streams.

        :param address: the address to listen on.
        :raises OSError: if the address can't be bound.
        """
        self._server = await asyncio.start_server(
            self._handle_accepted, *address, ssl=self._server_context
        )

    async def connect(
        self, address: endpoint.Endpoint
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a stream and send the greeting.

        :param address: the peer's address.
        :returns: the stream's reader and writer.
        :raises OSError: if the peer can't be reached or is not trusted.
        :raises TimeoutError: if connecting takes too long.
        """
        opening = asyncio.open_connection(
            *address,
            ssl=self._client_context,
            server_hostname='' if self._client_context else None,
        )
        reader, writer = await asyncio.wait_for(
            opening, _CONNECT_TIMEOUT_SECONDS
        )
        writer.write(codec.encode(Greeting(self._name)))
        return reader, writer

    def send(self, outgoing: effect.SendToPeer) -> None:
        """Queue a message for a peer.

        A message is dropped and counted if the peer's queue is full or
        the stream waits to be reopened.

        :param outgoing: the message and the peer's name.
        """
        connection = self._connections.setdefault(
            outgoing.peer, _PeerConnection(self, outgoing.peer)
        )
        data = codec.encode(outgoing.message)
        if self.now() < connection.retry_at and connection.task is None:
            self._runtime.counters.add(metric.PEER_MESSAGES_DROPPED)
            return
        if not connection.send(data, self._settings.peer_queue_bytes):
            self._runtime.counters.add(metric.PEER_MESSAGES_DROPPED)
            return
        self._runtime.counters.add(metric.PEER_MESSAGES_SENT)
        self._runtime.counters.add(metric.PEER_BYTES_SENT, len(data))
        if connection.task is None:
            self._open(outgoing.peer, connection)

    def _open(self, peer: str, connection: _PeerConnection) -> None:
        address = self._resolve(peer)
        if address is None:
            self._connections.pop(peer, None)
            self.report(event.PeerLost(peer))
            return
        connection.task = self._runtime.start(connection.run(address))

    def _handle_accepted(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._runtime.start(self._serve_accepted(reader, writer))

    async def _serve_accepted(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._accepted.add(writer)
        try:
            await self._receive(reader, writer)
        except errors.DecodeError as error:
            self._runtime.counters.add(metric.PEER_MESSAGES_MALFORMED)
            _logger.warning('closed a stream from a peer: %s', error)
        except (OSError, TimeoutError, ssl.SSLError):
            pass
        finally:
            self._accepted.discard(writer)
            writer.transport.abort()

    async def _receive(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        decoder = codec.StreamDecoder(self._message_types)
        sender: str | None = None
        while data := await reader.read(_READ_BYTES):
            for received in decoder.feed(data):
                if sender is None:
                    sender = self._authenticate(received, writer)
                    continue
                self._runtime.handle(
                    event.PeerMessageReceived(sender, received)
                )

    def _authenticate(
        self,
        received: message_module.PeerMessage,
        writer: asyncio.StreamWriter,
    ) -> str:
        if not isinstance(received, Greeting):
            self._runtime.counters.add(metric.PEERS_REFUSED)
            raise errors.DecodeError('stream does not begin with a greeting')
        if self._server_context is None:
            return received.name
        if received.name not in list_certificate_names(writer):
            self._runtime.counters.add(metric.PEERS_REFUSED)
            raise errors.DecodeError(
                f'{received.name!r} is not in the certificate of the peer'
            )
        return received.name

    async def close(self) -> None:
        """Close all streams."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._accepted):
            writer.transport.abort()
        for connection in self._connections.values():
            if connection.task is not None:
                connection.task.cancel()


def list_certificate_names(writer: asyncio.StreamWriter) -> frozenset[str]:
    """List the DNS names in a peer's certificate.

    :param writer: the stream's writer.
    :returns: the DNS names; empty without a certificate.
    """
    certificate = writer.get_extra_info('peercert') or {}
    names = certificate.get('subjectAltName', ())
    return frozenset(value for kind, value in names if kind == 'DNS')
