"""Tests of refusals and placement under patterns of heavy load.

Each pattern of ``measure/_overload_pattern`` describes its load; no network is
needed. The tests assert the credit of the requests made during the
disturbance, relative to an oracle that knows every queue and all work. Random
draws are fixed, so the figures repeat; each floor is 0.02 below the value of
this version.
"""

import testtools

from skylarkfold.measure import _overload_pattern
from skylarkfold.measure import overload

SEED = 1
FLOORS = {
    'calm': 0.98,
    'burst-1.5': 0.979,
    'burst-2.5': 0.976,
    'burst-4': 0.778,
    'burst-5': 0.669,
    'burst-zone': 0.975,
    'burst-live': 0.936,
    'burst-report': 0.913,
    'burst-twice': 0.807,
    'outage': 0.891,
    'retry-storm': 0.775,
    'slow': 0.902,
    'hang': 0.967,
    'half-hang': 0.97,
    'half-errors': 0.967,
    'slow-burst': 0.948,
    'hang-burst': 0.936,
    'errors-burst': 0.964,
    'cold': 0.978,
    'release-burst': 0.974,
    'cut-burst': 0.977,
    'evacuated': 0.98,
    'evacuated-burst': 0.98,
    'zone-cold': 0.969,
    'zone-lost': 0.95,
    'release-many': 0.979,
    'unequal': 0.976,
    'speeds': 0.975,
    'speeds-slow': 0.945,
    'unequal-work': 0.832,
}
# How far a pattern may fall below no policy at all: refusing what would be
# late costs a little when no refusals were needed.
TOLERANCE = 0.01


class HeavyLoadTest(testtools.TestCase):
    """One test for each pattern, added below."""

    def check(self, name):
        product, none = overload.measure(SEED, (name,), against='')
        reached = product.worth_in_trouble / product.reached
        self.assertGreaterEqual(reached, FLOORS[name])
        least = none.worth_in_trouble - TOLERANCE
        self.assertGreaterEqual(product.worth_in_trouble, least)


def _build_test(name):
    def test(self):
        self.check(name)

    return test


for _pattern in _overload_pattern.PATTERNS:
    _name = _pattern.name.replace('-', '_').replace('.', '_')
    setattr(HeavyLoadTest, f'test_{_name}', _build_test(_pattern.name))


class OverloadTest(testtools.TestCase):
    """Behaviour towards callers of an overloaded service."""

    def test_reports_that_go_first_are_served_before_live_requests(self):
        (result,) = overload.measure(SEED, ('burst-4',), ('product',), '')
        self.assertGreater(result.report, result.live)

    def test_neither_kind_of_request_is_starved(self):
        (result,) = overload.measure(SEED, ('burst-5',), ('product',), '')
        self.assertGreater(min(result.report, result.live), 0.4)

    def test_what_is_refused_ends_at_once(self):
        pattern = overload.find_pattern('burst-4')
        fleet = overload.play_fleet(pattern, 'product', SEED)
        waits = sorted(
            each.ended_at - each.asked_at
            for each in fleet.requests
            if each.end == 'refused'
        )
        self.assertLess(waits[len(waits) // 2], 0.03)

    def test_what_may_run_once_runs_once(self):
        for name in ('burst-4', 'hang-burst', 'release-burst'):
            pattern = overload.find_pattern(name)
            fleet = overload.play_fleet(pattern, 'product', SEED)
            runs = [
                each.runs
                for each in fleet.requests
                if not each.kind.is_idempotent
            ]
            self.assertEqual(1, max(runs), name)

    def test_the_busiest_upstream_is_near_the_mean(self):
        for name in ('calm', 'burst-2.5', 'unequal'):
            (result,) = overload.measure(SEED, (name,), ('product',), '')
            self.assertLess(result.busiest, 1.2, name)
