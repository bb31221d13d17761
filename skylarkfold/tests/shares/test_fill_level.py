"""Tests of the max-min fair fill level, against one found by bisection."""

import math

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import shares

STEPS = 60
SLOTS = strategies.floats(0, 50)
CLAIMS = strategies.lists(
    strategies.builds(
        shares.ShareRequest,
        SLOTS,
        strategies.floats(0.1, 8),
        SLOTS | strategies.just(math.inf),
        strategies.integers(1, 5).map(float),
    ),
    max_size=12,
)


def sum_given(claims, level):
    """Sum the slots that all get at a level."""
    return sum(
        min(each.demand, each.cap, level * each.weight) * each.count
        for each in claims
    )


def find_level(room, claims):
    """Find the level by bisection, without ordering the requests."""
    least, most = 0.0, 1e4
    if sum_given(claims, most) <= room:
        return math.inf
    for _ in range(STEPS):
        middle = (least + most) / 2
        if sum_given(claims, middle) > room:
            most = middle
        else:
            least = middle
    return least


class LevelTest(testtools.TestCase):
    @hypothesis.given(strategies.floats(0, 100), CLAIMS)
    def test_it_is_the_level_that_halving_finds(self, room, claims):
        level = shares.compute_fill_level(room, claims)
        expected = find_level(room, claims)
        if math.isinf(expected) or math.isinf(level):
            # Both take all, but for rounding.
            all_given = sum_given(claims, 1e6)
            self.assertLessEqual(all_given, room + 1e-3)
            return
        self.assertAlmostEqual(
            sum_given(claims, expected),
            sum_given(claims, level),
            delta=1e-3 + room * 1e-3,
        )

    @hypothesis.given(strategies.floats(0.1, 100), CLAIMS)
    def test_no_room_is_left_while_one_wants_it(self, room, claims):
        level = shares.compute_fill_level(room, claims)
        if not math.isinf(level):
            given = sum_given(claims, level)
            self.assertAlmostEqual(room, given, delta=room * 1e-6)

    def test_a_heavy_caller_takes_nothing_from_the_others(self):
        others = [shares.ShareRequest(1.0) for _ in range(7)]
        level = shares.compute_fill_level(
            10.0, [*others, shares.ShareRequest(15.0)]
        )
        self.assertAlmostEqual(3.0, level)

    def test_a_weight_of_two_gives_twice_as_much(self):
        claims = [
            shares.ShareRequest(9.0),
            shares.ShareRequest(9.0, weight=2.0),
        ]
        self.assertAlmostEqual(2.0, shares.compute_fill_level(6.0, claims))

    def test_what_a_cap_leaves_goes_to_the_others(self):
        claims = [shares.ShareRequest(9.0), shares.ShareRequest(9.0, cap=1.0)]
        self.assertAlmostEqual(5.0, shares.compute_fill_level(6.0, claims))
