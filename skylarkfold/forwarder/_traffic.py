"""Counts what goes through the instance's link."""

from __future__ import annotations

from skylarkfold import room as rooms

# Of IP and UDP, which a link carries beside each packet's bytes.
_HEADER_BYTES = 28


class LinkCount:
    """Adds up packets and notes them now and then, not one by one.

    :param room: told of the sums.
    """

    __slots__ = ('_received', '_room', '_sent')

    def __init__(self, room: rooms.InstanceHeadroom) -> None:
        self._room = room
        self._received = 0
        self._sent = 0

    def count_received(self, size: int) -> None:
        """Count a packet that came.

        :param size: its bytes.
        """
        self._received += size + _HEADER_BYTES

    def count_sent(self, size: int) -> None:
        """Count a packet that was sent.

        :param size: its bytes.
        """
        self._sent += size + _HEADER_BYTES

    def note(self, now: float) -> None:
        """Note what has gone through since this was last called.

        :param now: the time.
        """
        if self._received or self._sent:
            self._room.record_traffic(now, self._received, self._sent)
            self._received = self._sent = 0
