"""The transfers of bulk routes that are on their way through an instance."""

from __future__ import annotations

from collections.abc import Container

from skylarkfold.room import _debt
from skylarkfold.room import _link
from skylarkfold.room import _packet
from skylarkfold.room import _settings
from skylarkfold.room import _transfer

# Of one without a packet for the time that the link's queue takes and so
# much more, a round trip, nothing is on its way: its caller waits.
_ROUND_TRIP_SECONDS = 0.05
# What comes unasked, on flows that are open, keeps others out for so long.
_MOST_DEBT_SECONDS = 1.0


class Transfers:
    """Learns what flows of each route bring and counts what is on its way.

    Of a route that is not bulk, one flow now and then is looked at; of one
    that is, each flow that brings data is counted until it is answered,
    ends or is silent.

    :param settings: from when on a route is bulk; the window of callers.
    :param bytes_per_second: the link's rate.
    :ivar debt: bytes let in ahead of the rate that bulk may take.
    """

    __slots__ = (
        '_active',
        '_bulk_bytes',
        '_meter',
        '_most_debt',
        '_moving',
        '_quiet_seconds',
        '_sizes',
        '_window_bytes',
        'debt',
    )

    def __init__(
        self, settings: _settings.RoomSettings, bytes_per_second: float
    ) -> None:
        self._bulk_bytes = settings.bulk_seconds * bytes_per_second
        self._window_bytes = settings.window_bytes
        self._quiet_seconds = settings.queue_seconds + _ROUND_TRIP_SECONDS
        self._sizes: dict[bytes, _transfer.TransferSize] = {}
        self._active: dict[bytes, _transfer.Transfer] = {}
        self._meter = _link.LinkMeter(bytes_per_second, settings.link_seconds)
        self.debt = _debt.Debt()
        self._moving = 0
        self._most_debt = _MOST_DEBT_SECONDS * bytes_per_second

    @property
    def on_way(self) -> int:
        """The bytes that may be on their way to this instance."""
        return self._moving * self._window_bytes

    def __len__(self) -> int:
        return len(self._active)

    def keep_routes(self, addresses: Container[bytes]) -> None:
        """Forget routes that are gone.

        :param addresses: those that there are.
        """
        gone = [each for each in self._sizes if each not in addresses]
        for address in gone:
            del self._sizes[address]

    def find_bulk(self, address: bytes) -> _transfer.TransferSize | None:
        """Find what a flow of a bulk route brings.

        :param address: the route's packed address.
        :returns: its size, None where the route is not bulk.
        """
        size = self._sizes.get(address)
        if size is None or not size.is_bulk:
            return None
        return size

    def compute_share(self, now: float) -> float:
        """Compute the share of the link's rate that transfers take.

        :param now: the time.
        :returns: the share, of data alone.
        """
        return self._meter.compute_share(now)

    def begin(
        self, now: float, key: bytes, size: _transfer.TransferSize
    ) -> None:
        """Count a transfer that is let in.

        :param now: the time.
        :param key: its flow.
        :param size: of its route.
        """
        self._end(key)
        transfer = _transfer.Transfer(key, size, now)
        transfer.charged = size.expected
        self.debt.change(size.expected)
        self._active[key] = transfer
        self._moving += 1

    def handle_packet(
        self,
        now: float,
        packet: _packet.CallerPacket,
        address: bytes,
        is_start: bool,
    ) -> None:
        """Take a packet of a flow that is open.

        :param now: the time.
        :param packet: the packet.
        :param address: its route's packed address.
        :param is_start: whether data in it begins a request, as far as is
            known.
        """
        transfer = self._active.get(packet.flow)
        if transfer is None:
            size = self._sizes.get(address)
            # Of most packets nothing is to be learnt.
            if size is None or size.is_bulk or size.follows(now, packet.flow):
                self._take_other(now, packet, address, is_start)
        elif packet.is_last or transfer.is_answered(packet.acknowledged):
            self._end(packet.flow)
            if packet.length and not packet.is_last:
                self._take_other(now, packet, address, True)
        elif packet.length:
            self._take_data(now, transfer, packet)

    def expire(self, now: float, is_short: bool = False) -> None:
        """Count those no more that have gone silent.

        :param now: the time.
        :param is_short: whether the link is full: what is not heard of for
            a moment may wait there.
        """
        for key, transfer in list(self._active.items()):
            if now >= transfer.seen_at + _transfer.SILENT_SECONDS:
                self._end(key, is_lost=True)
            elif not is_short and now >= self._get_quiet(transfer):
                self._set_paused(transfer, True)

    def find_quiet(self) -> float | None:
        """Find when the first transfer that counts would go quiet.

        :returns: the time, None where none counts.
        """
        counting = (
            each for each in self._active.values() if not each.is_paused
        )
        return min(map(self._get_quiet, counting), default=None)

    def _get_quiet(self, transfer: _transfer.Transfer) -> float:
        if transfer.begun is None:
            # Its upstream may still be asked, or another one.
            return transfer.seen_at + _transfer.SILENT_SECONDS
        return transfer.seen_at + self._quiet_seconds

    def _take_other(
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
            _sample(now, size, packet, is_start)
        elif packet.length and not packet.is_last:
            self._join(now, size, packet, is_start)

    def _join(
        self,
        now: float,
        size: _transfer.TransferSize,
        packet: _packet.CallerPacket,
        is_start: bool,
    ) -> None:
        """Count a transfer that was not let in as one."""
        transfer = size.sample
        if transfer is not None and transfer.key == packet.flow:
            size.end_sample(now)
        else:
            transfer = _transfer.Transfer(packet.flow, size, now)
            transfer.is_whole = is_start
        self._active[packet.flow] = transfer
        self._moving += 1
        self._take_data(now, transfer, packet)

    def _take_data(
        self,
        now: float,
        transfer: _transfer.Transfer,
        packet: _packet.CallerPacket,
    ) -> None:
        self._meter.note(now, transfer.take_data(now, packet), 0)
        excess = transfer.brought - transfer.charged
        if excess > 0:
            transfer.charged += excess
            if self.debt.amount < self._most_debt:
                self.debt.change(excess)
        self._set_paused(transfer, transfer.is_tail(packet))

    def _set_paused(
        self, transfer: _transfer.Transfer, is_paused: bool
    ) -> None:
        if transfer.is_paused != is_paused:
            transfer.is_paused = is_paused
            self._moving += -1 if is_paused else 1

    def _end(self, key: bytes, is_lost: bool = False) -> None:
        transfer = self._active.pop(key, None)
        if transfer is None:
            return
        self._set_paused(transfer, True)
        self.debt.change(transfer.brought - transfer.charged)
        # One that went elsewhere brought at least so much.
        is_larger = transfer.brought > transfer.size.mean
        if transfer.is_whole and (is_larger or not is_lost):
            transfer.size.learn(transfer.brought)


def _sample(
    now: float,
    size: _transfer.TransferSize,
    packet: _packet.CallerPacket,
    is_start: bool,
) -> None:
    """Follow one flow of a route that is not bulk, now and then."""
    sample = size.sample
    if sample is None:
        if is_start and packet.length and not packet.is_last:
            size.sample = _transfer.Transfer(packet.flow, size, now)
            size.sample.take_data(now, packet)
    elif sample.key != packet.flow:
        size.end_sample(now)
    elif packet.is_last or sample.is_answered(packet.acknowledged):
        size.learn(sample.brought)
        size.end_sample(now)
    elif packet.length:
        sample.take_data(now, packet)
