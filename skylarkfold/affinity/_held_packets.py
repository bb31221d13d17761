"""Packets held until their upstream or route is known."""

from __future__ import annotations

import collections

from skylarkfold.affinity import _packet

# Twice the time after which callers repeat a packet.
_HELD_SECONDS = 0.4
# 1 MB at 2 KB a packet.
_HELD_PACKETS = 512


class HeldPackets:
    """A bounded queue of packets with a deadline."""

    __slots__ = ('_waiting',)

    def __init__(self) -> None:
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
        self._waiting.append((now + _HELD_SECONDS, packet))
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

    def expire(self, now: float) -> int:
        """Drop the packets that have expired.

        :param now: the time.
        :returns: how many were dropped.
        """
        count = 0
        while self._waiting and self._waiting[0][0] < now:
            self._waiting.popleft()
            count += 1
        return count
