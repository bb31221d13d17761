"""Tests of putting callers' shares in force.

Failure: settings that can't be used, at a start or while an instance runs:
what was in force stays. Load: none of it where nothing asks for shares.
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
        self.own = _settings.read_forwarder_settings(str(self.path))
        self.core = affinity.AffinityCore('z', self.own.affinity)
        settings = relay.RelaySettings(topics=('t',))
        self.relay = relay.RelayCore('n', 'z', 'h', settings)
        self.reporter = _reporter.Reporter('n', self.own.log, dict)
        self.sharing = _sharing.CallerSharing(
            self.core, self.relay, self.reporter
        )

    def find_weight(self):
        callers = self.core.shares.sharing.callers
        return callers._settings.weights.find(CALLER)

    def write(self, text):
        self.path.write_text(text)
        self.sharing.reload(self.own, True)

    def test_without_a_term_and_a_setting_nothing_is_loaded(self):
        self.sharing.put(self.own, False)
        self.assertIsNone(self.core.shares.sharing)
        self.sharing.refresh(1.0, 0)
        word = relay.CallerDemandReported('m', False, 0.0, b'x')
        self.sharing.take(1.0, word)
        self.assertEqual(0, self.reporter.counters['callers.malformed'])
        gauges = _gauges.list_gauges(1.0, self.core, self.relay, True)
        self.assertNotIn('services_short', gauges)

    def test_an_instance_that_is_not_asked_does_not_load_it(self):
        # Each module more takes time of every start.
        text = (
            'import sys\n'
            'from skylarkfold import forwarder\n'
            'from skylarkfold.platform import _adapter\n'
            "own = forwarder.parse_forwarder_settings('{}', 'file')\n"
            "print([n for n in sys.modules if n.startswith('skylarkfold.sh')"
            '])\n'
        )
        told = subprocess.run(
            [sys.executable, '-c', text],
            capture_output=True,
            check=True,
            text=True,
        )
        self.assertEqual('[]', told.stdout.strip())

    def test_the_term_or_the_setting_asks(self):
        self.sharing.put(self.own, True)
        self.assertIsNotNone(self.core.shares.sharing)
        self.sharing.put(self.own, False)
        self.assertIsNone(self.core.shares.sharing)
        self.own.shares = shares.SharesSettings(True)
        self.sharing.put(self.own, False)
        self.assertIsNotNone(self.core.shares.sharing)
        gauges = _gauges.list_gauges(1.0, self.core, self.relay, True)
        self.assertEqual(0.0, gauges['services_short'])

    def test_what_can_t_be_used_leaves_what_was_in_force(self):
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

    def test_a_file_that_is_gone_leaves_what_was_in_force(self):
        self.write('{"shares": {"weights": {"192.0.2.0/24": 2}}}')
        self.path.unlink()
        self.sharing.reload(self.own, True)
        self.assertEqual(2.0, self.find_weight())

    def test_untrue_words_are_counted(self):
        self.sharing.put(self.own, True)
        self.sharing.take(
            1.0, relay.CallerDemandReported('m', False, 0.0, b'x')
        )
        self.assertEqual(1, self.reporter.counters['callers.malformed'])

    def test_what_callers_ask_for_is_told_on(self):
        self.sharing.put(self.own, True)
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
