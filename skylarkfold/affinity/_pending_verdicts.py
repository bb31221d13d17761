"""Packets of open flows whose route is not known, held for a verdict."""

from __future__ import annotations

import collections

from skylarkfold.affinity import _packet

# The store answers in 4 ms, a slow one in 60 times as long; callers repeat a
# packet after 0.2 s.
HELD_SECONDS = 0.4
# 1 MB at 2 KB a packet.
_MAXIMUM_PACKETS = 512


class PendingVerdicts:
    """A bounded queue of packets, in order of arrival."""

    __slots__ = ('_packets',)

    def __init__(self) -> None:
        self._packets: collections.deque[_packet.Packet] = collections.deque()

    def __len__(self) -> int:
        return len(self._packets)

    def add(self, packet: _packet.Packet) -> bool:
        """Hold a packet.

        :param packet: the packet.
        :returns: whether there was room for it.
        """
        if len(self._packets) >= _MAXIMUM_PACKETS:
            return False
        self._packets.append(packet)
        return True

    def take_all(self) -> list[_packet.Packet]:
        """Remove all packets.

        :returns: the packets, in order.
        """
        held, self._packets = self._packets, collections.deque()
        return list(held)
