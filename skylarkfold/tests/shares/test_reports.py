"""Tests of reports on callers, and of the counts and shares behind them.

Lost, old or false reports, failed instances and partitions must not cost a
caller below its share more than 0.03 of its requests. Memory and the size of
reports are bounded.
"""

import math
import struct
import sys

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import shares
from skylarkfold.shares import _count
from skylarkfold.shares import _demand_view

# Under an old name: property tests draw their cases from their source text.
from skylarkfold.shares import _report as _word
from skylarkfold.tests.shares import fleet as fleets

MIN_KEPT_SHARE = 0.97
SLOTS = 120.0
CALLERS = strategies.dictionaries(
    strategies.binary(min_size=4, max_size=4),
    strategies.floats(0, 1000),
    max_size=100,
)
DEMANDS = CALLERS.map(
    lambda callers: _word.Demand(sum(callers.values()), callers)
)
TOLD = strategies.builds(
    _word.KindReport, strategies.integers(0, 1 << 20), DEMANDS, DEMANDS
)
KINDS = strategies.tuples(
    strategies.integers(0, 2**32 - 1), strategies.integers(0, 255)
)
WORDS = strategies.dictionaries(KINDS, TOLD, max_size=12)
OVERLOAD_DEMANDS = dict.fromkeys(range(1, 8), 0.1 * SLOTS) | {0: 1.25 * SLOTS}


def pack_total(total, slots, service=fleets.SERVICE):
    """Encode a report on one caller, valid or not."""
    head = struct.pack('!IBBHee', service, 0, 1, 1, total, total)
    caller = fleets.name_caller(1)
    return head + struct.pack('!4see', caller, slots, slots)


class ReportTest(testtools.TestCase):
    @hypothesis.given(WORDS)
    def test_a_word_is_bounded_and_arrives(self, word):
        data = _word.pack(word)
        self.assertLessEqual(len(data), 8 * 12 + _word.MOST_CALLERS * 8)
        again = _word.unpack(data)
        self.assertIsNotNone(again)
        self.assertEqual(data, _word.pack(again))
        self.assertEqual(min(8, len(word)), len(again))

    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes_are_a_word_or_none(self, data):
        word = _word.unpack(data)
        if word is None:
            return
        for told in word.values():
            for demand in (told.own, told.near):
                for slots in (demand.total, *demand.callers.values()):
                    self.assertTrue(0 <= slots < math.inf)

    def test_invalid_reports_are_ignored(self):
        core = shares.CallerShares(shares.SharesSettings(True))
        nan, infinite = math.nan, math.inf
        for total, slots in (
            (nan, 1.0),
            (1.0, nan),
            (-1.0, 0.0),
            (1.0, -1.0),
            (infinite, 1.0),
            (1.0, infinite),
            (1.0, 2.0),
        ):
            data = pack_total(total, slots)
            self.assertFalse(core.handle_report(1.0, 'n', False, 0.0, data))
        whole = pack_total(2.0, 1.0)
        self.assertTrue(core.handle_report(1.0, 'n', False, 0.0, whole))
        self.assertFalse(core.handle_report(1.0, 'n', False, 0.0, whole[:-1]))
        self.assertFalse(core.handle_report(1.0, 'n', False, -1.0, whole))
        self.assertFalse(core.handle_report(1.0, 'n', False, nan, whole))
        self.assertFalse(core.handle_report(1.0, 'n', False, 0.0, whole * 400))
        many = struct.pack('!IBBHee', 1, 0, 255, 1, 9.0, 9.0) + bytes(2040)
        self.assertFalse(core.handle_report(1.0, 'n', False, 0.0, many))

    def test_an_old_report_is_ignored(self):
        core = shares.CallerShares(shares.SharesSettings(True))
        word = pack_total(2.0, 1.0)
        self.assertTrue(core.handle_report(9.0, 'a', True, 2.6, word))
        self.assertEqual(set(), core.list_services())
        core.handle_report(9.0, 'a', True, 1.0, word)
        self.assertEqual({fleets.SERVICE}, core.list_services())
        core.refresh(10.6, {}, shares.FleetSize(0))
        self.assertEqual(set(), core.list_services())

    def test_a_later_report_replaces_an_earlier_one(self):
        reports = _demand_view.PeerReports(2.5)
        kind = (fleets.SERVICE, 0)
        early, late = (
            {kind: _word.KindReport(1, _word.Demand(slots, {}))}
            for slots in (1.0, 2.0)
        )
        reports.record(5.0, 'n', False, late)
        reports.record(4.0, 'n', False, early)
        ((at, told),) = reports.list_mates(kind)
        self.assertEqual((5.0, 2.0), (at, told.own.total))

    def test_sources_are_bounded(self):
        reports = _demand_view.PeerReports(2.5)
        kind = (fleets.SERVICE, 0)
        word = {kind: _word.KindReport(1, _word.Demand(1.0, {}))}
        for number in range(1000):
            reports.record(1.0, f'n-{number}', False, word)
        self.assertEqual(16, len(list(reports.list_mates(kind))))


