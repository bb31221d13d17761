"""Packets held until their upstream or route is known."""

from __future__ import annotations

import collections
from collections.abc import Container

from skylarkfold.affinity import _packet

# Twice the time after which callers repeat a packet.
TOKEN_SECONDS = 0.4
# A change of the routes arrives within some milliseconds, at an instance that
# has just started within some tenths of a second. Callers repeat a first
# packet after 0.2 s.
ROUTE_SECONDS = 0.2
# 1 MB at 2 KB a packet.
_HELD_PACKETS = 512


class HeldPackets:
    """A bounded queue of packets with a deadline.

    :param seconds: how long a packet is held.
    """

    __slots__ = ('_seconds', '_waiting')

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._waiting: collections.deque[tuple[float, _packet.Packet]] = (
            collections.deque()
        )

    def add(self, now: float, packet: _packet.Packet) -> bool:
        """Hold a packet.

        :param now: the time.
        :param packet: the packet.
        :returns: whether there was room for it.
        """
        if len(self._waiting) >= _HELD_PACKETS:
            return False
        self._waiting.append((now + self._seconds, packet))
        return True

    def find_due(self) -> float | None:
        """Return when the oldest packet expires; None if none is held."""
        return self._waiting[0][0] if self._waiting else None

    def release(self, now: float) -> list[_packet.Packet]:
        """Remove all packets and return them for another decision.

        :param now: the time.
        :returns: the packets that have not expired, in order.
        """
        waiting, self._waiting = self._waiting, collections.deque()
        return [packet for until, packet in waiting if now <= until]

    def take(self, addresses: Container[bytes]) -> list[_packet.Packet]:
        """Remove the packets that were sent to some addresses.

        :param addresses: packed addresses.
        :returns: the packets, in order.
        """
        taken = []
        kept: collections.deque[tuple[float, _packet.Packet]] = (
            collections.deque()
        )
        for until, packet in self._waiting:
            if packet.address in addresses:
                taken.append(packet)
            else:
                kept.append((until, packet))
        self._waiting = kept
        return taken

    def expire(self, now: float) -> list[_packet.Packet]:
        """Remove the packets that have expired.

        :param now: the time.
        :returns: the packets, in order.
        """
        expired = []
        while self._waiting and self._waiting[0][0] < now:
            expired.append(self._waiting.popleft()[1])
        return expired
