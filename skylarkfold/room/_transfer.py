"""What a caller brings at once: learnt for each route, seen for each flow."""

from __future__ import annotations

from skylarkfold.room import _packet

# Sequence numbers wrap around at this.
_MODULUS = 1 << 32
_HALF = 1 << 31
# A transfer without a packet for so long has moved to another instance or
# lost its caller: callers repeat a packet after 0.2 s, then 0.4 s.
SILENT_SECONDS = 1.0
# Before so many transfers of a route have ended, nothing is said of it: one
# odd request would decide.
_LEAST_COUNT = 3
# Before that, one that brings so many times what makes a route bulk is enough.
_PROOF_FACTOR = 4.0
# How often a route that is not bulk is looked at again.
_SAMPLE_PAUSE_SECONDS = 0.5
# A step of the mean towards each new size, as a part of the difference; the
# first ones are larger.
_STEP = 0.05


class TransferSize:
    """How many bytes callers of a route bring before they are answered.

    :param bulk_bytes: from how many on a route is bulk.
    :ivar is_bulk: whether its callers bring so many.
    :ivar mean: bytes, in the mean of those that have ended.
    :ivar sample: the one that is followed while the route is not bulk.
    :ivar sample_due: when the next one may be followed.
    :ivar most: bytes that one under way has brought, the most of them,
        while few have ended.
    """

    __slots__ = (
        '_bulk_bytes',
        '_count',
        'is_bulk',
        'mean',
        'most',
        'sample',
        'sample_due',
    )

    def __init__(self, bulk_bytes: float) -> None:
        self._bulk_bytes = bulk_bytes
        self.is_bulk = False
        self.mean = 0.0
        self.most = 0
        self._count = 0
        self.sample: Transfer | None = None
        self.sample_due = float('-inf')

    @property
    def is_known(self) -> bool:
        """Whether enough transfers were seen."""
        return self._count >= _LEAST_COUNT

    @property
    def expected(self) -> float:
        """The bytes that a new one is expected to bring."""
        return self.mean if self.is_known else max(self.mean, self.most)

    def learn(self, brought: int) -> None:
        """Take the size of a transfer that was seen from begin to end.

        :param brought: bytes.
        """
        self._count += 1
        step = max(_STEP, 1 / self._count)
        self.mean += step * (brought - self.mean)
        if self.is_known:
            self.is_bulk = self.mean > self._bulk_bytes

    def note_under_way(self, brought: int) -> None:
        """Take what a transfer that has not ended has brought so far.

        :param brought: bytes.
        """
        if not self.is_known and brought > self.most:
            self.most = brought
            self.is_bulk = self.expected > _PROOF_FACTOR * self._bulk_bytes

    def follows(self, now: float, key: bytes) -> bool:
        """Tell whether something is to be learnt of a packet.

        :param now: the time.
        :param key: its flow.
        :returns: whether its flow is the sample, or one may be begun.
        """
        sample = self.sample
        if sample is None:
            return now >= self.sample_due
        return sample.key == key or now >= sample.seen_at + SILENT_SECONDS

    def end_sample(self, now: float) -> None:
        """Follow the present sample no more.

        :param now: the time.
        """
        self.sample = None
        self.sample_due = now
        if self.is_known:
            self.sample_due += _SAMPLE_PAUSE_SECONDS


class Transfer:
    """The bytes of one request on their way through this instance.

    :param key: its flow.
    :param size: what is known of its route.
    :param now: the time.
    :ivar begun: the number of its first byte, None before the first one.
    :ivar acknowledged: what its caller had acknowledged then.
    :ivar brought: bytes that have come.
    :ivar is_whole: whether its first byte was seen here.
    :ivar is_paused: whether nothing of it is on its way as far as is known.
    :ivar charged: bytes that the budget was charged for it.
    :ivar seen_at: when its last packet came.
    """

    __slots__ = (
        '_longest',
        'acknowledged',
        'begun',
        'brought',
        'charged',
        'is_paused',
        'is_whole',
        'key',
        'seen_at',
        'size',
    )

    def __init__(self, key: bytes, size: TransferSize, now: float) -> None:
        self.key = key
        self.size = size
        self.seen_at = now
        self.begun: int | None = None
        self.acknowledged = 0
        self.brought = 0
        self.is_whole = True
        self.is_paused = False
        self.charged = 0.0
        self._longest = 0

    def take_data(self, now: float, packet: _packet.CallerPacket) -> int:
        """Take a packet with data.

        :param now: the time.
        :param packet: the packet.
        :returns: bytes that it is further than before.
        """
        self.seen_at = now
        before = self.brought
        if self.begun is None:
            self.begun = packet.sequence
            self.acknowledged = packet.acknowledged
        offset = (packet.sequence - self.begun) % _MODULUS
        if offset < _HALF:
            self.brought = max(before, offset + packet.length)
        self._longest = max(self._longest, packet.length)
        self.size.note_under_way(self.brought)
        return self.brought - before

    def is_tail(self, packet: _packet.CallerPacket) -> bool:
        """Tell whether a packet is the last one of it.

        :param packet: a packet that was taken.
        :returns: whether it is; senders fill all others.
        """
        return packet.length < self._longest

    def is_answered(self, acknowledged: int) -> bool:
        """Tell whether its caller has been answered.

        :param acknowledged: the caller's present acknowledgement.
        :returns: whether that is beyond the one that it began with.
        """
        if self.begun is None:
            return False
        return 0 < (acknowledged - self.acknowledged) % _MODULUS < _HALF
