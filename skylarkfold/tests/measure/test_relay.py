"""Tests of the measure of the relay."""

import testtools

from skylarkfold.measure import relay
from skylarkfold import report
from skylarkfold.report import _measured_figures
from skylarkfold.report import _target_size
from skylarkfold.report import _token_figures


class RelayTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        results = relay.measure(sizes=(7,))
        self.results = {each.scenario: each for each in results}

    def test_all_scenarios_are_measured(self):
        self.assertEqual(
            {'rest', 'routes', 'upstreams', 'ends', 'return', 'zone-cut'},
            set(self.results),
        )

    def test_changes_reach_every_instance_and_cost_bytes(self):
        for scenario in ('routes', 'upstreams'):
            result = self.results[scenario]
            self.assertLess(result.reach_seconds, 0.5)
            self.assertGreater(result.bytes_a_change, 0)

    def test_few_call_the_store_at_rest(self):
        # Three watchers with two topics, one call in 3 s each.
        self.assertLess(self.results['rest'].calls_per_second, 3.0)

    def test_all_know_the_era_after_a_return_by_few_calls(self):
        result = self.results['return']
        # The watches that hang tell of it, 3 s later at the latest.
        self.assertLess(result.reach_seconds, 3.5)
        # Three watchers list two topics, and go on watching.
        self.assertLess(result.calls_per_second, 6.0)

    def test_the_capacity_page_has_its_figures(self):
        size = _target_size.TargetSize(nodes=7)
        rows = [
            {name: getattr(each, name) for name in each.__slots__}
            for each in self.results.values()
        ]
        measured = report.Measured('', '', '', '', 1.0, rows)
        slopes = _measured_figures.MeasuredFigures(
            report.Results({'relay': measured})
        )
        figures = list(
            _token_figures.list_token_figures(
                slopes, size, _target_size.Budget()
            )
        )
        self.assertEqual([], [each for each in figures if each.value is None])
        lasting = figures[-1]
        self.assertGreater(lasting.value, figures[0].value)
