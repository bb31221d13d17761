"""Tests of what the daemon gathers before it notes or sends it."""

import testtools

from skylarkfold.forwarder import _link
from skylarkfold.forwarder import _questions
from skylarkfold import room

RATE = 10_000.0


class LinkCountTest(testtools.TestCase):
    def test_packets_and_their_headers_are_noted_together(self):
        own = room.InstanceRoom(room.RoomSettings(), RATE)
        count = _link.LinkCount(own)
        for _ in range(10):
            count.count_received(72)
        count.count_sent(80)
        self.assertEqual(0.0, own.compute_link_share(1.0))
        count.note(1.0)
        self.assertAlmostEqual(0.5, own.compute_link_share(1.0))
        count.note(1.0)
        self.assertAlmostEqual(0.5, own.compute_link_share(1.0))


class QuestionsTest(testtools.TestCase):
    def test_what_a_moment_brings_goes_in_one_beacon(self):
        questions = _questions.Questions()
        self.assertTrue(questions.is_empty)
        for number in (7, 9, 7):
            questions.doubt(number)
        questions.lose(8)
        self.assertFalse(questions.is_empty)
        self.assertEqual(((7, 9), (8,)), questions.take())
        self.assertTrue(questions.is_empty)
