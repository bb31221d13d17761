"""Tests of the home of a service."""

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold.selection import _coordinator

OWNERS = strategies.lists(strategies.sampled_from('abcdefgh'), unique=True)


def find(number, owners):
    finder = _coordinator.HomeFinder()
    finder.follow(tuple(owners))
    found = finder.find(number, None)
    return None if found is None else found.name


class HomeFinderTest(testtools.TestCase):
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(OWNERS, strategies.booleans()), max_size=8
        )
    )
    def test_whatever_changed_before_the_home_is_the_same(self, steps):
        finder = _coordinator.HomeFinder()
        known = dict.fromkeys(range(5))
        for owners, is_asked in steps:
            finder.follow(tuple(owners))
            for number in known if is_asked else ():
                known[number] = finder.find(number, known[number])
                name = None if known[number] is None else known[number].name
                self.assertEqual(find(number, reversed(owners)), name)

    def test_only_the_services_of_a_gone_owner_move(self):
        owners = [f'entry-{number}' for number in range(20)]
        for number in range(200):
            before = find(number, owners)
            after = find(number, owners[:7] + owners[8:])
            if before != 'entry-7':
                self.assertEqual(before, after)

    def test_homes_are_spread(self):
        owners = [f'entry-{number}' for number in range(8)]
        homes = [find(number, owners) for number in range(800)]
        self.assertLess(max(map(homes.count, owners)), 140)
