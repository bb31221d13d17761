"""Queue of first packets that wait for admission."""

from __future__ import annotations

import bisect

from skylarkfold.room import _packet
from skylarkfold.room import _transfer


class Waiter:
    """A queued first packet.

    :param packet: the packet.
    :param size: the size estimate of its route.
    :param since: when it arrived.
    :param deadline: when it is to be refused.
    """

    __slots__ = (
        'deadline',
        'packet',
        'since',
        'size',
    )

    def __init__(
        self,
        packet: _packet.CallerPacket,
        size: _transfer.TransferSize,
        since: float,
        deadline: float,
    ) -> None:
        self.packet = packet
        self.size = size
        self.since = since
        self.deadline = deadline


class WaitQueue:
    """First packets in the order of their deadlines.

    Those of one route stay in order of arrival, and no packet can be
    overtaken beyond its deadline.

    :ivar flows: the keys of the queued flows.
    """

    __slots__ = ('_queue', 'flows')

    def __init__(self) -> None:
        self._queue: list[Waiter] = []
        self.flows: set[bytes] = set()

    def __len__(self) -> int:
        return len(self._queue)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self.flows

    @property
    def first(self) -> Waiter:
        """The next entry; the queue must not be empty."""
        return self._queue[0]

    def add(self, waiter: Waiter) -> None:
        """Add an entry at its place.

        :param waiter: the entry.
        """
        bisect.insort_right(self._queue, waiter, key=_get_deadline)
        self.flows.add(waiter.packet.flow)

    def pop_first(self) -> Waiter:
        """Remove and return the next entry; there must be one."""
        waiter = self._queue.pop(0)
        self.flows.discard(waiter.packet.flow)
        return waiter

    def remove(self, flow: bytes) -> None:
        """Remove a flow that was opened by another instance.

        :param flow: the flow's key; ignored if it is not queued.
        """
        if flow in self.flows:
            self.flows.discard(flow)
            self._queue = [
                each for each in self._queue if each.packet.flow != flow
            ]

    def sum_expected_until(self, deadline: float) -> float:
        """Sum the expected bytes of the entries ahead of a new one.

        :param deadline: the deadline of the new one.
        :returns: bytes.
        """
        return sum(
            each.size.expected_bytes
            for each in self._queue
            if each.deadline <= deadline
        )


def _get_deadline(waiter: Waiter) -> float:
    return waiter.deadline
