"""Tests of reading callers' packets."""

import types

import testtools

from skylarkfold.forwarder import _packets

# How long a decision on a packet takes.
DECISION_SECONDS = 0.002


class Socket:
    """Has a packet whenever it is asked, and notes when.

    :ivar read_at: when each packet was read.
    """

    def __init__(self, clock, count):
        self.read_at = []
        self._clock = clock
        self._count = count

    def recv(self, _size):
        """Return a packet; raise an error once all are read."""
        if len(self.read_at) == self._count:
            raise BlockingIOError
        self.read_at.append(self._clock.now())
        return b'packet'


class PacketReceiverTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.time = 0.0
        self.handled = []
        self.counted = []

    def now(self):
        return self.time

    def decide(self, now, packet):
        self.handled.append(now)
        self.time += DECISION_SECONDS

    def receive(self, count, decode=lambda data: data):
        ready = Socket(self, count)
        self.receiver = _packets.PacketReceiver(
            self,
            ready,
            types.SimpleNamespace(decode_packet=decode),
            types.SimpleNamespace(count_received=self.counted.append),
            types.SimpleNamespace(count=self.counted.append),
            self.decide,
        )
        self.receiver.receive()
        return ready

    def test_no_packet_counts_as_older_than_its_arrival(self):
        """Guards against verdicts by answers from before a flow came."""
        ready = self.receive(5)
        self.assertEqual(5, len(self.handled))
        for read_at, now in zip(ready.read_at, self.handled, strict=True):
            self.assertGreaterEqual(now, read_at)
        self.assertEqual(self.handled[-1], self.receiver.last_packet_at)

    def test_a_batch_ends(self):
        ready = self.receive(1000)
        self.assertEqual(64, len(ready.read_at))

    def test_a_malformed_packet_is_counted(self):
        self.receive(1, decode=lambda data: None)
        self.assertEqual([], self.handled)
        self.assertEqual([len(b'packet'), 'packet.malformed'], self.counted)
