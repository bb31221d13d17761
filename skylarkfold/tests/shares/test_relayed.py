"""Tests of callers' shares over the beacons of the relay.

Load: one caller presses five times beyond its share, seen by instances that
each get a few of its flows a second. Failure: its zone is cut off. Bounds:
those below their share keep 0.97 of their requests; who presses is at 1.25
of its share after a second; told of it are at most 600 bytes a second by an
instance, none at rest, so that control stays within its 11 KB.
"""

import testtools

from skylarkfold.tests.shares import relayed
from skylarkfold.tests.shares import test_callers

BYTES_PER_SECOND = 600.0


class RelayedTest(testtools.TestCase):
    def build(self, count, zones, slots):
        names = tuple(f'zone-{number % zones}' for number in range(count))
        return relayed.RelayedFleet(names, slots)

    def check(self, fleet, demands, given, share):
        kept = min(given[each] / demands[each] for each in range(1, 8))
        self.assertGreaterEqual(kept, test_callers.MIN_KEPT_SHARE, given)
        most = test_callers.MAX_SHARE_FACTOR * share
        self.assertLessEqual(given[test_callers.HEAVY_CALLER], most, given)
        used = sum(given.values())
        self.assertGreaterEqual(
            used, test_callers.MIN_USED_SHARE * fleet.slots, given
        )

    def check_overload(self, fleet):
        slots = fleet.slots
        # Half of the slots.
        fleet.run_load(4.0, dict.fromkeys(range(8), slots / 16))
        self.assertEqual(0, fleet.report_bytes)
        demands = test_callers.build_overload(slots)
        fleet.run_load(1.0, demands)
        fleet.report_bytes = 0
        given = fleet.run_load(3.0, demands)
        self.check(fleet, demands, given, 0.25 * slots)
        spent = fleet.report_bytes / 3.0 / len(fleet.cores)
        self.assertLessEqual(spent, BYTES_PER_SECOND)

    def test_seven_instances_in_three_zones(self):
        self.check_overload(self.build(7, 3, 120.0))

    def test_64_instances_in_three_zones(self):
        self.check_overload(self.build(64, 3, 120.0))

    def test_a_shortage_that_no_zone_has_alone_is_seen(self):
        # Each zone asks for 0.4 of the slots: instances know few of those in
        # other zones.
        fleet = self.build(64, 3, 120.0)
        demands = dict.fromkeys(range(9), 0.6 / 9 * 120.0)
        demands |= dict.fromkeys(range(9, 12), 0.2 * 120.0)
        fleet.run_load(2.0, demands)
        given = fleet.run_load(3.0, demands)
        for number in range(9):
            kept = given[number] / demands[number]
            self.assertGreaterEqual(kept, test_callers.MIN_KEPT_SHARE, given)
        share = (test_callers.FILLED_SHARE - 0.6) / 3 * fleet.slots
        for number in range(9, 12):
            self.assertLessEqual(
                given[number], test_callers.MAX_SHARE_FACTOR * share, given
            )

    def test_a_zone_that_is_cut_off_goes_by_what_it_sees(self):
        fleet = self.build(12, 3, 120.0)
        demands = test_callers.build_overload(fleet.slots)
        fleet.run_load(3.0, demands)
        fleet.cut = lambda one, other: (
            fleet.zones.get(one) == 'zone-0'
            and fleet.zones.get(other) != 'zone-0'
        )
        fleet.run_load(4.0, demands)
        given = fleet.run_load(3.0, demands)
        # It sees itself, 3 and 6, which leave 0.75 of the slots.
        self.check(fleet, demands, given, 0.75 * fleet.slots)
        fleet.cut = lambda one, other: False
        fleet.run_load(4.0, demands)
        given = fleet.run_load(3.0, demands)
        self.check(fleet, demands, given, 0.25 * fleet.slots)
