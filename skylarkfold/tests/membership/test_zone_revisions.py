"""Tests of the revisions in force on zone members."""

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import member
from skylarkfold import membership
from skylarkfold.membership import _roster
from skylarkfold.membership import _zone_revisions

NAMES = ('a1', 'a2', 'a3')


def build_progress(incarnation=1):
    roster = _roster.Roster()
    for name in NAMES:
        update = membership.MemberUpdate(
            name,
            'hall-a',
            'norte',
            '127.0.0.1:9000',
            incarnation,
            member.MemberState.ALIVE,
            False,
            0,
        )
        roster.put(update, 0.0)
    return _zone_revisions.ZoneRevisions(roster, 'hall-a')


class ZoneRevisionsTest(testtools.TestCase):
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 2),
                strategies.sampled_from(NAMES),
                strategies.integers(0, 600),
            ),
            max_size=12,
        ),
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 2), strategies.integers(0, 2)
            ),
            max_size=12,
        ),
    )
    def test_the_least_is_never_overstated(self, reports, merges):
        views = [build_progress() for _ in NAMES]
        truth = dict.fromkeys(NAMES, 0)
        for view, name, revision in reports:
            truth[name] = max(truth[name], revision)
            views[view].note(name, revision)
        for giver, taker in merges:
            views[taker].merge(views[giver].describe())
        for view in views:
            self.assertLessEqual(view.compute_least(), min(truth.values()))

    def test_one_merge_transfers_all_revisions(self):
        one, other = build_progress(), build_progress()
        for number, name in enumerate(NAMES):
            one.note(name, 500 + number)
        self.assertTrue(other.merge(one.describe()))
        self.assertEqual(500, other.compute_least())
        self.assertFalse(other.merge(one.describe()))

    def test_revisions_of_other_members_are_ignored(self):
        one, other = build_progress(1), build_progress(2)
        one.note('a1', 500)
        self.assertFalse(other.merge(one.describe()))
        self.assertEqual(0, other.get('a1'))
