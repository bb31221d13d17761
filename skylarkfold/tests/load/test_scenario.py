"""Tests of scenario files."""

import pathlib
import tempfile

import testtools

from skylarkfold import errors
from skylarkfold import load
from skylarkfold.load import _scenario

SMALL = """{
  // What callers do.
  name: 'small', region: 'r', zones: ['a'],
  services: {desk: {upstreams: 2}},
  traffic: [{kind: 'datagrams', name: 'alerts', service: 'desk', flows: %s}],
  actions: [{action: 'kill-instance', at_seconds: 1, instance: 0}],
}"""


class ScenarioTest(testtools.TestCase):
    def _read(self, text):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / 'scenario.json'
        path.write_text(text)
        return load.read_scenario(str(path))

    def test_a_file_with_comments_is_read(self):
        scenario = self._read(SMALL % '3')
        self.assertEqual('small', scenario.name)
        self.assertIsInstance(scenario.traffic[0], load.Datagrams)
        self.assertIsInstance(scenario.actions[0], load.KillInstance)

    def test_invalid_files_raise_settings_errors(self):
        wrong = [
            SMALL % '"many"',
            SMALL % '1000000',
            (SMALL % '3').replace("service: 'desk'", "service: 'other'"),
            (SMALL % '3').replace('kill-instance', 'kill-all'),
            (SMALL % '3').replace('region', 'colour'),
            '{',
        ]
        for text in wrong:
            error = self.assertRaises(errors.SettingsError, self._read, text)
            self.assertEqual('settings-invalid', error.code)
            self.assertTrue(error.source.endswith('scenario.json'))

    def test_faults_are_added_alone_and_in_pairs(self):
        faults = "faults: {a: [], b: [{action: 'kill-instance', "
        faults += 'at_seconds: 2, instance: 1}]}, }'
        scenario = self._read((SMALL % '3').rstrip()[:-1] + faults)
        combinations = _scenario.list_combinations(scenario)
        self.assertEqual([(), ('a',), ('b',), ('a', 'b')], combinations)
        changed = _scenario.add_faults(scenario, ('a', 'b'))
        self.assertEqual('small+a+b', changed.name)
        self.assertEqual(2, len(changed.actions))
        self.assertRaises(
            errors.SettingsError, _scenario.add_faults, scenario, ('c',)
        )

    def test_the_example_files_are_valid(self):
        folder = pathlib.Path(__file__).parents[3] / 'examples' / 'load'
        for name in ('co-operative', 'association'):
            scenario = load.read_scenario(str(folder / f'{name}.json'))
            self.assertEqual((name, 9), (scenario.name, scenario.instances))
            for fault in scenario.faults:
                _scenario.add_faults(scenario, (fault,))
