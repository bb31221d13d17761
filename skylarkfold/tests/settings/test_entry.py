"""Tests of parsing an instance's settings."""

import pathlib
import tempfile

import testtools

from skylarkfold import endpoint
from skylarkfold import errors
from skylarkfold import settings

TEXT = """{
  instance: {name: 'entry-1', zone: 'hall-a', region: 'sierra-norte',
             peer_address: '127.0.0.1:4000'}, // this one
  platform: {url: 'http://127.0.0.1:8000'},
  statsd: '127.0.0.1:8125',
}"""


class ReadEntrySettingsTest(testtools.TestCase):
    def test_settings_file(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, 'entry.json5')
            path.write_text(TEXT)
            entry = settings.read_entry_settings(path)
        self.assertEqual('entry-1', entry.instance.name)
        self.assertEqual(endpoint.Endpoint('127.0.0.1', 8125), entry.statsd)
        self.assertIsNone(entry.peers.tls)

    def test_optional_sections(self):
        sections = (
            'edge: {}, flows: {bucket_count: 64}, requests: {selection: {},'
            ' admission: {}}, membership: {seeds: ["10.0.0.1:4000"]},'
            ' distribution: {}, store: {}, log: {level: "DEBUG"},'
        )
        text = TEXT.replace('instance:', sections + 'instance:')
        entry = settings.parse_entry_settings(text, 'f')
        self.assertEqual(64, entry.flows.bucket_count)
        self.assertEqual(('10.0.0.1:4000',), entry.membership.seeds)

    def test_missing_file(self):
        error = self.assertRaises(
            errors.SettingsUnreadableError,
            settings.read_entry_settings,
            '/nowhere/at/all',
        )
        self.assertEqual('/nowhere/at/all', error.source)

    def assertRefused(self, old, new, code, path):
        error = self.assertRaises(
            errors.SettingsError,
            settings.parse_entry_settings,
            TEXT.replace(old, new),
            'f',
        )
        self.assertEqual((code, path), (error.code, error.path))

    def test_invalid_settings(self):
        self.assertRefused(
            'http://', 'ftp://', 'settings-invalid', '$.platform'
        )
        self.assertRefused(
            'statsd', 'stats', 'settings-unknown-field', '$.stats'
        )
        self.assertRefused(
            'hall-a', 'Hall A', 'settings-invalid', '$.instance.zone'
        )
        self.assertRefused(
            "region: 'sierra-norte',",
            '',
            'settings-missing-field',
            '$.instance.region',
        )
        self.assertRefused(':8125', ':port', 'settings-invalid', '$.statsd')
        for section, path in (
            ('log: {level: "LOUD"},', '$.log.level'),
            ('membership: {seeds: ["x"]},', '$.membership.seeds[0]'),
            ('requests: {maximum_attempts: 0},', '$.requests'),
            ('store: {timeout_seconds: -1},', '$.store.timeout_seconds'),
        ):
            new = section + 'statsd:'
            self.assertRefused('statsd:', new, 'settings-invalid', path)
