"""Tests of the propagation of changes to every instance."""

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold.measure import _relay_fleet as fleet_module
from skylarkfold.measure import _relay_store
from skylarkfold import relay
from skylarkfold import revision as revisions

ZONES = ('a', 'a', 'a', 'b', 'b', 'c', 'c')
LARGE = {'text': 'x' * 20000}


class PropagationTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = fleet_module.Fleet(ZONES)
        self.fleet.store.put('routes', 'main', {'version': 1})
        self.fleet.run(3.0)

    def is_everywhere(self):
        revisions = self.fleet.get_revisions('routes', 'main')
        newest = self.fleet.store.objects['routes']['main'].revision
        return set(revisions.values()) == {newest}

    def test_all_know_objects_from_before_their_start(self):
        self.assertTrue(self.is_everywhere())

    def test_a_small_change_reaches_all_within_a_tenth_of_a_second(self):
        self.fleet.store.put('routes', 'main', {'version': 2})
        self.fleet.run(0.1)
        self.assertTrue(self.is_everywhere())

    def test_a_large_change_is_fetched(self):
        self.fleet.store.put('routes', 'main', LARGE)
        self.fleet.run(0.1)
        self.assertTrue(self.is_everywhere())

    def test_calls_grow_with_zones_only(self):
        before = self.fleet.store.calls.total()
        for version in range(20):
            self.fleet.run(1.0)
            self.fleet.store.put('routes', 'main', {'version': version})
        self.fleet.run(1.0)
        # Three zones with one watcher each, two topics, 21 s.
        self.assertLess(
            self.fleet.store.calls.total() - before, 3 * (20 + 2 * 8)
        )

    def test_no_instance_watches_before_it_knows_its_rank(self):
        calls = []
        for seconds in (0.0, relay.RelaySettings().duty_seconds):
            settings = relay.RelaySettings(
                topics=fleet_module.TOPICS, duty_seconds=seconds
            )
            fleet = fleet_module.Fleet(ZONES, settings)
            fleet.store.put('routes', 'main', {'version': 1})
            # The first instances that are ready can't hear the others yet.
            fleet.cut = lambda one, other: other != fleet_module.STORE
            fleet.run(0.4)
            fleet.cut = lambda one, other: False
            fleet.run(1.6)
            calls.append(fleet.store.calls.total())
        # Each instance lists two topics; three zones watch both.
        self.assertLessEqual(calls[1], 2 * len(ZONES) + 2 * 3)
        self.assertGreater(calls[0], calls[1])

    def test_instances_without_the_store_learn_changes_from_others(self):
        self.fleet.cut = lambda one, other: (
            other == fleet_module.STORE
            and one in ('entry-0', 'entry-1', 'entry-2', 'entry-3')
        )
        self.fleet.run(1.0)
        self.fleet.store.put('routes', 'main', {'version': 2})
        self.fleet.run(0.5)
        self.assertTrue(self.is_everywhere())

    def test_other_instances_substitute_for_ended_watchers(self):
        for zone in 'abc':
            first = min(
                (
                    name
                    for name, core in self.fleet.cores.items()
                    if self.fleet.zones[name] == zone
                ),
                key=lambda name: self.fleet.cores[name].peers.compute_rank(),
            )
            self.fleet.end(first)
        self.fleet.store.put('routes', 'main', {'version': 2})
        self.fleet.run(2.0)
        self.assertTrue(self.is_everywhere())

    def test_a_zone_learns_missed_changes_after_a_partition(self):
        zones = self.fleet.zones

        def is_cut(one, other):
            return zones.get(one) == 'b' and zones.get(other) != 'b'

        self.fleet.cut = is_cut
        self.fleet.run(0.5)
        self.fleet.store.put('routes', 'main', {'version': 2})
        self.fleet.run(5.0)
        self.assertFalse(self.is_everywhere())
        self.fleet.cut = lambda one, other: False
        self.fleet.run(1.2)
        self.assertTrue(self.is_everywhere())

    def test_hanging_connections_do_not_hide_changes_for_long(self):
        # All watches have just started, so that none of them ends soon.
        fleet = fleet_module.Fleet(ZONES)
        fleet.run(1.0)
        fleet.store.put('routes', 'main', {'version': 2})
        fleet.run(0.3)
        fleet.silent_before = fleet.now
        fleet.store.put('routes', 'main', {'version': 3})
        # The platform counts connections as stable 4 s after a fault.
        fleet.run(3.7)
        revisions = fleet.get_revisions('routes', 'main')
        self.assertEqual({fleet.store.revision}, set(revisions.values()))

    def test_a_new_instance_learns_from_peers_while_the_store_is_down(self):
        self.fleet.is_store_down = True
        self.fleet.start('entry-9', 'c')
        self.fleet.run(0.2)
        self.assertTrue(self.is_everywhere())

    def test_a_deletion_during_a_partition_is_not_undone(self):
        self.fleet.store.put('upstreams', 'one', {'n': 1})
        self.fleet.run(0.5)
        zones = self.fleet.zones
        self.fleet.cut = lambda one, other: (
            zones.get(one) == 'b' and zones.get(other) != 'b'
        )
        self.fleet.run(0.5)
        self.fleet.store.put('upstreams', 'one', None)
        self.fleet.store.forget()
        self.fleet.run(3.0)
        self.fleet.cut = lambda one, other: False
        self.fleet.run(3.0)
        revisions = self.fleet.get_revisions('upstreams', 'one')
        self.assertEqual({0}, set(revisions.values()))

    def test_a_listing_replaces_a_forgotten_history(self):
        self.fleet.is_store_down = True
        self.fleet.run(2.0)
        self.fleet.store.put('routes', 'main', {'version': 2})
        self.fleet.store.forget()
        self.fleet.is_store_down = False
        self.fleet.run(3.0)
        self.assertTrue(self.is_everywhere())

    def test_no_instance_reverts_to_an_older_revision(self):
        for version in range(2, 12):
            self.fleet.store.put('routes', 'main', {'version': version})
            self.fleet.run(0.03)
        seen = {}
        for _, name, changed in self.fleet.changes:
            key = (name, changed.topic)
            self.assertGreaterEqual(changed.revision, seen.get(key, 0))
            seen[key] = changed.revision

    def test_a_deletion_that_a_listing_does_not_show_is_not_missed(
        self,
    ):
        # An instance that lists for the first time knows no deletions, so the
        # last change in its listing must not count as its last change.
        topics = fleet_module.TOPICS
        settings = relay.RelaySettings(topics=topics)
        ahead = relay.RelayCore('ahead', 'a', 'h-0', settings)
        behind = relay.RelayCore('behind', 'a', 'h-1', settings)
        store = _relay_store.FakeStore(topics)
        store.put('routes', 'kept', {})
        store.put('routes', 'gone', {})
        self.list_all(behind, store)
        store.put('routes', 'gone', None)
        self.list_all(ahead, store)
        (sent,) = [
            each
            for each in ahead.announcer.contact(1.0, ['h-1'])
            if isinstance(each, relay.SendBeacon)
        ]
        effects = behind.handle_beacon(1.0, 'h-0', sent.beacon)
        fetches = [each for each in effects if isinstance(each, relay.Fetch)]
        self.assertIn(0, [each.topic for each in fetches])
        position = behind.get_position('routes')
        page = ahead.handle_fetch(1.0, 0, position)
        behind.handle_page(1.0, fetches[0], page)
        paths = [each.path for each in behind.list_items('routes')]
        self.assertEqual(['kept'], paths)

    def test_a_page_that_takes_long_confirms_no_later_state(self):
        topics = fleet_module.TOPICS
        settings = relay.RelaySettings(topics=topics)
        ahead = relay.RelayCore('ahead', 'a', 'h-0', settings)
        behind = relay.RelayCore('behind', 'a', 'h-1', settings)
        store = _relay_store.FakeStore(topics)
        store.put('routes', 'main', LARGE)
        ahead.tick(0.0)
        called_at = settings.first_seconds
        for wanted in ahead.tick(called_at):
            if isinstance(wanted, relay.CallStore):
                answer = store.list(wanted.call.topic)
                ahead.handle_answer(called_at, wanted.call, answer)
        (sent,) = [
            each
            for each in ahead.announcer.contact(1.0, ['h-1'])
            if isinstance(each, relay.SendBeacon)
        ]
        effects = behind.handle_beacon(1.0, 'h-0', sent.beacon)
        fetch, _ = [each for each in effects if isinstance(each, relay.Fetch)]
        page = ahead.handle_fetch(1.1, 0, fetch.position)
        behind.handle_page(1.4, fetch, page)
        age = behind.compute_age(1.4, 'routes')
        self.assertGreaterEqual(age, 1.4 - called_at)

    def test_a_listing_of_slow_pages_is_as_old_as_its_first_call(self):
        settings = relay.RelaySettings(topics=('routes',))
        core = relay.RelayCore('one', 'a', 'h-0', settings)
        core.tick(0.0)
        called_at = settings.first_seconds
        revision = revisions.Revision(5, 1)
        items = [relay.Item('p', revision, revision, {})]
        effects = core.tick(called_at)
        for now, is_truncated in ((0.8, True), (1.6, False)):
            (call,) = [
                each.call
                for each in effects
                if isinstance(each, relay.CallStore)
            ]
            answer = relay.Answer(
                relay.Status.OK, items, revision, is_truncated
            )
            effects = core.handle_answer(now, call, answer)
        age = core.compute_age(1.6, 'routes')
        self.assertAlmostEqual(1.6 - called_at, age)

    @staticmethod
    def list_all(core, store):
        """Let an instance list all topics."""
        for topic in fleet_module.TOPICS:
            call = relay.Call(topic, None, '', 0.0, 1.0)
            core.handle_answer(0.0, call, store.list(topic))

    def test_the_largest_instance_of_a_zone_ranks_first(self):
        self.fleet.start('large', 'a', capacity=20)
        self.fleet.run(2.0)
        for name, core in self.fleet.cores.items():
            rank = core.peers.compute_rank()
            if self.fleet.zones[name] == 'a':
                self.assertEqual(name == 'large', rank == 0)

    def test_a_beacon_with_other_topics_is_ignored(self):
        core = self.fleet.cores['entry-0']
        beacon = relay.Beacon('x', 'a', 0, False, False, ())
        (event,) = core.handle_beacon(self.fleet.now, 'x', beacon)
        self.assertEqual('other-topics', event.reason)


