"""Tests of changes that are written while a listing is read page by page.

What was seen on the relay's model, with listings in pages of three objects: an
instance lacked a change for good, though its neighbour that watches the store
had it. The cause: a later page holds a change beyond the listing's revision;
the watch returns it again, where it is known already, and the neighbours got
only what was new to the watcher. The proof: the delta that follows the
listing's revision lacks that change.
"""

import testtools

from skylarkfold import relay
from skylarkfold import revision as revisions

TOPIC = 'servers'


def build_item(name, number):
    """Build an object that was written at a revision."""
    revision = revisions.Revision(number)
    return relay.Item(name, revision, revision, {'number': number})


class ListingPagesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 0.0
        settings = relay.RelaySettings(topics=(TOPIC,))
        self.core = relay.RelayCore('a', 'zone', '10.0.0.1', settings)

    def find_call(self, effects):
        """Return the call among some effects, or let time pass until one."""
        while True:
            for each in effects:
                if isinstance(each, relay.CallStore):
                    return each.call
            self.now += 0.05
            effects = self.core.tick(self.now)

    def answer(self, call, items, number, is_truncated=False):
        answer = relay.Answer(
            relay.Status.OK, items, revisions.Revision(number), is_truncated
        )
        return self.core.handle_answer(self.now, call, answer)

    def test_a_change_on_a_later_page_is_announced(self):
        # Guards against an instance that lacks a change for good.
        call = self.find_call([])
        effects = self.answer(call, [build_item('i-a', 2)], 4)
        call = self.find_call(effects)
        self.assertIsNotNone(call.revision)
        # The history is gone, so the next call is a listing.
        forgotten = relay.Answer(relay.Status.FORGOTTEN)
        call = self.find_call(
            self.core.handle_answer(self.now, call, forgotten)
        )
        self.assert_announced(call)

    def test_a_change_on_a_later_page_of_the_first_listing_is_announced(self):
        self.assert_announced(self.find_call([]))

    def assert_announced(self, call):
        """List two pages and assert what neighbours get afterwards."""
        effects = self.answer(call, [build_item('i-a', 2)], 5, True)
        call = self.find_call(effects)
        self.assertEqual('i-a', call.after)
        # It was written after the first page.
        late = build_item('i-b', 6)
        effects = self.answer(call, [late], 6)
        call = self.find_call(effects)
        self.assertEqual(5, call.revision)
        # A neighbour that knows the listing, but not the late change.
        position = relay.Position(revisions.Revision(5), revisions.ZERO, 0.0)
        beacon = relay.Beacon('b', 'zone', 0, False, False, (position,))
        self.core.handle_beacon(self.now, '10.0.0.2', beacon)
        effects = self.answer(call, [late, build_item('i-c', 7)], 7)
        deltas = [
            each.beacon.delta
            for each in effects
            if isinstance(each, relay.SendBeacon) and each.beacon.delta
        ]
        self.assertNotEqual([], deltas)
        for delta in deltas:
            self.assertEqual(5, delta.base)
            self.assertEqual(
                ['i-b', 'i-c'], sorted(each.path for each in delta.items)
            )
