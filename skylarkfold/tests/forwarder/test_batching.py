"""Tests of what the daemon batches: traffic counts and peer messages."""

import testtools

from skylarkfold import affinity
from skylarkfold.forwarder import _peer_messages
from skylarkfold.forwarder import _traffic
from skylarkfold import room
from skylarkfold.tests.affinity import samples

RATE = 10_000.0


class TrafficCounterTest(testtools.TestCase):
    def test_packets_with_headers_are_reported_together(self):
        headroom = room.InstanceHeadroom(room.RoomSettings(), RATE)
        counter = _traffic.TrafficCounter(headroom)
        for _ in range(10):
            counter.count_received(72)
        counter.count_sent(80)
        self.assertEqual(0.0, headroom.compute_link_share(1.0))
        counter.report(1.0)
        self.assertAlmostEqual(0.5, headroom.compute_link_share(1.0))
        counter.report(1.0)
        self.assertAlmostEqual(0.5, headroom.compute_link_share(1.0))


class Announcer:
    def __init__(self):
        self.told = []

    def notify_zone(self, now, doubts, lost):
        self.told.append((now, doubts, lost))
        return ['beacon']


class Reporter:
    def __init__(self):
        self.counted = []

    def count(self, name):
        self.counted.append(name)


class PeerMessageBatchTest(testtools.TestCase):
    def test_collected_messages_go_into_one_beacon(self):
        announcer, reporter = Announcer(), Reporter()
        batch = _peer_messages.PeerMessageBatch(reporter)
        self.assertEqual([], batch.send(1.0, announcer))
        first, second = (samples.build_upstream(each) for each in (7, 9))
        for upstream in (first, second, first):
            batch.add_query(affinity.QueryPeers(upstream))
        batch.add_notice(affinity.NotifyPeers(second))
        self.assertEqual(['beacon'], batch.send(2.0, announcer))
        self.assertEqual([], batch.send(3.0, announcer))
        doubts = (first.incarnation, second.incarnation)
        told = [(2.0, doubts, (second.incarnation,))]
        self.assertEqual(told, announcer.told)
        self.assertEqual(['peers.asked'] * 3, reporter.counted)
