"""Tests of calls to the store for an answer that an instance needs now."""

import testtools

from skylarkfold.measure import _relay_fleet as fleet_module
from skylarkfold import relay

ZONES = ('a', 'a', 'a', 'b', 'c')
REST_SECONDS = 9.0


class ProofTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = fleet_module.Fleet(ZONES)
        self.fleet.store.put('routes', 'main', {'version': 1})
        self.fleet.run(REST_SECONDS)

    def request(self, name):
        core = self.fleet.cores[name]
        self.fleet.perform(name, core.request_proof(self.fleet.now, 'routes'))
        return self.fleet.now

    def test_any_instance_is_answered_at_once(self):
        for name, core in self.fleet.cores.items():
            asked_at = self.request(name)
            self.fleet.run(0.02)
            self.assertGreaterEqual(core.get_proved_at('routes'), asked_at)
            self.fleet.run(1.0)

    def test_a_change_is_known_with_the_answer(self):
        # It doesn't hear of it from its peers.
        self.fleet.cut = lambda one, other: (
            one == 'entry-2' and other != fleet_module.STORE
        )
        self.fleet.store.put('routes', 'main', {'version': 2})
        self.request('entry-2')
        self.fleet.run(0.02)
        found = self.fleet.get_revisions('routes', 'main')
        newest = self.fleet.store.objects['routes']['main'].revision
        self.assertEqual(newest, found['entry-2'])

    def test_many_wishes_are_few_calls(self):
        before = self.fleet.store.calls.total()
        for _ in range(100):
            self.request('entry-2')
            self.fleet.run(0.01)
        self.assertLessEqual(self.fleet.store.calls.total() - before, 10)

    def test_wishes_that_change_nothing_are_ever_fewer_calls(self):
        """Guards against packets of invented flows that flood the store."""
        before = self.fleet.store.calls.total()
        for _ in range(3000):
            self.request('entry-2')
            self.fleet.run(0.01)
        wished = self.fleet.store.calls.total() - before
        before = self.fleet.store.calls.total()
        self.fleet.run(30.0)
        usual = self.fleet.store.calls.total() - before
        # At 600 instances less than a tenth of what the store bears.
        self.assertLessEqual(wished - usual, 30.0 / 3.0 + 5)

    def test_a_wish_after_a_change_or_a_while_is_a_call_at_once(self):
        """Guards against a wait that is left over from an earlier flood."""
        for _ in range(1000):
            self.request('entry-2')
            self.fleet.run(0.01)
        self.fleet.store.put('routes', 'main', {'version': 2})
        self.fleet.run(1.0)
        core = self.fleet.cores['entry-2']
        asked_at = self.request('entry-2')
        self.fleet.run(0.02)
        self.assertGreaterEqual(core.get_proved_at('routes'), asked_at)
        for _ in range(1000):
            self.request('entry-2')
            self.fleet.run(0.01)
        self.fleet.run(10.0)
        asked_at = self.request('entry-2')
        self.fleet.run(0.02)
        self.assertGreaterEqual(core.get_proved_at('routes'), asked_at)

    def test_a_store_that_is_away_proves_nothing(self):
        self.fleet.is_store_down = True
        asked_at = self.request('entry-2')
        self.fleet.run(1.0)
        core = self.fleet.cores['entry-2']
        self.assertLess(core.get_proved_at('routes'), asked_at)

    def test_an_answer_that_comes_late_proves_nothing_since_its_call(self):
        """Guards against a watch that the store cuts short, read late."""
        name = 'entry-2'
        core = self.fleet.cores[name]
        [call] = [
            effect.call
            for effect in core.request_proof(self.fleet.now, 'routes')
            if isinstance(effect, relay.CallStore)
        ]
        called_at = self.fleet.now
        cut_short = relay.Answer(
            relay.Status.OK, (), self.fleet.store.revision
        )
        core.handle_answer(called_at + 5.0, call, cut_short)
        self.assertEqual(called_at, core.get_proved_at('routes'))

    def test_a_watch_proves_nothing_after_its_call(self):
        """Guards against the same with a watch that was to be held."""
        for name, core in self.fleet.cores.items():
            reader = core._by_name['routes'].reader
            if not reader.is_calling:
                continue
            since = self.fleet.store.revision
            call = relay.Call('routes', since, '', 3.0, 3.5)
            cut_short = relay.Answer(relay.Status.OK, (), since)
            called_at = reader.called_at
            core.handle_answer(called_at + 5.0, call, cut_short)
            self.assertEqual(called_at, core.get_proved_at('routes'))
            return
        self.fail('no instance watches')
