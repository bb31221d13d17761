"""Tests that the example files contain the documented settings."""

import pathlib

import testtools

from skylarkfold import settings

EXAMPLES = pathlib.Path(__file__).parents[3] / 'examples'


class ExamplesTest(testtools.TestCase):
    def read_team(self, user, team):
        path = EXAMPLES / user / f'{team}.json'
        read = settings.read_team_settings(path.read_text(), path.name, team)
        return {
            name: (
                len(each.upstreams),
                {upstream.slots for upstream in each.upstreams},
                {upstream.connections for upstream in each.upstreams},
                sorted({upstream.zone for upstream in each.upstreams}),
            )
            for name, each in read.services.items()
        }

    def test_co_operative(self):
        zones = ['hall-a', 'hall-b', 'hall-c']
        self.assertEqual(
            {
                'press-desk': (7, {2}, {2000}, zones),
                'plano-vault': (3, {2}, {2000}, zones),
            },
            self.read_team('co-operative', 'tooling'),
        )

    def test_association(self):
        zones = ['abertawe', 'caerdydd', 'casnewydd']
        self.assertEqual(
            {
                'archebu': (7, {3}, {2000}, zones),
                'tocyn': (3, {3}, {2000}, zones),
            },
            self.read_team('association', 'ticketing'),
        )

    def test_instances(self):
        for user, region in (
            ('co-operative', 'sierra-norte'),
            ('association', 'de-cymru'),
        ):
            path = EXAMPLES / user / 'entry.json'
            entry = settings.read_entry_settings(path)
            self.assertEqual(region, entry.instance.region)
            self.assertIsNotNone(entry.peers.tls)
