"""Which first packets of bulk routes are let in, wait or are refused."""

from __future__ import annotations

from collections.abc import Container

from skylarkfold.room import _headroom
from skylarkfold.room import _packet
from skylarkfold.room import _settings
from skylarkfold.room import _transfer
from skylarkfold.room import _transfer_tracker
from skylarkfold.room import _wait_queue

# How long its caller has waited when it sends a copy of a first packet: the
# first one, and all later ones.
_COPY_AGES = (0.0, 0.2, 0.6)
# Whatever is set: what takes for ever is not to be estimated.
_LEAST_SHARE = 0.01
# What a packet of 1,200 bytes of data takes of the link for each byte.
_OVERHEAD = 1.06


class BulkDecision:
    """What becomes of a first packet that is not let in at once.

    :param outcome: one of the constants.
    :param on_way: bytes of bulk that may be on their way to this instance.
    :param waiting: first packets that wait.
    :param link_share: the share of the link's rate that is in use.
    :param wait_seconds: how long it is expected to wait.
    :param limit_seconds: how long it may wait.
    """

    WAITS = 'waits'
    REPEATED = 'repeated'
    REFUSED = 'refused'

    __slots__ = (
        'limit_seconds',
        'link_share',
        'on_way',
        'outcome',
        'wait_seconds',
        'waiting',
    )

    def __init__(
        self,
        outcome: str,
        on_way: int,
        waiting: int,
        link_share: float,
        wait_seconds: float,
        limit_seconds: float,
    ) -> None:
        self.outcome = outcome
        self.on_way = on_way
        self.waiting = waiting
        self.link_share = link_share
        self.wait_seconds = wait_seconds
        self.limit_seconds = limit_seconds


