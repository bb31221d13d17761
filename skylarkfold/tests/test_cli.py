"""Tests of the command line."""

import contextlib
import io
import sys
import tempfile
from unittest import mock

import testtools

from skylarkfold import cli
from skylarkfold import errors


class CliTest(testtools.TestCase):
    def run_command(self, *arguments):
        """Run a command and return its exit status and output."""
        output = io.StringIO()
        with mock.patch.object(sys, 'argv', ['skylarkfold', *arguments]):
            with contextlib.redirect_stdout(output):
                with contextlib.redirect_stderr(output):
                    ended = self.assertRaises(SystemExit, cli.main)
        return ended.code, output.getvalue()

    def check(self, text, *arguments):
        with tempfile.NamedTemporaryFile('w', suffix='.json') as file:
            file.write(text)
            file.flush()
            return self.run_command('check', file.name, *arguments)

    def test_unknown_command_is_usage_error(self):
        status, _ = self.run_command('fly')
        self.assertEqual(2, status)

    def test_missing_argument_is_usage_error(self):
        status, _ = self.run_command('check')
        self.assertEqual(2, status)

    def test_unknown_measure_is_usage_error(self):
        status, output = self.run_command('measure', 'nothing')
        self.assertEqual(2, status)
        self.assertIn('usage', output)

    def test_unknown_measure_option_is_usage_error(self):
        status, output = self.run_command('measure', 'flows', '--speed=1')
        self.assertEqual(2, status)
        self.assertIn("no option 'speed'", output)

    def test_measures_are_listed(self):
        status, output = self.run_command('measure')
        self.assertEqual(0, status)
        self.assertIn('flows', output.split())

    def test_missing_file_is_settings_error(self):
        status, output = self.run_command('check', '/nonexistent/file')
        self.assertEqual(3, status)
        self.assertIn('settings-unreadable', output)

    def test_invalid_file_reports_location(self):
        status, output = self.check('{"services": {"a": 5}}', '--team', 't')
        self.assertEqual(3, status)
        self.assertIn('$.services.a', output)

    def test_valid_team_file(self):
        status, output = self.check('{"services": {}}', '--team', 't')
        self.assertEqual(0, status)
        self.assertIn('0 valid services', output)

    def test_exit_status_by_error_type(self):
        pairs = {
            errors.UnknownFieldError('x'): 3,
            errors.ConflictError('x'): 4,
            errors.PlatformError('x'): 5,
            errors.AddressInUseError('x'): 6,
            errors.ClaimError('x'): 7,
            errors.PromiseError('x'): 1,
        }
        for error, status in pairs.items():
            self.assertEqual(status, cli.find_exit_status(error))