class CountTest(testtools.TestCase):
    def fill(self, limit=256, callers=5000):
        counts = _count.CallerCounts(limit, 0.5)
        for number in range(callers):
            at = number / callers
            caller = number.to_bytes(4, 'big')
            counts.note(at, (1, 0), caller, 0.05, True)
            if number % 10 == 0:
                counts.note(at, (1, 0), b'much', 0.05, True)
        return counts

    def test_memory_is_bounded_for_many_callers(self):
        counts = self.fill()
        self.assertEqual(256, len(counts))
        size = sum(
            sys.getsizeof(key) + sys.getsizeof(known)
            for key, known in counts._callers.items()
        )
        self.assertLess(size, 100_000)

    def test_the_heaviest_are_counted_well_enough(self):
        counts = self.fill()
        callers = counts.measure_callers(1.0, {(1, 0)})[(1, 0)]
        # 500 requests per second, of which 0.86 are counted after one; entries
        # of light callers may contain counts of others.
        self.assertAlmostEqual(21.6, callers[b'much'], delta=2.0)
        total, rate = counts.measure_kind(1.0, (1, 0))
        self.assertAlmostEqual(0.86 * 5500 * 0.05, total, delta=5.0)
        self.assertAlmostEqual(0.86 * 5500, rate, delta=100.0)

    def test_no_caller_is_overcounted(self):
        counts = self.fill(limit=8)
        callers = counts.measure_callers(1.0, {(1, 0)})[(1, 0)]
        for caller, slots in callers.items():
            if caller != b'much':
                self.assertLessEqual(slots, 0.1001)

    def test_counts_decay_and_are_dropped(self):
        counts = self.fill(callers=100)
        counts.expire(100.0)
        self.assertEqual([], counts.list_kinds())
        self.assertEqual(0, len(counts))

    @hypothesis.given(
        strategies.lists(strategies.floats(0, 500), min_size=1, max_size=30)
    )
    def test_any_pauses_are_borne(self, pauses):
        counts = _count.CallerCounts(8, 0.5)
        now = 0.0
        for pause in pauses:
            now += pause
            counts.note(now, (1, 0), b'abcd', 0.05, True)
        slots, rate = counts.measure_kind(now, (1, 0))
        self.assertTrue(0.0999 <= slots < 3.1, slots)
        self.assertTrue(1.99 <= rate < 61, rate)


class FaultTest(testtools.TestCase):
    def check(self, given, kept=MIN_KEPT_SHARE):
        for number in range(1, 8):
            share = given[number] / OVERLOAD_DEMANDS[number]
            self.assertGreaterEqual(share, kept, given)

    def test_without_reports_callers_below_their_share_are_served(self):
        fleet = fleets.Fleet(7, zones=3)
        fleet.muted = {each.name for each in fleet.instances}
        self.check(fleet.run_load(4.0, OVERLOAD_DEMANDS))

    def test_failed_instances_do_not_change_the_shares(self):
        fleet = fleets.Fleet(7)
        fleet.run_load(3.0, OVERLOAD_DEMANDS)
        fleet.muted = {'n-0', 'n-1'}
        given = fleet.run_load(6.0, OVERLOAD_DEMANDS)
        self.check(given)
        self.assertLessEqual(given[0], 1.25 * 0.25 * SLOTS)

    def test_in_a_partition_each_side_uses_its_own_reports(self):
        fleet = fleets.Fleet(9, zones=3)
        fleet.run_load(3.0, OVERLOAD_DEMANDS)
        for each in fleet.instances:
            each.in_transit.clear()
        fleet.is_partitioned = True
        given = fleet.run_load(6.0, OVERLOAD_DEMANDS)
        self.check(given)
        # The zone of the heavy caller sees it, 3 and 6: its share is what
        # these leave of all slots.
        self.assertLessEqual(given[0], 1.25 * 0.75 * SLOTS)
        self.assertGreaterEqual(sum(given.values()), 0.9 * SLOTS)

    def test_false_reports_of_a_peer_refuse_nobody(self):
        # One peer reports a demand of 500 times the slots.
        fleet = fleets.Fleet(7)
        calm = dict.fromkeys(range(8), 0.08 * SLOTS)
        fleet.run_load(2.0, calm)
        lie = pack_total(60000.0, 60000.0)
        given = dict.fromkeys(calm, 0.0)
        for _ in range(15):
            for each in fleet.instances:
                each.core.handle_report(fleet.now, 'liar', False, 0.0, lie)
            for number, slots in fleet.run_load(0.2, calm).items():
                given[number] += slots / 15
        for number, slots in given.items():
            self.assertGreaterEqual(
                slots / calm[number], MIN_KEPT_SHARE, given
            )

    def test_false_sums_of_other_zones_leave_a_least_share(self):
        # They can't be verified: whatever they say, a zone's callers keep
        # half of an equal part of the slots.
        fleet = fleets.Fleet(6, zones=3)
        demands = dict.fromkeys(range(9), 0.08 * SLOTS)
        fleet.run_load(2.0, demands)
        head = struct.pack(
            '!IBBHee', fleets.SERVICE, 0, 0, 65535, 60000.0, 0.0
        )
        given = dict.fromkeys(demands, 0.0)
        for _ in range(15):
            for each in fleet.instances:
                each.core.handle_report(fleet.now, 'liar', True, 0.0, head)
            for number, slots in fleet.run_load(0.2, demands).items():
                given[number] += slots / 15
        least = 0.5 / 3 * 0.95 * SLOTS / 3
        for slots in given.values():
            self.assertGreaterEqual(slots, 0.9 * least, given)

    def test_nothing_is_sent_without_a_shortage(self):
        fleet = fleets.Fleet(7, zones=3)
        fleet.run_load(5.0, dict.fromkeys(range(8), 0.05 * SLOTS))
        self.assertEqual(0, fleet.report_count)

    def test_nothing_is_sent_after_a_shortage(self):
        fleet = fleets.Fleet(7, zones=3)
        fleet.run_load(4.0, OVERLOAD_DEMANDS)
        self.assertGreater(fleet.report_count, 0)
        calm = dict.fromkeys(range(8), 0.05 * SLOTS)
        fleet.run_load(8.0, calm)
        fleet.report_count = 0
        given = fleet.run_load(2.0, calm)
        self.assertEqual(0, fleet.report_count)
        self.assertAlmostEqual(sum(calm.values()), sum(given.values()), 1)