class SeedsTest(testtools.TestCase):
    def count_contacts(self, members):
        """Count the beacons of an instance to an unreachable seed in 20 s."""
        settings = relay.RelaySettings(topics=fleet_module.TOPICS)
        core = relay.RelayCore('one', 'a', '10.0.0.1', settings)
        core.set_seeds(('10.9.9.9',))
        positions = (relay.Position(revisions.ZERO, revisions.ZERO, None),) * 2
        count = 0
        for step in range(200):
            now = step / 10
            for number in range(members):
                beacon = relay.Beacon(
                    f'n-{number}', 'a', 0, False, False, positions
                )
                core.handle_beacon(now, f'10.1.0.{number}', beacon)
            for wanted in core.tick(now):
                if isinstance(wanted, relay.SendBeacon):
                    count += '10.9.9.9' in wanted.hosts
        return count

    def test_a_small_fleet_contacts_an_unreachable_seed_each_second(self):
        self.assertEqual(20, self.count_contacts(5))

    def test_a_large_fleet_contacts_an_unreachable_seed_rarely(self):
        self.assertLessEqual(self.count_contacts(100), 1)


class RandomFaultsTest(testtools.TestCase):
    @hypothesis.given(strategies.data())
    @hypothesis.settings(max_examples=25)
    def test_all_agree_with_the_store_after_the_faults(self, data):
        fleet = fleet_module.Fleet(ZONES)
        fleet.run(1.0)
        names = sorted(fleet.cores)
        written = 0
        for step in range(data.draw(strategies.integers(1, 8))):
            action = data.draw(
                strategies.sampled_from(
                    ['write', 'delete', 'down', 'up', 'forget', 'cut']
                    + ['heal', 'end', 'start']
                )
            )
            topic = data.draw(strategies.sampled_from(fleet_module.TOPICS))
            path = data.draw(strategies.sampled_from(['p', 'q']))
            if action == 'write':
                written += 1
                fleet.store.put(topic, path, {'n': written})
            elif action == 'delete' and path in fleet.store.objects[topic]:
                fleet.store.put(topic, path, None)
            elif action in ('down', 'up'):
                fleet.is_store_down = action == 'down'
            elif action == 'forget':
                fleet.store.forget()
            elif action == 'cut':
                side = set(
                    data.draw(
                        strategies.sets(
                            strategies.sampled_from(
                                [*names, fleet_module.STORE]
                            )
                        )
                    )
                )
                fleet.cut = lambda one, other, side=side: (
                    (one in side) != (other in side)
                )
            elif action == 'heal':
                fleet.cut = lambda one, other: False
            elif action == 'end' and len(fleet.cores) > 2:
                fleet.end(
                    data.draw(strategies.sampled_from(sorted(fleet.cores)))
                )
            elif action == 'start':
                fleet.start(f'new-{step}', 'b')
            fleet.run(data.draw(strategies.sampled_from([0.02, 0.4, 5.0])))
        fleet.is_store_down = False
        fleet.cut = lambda one, other: False
        fleet.run(8.0)
        for topic in fleet_module.TOPICS:
            wanted = {
                path: item.value
                for path, item in fleet.store.objects[topic].items()
            }
            for name, core in fleet.cores.items():
                known = {
                    each.path: each.value for each in core.list_items(topic)
                }
                self.assertEqual(wanted, known, f'{name} {topic}')


class LeaveTest(testtools.TestCase):
    def test_half_of_a_zone_must_stay_in_rotation(self):
        fleet = fleet_module.Fleet(('a', 'a', 'b'))
        fleet.run(2.0)
        core = fleet.cores['entry-0']
        self.assertTrue(core.may_leave(fleet.now))
        fleet.end('entry-1')
        fleet.run(2.0)
        self.assertFalse(core.may_leave(fleet.now))
        fleet.start('entry-1', 'a')
        fleet.run(0.3)
        # It is reachable again, but no readiness check can have passed yet.
        self.assertFalse(core.may_leave(fleet.now))
        fleet.run(0.7)
        self.assertTrue(core.may_leave(fleet.now))

    def test_an_instance_that_leaves_is_not_counted_as_in_rotation(self):
        fleet = fleet_module.Fleet(('a', 'a', 'a', 'b'))
        fleet.run(2.0)
        first, second = fleet.cores['entry-0'], fleet.cores['entry-1']
        fleet.perform('entry-0', first.leave(fleet.now))
        fleet.run(0.1)
        self.assertFalse(second.may_leave(fleet.now))
