"""Tests of the measures of starts and of packets with tokens."""

import logging

import testtools

from skylarkfold.measure import start
from skylarkfold.measure import token


class TokenMeasureTest(testtools.TestCase):
    def test_all_kinds_of_packets_are_measured(self):
        logger = logging.getLogger('skylarkfold')
        before = logger.handlers[:], logger.propagate, logger.level
        results = token.measure(upstreams=(3,))
        self.assertEqual(
            [
                'bare copy',
                'known flow',
                'flow from elsewhere',
                'new flow',
                'new flow, its line written',
                'new flow, its line left out',
            ],
            [each.packet for each in results],
        )
        after = logger.handlers[:], logger.propagate, logger.level
        self.assertEqual(before, after)
        self.assertEqual(1.0, results[0].ratio)


class StartMeasureTest(testtools.TestCase):
    def test_an_instance_becomes_ready(self):
        results = start.measure(rounds=1)
        names = [each.process for each in results]
        self.assertIn(start.INSTANCE, names)
        for each in results:
            self.assertGreater(each.core_seconds, 0)
            self.assertGreater(each.peak_mb, 0)
