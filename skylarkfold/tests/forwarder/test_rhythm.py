"""Tests of the interval between ticks."""

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import affinity
from skylarkfold.forwarder import _rhythm
from skylarkfold.tests.affinity import samples

TIMES = strategies.floats(0.0, 1e6)


class PauseTest(testtools.TestCase):
    @hypothesis.given(TIMES, strategies.none() | TIMES, strategies.booleans())
    def test_it_is_never_longer_than_at_rest(self, now, due, is_ready):
        pause = _rhythm.compute_pause(now, due, is_ready)
        self.assertGreaterEqual(pause, _rhythm.BUSY_SECONDS)
        self.assertLessEqual(pause, _rhythm.REST_SECONDS)
        if due is not None and due > now + _rhythm.BUSY_SECONDS:
            self.assertLessEqual(now + pause, due + 1e-6)

    def test_interval_is_short_until_all_topics_are_known(self):
        pause = _rhythm.compute_pause(1.0, None, False)
        self.assertEqual(_rhythm.BUSY_SECONDS, pause)


class DueTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.settings = affinity.AffinitySettings()
        self.core = samples.build_core(samples.build_upstream(1))

    def test_nothing_is_due_without_traffic(self):
        self.assertIsNone(self.core.find_due(1.0))

    def test_first_packet_is_due_until_answered(self):
        self.core.handle_packet(1.0, samples.build_first(1))
        due = 1.0 + self.settings.open_patience_seconds
        self.assertEqual(due, self.core.find_due(1.0))
        self.core.handle_packet(1.01, samples.build_packet(1, 1))
        self.assertIsNone(self.core.find_due(1.01))

    def test_request_is_due_until_answered(self):
        self.core.handle_packet(1.0, samples.build_first(1))
        self.core.handle_packet(1.01, samples.build_packet(1, 1, length=10))
        due = self.core.find_due(1.01)
        self.assertGreater(due, 1.01)
        answered = samples.build_packet(1, 1, 111, acknowledged=601)
        self.core.handle_packet(1.03, answered)
        self.assertIsNone(self.core.find_due(1.03))

    def test_suspected_upstream_is_due_at_once(self):
        self.core.handle_packet(1.0, samples.build_first(1))
        self.core.handle_packet(1.01, samples.build_packet(1, 1, length=10))
        self.core.tick(1.2)
        self.assertEqual(1.2, self.core.find_due(1.2))

    def test_packet_held_for_its_upstream_is_due(self):
        self.core.handle_packet(1.0, samples.build_packet(1, 99))
        self.assertGreater(self.core.find_due(1.0), 1.0)
