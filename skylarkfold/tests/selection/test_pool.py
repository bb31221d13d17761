"""Tests of upstream records and the ejection of outliers."""

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import request
from skylarkfold import selection
from skylarkfold.selection import _pool
from skylarkfold.tests.selection import test_selector

OUTCOMES = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 9),
        strategies.sampled_from(list(request.Outcome)),
        strategies.floats(0.001, 10.0),
    ),
    max_size=150,
)


def build_pool(count, **settings):
    pool = _pool.UpstreamPool(selection.SelectionSettings(**settings))
    pool.configure(test_selector.build_service(count=count))
    return pool


class PoolTest(testtools.TestCase):
    @hypothesis.given(strategies.integers(1, 10), OUTCOMES)
    def test_the_cap_on_ejections_always_holds(self, count, outcomes):
        pool = build_pool(count)
        cap = min(max(1, int(0.34 * count)), count - 1)
        for step, (index, outcome, elapsed) in enumerate(outcomes):
            now = step * 0.05
            name = f'desk-{index % count}'
            pool.record_outcome(now, name, outcome, elapsed)
            usable = pool.list_usable(now)
            self.assertGreaterEqual(len(usable), count - cap)

    @hypothesis.given(strategies.integers(2, 10), OUTCOMES)
    def test_limits_stay_within_the_slots(self, count, outcomes):
        pool = build_pool(count)
        for step, (index, outcome, elapsed) in enumerate(outcomes):
            now = step * 0.05
            name = f'desk-{index % count}'
            pool.record_outcome(now, name, outcome, elapsed)
            for record in pool:
                self.assertIn(record.get_limit(now), (0, 1, 2))

    def test_an_ejected_upstream_returns_on_probation(self):
        pool = build_pool(3)
        for _ in range(3):
            pool.record_outcome(0.0, 'desk-0', request.Outcome.BROKEN, 0.1)
        self.assertTrue(pool.get('desk-0').is_ejected(1.9))
        self.assertFalse(pool.get('desk-0').is_ejected(2.1))
        self.assertEqual(1, pool.get('desk-0').get_limit(2.1))
        pool.record_outcome(2.2, 'desk-0', request.Outcome.BROKEN, 0.1)
        self.assertTrue(pool.get('desk-0').is_ejected(6.1))
        self.assertFalse(pool.get('desk-0').is_ejected(6.3))

    def test_timeouts_of_short_deadlines_do_not_eject(self):
        pool = build_pool(3)
        for step in range(10):
            pool.record_outcome(step, 'desk-0', request.Outcome.ANSWERED, 1.0)
        for _ in range(10):
            outcome = request.Outcome.TIMED_OUT
            pool.record_outcome(11.0, 'desk-0', outcome, 0.5)
        self.assertFalse(pool.get('desk-0').is_ejected(11.0))
        for _ in range(3):
            pool.record_outcome(11.0, 'desk-0', outcome, 3.0)
        self.assertTrue(pool.get('desk-0').is_ejected(11.0))

    def test_one_long_request_does_not_eject(self):
        pool = build_pool(3)
        answered = request.Outcome.ANSWERED
        for step in range(30):
            for index in range(3):
                pool.record_outcome(step, f'desk-{index}', answered, 0.1)
        pool.record_outcome(30.0, 'desk-0', answered, 5.0)
        self.assertFalse(pool.get('desk-0').is_ejected(30.0))
        for _ in range(10):
            pool.record_outcome(31.0, 'desk-0', answered, 0.5)
        self.assertTrue(pool.get('desk-0').is_ejected(31.0))

    def test_repeated_refusals_lower_the_limit_for_longer(self):
        pool = build_pool(1)
        record = pool.get('desk-0')
        for now in (0.0, 0.05):
            pool.record_outcome(now, 'desk-0', request.Outcome.REFUSED, 0.01)
        self.assertEqual(0, record.get_limit(0.24))
        self.assertEqual(2, record.get_limit(0.26))
