"""Tests of a store that is restored from a copy some seconds old.

A restored store gives out revisions again. Instances must not compare
revisions of different eras: they would ignore listings as stale, take a new
change for a lost one of the same number, and miss changes in watches.
"""

import testtools

from skylarkfold.measure import _relay_fleet as fleet_module

ZONES = ('a', 'a', 'a', 'b', 'b', 'c', 'c')
# By when a change or the state of an upstream must be in force.
BOUND_SECONDS = 3.0
OUTAGE_SECONDS = 2.5
WATCH_SECONDS = 4.0
# For each of two topics and three zones: a watch that fails, a listing, a
# watch that ends, one that is held, and one to spare.
MAXIMUM_CALLS = 2 * 3 * 5


class RestoreTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = fleet_module.Fleet(ZONES)
        self.store = self.fleet.store
        self.store.put('routes', 'main', {'version': 1})
        self.store.put('upstreams', 'one', {'state': 'ready'})
        self.fleet.run(3.0)
        self.saved = self.store.copy()

    def lose_writes(self, writes):
        """Let all instances learn some writes that the store then loses."""
        for number in range(writes):
            self.store.put('routes', 'main', {'version': 2 + number})
        # By then, watches without changes have returned the store's position.
        self.fleet.run(WATCH_SECONDS)
        self.fleet.is_store_down = True
        self.fleet.run(OUTAGE_SECONDS)
        self.store.restore(self.saved)
        self.fleet.is_store_down = False

    def list_values(self, topic, path):
        """Return the different values that instances have for an object."""
        found = []
        for core in self.fleet.cores.values():
            items = {each.path: each for each in core.list_items(topic)}
            value = items[path].value if path in items else None
            if value not in found:
                found.append(value)
        return found

    def test_writes_after_the_return_are_in_force_in_time(self):
        self.lose_writes(writes=12)
        self.fleet.run(4.0)
        self.store.put('routes', 'main', {'version': 20})
        self.store.put('upstreams', 'one', {'state': 'draining'})
        self.fleet.run(BOUND_SECONDS)
        self.assertEqual([{'version': 20}], self.list_values('routes', 'main'))
        self.assertEqual(
            [{'state': 'draining'}], self.list_values('upstreams', 'one')
        )

    def test_a_write_with_the_number_of_a_lost_one_is_not_mixed_up(self):
        self.lose_writes(writes=2)
        self.fleet.run(1.0)
        self.store.put('upstreams', 'one', {'state': 'draining'})
        self.store.put('routes', 'main', {'version': 20})
        self.fleet.run(BOUND_SECONDS)
        self.assertEqual([{'version': 20}], self.list_values('routes', 'main'))
        self.assertEqual(
            [{'state': 'draining'}], self.list_values('upstreams', 'one')
        )

    def test_writes_before_the_store_can_be_called_are_not_missed(self):
        # Other clients write to the store, whose revision has passed that of
        # the instances when they can call it again.
        self.lose_writes(writes=2)
        self.fleet.is_store_down = True
        self.store.put('upstreams', 'one', {'state': 'draining'})
        for version in range(20, 24):
            self.store.put('routes', 'main', {'version': version})
        self.fleet.run(1.0)
        self.fleet.is_store_down = False
        self.fleet.run(BOUND_SECONDS)
        self.assertEqual(
            [{'state': 'draining'}], self.list_values('upstreams', 'one')
        )
        self.assertEqual([{'version': 23}], self.list_values('routes', 'main'))

    def test_the_return_causes_no_burst_of_calls(self):
        self.lose_writes(writes=12)
        before = self.store.calls.total()
        self.fleet.run(4.0)
        self.assertLessEqual(self.store.calls.total() - before, MAXIMUM_CALLS)
