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

_DATAGRAM_BYTES = 65535
_BATCH = 64
# A fetch is a few numbers.
_FETCH_BYTES = 64
_SERVE_SECONDS = 2.0

_logger = deferred_log.LOGGER


class Listener(light_imports.Protocol):
    """What takes the peers' messages."""

    def handle_beacon(self, host: str, beacon: relay.Beacon) -> None:
        """Take a beacon."""

    def handle_fetch(
        self, topic: int, position: revisions.Revision
    ) -> relay.Page | None:
        """Answer a fetch."""

    def handle_page(self, fetch: relay.Fetch, page: relay.Page | None) -> None:
        """Take the end of a fetch."""

    def count(self, name: str) -> None:
        """Count an event."""


class PeerSockets:
    """The datagram socket and the listener towards other instances.

    :param loop: the event loop.
    :param address: this instance's; the port is the peers' as well.
    :param listener: what takes the messages.
    :raises OSError: if the address can't be bound.
    """

    def __init__(
        self,
        loop: reactor.Loop,
        address: tuple[str, int],
        listener: Listener,
    ) -> None:
        self._loop = loop
        self._port = address[1]
        self._listener = listener
        self._socket = datagram.bind(address)
        self._server = reactor.Listener(loop, address, self._accept)
        loop.watch(self._socket, reactor.READ, self._receive)

    def send(self, wanted: relay.SendBeacon) -> None:
        """Send a beacon.

        :param wanted: the beacon and the hosts.
        """
        data = relay.encode_beacon(wanted.beacon)
        for host in wanted.hosts:
            try:
                self._socket.sendto(data, (host, self._port))
            except OSError as error:
                # The next beacon follows soon; a host may be gone.
                self._listener.count(f'{_metrics.SEND_FAILED}.{error.errno}')

    def fetch(self, wanted: relay.Fetch) -> None:
        """Ask a peer for what is missing.

        :param wanted: the decision.
        """
        _Fetch(self._loop, (wanted.host, self._port), wanted, self._listener)

    def close(self) -> None:
        """Close both sockets."""
        self._loop.unwatch(self._socket)
        self._socket.close()
        self._server.close()

    def _receive(self, _events: int) -> None:
        for _ in range(_BATCH):
            try:
                data, sender = self._socket.recvfrom(_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            try:
                beacon = relay.decode_beacon(data)
            except errors.DecodeError:
                self._listener.count(_metrics.BEACON_MALFORMED)
                continue
            self._listener.handle_beacon(sender[0], beacon)

    def _accept(self, stream: reactor.Stream) -> None:
        _Service(self._loop, stream, self._listener)


class _Fetch:
    """One fetch from a peer."""

    __slots__ = ('_data', '_listener', '_stream', '_timer', '_wanted')

    def __init__(
        self,
        loop: reactor.Loop,
        address: tuple[str, int],
        wanted: relay.Fetch,
        listener: Listener,
    ) -> None:
        self._wanted = wanted
        self._listener = listener
        self._data = bytearray()
        self._stream = reactor.connect(loop, address)
        self._stream.on_data = self._data.extend
        self._stream.on_close = self._end
        self._stream.write(relay.encode_fetch(wanted.topic, wanted.position))
        self._timer = loop.call_later(
            wanted.timeout_seconds, self._stream.close
        )

    def _end(self, _reason: str) -> None:
        self._timer.cancel()
        page = None
        if self._data:
            try:
                page = relay.decode_page(bytes(self._data))
            except errors.DecodeError as error:
                self._listener.count(_metrics.PAGE_MALFORMED)
                _logger.warning('a page is malformed: %s', error)
        self._listener.handle_page(self._wanted, page)


class _Service:
    """One fetch by a peer: a short request, one page, the end."""

    __slots__ = ('_data', '_listener', '_stream', '_timer')

    def __init__(
        self,
        loop: reactor.Loop,
        stream: reactor.Stream,
        listener: Listener,
    ) -> None:
        self._listener = listener
        self._stream = stream
        self._data = b''
        self._timer = loop.call_later(_SERVE_SECONDS, stream.close)
        stream.on_data = self._take
        stream.on_close = self._end

    def _take(self, data: bytes) -> None:
        self._data += data
        try:
            topic, position = relay.decode_fetch(self._data)
        except errors.DecodeError:
            if len(self._data) > _FETCH_BYTES:
                self._listener.count(_metrics.FETCH_MALFORMED)
                self._stream.close('malformed')
            return
        page = self._listener.handle_fetch(topic, position)
        if page is not None:
            self._stream.write(relay.encode_page(page))
        self._stream.finish()

    def _end(self, _reason: str) -> None:
        self._timer.cancel()
