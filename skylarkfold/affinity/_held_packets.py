"""Packets that wait for news of their upstream or route."""

from __future__ import annotations

import collections

from skylarkfold.affinity import _packet

# Callers repeat a packet after 0.2 s; twice that is no loss.
_HELD_SECONDS = 0.4
# At 2 KB a packet, 1 MB.
_HELD_PACKETS = 512


class HeldPackets:
    """Keeps some packets for a moment."""

    __slots__ = ('_waiting',)

    def __init__(self) -> None:
        self._waiting: collections.deque[tuple[float, _packet.Packet]] = (
            collections.deque()
        )

    def add(self, now: float, packet: _packet.Packet) -> bool:
        """Keep a packet.

        :param now: the time.
        :param packet: the packet.
        :returns: whether there was room.
        """
        if len(self._waiting) >= _HELD_PACKETS:
            return False
        self._waiting.append((now + _HELD_SECONDS, packet))
        return True

    def find_due(self) -> float | None:
        """Find when the first of them has waited for too long."""
        return self._waiting[0][0] if self._waiting else None

    def release(self, now: float) -> list[_packet.Packet]:
        """Give all back, to be decided on again.

        :param now: the time.
        :returns: those that have not waited for too long, in order.
        """
        waiting, self._waiting = self._waiting, collections.deque()
        return [packet for until, packet in waiting if now <= until]

    def expire(self, now: float) -> int:
        """Drop those that have waited for too long.

        :param now: the time.
        :returns: how many.
        """
        count = 0
        while self._waiting and self._waiting[0][0] < now:
            self._waiting.popleft()
            count += 1
        return count
