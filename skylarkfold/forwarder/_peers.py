"""Beacons and fetches between instances."""

from __future__ import annotations


from skylarkfold import datagram
from skylarkfold import deferred_log
from skylarkfold import errors
from skylarkfold.forwarder import _metrics
from skylarkfold import light_imports
from skylarkfold import reactor
from skylarkfold import relay
from skylarkfold import revision as revisions

_MAX_DATAGRAM_BYTES = 65535
_BATCH_DATAGRAMS = 64
# The most that an encoded fetch, which is a few numbers, may take.
_MAX_REQUEST_BYTES = 64
_REQUEST_TIMEOUT_SECONDS = 2.0

_logger = deferred_log.LOGGER


class PeerMessageHandler(light_imports.Protocol):
    """Handles messages from peers."""

    def handle_beacon(self, host: str, beacon: relay.Beacon) -> None:
        """Handle a beacon."""

    def handle_fetch(
        self, topic: int, position: revisions.Revision
    ) -> relay.Page | None:
        """Return the page that a fetch asks for; None if there is none."""

    def handle_page(self, fetch: relay.Fetch, page: relay.Page | None) -> None:
        """Handle the result of a fetch; the page is None if it failed."""

    def count(self, name: str) -> None:
        """Increment a counter."""


class PeerSockets:
    """The UDP and TCP sockets for messages between instances.

    :param loop: the event loop.
    :param address: this instance's address; peers use the same port.
    :param handler: handles the messages.
    :raises OSError: if the address can't be bound.
    """

    def __init__(
        self,
        loop: reactor.Loop,
        address: tuple[str, int],
        handler: PeerMessageHandler,
    ) -> None:
        self._loop = loop
        self._port = address[1]
        self._handler = handler
        self._socket = datagram.bind(address)
        self._server = reactor.Listener(loop, address, self._accept)
        loop.watch(self._socket, reactor.READ, self._receive)

    def send(self, effect: relay.SendBeacon) -> None:
        """Send a beacon.

        :param effect: the beacon and the hosts.
        """
        data = relay.encode_beacon(effect.beacon)
        for host in effect.hosts:
            try:
                self._socket.sendto(data, (host, self._port))
            except OSError as error:
                # Not retried, since the next beacon follows soon.
                self._handler.count(f'{_metrics.SEND_FAILED}.{error.errno}')

    def fetch(self, effect: relay.Fetch) -> None:
        """Fetch missing objects from a peer.

        :param effect: the fetch.
        """
        _FetchClient(
            self._loop, (effect.host, self._port), effect, self._handler
        )

    def close(self) -> None:
        """Close both sockets."""
        self._loop.unwatch(self._socket)
        self._socket.close()
        self._server.close()

    def _receive(self, _events: int) -> None:
        for _ in range(_BATCH_DATAGRAMS):
            try:
                data, sender = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            try:
                beacon = relay.decode_beacon(data)
            except errors.DecodeError:
                self._handler.count(_metrics.BEACON_MALFORMED)
                continue
            self._handler.handle_beacon(sender[0], beacon)

    def _accept(self, stream: reactor.Stream) -> None:
        _PageResponder(self._loop, stream, self._handler)


class _FetchClient:
    """Fetches one page from a peer over TCP."""

    __slots__ = (
        '_data',
        '_handler',
        '_request',
        '_stream',
        '_timer',
    )

    def __init__(
        self,
        loop: reactor.Loop,
        address: tuple[str, int],
        effect: relay.Fetch,
        handler: PeerMessageHandler,
    ) -> None:
        self._request = effect
        self._handler = handler
        self._data = bytearray()
        self._stream = reactor.connect(loop, address)
        self._stream.on_data = self._data.extend
        self._stream.on_close = self._handle_close
        self._stream.write(relay.encode_fetch(effect.topic, effect.position))
        self._timer = loop.call_later(
            effect.timeout_seconds, self._stream.close
        )

    def _handle_close(self, _reason: str) -> None:
        self._timer.cancel()
        page = None
        if self._data:
            try:
                page = relay.decode_page(bytes(self._data))
            except errors.DecodeError as error:
                self._handler.count(_metrics.PAGE_MALFORMED)
                _logger.warning('malformed page from peer: %s', error)
        self._handler.handle_page(self._request, page)


class _PageResponder:
    """Answers one fetch of a peer with a page, then closes."""

    __slots__ = ('_data', '_handler', '_stream', '_timer')

    def __init__(
        self,
        loop: reactor.Loop,
        stream: reactor.Stream,
        handler: PeerMessageHandler,
    ) -> None:
        self._handler = handler
        self._stream = stream
        self._data = b''
        self._timer = loop.call_later(_REQUEST_TIMEOUT_SECONDS, stream.close)
        stream.on_data = self._handle_data
        stream.on_close = self._handle_close

    def _handle_data(self, data: bytes) -> None:
        self._data += data
        try:
            topic, position = relay.decode_fetch(self._data)
        except errors.DecodeError:
            if len(self._data) > _MAX_REQUEST_BYTES:
                self._handler.count(_metrics.FETCH_MALFORMED)
                self._stream.close('malformed')
            return
        page = self._handler.handle_fetch(topic, position)
        if page is not None:
            self._stream.write(relay.encode_page(page))
        self._stream.finish()

    def _handle_close(self, _reason: str) -> None:
        self._timer.cancel()
