"""Tests of the reports on callers' demand.

Nothing is sent unless a service is short of capacity, and no more bytes a
second than the settings allow, however many neighbours there are.
"""

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import errors
from skylarkfold import relay
from skylarkfold.relay import _callers

DEMAND = b'word'
OTHER_ZONES = b'other zones'
BUDGET = 600.0
DEMANDS = strategies.binary(max_size=1024)


def build_beacon(report, zone='z', name='peer'):
    """Build a beacon with a report on callers."""
    return relay.Beacon(name, zone, 0, False, False, (), callers=report)


class CallerReportsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reports = _callers.CallerReports('z', BUDGET, 2.5)

    def handle_report(self, now, report, **fields):
        effects = self.reports.handle_beacon(
            now, build_beacon(report, **fields)
        )
        return [
            (each.source, each.is_zone, each.age_seconds, each.demand)
            for each in effects
        ]

    def test_nothing_is_sent_without_a_shortage(self):
        self.assertIsNone(self.reports.choose_near(1.0, 4))
        self.assertIsNone(self.reports.choose_far(1.0, 4))
        self.assertFalse(self.reports.is_urgent)
        beacon = build_beacon(None)
        with_report = build_beacon(relay.CallerReport(DEMAND))
        self.assertEqual([], self.reports.handle_beacon(1.0, beacon))
        self.assertLess(
            len(relay.encode_beacon(beacon)),
            len(relay.encode_beacon(with_report)),
        )

    def test_reports_of_neighbours_and_other_zones_are_told_apart(self):
        report = relay.CallerReport(DEMAND, OTHER_ZONES, 0.5)
        self.assertEqual(
            [('peer', False, 0.0, DEMAND), ('', True, 0.5, OTHER_ZONES)],
            self.handle_report(1.0, report),
        )
        far = relay.CallerReport(DEMAND)
        self.assertEqual(
            [('y', True, 0.0, DEMAND)], self.handle_report(1.0, far, zone='y')
        )

    def test_demand_in_other_zones_is_passed_on_until_it_is_too_old(self):
        self.handle_report(1.0, relay.CallerReport(b'', OTHER_ZONES, 0.5))
        report = self.reports.choose_near(2.0, 4)
        self.assertEqual(
            (b'', OTHER_ZONES), (report.demand, report.other_zones)
        )
        self.assertAlmostEqual(1.5, report.age_seconds)
        self.assertIsNone(self.reports.choose_near(3.1, 4))

    def test_older_reports_of_other_zones_are_ignored(self):
        self.handle_report(1.0, relay.CallerReport(b'', OTHER_ZONES, 0.1))
        self.assertEqual(
            [], self.handle_report(1.0, relay.CallerReport(b'', b'old', 0.6))
        )
        self.assertEqual(
            OTHER_ZONES, self.reports.choose_near(1.2, 1).other_zones
        )

    def test_a_new_shortage_is_urgent_once(self):
        self.reports.put(DEMAND, b'')
        self.assertTrue(self.reports.is_urgent)
        self.reports.is_urgent = False
        self.reports.put(DEMAND, DEMAND)
        self.assertFalse(self.reports.is_urgent)

    def test_sent_bytes_are_limited(self):
        for size in (20, 200, 600):
            reports = _callers.CallerReports('z', BUDGET, 2.5)
            reports.put(bytes(size), bytes(size))
            spent = 0
            for step in range(500):
                now = step * 0.2
                for choose, hosts in (
                    (reports.choose_near, 4),
                    (reports.choose_far, 10),
                ):
                    report = choose(now, hosts)
                    if report is not None:
                        whole = relay.encode_beacon(build_beacon(report))
                        rest = relay.encode_beacon(build_beacon(None))
                        spent += hosts * (len(whole) - len(rest))
            # The burst, and one report to each neighbour beyond it.
            first = BUDGET + 14 * (size + 10)
            self.assertLessEqual(spent, 100 * BUDGET + first)

    @hypothesis.given(DEMANDS, DEMANDS, strategies.integers(0, 10**7))
    def test_a_report_survives_encoding_and_decoding(
        self, demand, other_zones, age
    ):
        report = relay.CallerReport(demand, other_zones, age / 1000)
        data = relay.encode_beacon(build_beacon(report))
        again = relay.decode_beacon(data).callers
        self.assertEqual(
            (demand, other_zones), (again.demand, again.other_zones)
        )
        self.assertAlmostEqual(age / 1000, again.age_seconds, delta=0.002)

    def test_a_demand_that_is_too_long_is_refused(self):
        report = relay.CallerReport(bytes(1025))
        data = relay.encode_beacon(build_beacon(report))
        self.assertRaises(errors.DecodeError, relay.decode_beacon, data)
