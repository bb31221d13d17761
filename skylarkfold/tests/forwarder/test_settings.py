"""Tests of the instances' own settings."""

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


class OwnTest(testtools.TestCase):
    def parse(self, text):
        return forwarder.parse_forwarder_settings(text, 'file')

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

    def test_shares_of_callers_are_read(self):
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

    def test_shares_that_can_t_be_used_are_named(self):
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
            error = self.complain(f'{{"shares": {text}}}')
            place = f'$.shares{path}'
            self.assertEqual((code, place), (error.code, error.path), text)

    def test_the_check_of_a_file_tells_what_is_wrong_with_shares(self):
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

    def test_the_files_of_this_repository_are_valid(self):
        own = check.check(str(ROOT / 'deploy' / 'instance.json'), 'own')
        self.assertIn('valid', own)
        deploy = check.check(str(ROOT / 'deploy' / 'system.toml'), 'deploy')
        self.assertIn('1 roles', deploy)

    def test_an_unknown_kind_is_said(self):
        self.assertRaises(errors.UsageError, check.check, 'x', 'y')
