"""Tests of what reports of loads cost."""

import testtools

from skylarkfold.measure import _relay_fleet
from skylarkfold import upstream_load

# What an instance may spend on control at the full size.
BUDGET_BYTES = 11 * 1024
SECONDS = 10.0


def tell_loads(fleet, upstreams):
    """Have every instance tell loads of some upstreams."""
    for core in fleet.cores.values():
        core.set_loads(
            {
                token: upstream_load.UpstreamLoad(1 + token % 3, 0.2)
                for token in range(1 << 31, (1 << 31) + upstreams)
            }
        )


class LoadReportLimiterTest(testtools.TestCase):
    def measure(self, instances, upstreams):
        zones = tuple(f'zone-{number % 3}' for number in range(instances))
        fleet = _relay_fleet.Fleet(zones)
        fleet.run(4.0)
        tell_loads(fleet, upstreams)
        fleet.sent.clear()
        fleet.run(SECONDS)
        return fleet

    def test_a_small_fleet_is_told_with_each_beacon(self):
        fleet = self.measure(7, 10)
        core = next(iter(fleet.cores.values()))
        settings = fleet.settings
        told = 104 * 2 / settings.load_bytes_per_second
        self.assertLess(told, settings.beacon_seconds)
        mates = [
            peer
            for peer in core.peers.members.values()
            if peer.zone == core.peers.members[peer.name].zone and peer.loads
        ]
        self.assertTrue(mates)

    def test_many_upstreams_cost_no_more_than_control_may(self):
        for instances, upstreams in ((30, 75), (30, 3800)):
            fleet = self.measure(instances, upstreams)
            spent = max(fleet.sent.values()) / SECONDS
            self.assertLess(spent, BUDGET_BYTES, (instances, upstreams))

    def test_the_busiest_are_told_where_not_all_fit(self):
        fleet = self.measure(7, 10)
        name, core = next(iter(fleet.cores.items()))
        core.set_loads(
            {
                token: upstream_load.UpstreamLoad(1, token / 1000)
                for token in range(1, 1000)
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
