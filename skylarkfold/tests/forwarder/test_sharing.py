"""Tests of applying the settings of callers' shares.

Invalid settings must leave the previous ones in force, and the module must not
be loaded where shares are not enabled.
"""

import pathlib
import subprocess
import sys
import tempfile

import testtools

from skylarkfold import affinity
from skylarkfold.forwarder import _gauges
from skylarkfold.forwarder import _reporter
from skylarkfold.forwarder import _settings
from skylarkfold.forwarder import _sharing
from skylarkfold import relay
from skylarkfold import revision as revisions
from skylarkfold import shares

CALLER = bytes((192, 0, 2, 7))


class SharingTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.path = pathlib.Path(scratch.name) / 'own.json'
        self.path.write_text('{}')
        self.forwarder_settings = _settings.read_forwarder_settings(
            str(self.path)
        )
        self.core = affinity.AffinityCore(
            'z', self.forwarder_settings.affinity
        )
        settings = relay.RelaySettings(topics=('t',))
        self.relay = relay.RelayCore('n', 'z', 'h', settings)
        self.reporter = _reporter.Reporter(
            'n', self.forwarder_settings.log, dict
        )
        self.sharing = _sharing.CallerSharing(
            self.core, self.relay, self.reporter
        )

    def find_weight(self):
        callers = self.core.shares.sharing.callers
        return callers._settings.weights.find(CALLER)

    def write(self, text):
        self.path.write_text(text)
        self.sharing.reload_settings(self.forwarder_settings, True)

    def test_nothing_is_loaded_if_not_enabled(self):
        self.sharing.apply_settings(self.forwarder_settings, False)
        self.assertIsNone(self.core.shares.sharing)
        self.sharing.refresh(1.0, 0)
        report = relay.CallerDemandReported('m', False, 0.0, b'x')
        self.sharing.handle_report(1.0, report)
        self.assertEqual(0, self.reporter.counters['callers.malformed'])
        gauges = _gauges.list_gauges(1.0, self.core, self.relay, True)
        self.assertNotIn('services_short', gauges)

    def test_shares_module_is_not_imported_by_default(self):
        # Each imported module slows down every start.
        text = (
            'import sys\n'
            'from skylarkfold import forwarder\n'
            'from skylarkfold.platform import _adapter\n'
            "own = forwarder.parse_forwarder_settings('{}', 'file')\n"
            "print([n for n in sys.modules if n.startswith('skylarkfold.sh')"
            '])\n'
        )
        completed = subprocess.run(
            [sys.executable, '-c', text],
            capture_output=True,
            check=True,
            text=True,
        )
        self.assertEqual('[]', completed.stdout.strip())

    def test_enabled_by_platform_or_by_settings(self):
        self.sharing.apply_settings(self.forwarder_settings, True)
        self.assertIsNotNone(self.core.shares.sharing)
        self.sharing.apply_settings(self.forwarder_settings, False)
        self.assertIsNone(self.core.shares.sharing)
        self.forwarder_settings.shares = shares.SharesSettings(True)
        self.sharing.apply_settings(self.forwarder_settings, False)
        self.assertIsNotNone(self.core.shares.sharing)
        gauges = _gauges.list_gauges(1.0, self.core, self.relay, True)
        self.assertEqual(0.0, gauges['services_short'])

    def test_invalid_settings_change_nothing(self):
        self.write('{"shares": {"weights": {"192.0.2.0/24": 2}}}')
        callers = self.core.shares.sharing.callers
        self.assertEqual(2.0, self.find_weight())
        for text in (
            '{"shares": {"weights": {"192.0.2.0/24": 0}}}',
            '{"shares": {"weights": {"192.0.2.0/24": 3}, "x": 1}}',
            '{"shares": ',
        ):
            self.write(text)
            self.assertEqual(2.0, self.find_weight())
        self.write('{"shares": {"weights": {"192.0.2.0/24": 3}}}')
        self.assertEqual(3.0, self.find_weight())
        self.assertIs(callers, self.core.shares.sharing.callers)

    def test_missing_file_changes_nothing(self):
        self.write('{"shares": {"weights": {"192.0.2.0/24": 2}}}')
        self.path.unlink()
        self.sharing.reload_settings(self.forwarder_settings, True)
        self.assertEqual(2.0, self.find_weight())

    def test_malformed_reports_are_counted(self):
        self.sharing.apply_settings(self.forwarder_settings, True)
        self.sharing.handle_report(
            1.0, relay.CallerDemandReported('m', False, 0.0, b'x')
        )
        self.assertEqual(1, self.reporter.counters['callers.malformed'])

    def test_demand_is_announced_to_peers(self):
        self.sharing.apply_settings(self.forwarder_settings, True)
        beacon = relay.Beacon(
            'm',
            'z',
            0,
            False,
            False,
            (relay.Position(revisions.ZERO, revisions.ZERO, None),),
        )
        self.relay.handle_beacon(1.0, 'host', beacon)
        upstream = affinity.Upstream(
            'i-1', 1, 's', ('10.0.0.1', 1), slots=2, zone='z'
        )
        self.core.set_upstreams(1.0, [upstream])
        callers = self.core.shares.sharing.callers
        digest = shares.hash_service('s')
        for number in range(200):
            callers.note(1.0 + number / 200, digest, 0, CALLER, 0.05)
        self.sharing.refresh(2.0, 1)
        self.assertNotEqual(b'', callers.demand)
        report = self.relay.announcer.callers.choose_near(2.0, 1)
        self.assertEqual(callers.demand, report.demand)
        gauges = callers.list_gauges()
        self.assertEqual(1.0, gauges['services_short'])
        self.assertEqual(1.0, gauges['callers_counted'])
        self.assertGreater(gauges['heaviest_caller_demand_slots'], 9.0)
        self.assertLess(gauges['heaviest_caller_share_slots'], 2.0)
