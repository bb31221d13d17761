"""Tests of what the daemon gathers before it notes or sends it."""

import testtools

from skylarkfold import affinity
from skylarkfold.forwarder import _peer_messages
from skylarkfold.forwarder import _traffic
from skylarkfold import room
from skylarkfold.tests.affinity import samples

RATE = 10_000.0


class LinkCountTest(testtools.TestCase):
    def test_packets_and_their_headers_are_noted_together(self):
        own = room.InstanceHeadroom(room.RoomSettings(), RATE)
        count = _traffic.LinkCount(own)
        for _ in range(10):
            count.count_received(72)
        count.count_sent(80)
        self.assertEqual(0.0, own.compute_link_share(1.0))
        count.note(1.0)
        self.assertAlmostEqual(0.5, own.compute_link_share(1.0))
        count.note(1.0)
        self.assertAlmostEqual(0.5, own.compute_link_share(1.0))


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


class QuestionsTest(testtools.TestCase):
    def test_what_a_moment_brings_goes_in_one_beacon(self):
        announcer, reporter = Announcer(), Reporter()
        questions = _peer_messages.Questions(reporter)
        self.assertEqual([], questions.send(1.0, announcer))
        first, second = (samples.build_upstream(each) for each in (7, 9))
        for upstream in (first, second, first):
            questions.ask(affinity.QueryPeers(upstream))
        questions.tell(affinity.NotifyPeers(second))
        self.assertEqual(['beacon'], questions.send(2.0, announcer))
        self.assertEqual([], questions.send(3.0, announcer))
        doubts = (first.incarnation, second.incarnation)
        told = [(2.0, doubts, (second.incarnation,))]
        self.assertEqual(told, announcer.told)
        self.assertEqual(['peers.asked'] * 3, reporter.counted)
