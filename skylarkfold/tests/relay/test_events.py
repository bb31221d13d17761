"""Tests of the events that show from where an instance has its state."""

import testtools

from skylarkfold.measure import _relay_fleet as fleet_module
from skylarkfold import revision as revisions

ZONES = ('a', 'a', 'a', 'b')
# After a start, by when only the selected watchers watch the store.
REST_SECONDS = 9.0
# The store's first era.
ERA = 1


class EventsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = fleet_module.Fleet(ZONES)
        self.fleet.store.put('routes', 'main', {'version': 1})
        self.fleet.run(REST_SECONDS)

    def list_events(self, reason):
        return [
            (name, event.details)
            for _, name, event in self.fleet.notes
            if event.reason == reason
        ]

    def test_a_stale_listing_is_logged_once(self):
        saved = self.fleet.store.copy()
        for version in range(2, 9):
            self.fleet.store.put('routes', 'main', {'version': version})
        self.fleet.run(1.0)
        self.assertEqual([], self.list_events('store-behind'))
        # The store doesn't start a new era.
        self.fleet.store.restore(saved, is_said=False)
        self.fleet.run(4.0)
        events = self.list_events('store-behind')
        names = [
            name for name, details in events if details['topic'] == 'routes'
        ]
        self.assertEqual(sorted(set(names)), sorted(names))
        self.assertNotEqual([], names)
        for _, details in events:
            self.assertEqual('1:2', details['revision'])
            self.assertEqual('1:9', details['position'])

    def test_a_position_that_a_peer_advances_is_logged(self):
        self.fleet.store.put('upstreams', 'one', {})
        self.fleet.run(5.0)
        moved = {
            (name, details['topic'])
            for name, details in self.list_events('advanced')
            if details['since'] < details['revision']
        }
        self.assertIn('routes', {topic for _, topic in moved})

    def test_a_change_of_duty_is_logged_with_its_reason(self):
        watchers = {
            name
            for name, details in self.list_events('duty')
            if details['duty'] == 'watcher'
        }
        self.fleet.notes.clear()
        self.fleet.cut = lambda one, other: (
            one in watchers and other == fleet_module.STORE
        )
        self.fleet.run(REST_SECONDS)
        substitutes = [
            (name, details)
            for name, details in self.list_events('duty')
            if details['duty'] == 'substitute'
        ]
        self.assertFalse(watchers.issuperset(name for name, _ in substitutes))
        for _, details in substitutes:
            self.assertIn(details['topic'], fleet_module.TOPICS)
            self.assertGreater(details['age_ms'], 0)
            self.assertGreaterEqual(details['rank'], 0)

    def test_a_change_has_the_positions_before_and_after(self):
        self.fleet.store.put('routes', 'main', {'version': 2})
        self.fleet.run(1.0)
        learnt = {
            (each.base, each.revision)
            for _, _, each in self.fleet.changes
            if each.topic == 'routes' and each.base
        }
        self.assertEqual(
            {(revisions.Revision(2, ERA), revisions.Revision(3, ERA))}, learnt
        )

    def test_positions_can_be_read(self):
        found = {
            core.get_position('routes') for core in self.fleet.cores.values()
        }
        self.assertEqual({revisions.Revision(2, ERA)}, found)
