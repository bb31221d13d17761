"""Tests of parsing a team's settings."""

import copy
import json

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import endpoint
from skylarkfold import errors
from skylarkfold import settings

TEXT = """{
  // The desk that press shops call.
  services: {
    'press-desk': {
      address: '10.0.0.1:7000',
      request_port: 7001,
      upstreams: {
        'press-desk-1': {
          address: '10.0.1.1:9000', request_port: 9001, zone: 'hall-a',
        },
        'press-desk-2': {address: '10.0.1.2:9000', zone: 'hall-b'},
      },
    },
  },
}"""
VALID = {
    'services': {
        'press-desk': {
            'address': '10.0.0.1:7000',
            'request_port': 7001,
            'preference': 'continuity',
            'flow_idle_seconds': 60,
            'upstreams': {
                'press-desk-1': {
                    'address': '10.0.1.1:9000',
                    'request_port': 9001,
                    'zone': 'hall-a',
                    'slots': 2,
                    'connections': 2000,
                    'weight': 1.0,
                    'state': 'active',
                }
            },
        }
    }
}


def read(value):
    return settings.read_team_settings(json.dumps(value), 'f', 'desk')


class ReadTeamSettingsTest(testtools.TestCase):
    def assertRefused(self, code, path, change):
        value = copy.deepcopy(VALID)
        change(value['services']['press-desk'])
        error = self.assertRaises(errors.SettingsError, read, value)
        self.assertEqual((code, path), (error.code, error.path))
        self.assertEqual('f', error.source)

    def test_comments_and_defaults(self):
        team = settings.read_team_settings(TEXT, 'f', 'desk')
        desk = team.services['press-desk']
        self.assertEqual('desk', desk.team)
        self.assertEqual(endpoint.Endpoint('10.0.0.1', 7000), desk.address)
        names = [each.name for each in desk.upstreams]
        self.assertEqual(['press-desk-1', 'press-desk-2'], names)
        self.assertEqual(2000, desk.upstreams[1].connections)

    def test_invalid_ports(self):
        def change(service):
            service['request_port'] = 65536

        path = '$.services.press-desk.request_port'
        self.assertRefused('settings-invalid', path, change)

        def change_address(service):
            service['address'] = '10.0.0.1:0'

        path = '$.services.press-desk.address'
        self.assertRefused('settings-invalid', path, change_address)

    def test_unknown_and_missing_fields(self):
        path = '$.services.press-desk.slot'
        self.assertRefused(
            'settings-unknown-field', path, lambda each: each.update(slot=1)
        )
        path = '$.services.press-desk.address'
        self.assertRefused(
            'settings-missing-field', path, lambda each: each.pop('address')
        )

    def test_service_without_upstreams(self):
        path = '$.services.press-desk.upstreams'
        self.assertRefused(
            'settings-invalid', path, lambda each: each.update(upstreams={})
        )

    def test_invalid_names(self):
        for name in ('', 'Desk', '-a', 'a_b', 'a' * 64, '../b', 'a\n'):
            value = {'services': {name: VALID['services']['press-desk']}}
            error = self.assertRaises(errors.SettingsError, read, value)
            self.assertIn('is not 1 to 63 of', error.reason)

    def test_lone_surrogate(self):
        value = {'services': {}, 'write': {'version': 1, 'id': '\ud800'}}
        error = self.assertRaises(errors.SettingsError, read, value)
        self.assertEqual('$.write.id', error.path)

    def test_duplicate_address(self):
        def change(service):
            duplicate = {'address': '[::ffff:10.0.1.1]:9001', 'zone': 'hall-b'}
            service['upstreams']['press-desk-2'] = duplicate

        path = '$.services.press-desk.upstreams.press-desk-2.address'
        self.assertRefused('settings-duplicate', path, change)

    def test_duplicate_key(self):
        for text in ('{"services": {}, "services": {}}', '{a: 1, a: 1}'):
            error = self.assertRaises(
                errors.DuplicateError,
                settings.read_team_settings,
                text,
                'f',
                'desk',
            )
            self.assertIn('appears twice', error.reason)

    @hypothesis.given(strategies.text() | strategies.binary())
    def test_any_text_gives_settings_or_a_coded_error(self, text):
        try:
            settings.read_team_settings(text, 'f', 'desk')
        except errors.SettingsError as error:
            self.assertNotEqual('internal', error.code)

    def test_too_deep_nesting(self):
        for text in ('[' * 5000, '{"a":' * 5000, '// \n' + '[' * 5000):
            self.assertRaises(
                errors.SettingsTooLargeError,
                settings.read_team_settings,
                text,
                'f',
                'desk',
            )
