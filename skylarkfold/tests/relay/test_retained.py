"""Tests of objects that are retained after the store was restored.

The store has lost them, and their writers haven't written them again yet.
"""

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold.measure import _relay_fleet as fleet_module
from skylarkfold import relay
from skylarkfold import revision as revisions
from skylarkfold.tests import items
from skylarkfold.tests.relay import test_eras

ZONES = ('a', 'a', 'a', 'b', 'b', 'c', 'c')
ROUTES = 'routes'
UPSTREAMS = 'upstreams'
LASTING_SECONDS = 8.0
SETTINGS = relay.RelaySettings(
    topics=fleet_module.TOPICS,
    lasting_topics=(ROUTES,),
    lasting_seconds=LASTING_SECONDS,
)
REWRITE_SECONDS = SETTINGS.rewrite_seconds
# By when an answer of the store has reached all instances.
ANSWERED_SECONDS = 0.5
# By when a watch that was started before the return has ended.
RETURN_SECONDS = SETTINGS.wait_seconds + SETTINGS.overdue_seconds


class VersionPolicy:
    """Retention policy that compares the versions in routes."""

    def compute_retention_seconds(self, topic, former, current, is_fresh):
        if topic != ROUTES:
            return 0.0
        is_later = former.value['version'] > current.value['version']
        return LASTING_SECONDS if is_later else 0.0


class RetainedTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = fleet_module.Fleet(ZONES, SETTINGS, VersionPolicy())
        self.store = self.fleet.store
        self.store.put(ROUTES, 'main', {'version': 1})
        self.store.put(UPSTREAMS, 'old', {'state': 'ready'})
        self.store.put(UPSTREAMS, 'ended', {'state': 'ready'})
        self.fleet.run(6.0)
        self.saved = self.store.copy()
        for version in (5, 8):
            self.store.put(ROUTES, 'main', {'version': version})
        self.store.put(UPSTREAMS, 'new', {'state': 'ready'})
        self.store.put(UPSTREAMS, 'ended', None)
        self.fleet.run(1.0)

    def restore_store(self):
        """Restore the store and wait until all instances know it."""
        self.fleet.is_store_down = True
        self.fleet.run(RETURN_SECONDS)
        self.store.restore(self.saved)
        self.fleet.is_store_down = False
        self.fleet.run(1.2)
        self.assertEqual(
            {self.store.era},
            {
                core.get_position(ROUTES).era
                for core in self.fleet.cores.values()
            },
        )

    def list_versions(self):
        found = set()
        for core in self.fleet.cores.values():
            (item,) = core.list_items(ROUTES)
            found.add(item.value['version'])
        return found

    def list_upstreams(self):
        return {
            tuple(sorted(each.path for each in core.list_items(UPSTREAMS)))
            for core in self.fleet.cores.values()
        }

    def count_retained(self, topic):
        return {
            core.count_retained(topic) for core in self.fleet.cores.values()
        }

    def list_events(self, reason, topic):
        return {
            name
            for _, name, event in self.fleet.notes
            if event.reason == reason and event.details.get('topic') == topic
        }

    def test_a_configuration_does_not_revert_to_an_older_version(self):
        self.restore_store()
        self.assertEqual({8}, self.list_versions())
        self.assertEqual({1}, self.count_retained(ROUTES))
        self.assertEqual(
            set(self.fleet.cores), self.list_events('retained', ROUTES)
        )

    def test_a_repeated_write_ends_the_retention(self):
        self.restore_store()
        self.store.put(ROUTES, 'main', {'version': 8})
        self.fleet.run(ANSWERED_SECONDS)
        self.assertEqual({8}, self.list_versions())
        self.assertEqual({0}, self.count_retained(ROUTES))
        self.assertEqual(
            set(self.fleet.cores), self.list_events('written-again', ROUTES)
        )

    def test_lost_versions_that_are_repeated_in_order_revert_nothing(
        self,
    ):
        self.restore_store()
        for version in (3, 5, 8):
            self.store.put(ROUTES, 'main', {'version': version})
            self.fleet.run(ANSWERED_SECONDS)
            self.assertEqual({8}, self.list_versions())
        self.assertEqual({0}, self.count_retained(ROUTES))

    def test_a_later_version_is_in_force_at_once(self):
        self.restore_store()
        self.store.put(ROUTES, 'main', {'version': 9})
        self.fleet.run(ANSWERED_SECONDS)
        self.assertEqual({9}, self.list_versions())

    def test_an_object_that_is_never_written_again_expires(self):
        self.restore_store()
        self.fleet.run(LASTING_SECONDS - 2.0)
        self.assertEqual({8}, self.list_versions())
        self.fleet.run(2.0 + ANSWERED_SECONDS)
        self.assertEqual({1}, self.list_versions())
        self.assertEqual(
            set(self.fleet.cores), self.list_events('given-up', ROUTES)
        )
        changed = {
            (name, tuple(each.paths))
            for at, name, each in self.fleet.changes
            if each.topic == ROUTES and at > self.fleet.now - 3.0
        }
        self.assertEqual(
            {(name, ('main',)) for name in self.fleet.cores}, changed
        )

    def test_a_lower_version_is_in_force_after_the_expiry(self):
        self.restore_store()
        self.fleet.run(LASTING_SECONDS + ANSWERED_SECONDS)
        self.store.put(ROUTES, 'main', {'version': 2})
        self.fleet.run(ANSWERED_SECONDS)
        self.assertEqual({2}, self.list_versions())

    def test_a_lost_upstream_is_retained_until_it_is_written_again(self):
        self.restore_store()
        self.assertEqual({('new', 'old')}, self.list_upstreams())
        self.store.put(UPSTREAMS, 'new', {'state': 'ready'})
        self.fleet.run(REWRITE_SECONDS + ANSWERED_SECONDS)
        self.store.put(UPSTREAMS, 'ended', None)
        self.fleet.run(ANSWERED_SECONDS)
        self.assertEqual({('new', 'old')}, self.list_upstreams())
        self.assertEqual({0}, self.count_retained(UPSTREAMS))

    def test_an_upstream_that_is_not_written_again_expires(self):
        self.restore_store()
        self.fleet.run(REWRITE_SECONDS - 1.2)
        self.assertEqual({('new', 'old')}, self.list_upstreams())
        self.fleet.run(1.2 + ANSWERED_SECONDS)
        # An object whose deletion was lost is back as well.
        self.assertEqual({('ended', 'old')}, self.list_upstreams())

    def test_a_deleted_upstream_that_is_created_again_exists_at_once(self):
        self.restore_store()
        self.store.put(UPSTREAMS, 'ended', None)
        self.store.put(UPSTREAMS, 'ended', {'state': 'ready'})
        self.fleet.run(ANSWERED_SECONDS)
        self.assertEqual({('ended', 'new', 'old')}, self.list_upstreams())

    def test_an_upstream_created_again_before_the_listing_exists(self):
        # The listing after the return has a new object with the same path.
        self.fleet.is_store_down = True
        self.fleet.run(RETURN_SECONDS)
        self.store.restore(self.saved)
        self.store.put(UPSTREAMS, 'ended', None)
        self.store.put(UPSTREAMS, 'ended', {'state': 'ready'})
        self.fleet.is_store_down = False
        self.fleet.run(1.2)
        self.assertEqual({('ended', 'new', 'old')}, self.list_upstreams())

    def test_retained_objects_expire_only_with_an_answer_of_the_store(self):
        self.restore_store()
        self.fleet.is_store_down = True
        self.fleet.run(20.0)
        self.assertEqual({('new', 'old')}, self.list_upstreams())
        self.assertEqual({8}, self.list_versions())
        self.fleet.is_store_down = False
        self.fleet.run(RETURN_SECONDS)
        self.assertEqual({('ended', 'old')}, self.list_upstreams())
        self.assertEqual({1}, self.list_versions())

    def test_objects_are_retained_over_two_returns(self):
        self.restore_store()
        # No watch is under way at the return, since this is between two
        # answers of the store.
        self.store.restore(self.saved)
        eras = set()
        while eras != {3}:
            self.assertEqual({('new', 'old')}, self.list_upstreams())
            self.assertEqual({8}, self.list_versions())
            self.fleet.run(0.05)
            eras = {
                core.get_position(topic).era
                for core in self.fleet.cores.values()
                for topic in fleet_module.TOPICS
            }
        self.fleet.run(ANSWERED_SECONDS)
        self.assertEqual({('new', 'old')}, self.list_upstreams())
        self.assertEqual({8}, self.list_versions())
        self.fleet.run(LASTING_SECONDS + RETURN_SECONDS)
        self.assertEqual({('ended', 'old')}, self.list_upstreams())
        self.assertEqual({1}, self.list_versions())

    def test_a_new_instance_learns_retained_objects_from_peers(self):
        self.restore_store()
        self.fleet.start('newcomer', 'b')
        self.fleet.run(ANSWERED_SECONDS)
        self.assertEqual({8}, self.list_versions())
        self.assertEqual({('new', 'old')}, self.list_upstreams())

    def test_retained_objects_are_learnt_after_a_partition(self):
        self.restore_store()
        self.fleet.cut = lambda one, other: (
            one == 'newcomer' and other != fleet_module.STORE
        )
        self.fleet.start('newcomer', 'b')
        self.fleet.run(ANSWERED_SECONDS)
        (item,) = self.fleet.cores['newcomer'].list_items(ROUTES)
        self.assertEqual(1, item.value['version'])
        self.fleet.cut = lambda one, other: False
        self.fleet.run(1.5)
        self.assertEqual({8}, self.list_versions())

    def test_a_peer_s_retained_objects_do_not_override_later_versions(self):
        # The peer missed a deletion before the return, so it retains the
        # object.
        core = self.fleet.cores['entry-0']
        position = core.get_position(UPSTREAMS)
        era = position.era + 1
        gone = items.build_item('ended', 4, 4, {'state': 'ready'}, 1)
        page = relay.Page(
            revisions.ZERO,
            revisions.Revision(4, era),
            True,
            0.0,
            (items.build_item('old', 3, 3, {'state': 'ready'}, era),),
            0.1,
            (relay.RetainedItem(gone, 2.0),),
        )
        fetch = relay.Fetch('x', 1, position, 0.5)
        core.handle_page(self.fleet.now, fetch, page)
        paths = [each.path for each in core.list_items(UPSTREAMS)]
        self.assertEqual(['new', 'old'], sorted(paths))

    def test_a_retained_object_that_is_passed_on_expires_in_time(self):
        self.restore_store()
        for number in range(5):
            self.fleet.run(1.0)
            self.fleet.start(f'newcomer-{number}', 'b')
        self.fleet.run(LASTING_SECONDS - 5.0 + 2 * ANSWERED_SECONDS)
        self.assertEqual({1}, self.list_versions())
        self.assertEqual({0}, self.count_retained(ROUTES))

    def test_a_topic_is_settled_after_its_writers_had_time(self):
        self.restore_store()
        cores = self.fleet.cores.values()
        self.assertEqual({False}, {each.is_settled(ROUTES) for each in cores})
        self.store.put(ROUTES, 'main', {'version': 8})
        self.store.put(UPSTREAMS, 'new', {'state': 'ready'})
        self.store.put(UPSTREAMS, 'ended', None)
        self.fleet.run(REWRITE_SECONDS + ANSWERED_SECONDS)
        for topic in fleet_module.TOPICS:
            settled = {each.is_settled(topic) for each in cores}
            self.assertEqual({True}, settled)

    def test_a_new_instance_among_others_is_settled_at_once(self):
        self.fleet.run(REWRITE_SECONDS)
        self.fleet.start('newcomer', 'b')
        self.fleet.run(ANSWERED_SECONDS)
        core = self.fleet.cores['newcomer']
        self.assertTrue(core.is_settled(ROUTES))

    def test_routes_are_settled_in_time_after_a_start_of_the_fleet(
        self,
    ):
        # The platform counts a machine as stable 4 s after its start.
        fleet = fleet_module.Fleet(ZONES, SETTINGS, VersionPolicy())
        fleet.store.put(ROUTES, 'main', {'version': 1})
        fleet.run(REWRITE_SECONDS - 0.2)
        cores = fleet.cores.values()
        self.assertEqual({False}, {each.is_settled(ROUTES) for each in cores})
        fleet.run(0.2 + ANSWERED_SECONDS)
        self.assertEqual({True}, {each.is_settled(ROUTES) for each in cores})

    def test_only_watchers_call_the_store_after_a_return(self):
        self.fleet.is_store_down = True
        self.fleet.run(2.0)
        self.store.restore(self.saved)
        self.fleet.is_store_down = False
        before = self.store.calls.total()
        self.fleet.run(LASTING_SECONDS + RETURN_SECONDS)
        calls = self.store.calls.total() - before
        # For each topic and zone: a watch that fails, a listing, a watch each
        # 3 s, and two short ones until the topic is settled.
        watches = (LASTING_SECONDS + RETURN_SECONDS) / 3.0 + 1
        self.assertLessEqual(calls, 2 * 3 * (2 + watches + 2))


