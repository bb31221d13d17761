"""Tests of callers' shares with reports in the beacons of the relay.

The bounds are those of test_callers, also when a zone is partitioned off.
Reports take at most 600 bytes per second and instance, and none without a
shortage.
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

    def test_a_shortage_over_all_zones_is_detected(self):
        # Each zone asks for 0.4 of the slots, which is no shortage by itself;
        # instances know few callers of other zones.
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

    def test_a_partitioned_zone_uses_its_own_reports(self):
        fleet = self.build(12, 3, 120.0)
        demands = test_callers.build_overload(fleet.slots)
        fleet.run_load(3.0, demands)
        fleet.cut = lambda one, other: (
            fleet.zones.get(one) == 'zone-0'
            and fleet.zones.get(other) != 'zone-0'
        )
        fleet.run_load(4.0, demands)
        given = fleet.run_load(3.0, demands)
        # The zone sees callers 0, 3 and 6; the latter leave 0.75 of the slots.
        self.check(fleet, demands, given, 0.75 * fleet.slots)
        fleet.cut = lambda one, other: False
        fleet.run_load(4.0, demands)
        given = fleet.run_load(3.0, demands)
        self.check(fleet, demands, given, 0.25 * fleet.slots)
