"""Tests of the tracking of bulk transfers.

Bytes in flight that are never released would block bulk for ever; bytes that
are released twice would admit too much. The tracker is compared with a plain
model, for callers that stop, retransmit, end and move in any order.
"""

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import room as rooms
from skylarkfold.room import _transfer
from skylarkfold.room import _transfer_tracker
from skylarkfold.tests.room import link

RATE = 625_000.0
SILENT_SECONDS = 1.0
# The link's queue and a round trip.
QUIET_SECONDS = 0.15
MEAN_BYTES = 12_000
LENGTHS = {'data': 1200, 'tail': 100}


def build_transfers():
    """Build a tracker that knows one bulk route."""
    transfers = _transfer_tracker.TransferTracker(rooms.RoomSettings(), RATE)
    for number in range(3):
        sequence = 0
        while sequence < MEAN_BYTES:
            packet = link.Packet(number, 1200, sequence)
            transfers.handle_packet(0.0, packet, link.BULK, sequence == 0)
            sequence += 1200
        packet = link.Packet(number, acknowledged=9)
        transfers.handle_packet(0.0, packet, link.BULK, False)
    transfers.debt.pay_down(99.0, RATE)
    return transfers


class PlainList:
    """A plain model of the transfers that are tracked."""

    def __init__(self):
        # By number: time of the last packet, longest packet, and whether more
        # is in flight.
        self.under_way = {}

    def expire(self, now):
        for number, (at, longest, is_moving) in list(self.under_way.items()):
            if now >= at + SILENT_SECONDS:
                del self.under_way[number]
            elif longest and now >= at + QUIET_SECONDS:
                self.under_way[number] = (at, longest, False)

    def take(self, now, kind, number):
        at, longest, is_moving = self.under_way.get(number, (now, 0, False))
        if kind == 'begin':
            self.under_way[number] = (now, 0, True)
        elif kind == 'last' or (kind == 'answer' and longest):
            self.under_way.pop(number, None)
        elif kind in LENGTHS:
            length = LENGTHS[kind]
            is_moving = length >= longest
            self.under_way[number] = (now, max(longest, length), is_moving)

    def sum_on_way(self):
        window = rooms.RoomSettings().window_bytes
        return window * sum(each[2] for each in self.under_way.values())


def build_packet(kind, number, place):
    """Build a packet of a transfer."""
    return link.Packet(
        number,
        LENGTHS.get(kind, 0),
        place * 1200,
        acknowledged=9 if kind == 'answer' else 0,
        is_last=kind == 'last',
    )


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(('begin', 'data', 'tail', 'answer', 'last')),
        strategies.integers(0, 5),
        strategies.integers(0, 20),
        strategies.sampled_from((0.0, 0.01, 0.1, 0.2, 0.5, 1.1)),
    ),
    max_size=60,
)


class TransferTrackerTest(testtools.TestCase):
    @hypothesis.given(steps=STEPS)
    def test_accounts_agree_with_a_plain_list(self, steps):
        transfers = build_transfers()
        plain = PlainList()
        now = 100.0
        for kind, number, place, pause in steps:
            now += pause
            transfers.expire(now)
            plain.expire(now)
            size = transfers.find_bulk(link.BULK)
            if size is None:
                return
            if kind == 'begin':
                transfers.begin(now, link.Packet(number).flow, size)
            else:
                transfers.handle_packet(
                    now, build_packet(kind, number, place), link.BULK, True
                )
            plain.take(now, kind, number)
            self.assertEqual(len(plain.under_way), len(transfers))
            self.assertEqual(plain.sum_on_way(), transfers.on_way)
            self.assertGreaterEqual(transfers.debt.amount, 0.0)
        transfers.expire(now + SILENT_SECONDS)
        self.assertEqual(0, len(transfers))
        self.assertEqual(0, transfers.on_way)

    def test_the_bytes_received_are_charged(self):
        transfers = build_transfers()
        size = transfers.find_bulk(link.BULK)
        for brought in (1200, MEAN_BYTES, 5 * MEAN_BYTES):
            before = transfers.debt.amount
            transfers.begin(100.0, link.Packet(1).flow, size)
            for sequence in range(0, brought, 1200):
                packet = link.Packet(1, 1200, sequence)
                transfers.handle_packet(
                    100.0, packet, link.BULK, sequence == 0
                )
            transfers.handle_packet(
                100.0, link.Packet(1, acknowledged=5), link.BULK, False
            )
            came = transfers.debt.amount - before
            self.assertAlmostEqual(brought, came, places=3)

    def test_repeated_packets_count_once(self):
        transfers = build_transfers()
        size = transfers.find_bulk(link.BULK)
        transfers.begin(100.0, link.Packet(1).flow, size)
        for _ in range(50):
            packet = link.Packet(1, 1200, 0)
            transfers.handle_packet(100.0, packet, link.BULK, True)
        transfers.handle_packet(
            100.0, link.Packet(1, acknowledged=5), link.BULK, False
        )
        self.assertAlmostEqual(1200, transfers.debt.amount, places=3)

    def test_a_transfer_that_moved_away_does_not_lower_the_mean(self):
        transfers = build_transfers()
        size = transfers.find_bulk(link.BULK)
        before = size.mean
        for number in range(20):
            now = 100.0 + 2 * number
            transfers.begin(now, link.Packet(number).flow, size)
            transfers.handle_packet(
                now, link.Packet(number, 1200, 0), link.BULK, True
            )
            transfers.expire(now + SILENT_SECONDS)
        self.assertEqual(before, size.mean)

    def test_a_transfer_that_moved_here_is_tracked_but_not_learnt(self):
        transfers = build_transfers()
        size = transfers.find_bulk(link.BULK)
        before = size.mean
        packet = link.Packet(1, 1200, 12000)
        transfers.handle_packet(100.0, packet, link.BULK, False)
        self.assertEqual(1, len(transfers))
        transfers.handle_packet(
            100.0, link.Packet(1, acknowledged=5), link.BULK, False
        )
        self.assertEqual(before, size.mean)
        self.assertEqual(0, len(transfers))

    def test_sequence_numbers_wrap_around(self):
        size = _transfer.TransferSize(3125.0)
        transfer = _transfer.Transfer(b'', size, 0.0)
        begin = (1 << 32) - 1800
        for sequence in (begin, begin + 1200, 600):
            packet = link.Packet(1, 1200, sequence % (1 << 32))
            transfer.record_data(0.0, packet)
        self.assertEqual(3600, transfer.received_bytes)

    def test_small_requests_are_not_tracked(self):
        transfers = _transfer_tracker.TransferTracker(
            rooms.RoomSettings(), RATE
        )
        for number in range(1000):
            packet = link.Packet(number, 300, 0)
            transfers.handle_packet(0.0, packet, link.BULK, True)
        self.assertEqual(0, len(transfers))
        self.assertEqual(0, transfers.on_way)


class TransferSizeTest(testtools.TestCase):
    @hypothesis.given(
        sizes=strategies.lists(strategies.integers(1, 240_000), min_size=1)
    )
    def test_the_mean_stays_among_the_sizes(self, sizes):
        size = _transfer.TransferSize(3125.0)
        for each in sizes:
            size.learn(each)
        self.assertGreaterEqual(size.mean, min(sizes) - 1e-6)
        self.assertLessEqual(size.mean, max(sizes) + 1e-6)

    def test_it_follows_a_change(self):
        size = _transfer.TransferSize(3125.0)
        for each in [300] * 100 + [40_000] * 60:
            size.learn(each)
        self.assertGreater(size.mean, 30_000)