class PreferenceTest(testtools.TestCase):
    def test_the_first_priority_is_filled_first(self):
        # Two callers of the first priority ask for 0.8 of the slots, two of
        # the second for more than is left, one of them for more than half.
        fleet = fleets.Fleet(3)
        demands = {0: 48.0, 1: 48.0, 2: 9.0, 3: 60.0}
        priorities = {2: 1, 3: 1}
        fleet.run_load(2.0, demands, priorities)
        given = fleet.run_load(4.0, demands, priorities)
        for number in (0, 1, 2):
            self.assertGreaterEqual(
                given[number], MIN_KEPT_SHARE * demands[number]
            )
        self.assertLessEqual(given[3], 1.25 * (0.95 * SLOTS - 105.0))
        self.assertGreaterEqual(sum(given.values()), 0.9 * SLOTS)

    def test_weights_and_caps_change_the_shares(self):
        network = shares.Network.parse('192.0.2.1')
        weights = shares.NetworkTable([(network, 2.0)])
        fleet = fleets.Fleet(1, weights=weights)
        demands = dict.fromkeys(range(3), SLOTS)
        fleet.run_load(2.0, demands)
        given = fleet.run_load(4.0, demands)
        self.assertAlmostEqual(2.0, given[1] / given[0], delta=0.2)
        caps = shares.NetworkTable([(network, 100.0)])
        fleet = fleets.Fleet(1, caps_per_second=caps)
        fleet.run_load(2.0, demands)
        given = fleet.run_load(4.0, demands)
        self.assertAlmostEqual(100.0 * 0.05, given[1], delta=0.5)
        self.assertGreaterEqual(sum(given.values()), 0.9 * SLOTS)

    def test_equal_demands_get_equal_shares(self):
        fleet = fleets.Fleet(7, zones=3)
        demands = dict.fromkeys(range(60), 0.05 * SLOTS)
        fleet.run_load(3.0, demands)
        given = fleet.run_load(4.0, demands)
        self.assertGreaterEqual(sum(given.values()), 0.9 * SLOTS)
        mean = sum(given.values()) / len(given)
        self.assertLessEqual(sum(given.values()), 1.25 * SLOTS)
        for slots in given.values():
            self.assertGreaterEqual(slots, 0.7 * mean)


class NetworkTest(testtools.TestCase):
    def test_the_smallest_network_decides(self):
        table = shares.NetworkTable(
            (shares.Network.parse(text), value)
            for text, value in (
                ('0.0.0.0/0', 1.0),
                ('192.0.2.0/24', 2.0),
                ('192.0.2.7', 3.0),
            )
        )
        for caller, value in (
            ((10, 0, 0, 1), 1.0),
            ((192, 0, 2, 1), 2.0),
            ((192, 0, 2, 7), 3.0),
        ):
            self.assertEqual(value, table.find(bytes(caller)))