class BulkAdmission:
    """Lets bulk in as far as the instance's link has room for it.

    Callers don't slow down where a link is full, so what is let in decides
    how long everybody else waits behind it. Two bounds: what may be on its
    way at once, and the share of the link that bulk takes in the mean.

    :param settings: the limits.
    :param room: the instance's own; the rate of its link is known.
    :ivar transfers: what is on its way.
    """

    __slots__ = ('_queue_bytes', '_room', '_settings', '_waiting', 'transfers')

    def __init__(
        self,
        settings: _settings.RoomSettings,
        room: _headroom.InstanceHeadroom,
    ) -> None:
        self._settings = settings
        self._room = room
        self._queue_bytes = settings.queue_seconds * room.bytes_per_second
        self._waiting = _wait_queue.Waiting()
        self.transfers = _transfer_tracker.Transfers(
            settings, room.bytes_per_second
        )

    @property
    def waiting_count(self) -> int:
        """How many first packets wait."""
        return len(self._waiting)

    def keep_routes(self, addresses: Container[bytes]) -> None:
        """Forget routes that are gone.

        :param addresses: those that there are.
        """
        self.transfers.keep_routes(addresses)

    def is_waiting(self, flow: bytes) -> bool:
        """Tell whether the first packet of a flow waits.

        :param flow: the flow's key.
        :returns: whether it does.
        """
        return flow in self._waiting

    def decide(
        self, now: float, packet: _packet.CallerPacket, aim_seconds: float
    ) -> BulkDecision | None:
        """Decide on a first packet of a route without preference.

        :param now: the time.
        :param packet: the packet.
        :param aim_seconds: how soon its route's requests want to be
            answered; 0 where that is not said.
        :returns: None to let it in, which :meth:`begin` is to be told.
        """
        if packet.flow in self._waiting:
            return self._describe(now, BulkDecision.REPEATED, 0.0, 0.0)
        size = self.transfers.find_bulk(packet.address)
        if size is None:
            return None
        self._settle(now)
        if not self._waiting and self._fits(size):
            return None
        copies = min(packet.acknowledged, len(_COPY_AGES) - 1)
        limit = self._compute_limit(aim_seconds) - _COPY_AGES[copies]
        wait = self._estimate_wait(now, size, now + limit)
        is_full = len(self._waiting) >= self._settings.wait_limit
        if wait > limit or is_full:
            return self._describe(now, BulkDecision.REFUSED, wait, limit)
        verdict = self._describe(now, BulkDecision.WAITS, wait, limit)
        self._waiting.add(_wait_queue.Waiter(packet, size, now, now + limit))
        return verdict

    def begin(self, now: float, packet: _packet.CallerPacket) -> None:
        """Count a first packet that was let in and sent to an upstream.

        :param now: the time.
        :param packet: the packet.
        """
        size = self.transfers.find_bulk(packet.address)
        if size is not None:
            self.transfers.begin(now, packet.flow, size)

    def handle_packet(
        self,
        now: float,
        packet: _packet.CallerPacket,
        address: bytes,
        is_start: bool,
    ) -> None:
        """Take a packet of an open flow.

        :param now: the time.
        :param packet: the packet.
        :param address: its route's packed address.
        :param is_start: whether data in it begins a request, as far as is
            known.
        """
        if self._waiting.flows:
            self._waiting.remove(packet.flow)
        self.transfers.handle_packet(now, packet, address, is_start)

    def pop_ready(self, now: float) -> _wait_queue.Waiter | None:
        """Take out the next first packet that is let in.

        :param now: the time.
        :returns: the packet, of which :meth:`begin` is to be told; None
            where the next one has to wait.
        """
        self._settle(now)
        if not self._waiting or not self._fits(self._waiting.first.size):
            return None
        return self._waiting.pop_first()

    def pop_late(self, now: float) -> _wait_queue.Waiter | None:
        """Take out the next first packet that has waited for too long.

        :param now: the time.
        :returns: the packet, None where there is none.
        """
        if not self._waiting or self._waiting.first.until > now:
            return None
        return self._waiting.pop_first()

    def describe(self, now: float, waiter: _wait_queue.Waiter) -> BulkDecision:
        """Tell why one that has waited is refused.

        :param now: the time.
        :param waiter: the packet.
        :returns: the verdict.
        """
        waited = now - waiter.since
        limit = waiter.until - waiter.since
        return self._describe(now, BulkDecision.REFUSED, waited, limit)

    def find_due(self, now: float) -> float | None:
        """Find when the next one that waits may be let in or is late.

        :param now: the time.
        :returns: the time, None where none waits.
        """
        if not self._waiting:
            return None
        first = self._waiting.first
        due = now + self._compute_payment(now, first.size)
        if not self._has_queue():
            due = max(due, self.transfers.find_quiet() or due)
        return min(due, first.until)

    def _settle(self, now: float) -> None:
        self.transfers.expire(now, self._room.is_short(now))
        self.transfers.debt.pay(now, self._compute_rate(now))

    def _fits(self, size: _transfer.TransferSize) -> bool:
        return self._has_queue() and not self._compute_excess(size)

    def _has_queue(self) -> bool:
        """Tell whether one more would be on its way without delay."""
        on_way = self.transfers.on_way
        window = self._settings.window_bytes
        return not on_way or on_way + window <= self._queue_bytes

    def _compute_excess(self, size: _transfer.TransferSize) -> float:
        """Compute the bytes that the rate has to bear before one more."""
        debt = self.transfers.debt.amount
        return max(0.0, debt - max(0.0, self._queue_bytes - size.expected))

    def _compute_payment(
        self, now: float, size: _transfer.TransferSize
    ) -> float:
        return self._compute_excess(size) / self._compute_rate(now)

    def _compute_rate(self, now: float) -> float:
        """Compute the bytes a second that bulk may take."""
        settings = self._settings
        link_rate = self._room.bytes_per_second
        used = self._room.compute_link_share(now)
        own = _OVERHEAD * self.transfers.compute_share(now)
        free = settings.link_share - max(0.0, used - own)
        least = max(settings.bulk_least_share, _LEAST_SHARE)
        share = max(least, min(settings.bulk_share, free))
        return share * link_rate / _OVERHEAD

    def _compute_limit(self, aim_seconds: float) -> float:
        settings = self._settings
        if not aim_seconds:
            return settings.wait_seconds
        return min(settings.wait_seconds, settings.wait_share * aim_seconds)

    def _estimate_wait(
        self, now: float, size: _transfer.TransferSize, until: float
    ) -> float:
        """Estimate how long one more would wait."""
        before = self._waiting.sum_before(until)
        rate = self._compute_rate(now)
        by_share = (self._compute_excess(size) + before) / rate
        if self._has_queue() and not before:
            return by_share
        least = max(self._settings.bulk_least_share, _LEAST_SHARE)
        share = max(self.transfers.compute_share(now), least)
        seen = share * self._room.bytes_per_second
        ahead = self.transfers.on_way + before
        ahead += self._settings.window_bytes - self._queue_bytes
        return max(by_share, ahead / seen)

    def _describe(
        self, now: float, outcome: str, wait: float, limit: float
    ) -> BulkDecision:
        return BulkDecision(
            outcome,
            self.transfers.on_way,
            len(self._waiting),
            self._room.compute_link_share(now),
            wait,
            limit,
        )
