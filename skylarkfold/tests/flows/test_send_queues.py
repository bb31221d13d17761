"""Tests of the send queues and of the encoding of slots."""

import testtools

from skylarkfold.flows import _messages
from skylarkfold.flows import _send_queues


def list_messages(sent):
    return [each.message for each in sent]


def list_flows(sent):
    return [
        flow
        for message in list_messages(sent)
        if isinstance(message, _messages.PinUpdate)
        for group in message.groups
        for flow in group.flows
    ]


class PinQueueTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.queue = _send_queues.PinQueue(
            _send_queues.ByteRateLimiter(1000), 0.2
        )

    def add(self, flows, peer='i1'):
        for flow in flows:
            self.queue.add(peer, 'press-desk', 3, flow)

    def test_one_message_for_a_batch(self):
        self.add(range(20))
        sent = list(self.queue.drain(0.0))
        self.assertEqual(1, len(sent))
        self.assertEqual(list(range(20)), list_flows(sent))
        self.assertEqual(0, len(self.queue))

    def test_batches_are_sent_at_a_minimum_interval(self):
        self.add([1])
        list(self.queue.drain(0.0))
        self.add([2])
        self.assertEqual([], list(self.queue.drain(0.1)))
        self.assertEqual([2], list_flows(self.queue.drain(0.3)))

    def test_budget_holds_over_time(self):
        total = 0
        for step in range(100):
            self.add(range(step * 100, step * 100 + 100), f'i{step % 5}')
            sent = self.queue.drain(step * 0.25)
            total += len(list_flows(sent)) * _send_queues.FLOW_BYTES
        self.assertLess(total, 1000 * 25 + 2000 + 5 * 100 * 9 * 5)
        self.assertGreater(len(self.queue), 0)

    def test_pins_for_a_lost_peer_are_forgotten(self):
        self.add([1, 2])
        self.add([3], 'i2')
        self.queue.drop('i1')
        self.assertEqual(1, len(self.queue))


class BulkQueueTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.pins = _send_queues.PinQueue(
            _send_queues.ByteRateLimiter(1000), 0.0
        )
        self.bulk = _send_queues.BulkQueue(_send_queues.ByteRateLimiter(1000))

    def test_handover_done_waits_for_new_pins(self):
        done = _messages.HandoverDone(_messages.pack_slots([1]))
        self.bulk.add_pins('i1', 'press-desk', [(1, 2)])
        self.bulk.add('i1', done)
        self.pins.add('i1', 'press-desk', 2, 5)
        first = list(self.bulk.drain(0.0, self.pins))
        self.assertNotIn(done, list_messages(first))
        self.assertEqual([1], list_flows(first))
        list(self.pins.drain(0.0))
        second = self.bulk.drain(0.0, self.pins)
        self.assertEqual([done], list_messages(second))

    def test_bulk_pins_are_limited_by_the_budget(self):
        pins = [(flow, 1) for flow in range(2000)]
        self.bulk.add_pins('i1', 'press-desk', pins)
        first = list_flows(self.bulk.drain(0.0, self.pins))
        self.assertLess(len(first), 1000)
        rest = []
        for second in range(1, 30):
            rest += list_flows(self.bulk.drain(float(second), self.pins))
        self.assertEqual(2000, len(first) + len(rest))


class SlotsTest(testtools.TestCase):
    def test_slots_are_unpacked_as_packed(self):
        for slots in ([], [0], [1023], [3, 9, 700]):
            packed = _messages.pack_slots(slots)
            self.assertLessEqual(len(packed), 128)
            self.assertEqual(slots, _messages.unpack_slots(packed))
