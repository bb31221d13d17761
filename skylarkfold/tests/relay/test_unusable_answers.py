"""Tests that an answer that can't be used doesn't end all news.

What was seen: after the store had been cut off from all instances for 4.5 s,
none of them learned of 25 versions of a large configuration for another 16 s,
and requests ran on a route that these had dropped. The cause: the answer to
the watch was larger than an instance accepts, which counted as no answer, and
the same watch was made again until the store had dropped its history. The
proof: the same call from the same revision in each round of the log, and no
listing, although the current version alone is far below the limit.
"""

import functools

import testtools

from skylarkfold.measure import _relay_fleet as fleet_module
from skylarkfold.measure import _relay_store
from skylarkfold import relay

ZONES = ('a', 'a', 'a', 'b', 'b', 'c', 'c')
MOST_CHANGES = 20
# The bound for a change, counted from the end of the cut.
BOUND_SECONDS = 3.0


class UnusableAnswersTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = fleet_module.Fleet(ZONES)
        self.fleet.store.put('routes', 'main', {'version': 1})
        self.fleet.run(6.0)

    def limit_watches(self, status):
        """Fail each answer to a watch with more changes than the limit."""
        store = self.fleet.store

        def find_limited(call):
            answer = _relay_store.FakeStore.find_changes(store, call)
            if answer is not None and len(answer.items) > MOST_CHANGES:
                return relay.Answer(status)
            return answer

        store.find_changes = find_limited

    def write_versions(self, count):
        for _ in range(count):
            version = self.fleet.store.number
            self.fleet.store.put('routes', 'main', {'version': version})

    def assert_known_everywhere(self):
        newest = self.fleet.store.objects['routes']['main'].revision
        known = self.fleet.get_revisions('routes', 'main')
        self.assertEqual({newest}, set(known.values()))

    def test_changes_that_exceed_an_answer_are_listed_after_a_cut(self):
        # Guards against a watch that is repeated until its history is gone.
        for status in relay.UNUSABLE_STATUSES:
            self.limit_watches(status)
            self.fleet.cut = lambda one, other: other == fleet_module.STORE
            self.fleet.run(0.5)
            self.write_versions(MOST_CHANGES + 5)
            self.fleet.run(4.0)
            self.fleet.cut = lambda one, other: False
            self.fleet.run(BOUND_SECONDS)
            self.assert_known_everywhere()
            # Further changes come by watches again.
            self.write_versions(1)
            self.fleet.run(0.5)
            self.assert_known_everywhere()

    def test_a_listing_that_is_unusable_gives_way_to_a_watch(self):
        # Guards against an instance that only lists while watches work.
        self.limit_watches(relay.Status.TOO_LARGE)
        store = self.fleet.store
        store.list = lambda topic: relay.Answer(relay.Status.TOO_LARGE)
        self.write_versions(MOST_CHANGES + 5)
        self.fleet.run(3.0)
        store.find_changes = functools.partial(
            _relay_store.FakeStore.find_changes, store
        )
        self.fleet.run(BOUND_SECONDS)
        self.assert_known_everywhere()
