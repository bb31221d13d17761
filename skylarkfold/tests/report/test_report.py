"""Tests of results files, pages, plots and comparisons."""

import pathlib
import tempfile

import testtools

from skylarkfold import errors
from skylarkfold import report
from skylarkfold.report import _plots
from skylarkfold.report import _run


def _make_results(**rows):
    measures = {
        name: report.Measured(
            f'measure {name}', '2026-01-01', 'abc', 'a machine', 1.0, each
        )
        for name, each in rows.items()
    }
    return report.Results(measures)


FLOWS = [
    {'rule': 'modulo', 'broken_flows': 23, 'imbalance': 1.25},
    {'rule': 'pins', 'broken_flows': 0, 'imbalance': 1.04},
]


class ResultsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def test_written_results_are_read_back(self):
        results = _make_results(flows=FLOWS)
        report.write_results(results, self.folder / 'a' / 'results.json')
        read = report.read_results(self.folder / 'a' / 'results.json')
        self.assertEqual(results, read)

    def test_invalid_or_missing_file_raises_settings_error(self):
        path = self.folder / 'results.json'
        path.write_text('{"measures": 3}')
        self.assertRaises(errors.SettingsError, report.read_results, path)
        missing = self.folder / 'none'
        self.assertRaises(errors.SettingsError, report.read_results, missing)

    def test_only_json_object_lines_are_rows(self):
        output = b'progress\n{"rule": "pins", "share": 0.5}\n[1]\n'
        rows = _run.read_rows(output)
        self.assertEqual([{'rule': 'pins', 'share': 0.5}], rows)

    def test_plots_are_reproducible(self):
        results = _make_results(flows=FLOWS)
        plots = _plots.write_plots(results, self.folder, print)
        first = [(self.folder / each).read_bytes() for each in plots.values()]
        _plots.write_plots(results, self.folder, print)
        again = [(self.folder / each).read_bytes() for each in plots.values()]
        self.assertEqual(first, again)


class PageTest(testtools.TestCase):
    def test_page_has_a_row_for_each_result(self):
        page = report.format_page(_make_results(flows=FLOWS), {'P': 'p.svg'})
        self.assertIn('| rule | broken_flows | imbalance |', page)
        self.assertIn('| modulo | 23 | 1.25 |', page)
        self.assertIn('![P](p.svg)', page)

    def test_single_row_is_transposed(self):
        page = report.format_page(_make_results(path=[{'ratio': 0.5}]), {})
        self.assertIn('| ratio | 0.5 |', page)


class ComparisonTest(testtools.TestCase):
    def test_only_differing_figures_are_listed(self):
        after = [dict(FLOWS[0], broken_flows=46), FLOWS[1]]
        differences = report.compare(
            _make_results(flows=FLOWS), _make_results(flows=after)
        )
        expected = report.Difference(
            'flows', 'modulo', 'broken_flows', 23, 46, 2.0
        )
        self.assertEqual([expected], differences)

    def test_added_and_removed_measures_are_listed(self):
        differences = report.compare(
            _make_results(old=[{'a': 1}]), _make_results(new=[{'b': 0}])
        )
        values = [(each.before, each.after) for each in differences]
        self.assertEqual([(None, 0), (1, None)], values)

    def test_rows_with_equal_texts_are_numbered(self):
        before = [{'n': 'x', 'a': 1}, {'n': 'x', 'a': 2}]
        after = [{'n': 'x', 'a': 1}, {'n': 'x', 'a': 4}]
        differences = report.compare(
            _make_results(m=before), _make_results(m=after)
        )
        self.assertEqual(['x #2'], [each.row for each in differences])


class CapacityTest(testtools.TestCase):
    def _format(self, **rows):
        return report.format_capacity(_make_results(**rows))

    def test_missing_measure_is_marked_not_measured(self):
        page = self._format()
        self.assertIn('| - | 256 MiB | not measured |', page)

    def test_figure_is_extrapolated_from_a_measured_value(self):
        sizes = [{'services': 1400, 'change_seconds': 0.72}]
        page = self._format(sizes=sizes)
        self.assertIn('| 0.72 s | - | measured |', page)
        # 1,200 changes a day of 0.72 s each.
        self.assertIn('| 0.01 cores | 0.029 cores | extrapolated |', page)

    def test_limits_are_sorted_by_load(self):
        sizes = [
            {'services': 1400, 'flow_core_mb': 128.0, 'tick_share': 0.058}
        ]
        page = self._format(sizes=sizes)
        breaks = page.partition('What breaks first')[2]
        ticks = breaks.index('ticks at rest | 2 | 0.5 x the size')
        self.assertLess(ticks, breaks.index('with all tables | 0.5'))

    def test_only_the_target_size_counts_as_measured(self):
        page = self._format(sizes=[{'services': 140, 'flow_core_mb': 5.0}])
        self.assertNotIn('5 MiB', page)
