"""Transfers of request bytes, and the estimate of their size by route."""

from __future__ import annotations

from skylarkfold.room import _packet

# Sequence numbers wrap around at this value.
_MODULUS = 1 << 32
_HALF_MODULUS = 1 << 31
# Callers retransmit after 0.2 s, then 0.4 s; a transfer without a packet for
# this long has moved to another instance or its caller is gone.
SILENT_SECONDS = 1.0
# Transfers of a route that must have ended before its mean is used, so that a
# single unusual request doesn't decide.
_MIN_SAMPLES = 3
# Before that, one transfer makes a route bulk if it exceeds the limit by this
# factor.
_LARGE_TRANSFER_FACTOR = 4.0
# Pause between samples of a route that is not bulk.
_SAMPLE_INTERVAL_SECONDS = 0.5
# Least weight of a new size in the moving average; the first sizes get more.
_MIN_MEAN_WEIGHT = 0.05


class TransferSize:
    """Estimate of the request size of a route.

    :param bulk_bytes: the mean size above which a route is bulk.
    :ivar is_bulk: whether the route is bulk.
    :ivar mean: the mean bytes of the transfers that have ended.
    :ivar sample: the transfer that is measured while the route is not bulk.
    :ivar next_sample_at: when the next one may be measured.
    :ivar largest_partial_bytes: the most bytes of an open transfer, kept
        while few have ended.
    """

    __slots__ = (
        '_bulk_bytes',
        '_count',
        'is_bulk',
        'largest_partial_bytes',
        'mean',
        'next_sample_at',
        'sample',
    )

    def __init__(self, bulk_bytes: float) -> None:
        self._bulk_bytes = bulk_bytes
        self.is_bulk = False
        self.mean = 0.0
        self.largest_partial_bytes = 0
        self._count = 0
        self.sample: Transfer | None = None
        self.next_sample_at = float('-inf')

    @property
    def has_enough_samples(self) -> bool:
        """Whether enough transfers have ended for the mean to be used."""
        return self._count >= _MIN_SAMPLES

    @property
    def expected_bytes(self) -> float:
        """The expected bytes of a new transfer."""
        return (
            self.mean
            if self.has_enough_samples
            else max(self.mean, self.largest_partial_bytes)
        )

    def learn(self, received_bytes: int) -> None:
        """Add the size of a transfer that was seen from start to end.

        :param received_bytes: its bytes.
        """
        self._count += 1
        weight = max(_MIN_MEAN_WEIGHT, 1 / self._count)
        self.mean += weight * (received_bytes - self.mean)
        if self.has_enough_samples:
            self.is_bulk = self.mean > self._bulk_bytes

    def record_partial(self, received_bytes: int) -> None:
        """Record the bytes of a transfer that has not ended.

        :param received_bytes: its bytes so far.
        """
        if (
            not self.has_enough_samples
            and received_bytes > self.largest_partial_bytes
        ):
            self.largest_partial_bytes = received_bytes
            self.is_bulk = (
                self.expected_bytes > _LARGE_TRANSFER_FACTOR * self._bulk_bytes
            )

    def may_sample(self, now: float, key: bytes) -> bool:
        """Tell whether a packet is of interest for the estimate.

        :param now: the time.
        :param key: the key of its flow.
        :returns: whether its flow is being measured, or a new measurement
            may begin.
        """
        sample = self.sample
        if sample is None:
            return now >= self.next_sample_at
        return (
            sample.key == key or now >= sample.last_packet_at + SILENT_SECONDS
        )

    def stop_sampling(self, now: float) -> None:
        """Stop measuring the present sample.

        :param now: the time.
        """
        self.sample = None
        self.next_sample_at = now
        if self.has_enough_samples:
            self.next_sample_at += _SAMPLE_INTERVAL_SECONDS


class Transfer:
    """The bytes of one request that pass through this instance.

    :param key: the key of its flow.
    :param size: the estimate of its route.
    :param now: the time.
    :ivar first_sequence: the sequence number of its first byte; None before
        the first data.
    :ivar acknowledged: what its caller had acknowledged with the first data.
    :ivar received_bytes: the bytes received.
    :ivar has_start: whether its first byte was received here.
    :ivar is_paused: whether no data of it is known to be in flight.
    :ivar charged_bytes: the bytes added to the debt for it.
    :ivar last_packet_at: when its last packet arrived.
    """

    __slots__ = (
        '_longest_length',
        'acknowledged',
        'charged_bytes',
        'first_sequence',
        'has_start',
        'is_paused',
        'key',
        'last_packet_at',
        'received_bytes',
        'size',
    )

    def __init__(self, key: bytes, size: TransferSize, now: float) -> None:
        self.key = key
        self.size = size
        self.last_packet_at = now
        self.first_sequence: int | None = None
        self.acknowledged = 0
        self.received_bytes = 0
        self.has_start = True
        self.is_paused = False
        self.charged_bytes = 0.0
        self._longest_length = 0

    def record_data(self, now: float, packet: _packet.CallerPacket) -> int:
        """Record a packet with data.

        :param now: the time.
        :param packet: the packet.
        :returns: the number of new bytes.
        """
        self.last_packet_at = now
        previous_bytes = self.received_bytes
        if self.first_sequence is None:
            self.first_sequence = packet.sequence
            self.acknowledged = packet.acknowledged
        offset = (packet.sequence - self.first_sequence) % _MODULUS
        if offset < _HALF_MODULUS:
            self.received_bytes = max(previous_bytes, offset + packet.length)
        self._longest_length = max(self._longest_length, packet.length)
        self.size.record_partial(self.received_bytes)
        return self.received_bytes - previous_bytes

    def is_final_segment(self, packet: _packet.CallerPacket) -> bool:
        """Tell whether a packet is the last one with data of the transfer.

        :param packet: a recorded packet.
        :returns: whether it is shorter than others; senders fill all packets
            but the last.
        """
        return packet.length < self._longest_length

    def is_answered(self, acknowledged: int) -> bool:
        """Tell whether the request has been answered.

        :param acknowledged: the caller's present acknowledgement.
        :returns: whether it is beyond that at the start of the transfer.
        """
        if self.first_sequence is None:
            return False
        return (
            0 < (acknowledged - self.acknowledged) % _MODULUS < _HALF_MODULUS
        )
