"""Tests of the forwarder settings."""

import json
import pathlib
import tempfile

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import errors
from skylarkfold import forwarder
from skylarkfold.platform import check

ROOT = pathlib.Path(__file__).parent.parent.parent.parent


class ForwarderSettingsTest(testtools.TestCase):
    def parse(self, text):
        return forwarder.parse_forwarder_settings(text, 'file')

    def test_missing_fields_have_defaults(self):
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

    def test_room_section_is_read(self):
        own = self.parse('{"room": {"bulk_share": 0.5, "wait_limit": 8}}')
        self.assertEqual(0.5, own.room.bulk_share)
        self.assertEqual(8, own.room.wait_limit)
        self.assertEqual(0.1, own.room.bulk_least_share)
        error = self.catch_error('{"room": {"wait_limit": 0.5}}')
        self.assertIn('$.room.wait_limit', str(error))

    def catch_error(self, text):
        return self.assertRaises(errors.SettingsError, self.parse, text)

    def test_errors_have_path_and_code(self):
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
            error = self.catch_error(text)
            self.assertEqual((code, path), (error.code, error.path), text)

    def test_shares_section_is_read(self):
        self.assertIsNone(self.parse('{}').shares)
        own = self.parse(
            '{"shares": {"is_enforced": true, "callers": 64,'
            ' "weights": {"192.0.2.0/24": 2.0, "192.0.2.7": 3},'
            ' "caps_per_second": {"198.51.100.0/24": 50}}}'
        )
        self.assertTrue(own.shares.is_enforced)
        self.assertEqual(64, own.shares.callers)
        self.assertEqual(2.0, own.shares.weights.find(bytes((192, 0, 2, 1))))
        self.assertEqual(3.0, own.shares.weights.find(bytes((192, 0, 2, 7))))
        self.assertIsNone(own.shares.weights.find(bytes((10, 0, 0, 1))))
        self.assertEqual(
            50.0, own.shares.caps_per_second.find(bytes((198, 51, 100, 9)))
        )

    def test_invalid_shares_are_rejected_with_path_and_code(self):
        invalid, twice = 'settings-invalid', 'settings-duplicate'
        cases = {
            '[]': (invalid, ''),
            '{"weights": 2}': (invalid, '.weights'),
            '{"weights": {"192.0.2.0/24": 0}}': (
                invalid,
                '.weights.192.0.2.0/24',
            ),
            '{"weights": {"192.0.2.0/24": -1}}': (
                invalid,
                '.weights.192.0.2.0/24',
            ),
            '{"weights": {"192.0.2.0/24": true}}': (
                invalid,
                '.weights.192.0.2.0/24',
            ),
            '{"weights": {"192.0.2.0/24": NaN}}': (
                invalid,
                '.weights.192.0.2.0/24',
            ),
            '{"weights": {"192.0.2.0/24": "2"}}': (
                invalid,
                '.weights.192.0.2.0/24',
            ),
            '{"weights": {"192.0.2.1/24": 2}}': (
                invalid,
                '.weights.192.0.2.1/24',
            ),
            '{"weights": {"192.0.2.0/33": 2}}': (
                invalid,
                '.weights.192.0.2.0/33',
            ),
            '{"weights": {"192.0.2": 2}}': (invalid, '.weights.192.0.2'),
            '{"weights": {"192.0.02.0": 2}}': (
                invalid,
                '.weights.192.0.02.0',
            ),
            '{"weights": {"192.0.2.7": 2, "192.0.2.7": 3}}': (
                twice,
                '.weights.192.0.2.7',
            ),
            '{"weights": {"192.0.2.7": 2, "192.0.2.7/32": 3}}': (
                twice,
                '.weights.192.0.2.7/32',
            ),
            '{"caps_per_second": {"::1": 2}}': (
                invalid,
                '.caps_per_second.::1',
            ),
            '{"caps_per_second": {"192.0.2.7": 0}}': (
                invalid,
                '.caps_per_second.192.0.2.7',
            ),
            '{"is_enforced": 1}': (invalid, '.is_enforced'),
            '{"callers": 1.5}': (invalid, '.callers'),
            '{"callers": 8}': (invalid, '.told_callers'),
            '{"short_share": 0.99}': (invalid, '.short_share'),
            '{"joined_share": 0.92}': (invalid, '.joined_share'),
            '{"weight": {}}': ('settings-unknown-field', '.weight'),
            '{"callers": 64, "callers": 65}': (twice, '.callers'),
        }
        for text, (code, path) in cases.items():
            error = self.catch_error(f'{{"shares": {text}}}')
            place = f'$.shares{path}'
            self.assertEqual((code, place), (error.code, error.path), text)

    def test_check_reports_invalid_shares(self):
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        path = pathlib.Path(scratch.name) / 'own.json'
        path.write_text('{"shares": {"weights": {"192.0.2.0/24": 0}}}')
        error = self.assertRaises(
            errors.SettingsError, check.check, str(path), 'own'
        )
        self.assertIn('$.shares.weights.192.0.2.0/24', str(error))

    @hypothesis.given(
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.floats()
            | strategies.text(max_size=9),
            lambda inner: strategies.dictionaries(
                strategies.sampled_from(
                    ('weights', 'caps_per_second', 'callers', '192.0.2.0/24')
                ),
                inner,
            ),
        )
    )
    def test_any_shares_are_settings_or_an_error_with_a_place(self, value):
        try:
            self.parse(json.dumps({'shares': value}))
        except errors.SettingsError as error:
            self.assertTrue(error.path.startswith('$.shares'), error.path)

    @hypothesis.given(strategies.text(max_size=40))
    def test_any_text_is_settings_or_an_error_with_a_code(self, text):
        try:
            self.parse(text)
        except errors.SettingsError as error:
            self.assertTrue(error.code.startswith('settings-'))

    def test_settings_files_of_the_repository_are_valid(self):
        own = check.check(str(ROOT / 'deploy' / 'instance.json'), 'own')
        self.assertIn('valid', own)
        deploy = check.check(str(ROOT / 'deploy' / 'system.toml'), 'deploy')
        self.assertIn('1 roles', deploy)

    def test_unknown_kind_is_rejected(self):
        self.assertRaises(errors.UsageError, check.check, 'x', 'y')
