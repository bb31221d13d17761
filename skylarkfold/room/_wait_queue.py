"""First packets that wait to be let in."""

from __future__ import annotations

import bisect

from skylarkfold.room import _packet
from skylarkfold.room import _transfer


class Waiter:
    """A first packet that waits.

    :param packet: the packet.
    :param size: what a flow of its route brings.
    :param since: when it came.
    :param until: when it has waited for too long.
    """

    __slots__ = ('packet', 'since', 'size', 'until')

    def __init__(
        self,
        packet: _packet.CallerPacket,
        size: _transfer.TransferSize,
        since: float,
        until: float,
    ) -> None:
        self.packet = packet
        self.size = size
        self.since = since
        self.until = until


class Waiting:
    """First packets in the order in which their wait ends.

    So those of one route go in the order in which they came, and the place
    of each only gets better: none is passed over for longer than it may
    wait.
    """

    __slots__ = ('flows', '_queue')

    def __init__(self) -> None:
        self._queue: list[Waiter] = []
        self.flows: set[bytes] = set()

    def __len__(self) -> int:
        return len(self._queue)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self.flows

    @property
    def first(self) -> Waiter:
        """The one whose turn is next; there must be one."""
        return self._queue[0]

    def add(self, waiter: Waiter) -> None:
        """Let a first packet wait.

        :param waiter: the packet.
        """
        bisect.insort_right(self._queue, waiter, key=_get_until)
        self.flows.add(waiter.packet.flow)

    def pop_first(self) -> Waiter:
        """Take out the one whose turn is next; there must be one."""
        waiter = self._queue.pop(0)
        self.flows.discard(waiter.packet.flow)
        return waiter

    def remove(self, flow: bytes) -> None:
        """Take out one that was opened elsewhere.

        :param flow: its flow; nothing happens if it does not wait.
        """
        if flow in self.flows:
            self.flows.discard(flow)
            self._queue = [
                each for each in self._queue if each.packet.flow != flow
            ]

    def sum_before(self, until: float) -> float:
        """Sum what those bring that go before a new one.

        :param until: when its wait would end.
        :returns: bytes.
        """
        return sum(
            each.size.expected for each in self._queue if each.until <= until
        )


def _get_until(waiter: Waiter) -> float:
    return waiter.until
