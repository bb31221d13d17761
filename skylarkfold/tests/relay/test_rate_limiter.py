"""Tests of the bytes that load reports take."""

import testtools

from skylarkfold.measure import _relay_fleet
from skylarkfold import upstream_load

# The limit for the control traffic of an instance in a full-size fleet.
BUDGET_BYTES = 11 * 1024
SECONDS = 10.0


def report_loads(fleet, upstreams):
    """Have every instance report loads of some upstreams."""
    for core in fleet.cores.values():
        core.set_loads(
            {
                incarnation: upstream_load.UpstreamLoad(
                    1 + incarnation % 3, 0.2
                )
                for incarnation in range(1 << 31, (1 << 31) + upstreams)
            }
        )


class LoadReportLimiterTest(testtools.TestCase):
    def measure(self, instances, upstreams):
        zones = tuple(f'zone-{number % 3}' for number in range(instances))
        fleet = _relay_fleet.Fleet(zones)
        fleet.run(4.0)
        report_loads(fleet, upstreams)
        fleet.sent.clear()
        fleet.run(SECONDS)
        return fleet

    def test_small_reports_are_in_each_beacon(self):
        fleet = self.measure(7, 10)
        core = next(iter(fleet.cores.values()))
        settings = fleet.settings
        report_interval = 104 * 2 / settings.load_bytes_per_second
        self.assertLess(report_interval, settings.beacon_seconds)
        mates = [
            peer
            for peer in core.peers.members.values()
            if peer.zone == core.peers.members[peer.name].zone and peer.loads
        ]
        self.assertTrue(mates)

    def test_reports_on_many_upstreams_stay_within_the_limit(self):
        for instances, upstreams in ((30, 75), (30, 3800)):
            fleet = self.measure(instances, upstreams)
            spent = max(fleet.sent.values()) / SECONDS
            self.assertLess(spent, BUDGET_BYTES, (instances, upstreams))

    def test_the_busiest_upstreams_are_reported_if_not_all_fit(self):
        fleet = self.measure(7, 10)
        name, core = next(iter(fleet.cores.items()))
        core.set_loads(
            {
                incarnation: upstream_load.UpstreamLoad(1, incarnation / 1000)
                for incarnation in range(1, 1000)
            }
        )
        fleet.run(SECONDS)
        mate = next(
            each
            for other, each in fleet.cores.items()
            if other != name and fleet.zones[other] == fleet.zones[name]
        )
        loads = mate.peers.members[name].loads
        self.assertEqual(fleet.settings.load_entries, len(loads))
        self.assertEqual(999, max(loads))
        self.assertEqual(1000 - len(loads), min(loads))
