"""Tests of the instances' own settings."""

import pathlib

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import errors
from skylarkfold import forwarder
from skylarkfold.platform import check

ROOT = pathlib.Path(__file__).parent.parent.parent.parent


class OwnTest(testtools.TestCase):
    def parse(self, text):
        return forwarder.parse_own_settings(text, 'file')

    def test_what_is_left_out_has_its_default(self):
        own = self.parse('{}')
        self.assertEqual(0, own.metrics_port)
        self.assertEqual(0.04, own.affinity.open_patience_seconds)

    def test_comments_and_sections_are_read(self):
        own = self.parse(
            '// one\n{\n  // two\n  "metrics_port": 9,\n'
            '  "affinity": {"near_tolerance": 0.1},\n'
            '  "relay": {"watchers": 2}\n}\n'
        )
        self.assertEqual(9, own.metrics_port)
        self.assertEqual(0.1, own.affinity.near_tolerance)
        self.assertEqual(2, own.relay.watchers)

    def test_what_bulk_may_take_of_a_link_is_read(self):
        own = self.parse('{"room": {"bulk_share": 0.5, "wait_limit": 8}}')
        self.assertEqual(0.5, own.room.bulk_share)
        self.assertEqual(8, own.room.wait_limit)
        self.assertEqual(0.1, own.room.bulk_least_share)
        error = self.complain('{"room": {"wait_limit": 0.5}}')
        self.assertIn('$.room.wait_limit', str(error))

    def complain(self, text):
        return self.assertRaises(errors.SettingsError, self.parse, text)

    def test_errors_name_place_and_code(self):
        cases = {
            '{"x": 1}': ('settings-unknown-field', '$.x'),
            '{"affinity": {"x": 1}}': (
                'settings-unknown-field',
                '$.affinity.x',
            ),
            '{"relay": {"topics": []}}': (
                'settings-unknown-field',
                '$.relay.topics',
            ),
            '{"metrics_port": "9"}': ('settings-invalid', '$.metrics_port'),
            '{"metrics_port": 70000}': ('settings-invalid', '$.metrics_port'),
            '{"relay": {"watchers": 1.5}}': (
                'settings-invalid',
                '$.relay.watchers',
            ),
            '{"affinity": {"near_tolerance": true}}': (
                'settings-invalid',
                '$.affinity.near_tolerance',
            ),
            '[]': ('settings-invalid', '$'),
            '{': ('settings-syntax', '$'),
        }
        for text, (code, path) in cases.items():
            error = self.complain(text)
            self.assertEqual((code, path), (error.code, error.path), text)

    @hypothesis.given(strategies.text(max_size=40))
    def test_any_text_is_settings_or_an_error_with_a_code(self, text):
        try:
            self.parse(text)
        except errors.SettingsError as error:
            self.assertTrue(error.code.startswith('settings-'))

    def test_the_files_of_this_repository_are_valid(self):
        own = check.check(str(ROOT / 'deploy' / 'instance.json'), 'own')
        self.assertIn('valid', own)
        deploy = check.check(str(ROOT / 'deploy' / 'system.toml'), 'deploy')
        self.assertIn('1 roles', deploy)

    def test_an_unknown_kind_is_said(self):
        self.assertRaises(errors.UsageError, check.check, 'x', 'y')
