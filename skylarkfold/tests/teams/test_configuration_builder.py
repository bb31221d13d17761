"""Tests of merging all teams' services."""

import testtools

from skylarkfold import settings
from skylarkfold import teams


def build_team(team, *services):
    text = ','.join(
        f'{name!r}: {{address: {address!r}, upstreams:'
        f" {{u: {{address: '10.9.9.9:1', zone: 'z'}}}}}}"
        for name, address in services
    )
    return settings.read_team_settings('{services: {' + text + '}}', 'f', team)


class BuildConfigurationTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.subtrees = {
            'b': build_team('b', ('x', '10.0.0.1:1')),
            'a': build_team('a', ('y', '10.0.0.1:1')),
        }

    def list_in_force(self, claims):
        built = teams.build_configuration(7, self.subtrees, claims)
        self.assertEqual(7, built.revision)
        return sorted(built.services)

    def test_first_team_gets_an_unclaimed_address(self):
        self.assertEqual(['y'], self.list_in_force({}))
        lost = teams.list_lost_services(self.subtrees, {})
        self.assertEqual(['x'], [each.name for each in lost])

    def test_claim_decides_the_holder(self):
        path = '/claims/address/10.0.0.1:1'
        claims = {path: teams.read_claim(path, b'{"team": "b"}')}
        self.assertEqual(['x'], self.list_in_force(claims))
        claims = {path: teams.read_claim(path, b'{"team": ""}')}
        self.assertEqual(['y'], self.list_in_force(claims))
        claims = {path: teams.read_claim(path, b'{"team": "c"}')}
        self.assertEqual([], self.list_in_force(claims))

    def test_malformed_claims_are_ignored(self):
        for value in (None, b'', b'\xff', b'{"team": 1}', b'[' * 9999):
            self.assertIsNone(teams.read_claim('/claims/x', value))
