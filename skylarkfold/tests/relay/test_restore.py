"""A store that comes back from a copy some seconds old.

Seen: for 5.6 to 7 s after the store was back no instance learnt anything,
though all of them called it ten times as often as usual; then most went on,
and some never heard of what had been written in between. New flows went to
an upstream 3.1 s after it had said that it leaves, and where only a
configuration sent them that had been replaced 3.1 and 3.3 s before.

How: the store had come back from a copy and gave out revisions again. Each
instance's own revision was above the store's: a watch from it was answered as
forgotten, the listing after that was thrown away as older than what was
known, and again, until the counter had passed it. A change that got the
revision of a lost one was taken for it, and what was written below the
instance's revision was in no watch after it.

Cause: a revision was compared without the era that it is of. Proof: the lines
``store-behind`` of all seven instances here, and revisions 26 and 28 in the
recorded lines: a store whose listings all had 28 before gave them to an
upstream that leaves and to a configuration.
"""

import testtools

from skylarkfold.measure import _relay_fleet as fleet_module

ZONES = ('a', 'a', 'a', 'b', 'b', 'c', 'c')
# A change, and the word that an upstream leaves, must be in force after it.
BOUND_SECONDS = 3.0
AWAY_SECONDS = 2.5
WATCH_SECONDS = 4.0
# For each of two topics, a watcher in each of three zones: a watch that
# fails, a listing, a watch that ends and one that waits; and one to spare.
MOST_CALLS = 2 * 3 * 5


class RestoreTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = fleet_module.Fleet(ZONES)
        self.store = self.fleet.store
        self.store.put('routes', 'main', {'version': 1})
        self.store.put('upstreams', 'one', {'state': 'ready'})
        self.fleet.run(3.0)
        self.saved = self.store.copy()

    def lose(self, writes):
        """Have everyone know some writes, and the store lose them."""
        for number in range(writes):
            self.store.put('routes', 'main', {'version': 2 + number})
        # Watches that bring nothing have told by then how far the store is.
        self.fleet.run(WATCH_SECONDS)
        self.fleet.is_store_down = True
        self.fleet.run(AWAY_SECONDS)
        self.store.restore(self.saved)
        self.fleet.is_store_down = False

    def list_values(self, topic, path):
        """List what the instances take an object for."""
        found = []
        for core in self.fleet.cores.values():
            items = {each.path: each for each in core.list_items(topic)}
            value = items[path].value if path in items else None
            if value not in found:
                found.append(value)
        return found

    def test_what_is_written_after_the_return_is_in_force_in_time(self):
        self.lose(writes=12)
        self.fleet.run(4.0)
        self.store.put('routes', 'main', {'version': 20})
        self.store.put('upstreams', 'one', {'state': 'draining'})
        self.fleet.run(BOUND_SECONDS)
        self.assertEqual([{'version': 20}], self.list_values('routes', 'main'))
        self.assertEqual(
            [{'state': 'draining'}], self.list_values('upstreams', 'one')
        )

    def test_what_gets_the_number_of_a_lost_change_is_not_taken_for_it(self):
        self.lose(writes=2)
        self.fleet.run(1.0)
        self.store.put('upstreams', 'one', {'state': 'draining'})
        self.store.put('routes', 'main', {'version': 20})
        self.fleet.run(BOUND_SECONDS)
        self.assertEqual([{'version': 20}], self.list_values('routes', 'main'))
        self.assertEqual(
            [{'state': 'draining'}], self.list_values('upstreams', 'one')
        )

    def test_what_was_written_before_they_could_call_is_missed_by_nobody(self):
        # The store serves others, and has passed the instances' revision
        # again when it serves them.
        self.lose(writes=2)
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

    def test_the_return_is_no_rush_onto_the_store(self):
        self.lose(writes=12)
        before = self.store.calls.total()
        self.fleet.run(4.0)
        self.assertLessEqual(self.store.calls.total() - before, MOST_CALLS)
