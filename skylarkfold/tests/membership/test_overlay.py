"""Tests of the overlay."""

import dataclasses

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import endpoint
from skylarkfold import member
from skylarkfold import membership

ADDRESS = endpoint.Endpoint('127.0.0.1', 9000)


def build_membership(zones):
    members = {
        f'entry-{number}': member.Member(
            f'entry-{number}', f'zone-{zone}', 'norte', ADDRESS
        )
        for number, zone in enumerate(zones)
    }
    return member.Membership(1, members)


def build_links(known):
    return {
        name: set(membership.list_neighbours(known, name))
        for name in known.members
    }


def count_reached(links):
    reached, waiting = set(), [next(iter(links))]
    while waiting:
        name = waiting.pop()
        if name not in reached:
            reached.add(name)
            waiting += links[name]
    return len(reached)


class OverlayTest(testtools.TestCase):
    @hypothesis.given(
        strategies.lists(strategies.integers(0, 4), min_size=1, max_size=60)
    )
    @hypothesis.example([0, 1, 1] + [2] * 20)
    @hypothesis.settings(max_examples=50)
    def test_all_are_linked_both_ways(self, zones):
        links = build_links(build_membership(zones))
        for name, others in links.items():
            self.assertNotIn(name, others)
            for other in others:
                self.assertIn(name, links[other])
        self.assertEqual(len(zones), count_reached(links))

    def test_degree_is_bounded_in_a_large_fleet(self):
        known = build_membership([number % 11 for number in range(600)])
        links = build_links(known)
        degrees = sorted(len(others) for others in links.values())
        self.assertEqual(4, degrees[len(degrees) // 2])
        self.assertLessEqual(degrees[-1], 4 + 10)
        self.assertEqual(600, count_reached(links))

    def test_joining_member_ranks_behind_all_owners(self):
        known = build_membership([0, 0, 0])
        joining = member.MemberState.JOINING
        name, each = known.members.popitem()
        known.members[name] = dataclasses.replace(each, state=joining)
        ranks = [
            membership.rank_in_zone(known, each) for each in known.members
        ]
        self.assertEqual([0, 1], sorted(ranks[:2]))
        self.assertEqual(2, membership.rank_in_zone(known, name))
