"""Reads callers' packets from the socket of an instance."""

from __future__ import annotations

from collections.abc import Callable

from skylarkfold import affinity
from skylarkfold.forwarder import _metrics
from skylarkfold.forwarder import _platform
from skylarkfold.forwarder import _reporter
from skylarkfold.forwarder import _traffic
from skylarkfold import light_imports
from skylarkfold import reactor

# Packets read in one go before timers and other sockets are served.
_BATCH_PACKETS = 64
_PACKET_BYTES = 2048


class PacketReceiver:
    """Reads packets from a socket and passes them on.

    :param loop: tells the time.
    :param packets: the socket; it does not block.
    :param platform: decodes packets.
    :param traffic_counter: counts the bytes.
    :param reporter: counts malformed packets.
    :param handle: called with the time and the packet.
    :ivar last_packet_at: when the last packet was read.
    """

    __slots__ = (
        '_handle',
        '_loop',
        '_packets',
        '_platform',
        '_reporter',
        '_traffic_counter',
        'last_packet_at',
    )

    def __init__(
        self,
        loop: reactor.Loop,
        packets: light_imports.Socket,
        platform: _platform.Platform,
        traffic_counter: _traffic.TrafficCounter,
        reporter: _reporter.Reporter,
        handle: Callable[[float, affinity.Packet], object],
    ) -> None:
        self._loop = loop
        self._packets = packets
        self._platform = platform
        self._traffic_counter = traffic_counter
        self._reporter = reporter
        self._handle = handle
        self.last_packet_at = float('-inf')

    def receive(self) -> None:
        """Read the packets that have arrived, a batch at most."""
        receive = self._packets.recv
        decode = self._platform.decode_packet
        for _ in range(_BATCH_PACKETS):
            try:
                data = receive(_PACKET_BYTES)
            except BlockingIOError:
                break
            # A packet may arrive while earlier ones of its batch are decided
            # on. A time from before its arrival would let an answer of the
            # store from before it decide on its flow.
            now = self.last_packet_at = self._loop.now()
            self._traffic_counter.count_received(len(data))
            packet = decode(data)
            if packet is None:
                self._reporter.count(_metrics.PACKET_MALFORMED)
                continue
            self._handle(now, packet)
