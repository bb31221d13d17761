"""Tests of the ablation's settings and of the runs it reads."""

import json
import pathlib
import tempfile

import testtools

from skylarkfold import errors
from skylarkfold import forwarder
from skylarkfold.measure import _mechanism
from skylarkfold.measure import ablation

OWN = """{
  // A comment.
  "metrics_port": 9464,
  "affinity": {"open_tries": 2}
}
"""


class AblationTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = pathlib.Path(scratch.name)

    def write_run(self, number, why, worth, **fields):
        day = {'name': 'x', 'G': worth, 'rules': fields.pop('rules', {})}
        entry = {'site': None, 'head': 'a', 'why': why, 'days': [day]}
        path = self.folder / f'{number}.json'
        path.write_text(json.dumps({**entry, **fields}))

    def test_each_file_can_be_used_and_lacks_one_mechanism(self):
        own = self.folder / 'own.json'
        own.write_text(OWN)
        files = _mechanism.write_settings(own, self.folder / 'into')
        names = [pathlib.Path(each).stem for each in files]
        self.assertEqual(['none', *_mechanism.MECHANISMS], names)
        read = dict(zip(names, map(forwarder.read_forwarder_settings, files)))
        self.assertEqual(9464, read['refusal'].metrics_port)
        self.assertEqual(2, read['none'].affinity.open_tries)
        self.assertEqual(1, read['hedges'].affinity.open_tries)
        self.assertEqual(0.0, read['hasty'].affinity.haste_weight)
        self.assertEqual(2, read['hasty'].affinity.open_tries)

    def test_settings_that_are_wrong_are_told(self):
        own = self.folder / 'own.json'
        own.write_text('{"affinity": {"unheard": 1}}')
        self.assertRaises(
            errors.SettingsError, _mechanism.write_settings, own, self.folder
        )
        self.assertRaises(
            errors.UsageError, ablation.measure, settings=str(own)
        )

    def test_runs_are_compared_seed_by_seed(self):
        self.write_run(1, 'ablation none seed 1 burst', 0.9)
        self.write_run(2, 'ablation none seed 2 burst', 0.8)
        self.write_run(3, 'ablation none seed 3 burst', 0.1)
        self.write_run(4, 'ablation refusal seed 1 burst', 0.7)
        self.write_run(5, 'ablation refusal seed 2 burst', 0.75)
        self.write_run(6, 'ablation refusal seed 3 burst', 0.9, error='cut')
        self.write_run(7, 'a score', 0.2)
        self.write_run(8, 'a day that never began', None)
        (self.folder / '9.json').write_text('no entry')
        (found,) = ablation.measure(journal=str(self.folder))
        self.assertEqual(
            ('refusal', 'burst'), (found.mechanism, found.pattern)
        )
        self.assertEqual(2, found.seeds)
        self.assertEqual((0.85, 0.725), (found.with_it, found.without))
        self.assertEqual(
            (0.125, 0.05, 0.2), (found.worth, found.least, found.most)
        )

    def test_a_broken_rule_is_worth_nothing(self):
        self.write_run(1, 'ablation none seed 1 burst', 0.9)
        self.write_run(
            2, 'ablation doubts seed 1 burst', 0.9, rules={'FLOW': 1}
        )
        (found,) = ablation.measure(journal=str(self.folder))
        self.assertEqual(0.9, found.worth)

    def test_a_journal_without_such_runs_is_told(self):
        self.assertRaises(
            errors.UsageError, ablation.measure, journal=str(self.folder)
        )
        self.write_run(1, 'ablation unheard seed 1 burst', 0.9)
        self.assertRaises(
            errors.UsageError, ablation.measure, journal=str(self.folder)
        )
