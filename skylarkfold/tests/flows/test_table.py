"""Tests of bucket tables."""

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import errors
from skylarkfold import flows
from skylarkfold.flows import _table
from skylarkfold import service
from skylarkfold.tests.flows import cluster
from skylarkfold.tests.flows import test_core

SETTINGS = flows.FlowSettings()
WEIGHTS = strategies.dictionaries(
    strategies.text(min_size=1, max_size=3),
    strategies.floats(0, 100),
    min_size=1,
    max_size=20,
)


class TableTest(testtools.TestCase):
    @hypothesis.given(WEIGHTS, strategies.integers(1, 4096))
    def test_shares_add_up_and_are_near_exact(self, weights, count):
        shares = _table.apportion(weights, count)
        self.assertEqual(count, sum(shares.values()))
        total = sum(weights.values())
        if total <= 0:
            return
        for name, share in shares.items():
            exact = count * weights[name] / total
            self.assertLess(abs(share - exact), 1 + 1e-6)

    @hypothesis.given(strategies.binary())
    def test_invalid_bytes_raise_a_decode_error(self, value):
        try:
            _table.decode(value)
        except errors.DecodeError as error:
            self.assertEqual('message-malformed', error.code)

    def test_indexes_out_of_range_are_refused(self):
        table = _table.build_initial(test_core.build_service(2), SETTINGS)
        broken = _table.BucketTable(
            table.upstreams, [], table.states, [9] * 1024, table.targets
        )
        self.assertRaises(
            errors.DecodeError, _table.decode, _table.encode(broken)
        )

    def test_first_table_is_even(self):
        table = _table.build_initial(test_core.build_service(7), SETTINGS)
        counts = [table.unpinned.count(index) for index in range(7)]
        self.assertLessEqual(max(counts) - min(counts), 1)

    def test_only_balance_places_by_load_at_first(self):
        for preference, free in (
            (service.Preference.CONTINUITY, 0),
            (service.Preference.BALANCE, 256),
        ):
            new_service = test_core.build_service(7, preference=preference)
            table = _table.build_initial(new_service, SETTINGS)
            self.assertEqual(free, table.count_balanced())

    def test_large_table_fits_the_store(self):
        upstreams = [cluster.build_upstream(number) for number in range(4000)]
        new_service = cluster.build_service(upstreams)
        table = _table.build_initial(new_service, SETTINGS)
        self.assertLess(len(_table.encode(table)), 1024 * 1024)
