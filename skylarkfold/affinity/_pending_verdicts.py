"""Packets of open flows whose route is not known, held for a verdict."""

from __future__ import annotations

from skylarkfold.affinity import _packet

# The store answers in 4 ms, a slow one in 60 times as long; callers repeat a
# packet after 0.2 s.
HELD_SECONDS = 0.4
# 1 MB at 2 KB a packet.
_MAXIMUM_PACKETS = 512


class PendingVerdicts:
    """A bounded set of packets, in order of arrival within each flow."""

    __slots__ = ('_by_flow', '_count')

    def __init__(self) -> None:
        self._by_flow: dict[bytes, list[_packet.Packet]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._by_flow

    def add(self, packet: _packet.Packet) -> bool:
        """Hold a packet.

        :param packet: the packet.
        :returns: whether there was room for it.
        """
        if self._count >= _MAXIMUM_PACKETS:
            return False
        self._by_flow.setdefault(packet.flow, []).append(packet)
        self._count += 1
        return True

    def take(self, flow: bytes) -> list[_packet.Packet]:
        """Remove the packets of a flow.

        :param flow: the packed flow.
        :returns: its packets, in order; none if none is held.
        """
        packets = self._by_flow.pop(flow, [])
        self._count -= len(packets)
        return packets

    def list_flows(self) -> list[bytes]:
        """Return the flows that have packets held.

        :returns: the packed flows.
        """
        return list(self._by_flow)
