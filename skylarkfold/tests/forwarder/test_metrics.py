"""Tests of the metrics text format."""

import testtools

from skylarkfold.forwarder import _metrics
from skylarkfold import histogram


class MetricsTest(testtools.TestCase):
    def test_counters_gauges_and_histograms_are_formatted(self):
        taken = histogram.Histogram()
        for seconds in (0.0005, 0.03, 99.0):
            taken.observe(seconds)
        text = _metrics.format_metrics(
            {'open.placed': 3, 'open.repeated': 1, 'lines.left-out': 0},
            {'ready': 1.0},
            {'answer_seconds': taken},
        ).decode()
        lines = text.splitlines()
        self.assertIn('skylarkfold_open_total{reason="placed"} 3', lines)
        self.assertIn('skylarkfold_lines_total{reason="left-out"} 0', lines)
        self.assertIn('skylarkfold_ready 1', lines)
        bucket = 'skylarkfold_answer_seconds_bucket'
        self.assertIn(f'{bucket}{{le="0.001"}} 1', lines)
        self.assertIn(f'{bucket}{{le="0.05"}} 2', lines)
        self.assertIn(f'{bucket}{{le="+Inf"}} 3', lines)
        self.assertIn('skylarkfold_answer_seconds_count 3', lines)
        self.assertEqual(1, text.count('# TYPE skylarkfold_open_total'))
