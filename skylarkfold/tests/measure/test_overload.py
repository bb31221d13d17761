"""Tests of the model of heavy load: that it can tell good from bad."""

import testtools

from skylarkfold import errors
from skylarkfold.measure import _overload_callers
from skylarkfold.measure import _overload_oracle
from skylarkfold.measure import _overload_pattern
from skylarkfold.measure import overload

KIND = _overload_pattern.KINDS[0]


def build_request(number, asked_at=0.0, work_seconds=0.02):
    """Build a live request."""
    return _overload_callers.Request(
        number, KIND, 'zone-a', 0, asked_at, work_seconds
    )


class OverloadTest(testtools.TestCase):
    def test_an_unknown_pattern_names_those_that_there_are(self):
        error = self.assertRaises(
            errors.UsageError, overload.measure, patterns=('x',)
        )
        self.assertIn("no pattern 'x'", str(error))
        self.assertIn('burst-4', str(error))

    def test_an_unknown_policy_names_those_that_there_are(self):
        error = self.assertRaises(
            errors.UsageError,
            overload.measure,
            patterns=('calm',),
            policies=('x',),
        )
        self.assertIn('product', str(error))

    def test_an_unknown_revision_is_a_usage_error(self):
        self.assertRaises(
            errors.UsageError,
            overload.measure,
            patterns=('calm',),
            policies=('none',),
            against='no-such-revision',
        )

    def test_each_pattern_says_its_grounds(self):
        for each in _overload_pattern.PATTERNS:
            self.assertGreater(len(each.grounds), 20, each.name)

    def test_a_seed_plays_alike(self):
        first, second = (
            overload.measure(3, ('burst-2.5',), ('product',), '') for _ in '12'
        )
        self.assertEqual(first, second)

    def test_a_seed_draws_other_requests_than_another(self):
        pattern = overload.find_pattern('calm')
        works = [
            [each.work_seconds for each in overload.draw_requests(pattern, s)]
            for s in (1, 2)
        ]
        self.assertNotEqual(works[0], works[1])

    def test_calm_is_served_by_anyone(self):
        for result in overload.measure(1, ('calm',), against=''):
            self.assertGreater(result.worth, 0.99)

    def test_no_policy_is_hurt_by_unequal_upstreams_and_cuts(self):
        for name in ('unequal', 'cut-burst'):
            product, none = overload.measure(1, (name,), against='')
            difference = product.worth_in_trouble - none.worth_in_trouble
            self.assertGreater(difference, 0.05)

    def test_nothing_may_run_twice_without_being_idempotent(self):
        pattern = overload.find_pattern('half-hang')
        fleet = overload.play_fleet(pattern, 'product', 1)
        runs = [
            each.runs for each in fleet.requests if not each.kind.is_idempotent
        ]
        self.assertEqual(1, max(runs))


class OracleTest(testtools.TestCase):
    def test_it_serves_what_fits(self):
        requests = [build_request(number) for number in range(4)]
        reached = _overload_oracle.compute_reached(requests, [0.0])
        self.assertEqual(4, reached)

    def test_it_serves_late_what_comes_too_late_for_the_aim(self):
        requests = [build_request(number) for number in range(10)]
        reached = _overload_oracle.compute_reached(requests, [0.0])
        self.assertAlmostEqual(5 + 5 * KIND.late_worth, reached)

    def test_it_takes_the_short_ones_first(self):
        requests = [build_request(0, 0.0, 0.1), build_request(1, 0.0, 0.02)]
        reached = _overload_oracle.compute_reached(requests, [0.0])
        self.assertAlmostEqual(1 + KIND.late_worth, reached)

    def test_nobody_exceeds_the_bound(self):
        for pattern in _overload_pattern.PATTERNS:
            requests = overload.draw_requests(pattern, 1)
            free_at = [0.0] * sum(pattern.slots)
            until = requests[-1].deadline
            reached = _overload_oracle.compute_reached(requests, free_at)
            bound = _overload_oracle.compute_bound(requests, free_at, until)
            self.assertLessEqual(reached, bound + 1e-6, pattern.name)
            self.assertGreater(reached, 0.8 * bound, pattern.name)
