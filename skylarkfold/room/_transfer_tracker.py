"""Tracking of the bulk transfers that pass through an instance."""

from __future__ import annotations

from collections.abc import Container

from skylarkfold.room import _debt
from skylarkfold.room import _link
from skylarkfold.room import _packet
from skylarkfold.room import _settings
from skylarkfold.room import _transfer

# A transfer without a packet for the link's queueing time and a round trip has
# no data in flight: its caller is waiting.
_ROUND_TRIP_SECONDS = 0.05
# Link time of the debt up to which data on open flows that was not admitted
# is charged; it would delay the admission of others for longer.
_MAX_DEBT_SECONDS = 1.0


class TransferTracker:
    """Estimates the request size of each route and counts bytes in flight.

    Routes that are not bulk are sampled, one flow now and then. On bulk
    routes each flow with data is tracked until it is answered, closed or
    silent.

    :param settings: the limit for bulk routes and the window of callers.
    :param bytes_per_second: the link's rate.
    :ivar debt: bytes admitted in excess of the rate that bulk may take.
    """

    __slots__ = (
        '_active',
        '_bulk_bytes',
        '_debt_limit',
        '_in_flight_count',
        '_meter',
        '_pause_seconds',
        '_sizes',
        '_window_bytes',
        'debt',
    )

    def __init__(
        self, settings: _settings.RoomSettings, bytes_per_second: float
    ) -> None:
        self._bulk_bytes = settings.bulk_seconds * bytes_per_second
        self._window_bytes = settings.window_bytes
        self._pause_seconds = settings.queue_seconds + _ROUND_TRIP_SECONDS
        self._sizes: dict[bytes, _transfer.TransferSize] = {}
        self._active: dict[bytes, _transfer.Transfer] = {}
        self._meter = _link.LinkMeter(bytes_per_second, settings.link_seconds)
        self.debt = _debt.ByteDebt()
        self._in_flight_count = 0
        self._debt_limit = _MAX_DEBT_SECONDS * bytes_per_second

    @property
    def on_way(self) -> int:
        """The bytes that may be in flight to this instance."""
        return self._in_flight_count * self._window_bytes

    def __len__(self) -> int:
        return len(self._active)

    def keep_routes(self, addresses: Container[bytes]) -> None:
        """Drop the state of routes that no longer exist.

        :param addresses: the packed addresses of the existing routes.
        """
        gone = [each for each in self._sizes if each not in addresses]
        for address in gone:
            del self._sizes[address]

    def find_bulk(self, address: bytes) -> _transfer.TransferSize | None:
        """Find the size estimate of a bulk route.

        :param address: the route's packed address.
        :returns: the estimate; None if the route is not bulk.
        """
        size = self._sizes.get(address)
        if size is None or not size.is_bulk:
            return None
        return size

    def compute_share(self, now: float) -> float:
        """Compute the share of the link's rate that tracked transfers take.

        :param now: the time.
        :returns: the share, without packet headers.
        """
        return self._meter.compute_share(now)

    def begin(
        self, now: float, key: bytes, size: _transfer.TransferSize
    ) -> None:
        """Track a transfer that is admitted.

        :param now: the time.
        :param key: the key of its flow.
        :param size: the size estimate of its route.
        """
        self._end(key)
        transfer = _transfer.Transfer(key, size, now)
        transfer.charged_bytes = size.expected_bytes
        self.debt.adjust(size.expected_bytes)
        self._active[key] = transfer
        self._in_flight_count += 1

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
        transfer = self._active.get(packet.flow)
        if transfer is None:
            size = self._sizes.get(address)
            # Most packets are neither bulk nor part of a sample.
            if (
                size is None
                or size.is_bulk
                or size.may_sample(now, packet.flow)
            ):
                self._handle_untracked(now, packet, address, is_start)
        elif packet.is_last or transfer.is_answered(packet.acknowledged):
            self._end(packet.flow)
            if packet.length and not packet.is_last:
                self._handle_untracked(now, packet, address, True)
        elif packet.length:
            self._record_data(now, transfer, packet)

    def expire(self, now: float, is_short: bool = False) -> None:
        """Drop silent transfers, and mark those without data as paused.

        :param now: the time.
        :param is_short: whether the instance lacks headroom; packets may then
            be queued on the link, so no transfer is marked as paused.
        """
        for key, transfer in list(self._active.items()):
            if now >= transfer.last_packet_at + _transfer.SILENT_SECONDS:
                self._end(key, is_lost=True)
            elif not is_short and now >= self._compute_pause_time(transfer):
                self._set_paused(transfer, True)

    def find_next_pause(self) -> float | None:
        """Find when the first transfer in flight would count as paused.

        :returns: the time; None if none is in flight.
        """
        in_flight = (
            each for each in self._active.values() if not each.is_paused
        )
        return min(map(self._compute_pause_time, in_flight), default=None)

    def _compute_pause_time(self, transfer: _transfer.Transfer) -> float:
        if transfer.first_sequence is None:
            # The flow may not be opened yet, at this upstream or another.
            return transfer.last_packet_at + _transfer.SILENT_SECONDS
        return transfer.last_packet_at + self._pause_seconds

    def _handle_untracked(
        self,
        now: float,
        packet: _packet.CallerPacket,
        address: bytes,
        is_start: bool,
    ) -> None:
        size = self._sizes.get(address)
        if size is None:
            if not packet.length:
                return
            size = _transfer.TransferSize(self._bulk_bytes)
            self._sizes[address] = size
        if not size.is_bulk:
            _update_sample(now, size, packet, is_start)
        elif packet.length and not packet.is_last:
            self._start_tracking(now, size, packet, is_start)

    def _start_tracking(
        self,
        now: float,
        size: _transfer.TransferSize,
        packet: _packet.CallerPacket,
        is_start: bool,
    ) -> None:
        """Track a transfer that did not pass admission."""
        transfer = size.sample
        if transfer is not None and transfer.key == packet.flow:
            size.stop_sampling(now)
        else:
            transfer = _transfer.Transfer(packet.flow, size, now)
            transfer.has_start = is_start
        self._active[packet.flow] = transfer
        self._in_flight_count += 1
        self._record_data(now, transfer, packet)

    def _record_data(
        self,
        now: float,
        transfer: _transfer.Transfer,
        packet: _packet.CallerPacket,
    ) -> None:
        self._meter.note(now, transfer.record_data(now, packet), 0)
        excess = transfer.received_bytes - transfer.charged_bytes
        if excess > 0:
            transfer.charged_bytes += excess
            if self.debt.amount < self._debt_limit:
                self.debt.adjust(excess)
        self._set_paused(transfer, transfer.is_final_segment(packet))

    def _set_paused(
        self, transfer: _transfer.Transfer, is_paused: bool
    ) -> None:
        if transfer.is_paused != is_paused:
            transfer.is_paused = is_paused
            self._in_flight_count += -1 if is_paused else 1

    def _end(self, key: bytes, is_lost: bool = False) -> None:
        transfer = self._active.pop(key, None)
        if transfer is None:
            return
        self._set_paused(transfer, True)
        self.debt.adjust(transfer.received_bytes - transfer.charged_bytes)
        # A transfer that moved to another instance had at least these bytes.
        is_larger = transfer.received_bytes > transfer.size.mean
        if transfer.has_start and (is_larger or not is_lost):
            transfer.size.learn(transfer.received_bytes)


def _update_sample(
    now: float,
    size: _transfer.TransferSize,
    packet: _packet.CallerPacket,
    is_start: bool,
) -> None:
    """Measure one flow now and then of a route that is not bulk."""
    sample = size.sample
    if sample is None:
        if is_start and packet.length and not packet.is_last:
            size.sample = _transfer.Transfer(packet.flow, size, now)
            size.sample.record_data(now, packet)
    elif sample.key != packet.flow:
        size.stop_sampling(now)
    elif packet.is_last or sample.is_answered(packet.acknowledged):
        size.learn(sample.received_bytes)
        size.stop_sampling(now)
    elif packet.length:
        sample.record_data(now, packet)
