"""Tests of the status of subtrees and instances."""

import testtools

from skylarkfold import endpoint
from skylarkfold import member
from skylarkfold import platform_api
from skylarkfold import teams
from skylarkfold.tests.teams import test_apply


def build_member(name, revision, state=member.MemberState.ALIVE):
    address = endpoint.Endpoint('10.0.0.9', 1)
    return member.Member(name, 'hall-a', 'r', address, 0, state, revision)


class StatusTest(testtools.TestCase):
    def test_lagging_invalid_and_lost_subtrees(self):
        desk = test_apply.build_services(x='10.0.0.1:1')
        empty = teams.read_subtree('desk', None)
        value = teams.encode_subtree(empty, desk, 'w1', 'ana')
        objects = {
            'desk': platform_api.StoredObject(
                '/teams/desk/settings', 1, 5, value
            ),
            'vault': platform_api.StoredObject(
                '/teams/vault/settings', 3, 9, b'{'
            ),
        }
        subtrees = [
            teams.read_subtree(team, found) for team, found in objects.items()
        ]
        path = '/claims/service/x'
        claims = {path: teams.Claim(path, 'other')}
        members = [
            build_member('e-2', 5),
            build_member('e-1', 9),
            build_member('e-3', 0, member.MemberState.DEAD),
        ]
        status = teams.build_status(subtrees, claims, members)
        first, second = status.teams
        self.assertEqual(('desk', 1, 'ana'), (*_name(first), first.operator))
        self.assertEqual((2, (), ('x',)), _describe(first))
        self.assertEqual('', first.code)
        self.assertEqual(('vault', 3), _name(second))
        self.assertEqual('settings-syntax', second.code)
        self.assertEqual((1, ('e-2',), ()), _describe(second))
        self.assertEqual(
            [('e-1', 0), ('e-2', 1)],
            [(each.name, each.missing) for each in status.instances],
        )


def _name(row):
    return row.team, row.version


def _describe(row):
    return row.in_force, row.lagging, row.not_in_force
