"""Tests of the ranking of instances for each slot."""

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold.flows import _ranking

ZONES = strategies.dictionaries(
    strategies.sampled_from([f'i{number}' for number in range(12)]),
    strategies.sampled_from(['hall-a', 'hall-b', 'hall-c']),
    min_size=1,
)
SLOTS = range(0, _ranking.SLOT_COUNT, 37)


class RankingTest(testtools.TestCase):
    @hypothesis.settings(max_examples=25)
    @hypothesis.given(strategies.lists(ZONES, min_size=2, max_size=4))
    def test_any_history_gives_the_same_ranking(self, history):
        ranking = _ranking.Ranking(history[0])
        for zones in history:
            for slot in SLOTS:
                ranking.list_ranked(slot)
            ranking = ranking.replace(zones)
        fresh = _ranking.Ranking(history[-1])
        for slot in SLOTS:
            self.assertEqual(
                fresh.list_ranked(slot), ranking.list_ranked(slot)
            )

    @hypothesis.settings(max_examples=25)
    @hypothesis.given(ZONES, strategies.data())
    def test_a_leaving_instance_moves_no_other_home(self, zones, data):
        gone = data.draw(strategies.sampled_from(sorted(zones)))
        before = _ranking.Ranking(zones)
        rest = {name: zone for name, zone in zones.items() if name != gone}
        after = before.replace(rest)
        for slot in SLOTS:
            home = before.list_ranked(slot)[0]
            if home != gone:
                self.assertEqual(home, after.list_ranked(slot)[0])

    @hypothesis.settings(max_examples=25)
    @hypothesis.given(ZONES)
    def test_first_replica_is_in_another_zone(self, zones):
        ranking = _ranking.Ranking(zones)
        if len(set(zones.values())) < 2 or len(zones) > 8:
            return
        for slot in SLOTS:
            home, replica = ranking.list_ranked(slot)[:2]
            self.assertNotEqual(zones[home], zones[replica])
