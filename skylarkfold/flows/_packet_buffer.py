"""A buffer for datagrams that can't be routed yet."""

from __future__ import annotations

import collections

from skylarkfold.flows import _packet
from skylarkfold.flows import _settings


class PacketBuffer:
    """A FIFO buffer of datagrams, bounded by count, bytes and age.

    :param settings: the flow settings.
    """

    def __init__(self, settings: _settings.FlowSettings) -> None:
        self._settings = settings
        self._buffered: collections.deque[tuple[float, _packet.Packet]] = (
            collections.deque()
        )
        self._buffered_bytes = 0

    def __len__(self) -> int:
        return len(self._buffered)

    def add(self, now: float, packet: _packet.Packet) -> bool:
        """Add a datagram if the limits allow it.

        :param now: the current time.
        :param packet: the datagram.
        :returns: whether it was added.
        """
        size = len(packet.payload)
        if len(self._buffered) >= self._settings.hold_count:
            return False
        if self._buffered_bytes + size > self._settings.hold_bytes:
            return False
        self._buffered.append((now + self._settings.hold_seconds, packet))
        self._buffered_bytes += size
        return True

    def take_all(self) -> list[_packet.Packet]:
        """Remove and return all datagrams."""
        packets = [packet for _, packet in self._buffered]
        self._buffered.clear()
        self._buffered_bytes = 0
        return packets

    def expire(self, now: float) -> list[_packet.Packet]:
        """Remove and return the datagrams that have expired.

        :param now: the current time.
        :returns: the datagrams, which the caller has to drop.
        """
        expired = []
        while self._buffered and self._buffered[0][0] <= now:
            packet = self._buffered.popleft()[1]
            self._buffered_bytes -= len(packet.payload)
            expired.append(packet)
        return expired
