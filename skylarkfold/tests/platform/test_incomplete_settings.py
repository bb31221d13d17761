"""Tests of a start that meets a settings file in the middle of a write.

What was seen: instances that started while their settings file was being
written ended by themselves with status 3 (soak seed 91040).
"""

import contextlib
import io
import json
import pathlib
import tempfile

import testtools

from skylarkfold import errors
from skylarkfold import machine
from skylarkfold.platform import __main__ as program
from skylarkfold.standin import packets

ROOT = pathlib.Path(__file__).parent.parent.parent.parent


class Clock:
    """A clock of which each pause runs a step.

    :param step: called with the time after each pause.
    :ivar time: the time in seconds.
    """

    def __init__(self, step):
        self.time = 0.0
        self._step = step

    def monotonic(self):
        """Return the time."""
        return self.time

    def sleep(self, seconds):
        """Let time pass."""
        self.time += seconds
        self._step(self.time)


class IncompleteSettingsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.path = pathlib.Path(scratch.name) / 'settings'
        template = (ROOT / 'deploy' / 'settings.template').read_text()
        fields = packets.build_fields(
            'one', 'a', '10.1.0.9', 7000, [], ('10.9.0.1', 9), ['a']
        )
        self.text = packets.fill(template, fields)

    def read(self, step=lambda now: None):
        """Read the settings as a start does; return them and its output."""
        self.clock = Clock(step)
        self.patch(program, 'time', self.clock)
        output = io.StringIO()
        file = machine.SettingsFile(str(self.path))
        with contextlib.redirect_stderr(output):
            settings = program._read_settings(file)
        return settings, output.getvalue()

    def finish_at(self, at):
        def step(now):
            if now >= at:
                self.path.write_text(self.text)

        return step

    def test_a_file_that_is_completed_soon_is_used(self):
        """Guards against a start that ends at a file half written."""
        for length in (0, 1, len(self.text) // 2, len(self.text) - 3):
            self.path.write_text(self.text[:length])
            settings, output = self.read(self.finish_at(1.0))
            self.assertEqual('one', settings.name)
            self.assertEqual(1, output.count('\n'))
            self.assertIn('reading it again', output)

    def test_a_file_that_is_missing_for_a_moment_is_used(self):
        settings, output = self.read(self.finish_at(0.5))
        self.assertEqual('one', settings.name)
        self.assertIn('reading it again', output)

    def test_a_file_that_stays_incomplete_is_an_error_in_the_end(self):
        self.path.write_text(self.text[:100])
        self.assertRaises(errors.SettingsSyntaxError, self.read)
        self.assertGreaterEqual(self.clock.time, program.SETTINGS_SECONDS)
        self.assertLess(self.clock.time, program.SETTINGS_SECONDS + 0.2)

    def test_a_complete_file_with_invalid_settings_is_an_error_at_once(self):
        fields = json.loads(self.text)
        del fields['name']
        for text in (json.dumps(fields), '[]', '17'):
            self.path.write_text(text)
            self.assertRaises(errors.SettingsError, self.read)
            self.assertEqual(0.0, self.clock.time)

    def test_a_complete_file_is_read_without_a_word(self):
        self.path.write_text(self.text)
        settings, output = self.read()
        self.assertEqual('one', settings.name)
        self.assertEqual('', output)
        self.assertEqual(0.0, self.clock.time)
