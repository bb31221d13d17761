"""Tests of the comparison of journal entries."""

import json
import pathlib
import tempfile

import testtools

from skylarkfold import errors
from skylarkfold import report


def build_day(name, worth, kind='trouble', windows=0.5, calls=0.01, **fields):
    """Return a day as the bench writes it."""
    return {
        'name': name,
        'G': worth,
        'kind': kind,
        'parts': [['worst windows', 0.2, windows]],
        'prices': [['calls', 100.0, calls], ['disk', 0.0, 0.0]],
        'seed': 7,
        'rules': {},
        **fields,
    }


def build_entry(*days, score=0.9):
    """Return a journal entry as the bench writes it."""
    return {'site': 's', 'head': 'a1', 'score': score, 'days': list(days)}


class JournalTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = pathlib.Path(scratch.name)

    def write(self, name, value):
        path = self.folder / name
        path.write_text(json.dumps(value))
        return path

    def compare(self, before, after):
        entries = [
            report.read_entry(self.write(f'{number}.json', each))
            for number, each in enumerate((before, after))
        ]
        compared = report.compare_entries(*entries)
        return {each.figure: each for each in compared}

    def test_days_and_means_are_compared(self):
        found = self.compare(
            build_entry(
                build_day('one', 0.8, windows=0.4),
                build_day('two', 0.9),
                build_day('calm', 0.97, kind='quiet'),
            ),
            build_entry(
                build_day('one', 0.85, windows=0.6, calls=0.02),
                build_day('two', 0.9),
                build_day('calm', 0.2, kind='quiet'),
                build_day('fresh', 0.1),
                score=0.92,
            ),
        )
        self.assertEqual(0.05, found['worth of one'].change)
        self.assertEqual(0.02, found['score'].change)
        # The mean leaves out quiet days and days that only one entry has.
        self.assertEqual(0.025, found['mean worth'].change)
        self.assertEqual(0.1, found['worst windows'].change)
        self.assertEqual(0.005, found['price of calls'].change)
        self.assertNotIn('price of disk', found)
        self.assertNotIn('worth of fresh', found)

    def test_broken_rules_are_counted_on_all_days(self):
        found = self.compare(
            build_entry(build_day('one', 0.8)),
            build_entry(build_day('fresh', 0.0, rules={'FLOW': 3})),
        )
        self.assertEqual(3, found['rules broken, all days'].change)

    def test_missing_score_gives_no_change(self):
        found = self.compare(
            build_entry(build_day('one', 0.8), score=None),
            build_entry(build_day('one', 0.7)),
        )
        self.assertIsNone(found['score'].change)
        self.assertEqual(-0.1, found['worth of one'].change)

    def test_is_entry_distinguishes_entries_from_results(self):
        entry = self.write('entry.json', build_entry())
        results = self.write('results.json', {'measures': {}})
        self.assertTrue(report.is_entry(entry))
        self.assertFalse(report.is_entry(results))
        self.assertFalse(report.is_entry(self.folder / 'none'))
        self.assertRaises(errors.SettingsError, report.read_entry, results)
