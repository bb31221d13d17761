"""Admission control for the first packets of bulk routes."""

from __future__ import annotations

from collections.abc import Container

from skylarkfold.room import _headroom
from skylarkfold.room import _packet
from skylarkfold.room import _settings
from skylarkfold.room import _transfer
from skylarkfold.room import _transfer_tracker
from skylarkfold.room import _wait_queue

# Seconds that a caller has already waited when it sends a first packet, its
# first retransmission, and any later one.
_RETRANSMIT_AGES = (0.0, 0.2, 0.6)
# Lower bound for any settings, to keep the estimated waits finite.
_MIN_BULK_SHARE = 0.01
# Bytes on the link per byte of data, in packets with 1,200 bytes of data.
_HEADER_OVERHEAD = 1.06


class BulkDecision:
    """The decision on a first packet that is not admitted at once.

    :param outcome: ``WAITS`` if it was queued, ``REPEATED`` if it is a copy
        of one in the queue, or ``REFUSED``.
    :param on_way: bulk bytes that may be in flight to this instance.
    :param waiting: the number of queued first packets.
    :param link_share: the share of the link's rate that is in use.
    :param wait_seconds: the expected wait, or the actual one if it ended.
    :param limit_seconds: the longest wait allowed.
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
    """Admits bulk transfers as far as the instance's link has capacity.

    Callers have no congestion control, so the admitted bytes decide how long
    all other traffic queues on the link. Two limits apply: the bulk bytes in
    flight at once, and the average share of the link that bulk takes.

    :param settings: the limits.
    :param headroom: the instance's link, whose rate must be known.
    :ivar transfers: the admitted transfers.
    """

    __slots__ = (
        '_headroom',
        '_queue_bytes',
        '_settings',
        '_waiting',
        'transfers',
    )

    def __init__(
        self,
        settings: _settings.RoomSettings,
        headroom: _headroom.InstanceHeadroom,
    ) -> None:
        self._settings = settings
        self._headroom = headroom
        self._queue_bytes = settings.queue_seconds * headroom.bytes_per_second
        self._waiting = _wait_queue.WaitQueue()
        self.transfers = _transfer_tracker.TransferTracker(
            settings, headroom.bytes_per_second
        )

    @property
    def waiting_count(self) -> int:
        """The number of queued first packets."""
        return len(self._waiting)

    def keep_routes(self, addresses: Container[bytes]) -> None:
        """Drop the state of routes that no longer exist.

        :param addresses: the packed addresses of the existing routes.
        """
        self.transfers.keep_routes(addresses)

    def is_waiting(self, flow: bytes) -> bool:
        """Tell whether the first packet of a flow is queued.

        :param flow: the flow's key.
        :returns: whether it is.
        """
        return flow in self._waiting

    def decide(
        self, now: float, packet: _packet.CallerPacket, aim_seconds: float
    ) -> BulkDecision | None:
        """Decide whether to admit the first packet of a flow, or queue it.

        Routes with preferred traffic are not to be passed here.

        :param now: the time.
        :param packet: the packet.
        :param aim_seconds: the target response time of its route; 0 for
            none.
        :returns: None to admit it; the caller then has to call
            :meth:`begin`.
        """
        if packet.flow in self._waiting:
            return self._build_decision(now, BulkDecision.REPEATED, 0.0, 0.0)
        size = self.transfers.find_bulk(packet.address)
        if size is None:
            return None
        self._update(now)
        if not self._waiting and self._can_admit(size):
            return None
        attempt = min(packet.acknowledged, len(_RETRANSMIT_AGES) - 1)
        limit = (
            self._compute_wait_limit(aim_seconds) - _RETRANSMIT_AGES[attempt]
        )
        wait = self._estimate_wait(now, size, now + limit)
        is_full = len(self._waiting) >= self._settings.wait_limit
        if wait > limit or is_full:
            return self._build_decision(now, BulkDecision.REFUSED, wait, limit)
        decision = self._build_decision(now, BulkDecision.WAITS, wait, limit)
        self._waiting.add(_wait_queue.Waiter(packet, size, now, now + limit))
        return decision

    def begin(self, now: float, packet: _packet.CallerPacket) -> None:
        """Record a first packet that was admitted and sent to an upstream.

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
        """Record a packet of an open flow.

        :param now: the time.
        :param packet: the packet.
        :param address: its route's packed address.
        :param is_start: whether its data is known to begin a request.
        """
        if self._waiting.flows:
            self._waiting.remove(packet.flow)
        self.transfers.handle_packet(now, packet, address, is_start)

    def pop_ready(self, now: float) -> _wait_queue.Waiter | None:
        """Remove the next queued packet if it can be admitted now.

        :param now: the time.
        :returns: the entry, for whose packet the caller has to call
            :meth:`begin`; None if the next one has to wait.
        """
        self._update(now)
        if not self._waiting or not self._can_admit(self._waiting.first.size):
            return None
        return self._waiting.pop_first()

    def pop_late(self, now: float) -> _wait_queue.Waiter | None:
        """Remove the next queued packet whose wait limit has passed.

        :param now: the time.
        :returns: the entry, or None.
        """
        if not self._waiting or self._waiting.first.deadline > now:
            return None
        return self._waiting.pop_first()

    def describe(self, now: float, waiter: _wait_queue.Waiter) -> BulkDecision:
        """Return the refusal of a packet whose wait limit has passed.

        :param now: the time.
        :param waiter: the entry of the packet.
        :returns: the decision.
        """
        waited = now - waiter.since
        limit = waiter.deadline - waiter.since
        return self._build_decision(now, BulkDecision.REFUSED, waited, limit)

    def find_due(self, now: float) -> float | None:
        """Find when the next queued packet may be admitted or expires.

        :param now: the time.
        :returns: the time, or None if the queue is empty.
        """
        if not self._waiting:
            return None
        first = self._waiting.first
        due = now + self._compute_admission_delay(now, first.size)
        if not self._has_queue_space():
            due = max(due, self.transfers.find_next_pause() or due)
        return min(due, first.deadline)

    def _update(self, now: float) -> None:
        self.transfers.expire(now, self._headroom.is_short(now))
        self.transfers.debt.pay_down(now, self._compute_bulk_rate(now))

    def _can_admit(self, size: _transfer.TransferSize) -> bool:
        return self._has_queue_space() and not self._compute_excess(size)

    def _has_queue_space(self) -> bool:
        """Tell whether the link can queue the window of one more transfer."""
        on_way = self.transfers.on_way
        window = self._settings.window_bytes
        return not on_way or on_way + window <= self._queue_bytes

    def _compute_excess(self, size: _transfer.TransferSize) -> float:
        """Compute the debt that must be paid down before one more."""
        debt = self.transfers.debt.amount
        return max(
            0.0, debt - max(0.0, self._queue_bytes - size.expected_bytes)
        )

    def _compute_admission_delay(
        self, now: float, size: _transfer.TransferSize
    ) -> float:
        return self._compute_excess(size) / self._compute_bulk_rate(now)

    def _compute_bulk_rate(self, now: float) -> float:
        """Compute the bytes per second that bulk may take."""
        settings = self._settings
        link_rate = self._headroom.bytes_per_second
        used = self._headroom.compute_link_share(now)
        bulk_share = _HEADER_OVERHEAD * self.transfers.compute_share(now)
        free = settings.link_share - max(0.0, used - bulk_share)
        min_share = max(settings.bulk_least_share, _MIN_BULK_SHARE)
        share = max(min_share, min(settings.bulk_share, free))
        return share * link_rate / _HEADER_OVERHEAD

    def _compute_wait_limit(self, aim_seconds: float) -> float:
        settings = self._settings
        if not aim_seconds:
            return settings.wait_seconds
        return min(settings.wait_seconds, settings.wait_share * aim_seconds)

    def _estimate_wait(
        self, now: float, size: _transfer.TransferSize, deadline: float
    ) -> float:
        """Estimate how long one more transfer would wait."""
        queued_bytes = self._waiting.sum_expected_until(deadline)
        rate = self._compute_bulk_rate(now)
        rate_wait = (self._compute_excess(size) + queued_bytes) / rate
        if self._has_queue_space() and not queued_bytes:
            return rate_wait
        min_share = max(self._settings.bulk_least_share, _MIN_BULK_SHARE)
        share = max(self.transfers.compute_share(now), min_share)
        measured_rate = share * self._headroom.bytes_per_second
        bytes_ahead = self.transfers.on_way + queued_bytes
        bytes_ahead += self._settings.window_bytes - self._queue_bytes
        return max(rate_wait, bytes_ahead / measured_rate)

    def _build_decision(
        self, now: float, outcome: str, wait: float, limit: float
    ) -> BulkDecision:
        return BulkDecision(
            outcome,
            self.transfers.on_way,
            len(self._waiting),
            self._headroom.compute_link_share(now),
            wait,
            limit,
        )
