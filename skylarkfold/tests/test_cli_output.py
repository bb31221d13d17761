"""Tests of the output of the command line in a real process."""

import os
import pathlib
import subprocess
import sys
import tempfile

import testtools

LINE = (
    '{"time":1.5,"level":"info","instance":"one","message":"started",'
    '"zone":"a"}\n'
)


class OutputTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.path = pathlib.Path(scratch.name) / 'log'
        self.path.write_text(LINE)
        self.command = [sys.executable, '-m', 'skylarkfold', 'timeline']

    def test_exit_status_is_not_printed(self):
        done = subprocess.run(
            [*self.command, str(self.path)], capture_output=True, text=True
        )
        self.assertEqual(0, done.returncode, done.stderr)
        self.assertEqual('     0.00 s  started: 1 line of one\n', done.stdout)

    def test_closed_pipe_is_not_a_failure(self):
        reading, writing = os.pipe()
        os.close(reading)
        done = subprocess.run(
            [*self.command, str(self.path)],
            stdout=writing,
            stderr=subprocess.PIPE,
            text=True,
        )
        os.close(writing)
        self.assertEqual('', done.stderr)
        self.assertEqual(0, done.returncode)
