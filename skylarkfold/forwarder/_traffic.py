"""Counts the bytes sent and received on the instance's link."""

from __future__ import annotations

from skylarkfold import room as rooms

# IPv4 and UDP headers, which are not in the payload size of a datagram.
_HEADER_BYTES = 28


class TrafficCounter:
    """Sums up the bytes of packets and reports the sums in batches.

    :param room: the headroom to which the sums are reported.
    """

    __slots__ = ('_received', '_room', '_sent')

    def __init__(self, room: rooms.InstanceHeadroom) -> None:
        self._room = room
        self._received = 0
        self._sent = 0

    def count_received(self, size: int) -> None:
        """Count a received packet.

        :param size: the payload's bytes.
        """
        self._received += size + _HEADER_BYTES

    def count_sent(self, size: int) -> None:
        """Count a sent packet.

        :param size: the payload's bytes.
        """
        self._sent += size + _HEADER_BYTES

    def report(self, now: float) -> None:
        """Report the bytes counted since the last call.

        :param now: the time.
        """
        if self._received or self._sent:
            self._room.record_traffic(now, self._received, self._sent)
            self._received = self._sent = 0
