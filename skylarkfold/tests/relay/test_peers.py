"""Tests of the instances' view of the fleet."""

import random

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold.measure import _relay_fleet as fleet_module
from skylarkfold import relay
from skylarkfold import revision as revisions

ZONES = ('a', 'b', 'c')
SIZE = 60


class PeersTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = fleet_module.Fleet(
            tuple(ZONES[number % len(ZONES)] for number in range(SIZE))
        )
        self.fleet.store.put('routes', 'main', {'version': 1})
        self.fleet.run(8.0)

    def list_mates(self, name):
        """Return the reachable instances in the zone of an instance."""
        members = self.fleet.cores[name].peers.members.values()
        zone = self.fleet.zones[name]
        return {
            each.name
            for each in members
            if each.zone == zone and each.is_reachable
        }

    def list_zone(self, zone):
        return {
            name for name in self.fleet.cores if self.fleet.zones[name] == zone
        }

    def count_wrong_views(self):
        """Count the instances whose view of their zone is wrong."""
        return sum(
            self.list_mates(name) != self.list_zone(self.fleet.zones[name])
            for name in self.fleet.cores
        )

    def count_one_sided_links(self):
        """Count the links that only one of the two instances has."""
        return sum(
            name not in self.fleet.cores[other].peers.list_neighbours()
            for name, core in self.fleet.cores.items()
            for other in core.peers.list_neighbours()
            if other in self.fleet.cores
        )

    def list_first_zones(self):
        """Return the zones of all instances that rank themselves first."""
        return sorted(
            self.fleet.zones[name]
            for name, core in self.fleet.cores.items()
            if core.peers.compute_rank() == 0
        )

    def test_nobody_is_unreachable_while_all_are_up(self):
        for _ in range(40):
            self.fleet.run(0.5)
            self.assertEqual(0, self.count_wrong_views())
            self.assertEqual(0, self.count_one_sided_links())

    def test_each_zone_has_one_first_instance(self):
        self.fleet.run(10.0)
        self.assertEqual(sorted(ZONES), self.list_first_zones())

    def test_ended_instances_are_unreachable_within_two_seconds(self):
        for name in sorted(self.list_zone('b'))[:4]:
            self.fleet.end(name)
        self.fleet.run(2.0)
        self.assertEqual(0, self.count_wrong_views())
        for _ in range(24):
            # Gossip that is still under way doesn't bring them back.
            self.fleet.run(0.5)
            self.assertEqual(0, self.count_wrong_views())

    def test_the_first_of_a_zone_is_replaced_within_two_seconds(self):
        for zone in ZONES:
            ranks = {
                name: self.fleet.cores[name].peers.compute_rank()
                for name in self.list_zone(zone)
            }
            self.fleet.end(min(ranks, key=ranks.get))
        self.fleet.run(2.0)
        self.assertEqual(sorted(ZONES), self.list_first_zones())

    def test_an_instance_is_reachable_again_after_a_partition(self):
        chosen = sorted(self.list_zone('c'))[2]
        self.fleet.cut = lambda one, other: chosen in (one, other)
        self.fleet.run(5.0)
        others = self.list_zone('c') - {chosen}
        self.assertNotIn(chosen, self.list_mates(min(others)))
        self.fleet.cut = lambda one, other: False
        self.fleet.run(4.0)
        self.assertEqual(0, self.count_wrong_views())
        self.assertEqual(0, self.count_one_sided_links())

    def test_a_zone_is_linked_again_after_a_partition(self):
        inside = self.list_zone('a')
        self.fleet.cut = lambda one, other: (
            (one in inside) != (other in inside)
        )
        self.fleet.run(15.0)
        self.assertEqual(0, self.count_wrong_views())
        self.fleet.cut = lambda one, other: False
        self.fleet.run(3.0)
        self.assertEqual(0, self.count_wrong_views())
        self.assertEqual(0, self.count_one_sided_links())


class PauseTest(testtools.TestCase):
    def test_a_paused_instance_does_not_revive_ended_ones(self):
        settings = relay.RelaySettings(topics=fleet_module.TOPICS)
        core = relay.RelayCore('one', 'a', '10.0.0.1', settings)
        positions = (relay.Position(revisions.ZERO, revisions.ZERO, None),) * 2
        beacon = relay.Beacon('two', 'a', 0, False, False, positions)
        core.tick(0.0)
        core.handle_beacon(0.1, '10.0.0.2', beacon)
        core.tick(5.0)
        _, ages = core.peers.gossip.choose_for_zone(5.0)
        (age,) = ages.values()
        self.assertAlmostEqual(4.9, age)
        # The instance gets time to be heard again.
        self.assertTrue(core.peers.members['two'].is_reachable)
        core.tick(5.5)
        core.tick(6.0)
        core.tick(6.5)
        self.assertFalse(core.peers.members['two'].is_reachable)


class RandomChangesTest(testtools.TestCase):
    """All views agree again five seconds after random faults."""

    ACTIONS = ('end', 'start', 'restart', 'cut', 'loss', 'heal', 'all')

    @hypothesis.given(
        strategies.sampled_from((5, 12, 24)),
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(ACTIONS),
                strategies.integers(0, 2**16),
                strategies.sampled_from((0.05, 0.5, 2.0, 6.0)),
            ),
            min_size=1,
            max_size=8,
        ),
    )
    @hypothesis.settings(max_examples=40, deadline=None)
    def test_views_agree_again(self, size, steps):
        fleet = fleet_module.Fleet(
            tuple(ZONES[number % len(ZONES)] for number in range(size))
        )
        fleet.store.put('routes', 'main', {'version': 1})
        fleet.run(3.0)
        for action, drawn, seconds in steps:
            self.perform(fleet, action, drawn)
            fleet.run(seconds)
        fleet.cut = lambda one, other: False
        fleet.run(5.0)
        for _ in range(2):
            for name, core in fleet.cores.items():
                self.check_view(fleet, name, core)
            # Gossip that is still under way doesn't change that later.
            fleet.run(10.0)

    def perform(self, fleet, action, drawn):
        names = sorted(fleet.cores)
        name = names[drawn % len(names)]
        zone = ZONES[drawn % len(ZONES)]
        if action == 'end' and len(names) > len(ZONES):
            fleet.end(name)
        elif action == 'start':
            fleet.start(f'new-{drawn}', zone)
        elif action == 'restart':
            fleet.end(name)
            fleet.run(drawn % 5 + 0.3)
            fleet.start(name, fleet.zones[name])
        elif action == 'cut':
            inside = {each for each in names if fleet.zones[each] == zone}
            fleet.cut = lambda one, other: (one in inside) != (other in inside)
        elif action == 'loss':
            generator = random.Random(drawn)
            fleet.cut = lambda one, other: generator.random() < 0.05
        elif action == 'heal':
            fleet.cut = lambda one, other: False
        elif action == 'all':
            for each in names:
                fleet.end(each)
            fleet.run(0.5)
            for each in names:
                fleet.start(each, fleet.zones[each])

    def check_view(self, fleet, name, core):
        zone = fleet.zones[name]
        reachable = {
            each.name
            for each in core.peers.members.values()
            if each.zone == zone and each.is_reachable
        }
        expected = {each for each in fleet.cores if fleet.zones[each] == zone}
        self.assertEqual(expected, reachable, f'{name} at {fleet.now}')
        for other in core.peers.list_neighbours():
            theirs = fleet.cores[other].peers.list_neighbours()
            self.assertIn(name, theirs, f'{other} at {fleet.now}')
