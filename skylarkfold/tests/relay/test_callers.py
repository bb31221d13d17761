"""Tests of what instances tell one another of callers.

Bounds: nothing where no room is short, and no more bytes a second than the
settings allow, however many neighbours there are.
"""

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import errors
from skylarkfold import relay
from skylarkfold.relay import _callers

WORD = b'word'
OTHER = b'other zones'
BUDGET = 600.0
WORDS = strategies.binary(max_size=1024)


def build_beacon(report, zone='z', name='peer'):
    """Build a beacon that tells of callers."""
    return relay.Beacon(name, zone, 0, False, False, (), callers=report)


class CallerWordsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.words = _callers.CallerWords('z', BUDGET, 2.5)

    def take(self, now, report, **fields):
        effects = self.words.take(now, build_beacon(report, **fields))
        return [
            (each.source, each.is_zone, each.age_seconds, each.demand)
            for each in effects
        ]

    def test_where_nothing_is_short_nothing_is_told(self):
        self.assertIsNone(self.words.choose_near(1.0, 4))
        self.assertIsNone(self.words.choose_far(1.0, 4))
        self.assertFalse(self.words.is_urgent)
        beacon = build_beacon(None)
        told = build_beacon(relay.CallerReport(WORD))
        self.assertEqual([], self.words.take(1.0, beacon))
        self.assertLess(
            len(relay.encode_beacon(beacon)), len(relay.encode_beacon(told))
        )

    def test_neighbours_and_other_zones_are_told_apart(self):
        report = relay.CallerReport(WORD, OTHER, 0.5)
        self.assertEqual(
            [('peer', False, 0.0, WORD), ('', True, 0.5, OTHER)],
            self.take(1.0, report),
        )
        far = relay.CallerReport(WORD)
        self.assertEqual(
            [('y', True, 0.0, WORD)], self.take(1.0, far, zone='y')
        )

    def test_what_other_zones_say_is_passed_on_while_it_is_new(self):
        self.take(1.0, relay.CallerReport(b'', OTHER, 0.5))
        report = self.words.choose_near(2.0, 4)
        self.assertEqual((b'', OTHER), (report.demand, report.other_zones))
        self.assertAlmostEqual(1.5, report.age_seconds)
        self.assertIsNone(self.words.choose_near(3.1, 4))

    def test_older_words_of_other_zones_are_left_out(self):
        self.take(1.0, relay.CallerReport(b'', OTHER, 0.1))
        self.assertEqual(
            [], self.take(1.0, relay.CallerReport(b'', b'old', 0.6))
        )
        self.assertEqual(OTHER, self.words.choose_near(1.2, 1).other_zones)

    def test_a_shortage_that_begins_is_urgent_once(self):
        self.words.put(WORD, b'')
        self.assertTrue(self.words.is_urgent)
        self.words.is_urgent = False
        self.words.put(WORD, WORD)
        self.assertFalse(self.words.is_urgent)

    def test_bytes_are_bounded(self):
        for size in (20, 200, 600):
            words = _callers.CallerWords('z', BUDGET, 2.5)
            words.put(bytes(size), bytes(size))
            spent = 0
            for step in range(500):
                now = step * 0.2
                for choose, hosts in (
                    (words.choose_near, 4),
                    (words.choose_far, 10),
                ):
                    report = choose(now, hosts)
                    if report is not None:
                        whole = relay.encode_beacon(build_beacon(report))
                        rest = relay.encode_beacon(build_beacon(None))
                        spent += hosts * (len(whole) - len(rest))
            # What may be told at once, and one word each beyond.
            first = BUDGET + 14 * (size + 10)
            self.assertLessEqual(spent, 100 * BUDGET + first)

    @hypothesis.given(WORDS, WORDS, strategies.integers(0, 10**7))
    def test_a_report_arrives_as_it_was(self, word, other_zones, age):
        report = relay.CallerReport(word, other_zones, age / 1000)
        data = relay.encode_beacon(build_beacon(report))
        again = relay.decode_beacon(data).callers
        self.assertEqual(
            (word, other_zones), (again.demand, again.other_zones)
        )
        self.assertAlmostEqual(age / 1000, again.age_seconds, delta=0.002)

    def test_a_word_that_is_too_long_is_no_message(self):
        report = relay.CallerReport(bytes(1025))
        data = relay.encode_beacon(build_beacon(report))
        self.assertRaises(errors.DecodeError, relay.decode_beacon, data)
