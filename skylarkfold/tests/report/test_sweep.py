"""Tests of parsing, storing and formatting sweeps."""

import pathlib
import tempfile

import testtools

from skylarkfold import errors
from skylarkfold import report
from skylarkfold.report import _capacity_page
from skylarkfold.report import _sweep

BENCH_OUTPUT = """\
built in 0.2 s; 100 lines in 3 files
day                  own/srv  score  worth served refused failed  weakest part
sweep-30              31/300   0.89  0.895  0.958   0.000  0.022  worst windows
sweep-100            99/1002   0.86  0.857  0.940   0.000  0.027  worst windows
sweep-300           299/3000   0.00  0.882  0.955   0.000  0.018  BROKEN: fault

middle / busiest or longest, by own machines
                          30          100          300  power  at 602
forwarder: processor %  14.2 / 16.0  19.8 / 22.5  25.8 / 31.3  0.29  38.3
config in force, ms     0.00 / 0.00  0.00 / 1308  0.00 / 1081  1.36  2781
power: the busiest grows as machines to this power
"""


class SweepTest(testtools.TestCase):
    def parse(self, text=BENCH_OUTPUT):
        return _sweep.parse_sweep(text, 'a-site', 'abc')

    def test_days_and_amounts_are_parsed(self):
        sweep = self.parse()
        self.assertEqual([30, 100, 300], sweep.sizes)
        self.assertEqual([0.895, 0.857, 0.882], sweep.worth)
        self.assertEqual([300], sweep.broken)
        processor, config = sweep.amounts
        self.assertEqual('forwarder: processor %', processor.name)
        self.assertEqual([14.2, 19.8, 25.8], processor.middle)
        self.assertEqual([16.0, 22.5, 31.3], processor.most)
        self.assertEqual((1.36, 2781), (config.power, config.at_target))

    def test_written_sweeps_are_read_back(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'sweeps.json'
            self.assertEqual([], _sweep.read_sweeps(path))
            _sweep.write_sweeps([self.parse()], path)
            self.assertEqual([self.parse()], _sweep.read_sweeps(path))

    def test_capacity_page_shows_sweeps(self):
        results = report.Results({})
        page = _capacity_page.format_capacity(results, [self.parse()])
        self.assertIn('### a-site, abc', page)
        self.assertIn('a rule broken at: 300', page)
        row = '| 14.2 / 16 | 19.8 / 22.5 | 25.8 / 31.3 | 0.29 | 38.3 |'
        self.assertIn(row, page)
        self.assertNotIn('Sweeps', _capacity_page.format_capacity(results))

    def test_incomplete_sweep_is_rejected(self):
        for text in ('', BENCH_OUTPUT.split('middle')[0]):
            self.assertRaises(errors.DecodeError, self.parse, text)
