"""Tests of finding the coordinator of a service."""

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold.selection import _coordinator

OWNERS = strategies.lists(strategies.sampled_from('abcdefgh'), unique=True)


def find_coordinator(number, owners):
    finder = _coordinator.CoordinatorFinder()
    finder.update_owners(tuple(owners))
    coordinator = finder.find(number, None)
    return None if coordinator is None else coordinator.name


class CoordinatorFinderTest(testtools.TestCase):
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(OWNERS, strategies.booleans()), max_size=8
        )
    )
    def test_coordinator_depends_on_current_owners_only(self, steps):
        finder = _coordinator.CoordinatorFinder()
        results = dict.fromkeys(range(5))
        for owners, is_queried in steps:
            finder.update_owners(tuple(owners))
            for number in results if is_queried else ():
                results[number] = finder.find(number, results[number])
                name = (
                    None if results[number] is None else results[number].name
                )
                self.assertEqual(
                    find_coordinator(number, reversed(owners)), name
                )

    def test_only_services_of_a_removed_owner_move(self):
        owners = [f'entry-{number}' for number in range(20)]
        for number in range(200):
            before = find_coordinator(number, owners)
            after = find_coordinator(number, owners[:7] + owners[8:])
            if before != 'entry-7':
                self.assertEqual(before, after)

    def test_coordinators_are_spread_evenly(self):
        owners = [f'entry-{number}' for number in range(8)]
        coordinators = [
            find_coordinator(number, owners) for number in range(800)
        ]
        self.assertLess(max(map(coordinators.count, owners)), 140)
