"""Tests of the settings file that the platform generates."""

import json
import pathlib
import tempfile

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import errors
from skylarkfold import forwarder
from skylarkfold import machine
from skylarkfold.platform import _adapter
from skylarkfold.platform import check
from skylarkfold.standin import packets

ROOT = pathlib.Path(__file__).parent.parent.parent.parent
VALUES = strategies.recursive(
    strategies.none() | strategies.integers() | strategies.text(max_size=5),
    lambda inner: strategies.lists(inner, max_size=3),
)


def build_fields():
    """Build what the platform knows of an instance."""
    return packets.build_fields(
        'one',
        'a',
        '10.1.0.9',
        7000,
        ['10.1.0.1', '10.1.0.2'],
        ('10.9.0.1', 9),
        ['a', 'b', 'c'],
    )


class SettingsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.template = (ROOT / 'deploy' / 'settings.template').read_text()

    def read(self, fields):
        text = packets.fill(self.template, fields)
        return machine.convert_settings(json.loads(text), 'file')

    def make_folder(self):
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        return pathlib.Path(scratch.name)

    def test_template_maps_all_fields(self):
        settings = self.read(build_fields())
        self.assertEqual('one', settings.name)
        self.assertEqual('a', settings.zone)
        self.assertEqual(('10.1.0.9', 7000), settings.packet_address)
        self.assertEqual(('10.1.0.9', 7001), settings.ready_address)
        self.assertEqual(('10.1.0.9', 7003), settings.peer_address)
        self.assertEqual(('10.1.0.1', '10.1.0.2'), settings.seeds)
        self.assertEqual(('10.9.0.1', 9), settings.store_address)
        self.assertEqual(1.0, settings.cores)
        self.assertEqual(1000.0, settings.link_mbps)
        self.assertEqual(6.0, settings.grace_seconds)
        self.assertEqual(60.0, settings.flow_seconds)

    def test_missing_fields_have_defaults(self):
        fields = build_fields()
        del fields['bounds'], fields['limits'], fields['seeds']
        settings = self.read(fields)
        self.assertEqual((), settings.seeds)
        self.assertEqual(60.0, settings.flow_seconds)
        self.assertEqual(1.0, settings.cores)

    def test_zones_and_bounds_are_mapped(self):
        fields = build_fields()
        fields['bounds'] = {
            'evacuate_ms': 4000,
            'cold_over': 1.5,
            'cold_slack': 5,
            'config_apply_ms': 5000,
            'drain_ms': 4500,
            'unsettled_grace_ms': 15000,
        }
        settings = self.read(fields)
        self.assertEqual(('a', 'b', 'c'), settings.zones)
        self.assertEqual(4.0, settings.evacuation_seconds)
        self.assertEqual(1.5, settings.warm_up_factor)
        self.assertEqual(5.0, settings.warm_up_slack)
        self.assertEqual(5.0, settings.change_seconds)
        self.assertEqual(4.5, settings.drain_seconds)
        self.assertEqual(15.0, settings.disturbed_seconds)

    def test_features_without_bounds_are_disabled(self):
        fields = build_fields()
        del fields['bounds'], fields['zones']
        settings = self.read(fields)
        self.assertEqual((), settings.zones)
        self.assertIsNone(settings.evacuation_seconds)
        self.assertIsNone(settings.warm_up_slack)
        self.assertEqual(3.0, settings.change_seconds)
        self.assertEqual(3.0, settings.drain_seconds)
        self.assertEqual(12.0, settings.disturbed_seconds)
        forwarder_settings = forwarder.ForwarderSettings()
        forwarder.apply_machine_settings(forwarder_settings, settings)
        self.assertFalse(forwarder_settings.affinity.follows_evacuations)
        self.assertFalse(forwarder_settings.affinity.limits_warm_up)

    def test_the_relay_meets_the_shortest_bound(self):
        for name in ('config_apply_ms', 'drain_ms', 'evacuate_ms'):
            fields = build_fields()
            fields['bounds'] = {
                'config_apply_ms': 5000,
                'drain_ms': 5000,
                'evacuate_ms': 5000,
                name: 2000,
            }
            forwarder_settings = forwarder.ForwarderSettings()
            forwarder.apply_machine_settings(
                forwarder_settings, self.read(fields)
            )
            self.assertEqual(2.0, forwarder_settings.relay.change_seconds)

    def test_pressure_term_enables_shares(self):
        fields = build_fields()
        self.assertEqual((), self.read(fields).terms)
        for terms, is_asked in (
            (None, False),
            ([], False),
            (['base', 'flows'], False),
            (['pressures'], False),
            (['base', 'pressure'], True),
        ):
            fields['contracts'] = terms
            settings = self.read(fields)
            adapter = _adapter.Adapter(settings)
            self.assertEqual(tuple(terms or ()), settings.terms)
            self.assertEqual(is_asked, adapter.asks_for_shares(settings))

    def test_cpu_share_of_several_cores(self):
        fields = build_fields()
        fields['limits'] = {'cpu_share': 0.25, 'cores': 2}
        self.assertEqual(0.5, self.read(fields).cores)

    def test_errors_have_the_field_path(self):
        whole = json.loads(packets.fill(self.template, build_fields()))
        cases = {
            'name': 7,
            'packet_address': 'no-port',
            'peer_ports': [1],
            'seeds': 'x',
            'core_share': 'much',
            'flow_seconds': -1,
            'zones': [7],
            'evacuation_ms': 'soon',
            'warm_up_slack': -1,
            'terms': 'pressure',
        }
        for name, value in cases.items():
            error = self.assertRaises(
                errors.SettingsError,
                machine.convert_settings,
                {**whole, name: value},
                'file',
            )
            self.assertEqual(f'$.{name}', error.path)

    @hypothesis.given(strategies.dictionaries(strategies.text(), VALUES))
    def test_any_fields_are_settings_or_an_error(self, fields):
        whole = json.loads(packets.fill(self.template, build_fields()))
        names = sorted(whole)
        for number, value in enumerate(fields.values()):
            whole[names[number % len(names)]] = value
        try:
            machine.convert_settings(whole, 'file')
        except errors.SettingsError as error:
            self.assertTrue(error.path.startswith('$'))

    def test_truncated_file_is_an_error(self):
        text = packets.fill(self.template, build_fields())
        folder = self.make_folder()
        path = folder / 'settings'
        for length in range(len(text.rstrip())):
            path.write_text(text[:length])
            self.assertRaises(
                errors.SettingsError, machine.read_settings, str(path)
            )

    def test_missing_template_is_an_error(self):
        folder = self.make_folder()
        (folder / 'deploy').mkdir()
        path = folder / 'deploy' / 'system.toml'
        path.write_text(
            'build = "true"\n[roles.one]\n'
            'run = "python3 -m skylarkfold.platform"\n'
        )
        error = self.assertRaises(
            errors.SettingsError, check.check, str(path), 'deploy'
        )
        self.assertEqual('$.roles.one.template', error.path)
