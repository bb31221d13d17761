"""Tests of structured logging."""

import json
import logging
import pathlib
import tempfile

import testtools

from skylarkfold import effect
from skylarkfold import log


class LogTest(testtools.TestCase):
    def run_and_read_lines(self, settings, act):
        """Run an action that logs to a file and return the lines."""
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / 'log'
            logger = log.configure(
                'a1', log.LogSettings(path=str(path), **settings)
            )
            try:
                act(logger)
                return path.read_text().splitlines()
            finally:
                logger.handlers[0].close()
                logger.handlers = []

    def write_decisions(self, logger, **settings):
        decisions = log.DecisionLog('a1', log.LogSettings(**settings))
        decisions.record(
            effect.RecordDecision(
                'placement', 'desk', '127.0.0.1:5', 'desk-1', 'placed'
            )
        )
        decisions.append('datagram', 'desk', ('127.0.0.1', 5), 'd', 'cached')
        return decisions.flush()

    def test_one_json_object_per_decision(self):
        lines = self.run_and_read_lines({}, self.write_decisions)
        first, second = map(json.loads, lines)
        self.assertEqual('placement', first['decision'])
        self.assertEqual('a1', first['instance'])
        self.assertEqual('desk-1', first['upstream'])
        self.assertEqual(['127.0.0.1', 5], second['subject'])

    def test_text_form(self):
        lines = self.run_and_read_lines(
            {},
            lambda logger: self.write_decisions(logger, form=log.LogForm.TEXT),
        )
        self.assertIn('decision=placement service=desk', lines[0])
        self.assertEqual(2, len(lines))

    def test_messages_carry_instance_and_level(self):
        lines = self.run_and_read_lines(
            {}, lambda logger: logger.warning('x %d', 5)
        )
        fields = json.loads(lines[0])
        self.assertEqual('x 5', fields['message'])
        self.assertEqual('warning', fields['level'])

    def test_lines_over_limit_are_dropped_and_counted(self):
        decisions = log.DecisionLog('a1', log.LogSettings(queue_lines=2))
        for _ in range(5):
            decisions.append('datagram', 'desk', '', 'd', 'cached')
        self.assertEqual(3, decisions.dropped)
        logging.getLogger(log.DECISIONS_NAME).disabled = True
        self.addCleanup(
            setattr, logging.getLogger(log.DECISIONS_NAME), 'disabled', False
        )
        self.assertEqual(2, decisions.flush())
        self.assertEqual(0, decisions.flush())