class RandomReturnsTest(testtools.TestCase):
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    ['write', 'copy', 'return', 'turn', 'cut', 'heal']
                    + ['end', 'start', 'down', 'late']
                ),
                strategies.integers(0, 6),
                strategies.sampled_from([0.05, 0.4, 1.0, 2.5]),
            ),
            max_size=10,
        )
    )
    @hypothesis.settings(max_examples=60, deadline=None)
    def test_no_version_reverts_and_all_agree_in_the_end(self, steps):
        """An operator repeats lost writes within 2 s."""
        fleet = fleet_module.Fleet(ZONES, SETTINGS, VersionPolicy())
        operator = Operator(fleet)
        operator.write()
        fleet.run(1.0)
        saved = fleet.store.copy()
        seen = {}
        for count, (kind, number, seconds) in enumerate(steps):
            if kind == 'write':
                operator.write()
            elif kind == 'copy':
                saved = fleet.store.copy()
            elif kind == 'return':
                fleet.store.restore(saved)
                operator.write_again_at = fleet.now + 2.0
            elif kind == 'late':
                operator.write_earlier_version()
            else:
                test_eras.inject_fault(fleet, kind, number, count)
            operator.run(seconds)
            self.check_versions(fleet, seen)
        fleet.cut = lambda one, other: False
        fleet.is_store_down = False
        for _ in range(12):
            operator.run(1.0)
            self.check_versions(fleet, seen)
        for core in fleet.cores.values():
            (item,) = core.list_items(ROUTES)
            self.assertEqual(operator.version, item.value['version'])
            self.assertEqual(0, core.count_retained(ROUTES))

    def check_versions(self, fleet, seen):
        """Check that no instance has reverted to an older version."""
        for core in fleet.cores.values():
            for item in core.list_items(ROUTES):
                version = item.value['version']
                self.assertGreaterEqual(version, seen.get(core, 0))
                seen[core] = version


class Operator:
    """Operator who writes configurations and repeats lost writes."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.version = 1
        self.write_again_at = None

    def write(self):
        self.version += 1
        self.fleet.store.put(ROUTES, 'main', {'version': self.version})
        self.write_again_at = None

    def write_earlier_version(self):
        """Repeat an earlier write while a lost one is still to be repeated."""
        if self.write_again_at is not None:
            self.fleet.store.put(ROUTES, 'main', {'version': 1})

    def run(self, seconds):
        """Run the fleet, with a repeated write when it is due."""
        at = self.write_again_at
        if at is not None and at <= self.fleet.now + seconds:
            self.fleet.run(max(0.0, at - self.fleet.now))
            self.fleet.store.put(ROUTES, 'main', {'version': self.version})
            self.write_again_at = None
        self.fleet.run(seconds)
