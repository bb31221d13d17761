"""Tests of what instances go on with that the store has lost.

It came back from an older copy, and its writers have not written again yet.
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
# By when the store's return is known, and its word about something due is.
HEARD_SECONDS = 0.5
# A watch that began before the return ends at last.
RETURN_SECONDS = SETTINGS.wait_seconds + SETTINGS.overdue_seconds


class ByVersion:
    """Routes have a version of their own, whatever was written when."""

    def compute_retention_seconds(self, topic, former, current, is_fresh):
        if topic != ROUTES:
            return 0.0
        is_later = former.value['version'] > current.value['version']
        return LASTING_SECONDS if is_later else 0.0


class RetainedTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = fleet_module.Fleet(ZONES, SETTINGS, ByVersion())
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

    def come_back(self):
        """Have the store come back, as all see within half a second."""
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

    def test_a_confirmed_configuration_does_not_come_back_older(self):
        self.come_back()
        self.assertEqual({8}, self.list_versions())
        self.assertEqual({1}, self.count_retained(ROUTES))
        self.assertEqual(
            set(self.fleet.cores), self.list_events('retained', ROUTES)
        )

    def test_what_is_written_again_is_the_store_s_word_again(self):
        self.come_back()
        self.store.put(ROUTES, 'main', {'version': 8})
        self.fleet.run(HEARD_SECONDS)
        self.assertEqual({8}, self.list_versions())
        self.assertEqual({0}, self.count_retained(ROUTES))
        self.assertEqual(
            set(self.fleet.cores), self.list_events('written-again', ROUTES)
        )

    def test_lost_versions_that_are_written_again_in_turn_lead_nobody_back(
        self,
    ):
        self.come_back()
        for version in (3, 5, 8):
            self.store.put(ROUTES, 'main', {'version': version})
            self.fleet.run(HEARD_SECONDS)
            self.assertEqual({8}, self.list_versions())
        self.assertEqual({0}, self.count_retained(ROUTES))

    def test_a_later_version_counts_at_once(self):
        self.come_back()
        self.store.put(ROUTES, 'main', {'version': 9})
        self.fleet.run(HEARD_SECONDS)
        self.assertEqual({9}, self.list_versions())

    def test_what_is_never_written_again_ends(self):
        self.come_back()
        self.fleet.run(LASTING_SECONDS - 2.0)
        self.assertEqual({8}, self.list_versions())
        self.fleet.run(2.0 + HEARD_SECONDS)
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

    def test_a_lower_version_counts_once_that_has_ended(self):
        self.come_back()
        self.fleet.run(LASTING_SECONDS + HEARD_SECONDS)
        self.store.put(ROUTES, 'main', {'version': 2})
        self.fleet.run(HEARD_SECONDS)
        self.assertEqual({2}, self.list_versions())

    def test_an_entry_that_the_copy_lacks_stays_until_it_is_back(self):
        self.come_back()
        self.assertEqual({('new', 'old')}, self.list_upstreams())
        self.store.put(UPSTREAMS, 'new', {'state': 'ready'})
        self.fleet.run(REWRITE_SECONDS + HEARD_SECONDS)
        self.store.put(UPSTREAMS, 'ended', None)
        self.fleet.run(HEARD_SECONDS)
        self.assertEqual({('new', 'old')}, self.list_upstreams())
        self.assertEqual({0}, self.count_retained(UPSTREAMS))

    def test_an_entry_that_is_not_back_in_time_is_gone(self):
        self.come_back()
        self.fleet.run(REWRITE_SECONDS - 1.2)
        self.assertEqual({('new', 'old')}, self.list_upstreams())
        self.fleet.run(1.2 + HEARD_SECONDS)
        # And one that was deleted stands again for longer than that.
        self.assertEqual({('ended', 'old')}, self.list_upstreams())

    def test_one_that_was_deleted_and_is_created_anew_is_there_at_once(self):
        self.come_back()
        self.store.put(UPSTREAMS, 'ended', None)
        self.store.put(UPSTREAMS, 'ended', {'state': 'ready'})
        self.fleet.run(HEARD_SECONDS)
        self.assertEqual({('ended', 'new', 'old')}, self.list_upstreams())

    def test_one_that_was_created_again_before_it_was_heard_is_there(self):
        # The listing after the return has another object of that name.
        self.fleet.is_store_down = True
        self.fleet.run(RETURN_SECONDS)
        self.store.restore(self.saved)
        self.store.put(UPSTREAMS, 'ended', None)
        self.store.put(UPSTREAMS, 'ended', {'state': 'ready'})
        self.fleet.is_store_down = False
        self.fleet.run(1.2)
        self.assertEqual({('ended', 'new', 'old')}, self.list_upstreams())

    def test_the_time_counts_only_while_the_store_is_heard(self):
        self.come_back()
        self.fleet.is_store_down = True
        self.fleet.run(20.0)
        self.assertEqual({('new', 'old')}, self.list_upstreams())
        self.assertEqual({8}, self.list_versions())
        self.fleet.is_store_down = False
        self.fleet.run(RETURN_SECONDS)
        self.assertEqual({('ended', 'old')}, self.list_upstreams())
        self.assertEqual({1}, self.list_versions())

    def test_over_two_returns_it_is_kept(self):
        self.come_back()
        # Between two words of the store, so that no watch hangs across it.
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
        self.fleet.run(HEARD_SECONDS)
        self.assertEqual({('new', 'old')}, self.list_upstreams())
        self.assertEqual({8}, self.list_versions())
        self.fleet.run(LASTING_SECONDS + RETURN_SECONDS)
        self.assertEqual({('ended', 'old')}, self.list_upstreams())
        self.assertEqual({1}, self.list_versions())

    def test_one_that_starts_now_learns_it_from_its_peers(self):
        self.come_back()
        self.fleet.start('newcomer', 'b')
        self.fleet.run(HEARD_SECONDS)
        self.assertEqual({8}, self.list_versions())
        self.assertEqual({('new', 'old')}, self.list_upstreams())

    def test_one_that_knows_only_the_copy_learns_it_when_it_meets_them(self):
        self.come_back()
        self.fleet.cut = lambda one, other: (
            one == 'newcomer' and other != fleet_module.STORE
        )
        self.fleet.start('newcomer', 'b')
        self.fleet.run(HEARD_SECONDS)
        (item,) = self.fleet.cores['newcomer'].list_items(ROUTES)
        self.assertEqual(1, item.value['version'])
        self.fleet.cut = lambda one, other: False
        self.fleet.run(1.5)
        self.assertEqual({8}, self.list_versions())

    def test_what_a_peer_retains_is_no_news_to_who_knows_later(self):
        # It was behind when the store went: it retains what is deleted.
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

    def test_what_is_passed_on_ends_with_the_first_who_knew(self):
        self.come_back()
        for number in range(5):
            self.fleet.run(1.0)
            self.fleet.start(f'newcomer-{number}', 'b')
        self.fleet.run(LASTING_SECONDS - 5.0 + 2 * HEARD_SECONDS)
        self.assertEqual({1}, self.list_versions())
        self.assertEqual({0}, self.count_retained(ROUTES))

    def test_nothing_is_settled_before_its_writers_had_time(self):
        self.come_back()
        cores = self.fleet.cores.values()
        self.assertEqual({False}, {each.is_settled(ROUTES) for each in cores})
        self.store.put(ROUTES, 'main', {'version': 8})
        self.store.put(UPSTREAMS, 'new', {'state': 'ready'})
        self.store.put(UPSTREAMS, 'ended', None)
        self.fleet.run(REWRITE_SECONDS + HEARD_SECONDS)
        for topic in fleet_module.TOPICS:
            settled = {each.is_settled(topic) for each in cores}
            self.assertEqual({True}, settled)

    def test_one_that_starts_among_others_is_settled_at_once(self):
        self.fleet.run(REWRITE_SECONDS)
        self.fleet.start('newcomer', 'b')
        self.fleet.run(HEARD_SECONDS)
        core = self.fleet.cores['newcomer']
        self.assertTrue(core.is_settled(ROUTES))

    def test_after_a_start_of_all_routes_are_settled_before_a_stable_time(
        self,
    ):
        # The platform counts a machine as stable 4 s after its start.
        fleet = fleet_module.Fleet(ZONES, SETTINGS, ByVersion())
        fleet.store.put(ROUTES, 'main', {'version': 1})
        fleet.run(REWRITE_SECONDS - 0.2)
        cores = fleet.cores.values()
        self.assertEqual({False}, {each.is_settled(ROUTES) for each in cores})
        fleet.run(0.2 + HEARD_SECONDS)
        self.assertEqual({True}, {each.is_settled(ROUTES) for each in cores})

    def test_the_calls_of_a_return_are_those_of_the_watchers(self):
        self.fleet.is_store_down = True
        self.fleet.run(2.0)
        self.store.restore(self.saved)
        self.fleet.is_store_down = False
        before = self.store.calls.total()
        self.fleet.run(LASTING_SECONDS + RETURN_SECONDS)
        calls = self.store.calls.total() - before
        # For each topic and zone: a watch that fails, a listing, a watch each
        # 3 s, and two short ones until something is settled.
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
    def test_no_version_goes_back_and_all_agree_in_the_end(self, steps):
        """An operator writes again what the store lost, within 2 s."""
        fleet = fleet_module.Fleet(ZONES, SETTINGS, ByVersion())
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
                operator.write_in_turn()
            else:
                test_eras.inject_fault(fleet, kind, number, count)
            operator.run(seconds)
            self.look(fleet, seen)
        fleet.cut = lambda one, other: False
        fleet.is_store_down = False
        for _ in range(12):
            operator.run(1.0)
            self.look(fleet, seen)
        for core in fleet.cores.values():
            (item,) = core.list_items(ROUTES)
            self.assertEqual(operator.version, item.value['version'])
            self.assertEqual(0, core.count_retained(ROUTES))

    def look(self, fleet, seen):
        """See to it that no instance has gone back."""
        for core in fleet.cores.values():
            for item in core.list_items(ROUTES):
                version = item.value['version']
                self.assertGreaterEqual(version, seen.get(core, 0))
                seen[core] = version


class Operator:
    """Writes configurations, and again what the store has lost."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.version = 1
        self.write_again_at = None

    def write(self):
        self.version += 1
        self.fleet.store.put(ROUTES, 'main', {'version': self.version})
        self.write_again_at = None

    def write_in_turn(self):
        """Write again an earlier one of those that are to be written again."""
        if self.write_again_at is not None:
            self.fleet.store.put(ROUTES, 'main', {'version': 1})

    def run(self, seconds):
        """Let time pass."""
        at = self.write_again_at
        if at is not None and at <= self.fleet.now + seconds:
            self.fleet.run(max(0.0, at - self.fleet.now))
            self.fleet.store.put(ROUTES, 'main', {'version': self.version})
            self.write_again_at = None
        self.fleet.run(seconds)
