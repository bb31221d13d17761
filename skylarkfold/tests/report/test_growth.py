"""Tests of the comparison of runs of different sizes."""

import testtools

from skylarkfold import errors
from skylarkfold import report
from skylarkfold.report import _journal


def build_day(instances, calls, windows=0.9, name='one', **fields):
    return _journal.Day(
        name,
        0.9,
        parts=[('worst windows', 0.2, windows), ('whole day', 0.8, 1.0)],
        prices=[('calls', 100.0 * calls, calls), ('disk', 0.0, 0.0)],
        balancers=instances,
        by_class=[0.98, None],
        by_zone=[1.0, 0.95],
        **fields,
    )


def build_entry(*days, **fields):
    fields.setdefault('site', 'a-site')
    return _journal.Entry(head='abc', days=list(days), **fields)


class GrowthTest(testtools.TestCase):
    def compare(self, small, large):
        return {
            (each.day, each.figure): each
            for each in report.compare_sizes(small, large)
        }

    def test_growth_is_listed_by_day_part_and_price(self):
        found = self.compare(
            build_entry(build_day(10, 0.01), build_day(10, 0.0, name='two')),
            build_entry(build_day(40, 0.02, windows=0.5)),
        )
        calls = found['one', 'price: calls']
        self.assertEqual((0.01, 0.02, 0.01), (calls.small, calls.large, 0.01))
        self.assertEqual(0.5, calls.exponent)
        self.assertEqual(0.5, found['one', 'amount: calls'].exponent)
        windows = found['one', 'part: worst windows']
        self.assertEqual(0.08, windows.change)
        self.assertAlmostEqual(
            0.05, found['one', 'zone 2, not served in time'].large
        )
        self.assertNotIn(('one', 'kind 2, not served in time'), found)
        self.assertNotIn(('one', 'price: disk'), found)
        self.assertNotIn('two', {day for day, _ in found})

    def test_largest_losses_of_the_larger_run_come_first(self):
        rows = report.compare_sizes(
            build_entry(build_day(10, 0.01)),
            build_entry(build_day(40, 0.3, windows=0.5)),
        )
        losses = [each for each in rows if 'amount' not in each.figure]
        self.assertEqual('price: calls', losses[0].figure)
        self.assertEqual(
            sorted((each.large for each in losses), reverse=True),
            [each.large for each in losses],
        )

    def test_too_small_value_has_no_exponent(self):
        found = self.compare(
            build_entry(build_day(10, 0.0001)),
            build_entry(build_day(40, 0.02)),
        )
        self.assertIsNone(found['one', 'price: calls'].exponent)

    def test_runs_that_cannot_be_compared_are_rejected(self):
        small = build_entry(build_day(10, 0.01))
        large = build_entry(build_day(40, 0.02))
        invalid_pairs = (
            (small, build_entry(build_day(40, 0.02), site='another')),
            (build_entry(build_day(10, 0.01), site=None), large),
            (small, build_entry(build_day(40, 0.02), error='killed')),
            (small, build_entry(build_day(40, 0.02), ok=False)),
            (small, build_entry(build_day(40, 0.02), days_left_out=1)),
            (small, build_entry()),
            (small, build_entry(build_day(0, 0.02))),
            (small, build_entry(build_day(40, 0.02, name='two'))),
            (large, small),
            (small, small),
        )
        for small_entry, large_entry in invalid_pairs:
            self.assertRaises(
                errors.UsageError,
                report.compare_sizes,
                small_entry,
                large_entry,
            )
