"""Tests of calls to the store for an answer that an instance needs now."""

import testtools

from skylarkfold.measure import _relay_fleet as fleet_module

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

    def test_a_store_that_is_away_proves_nothing(self):
        self.fleet.is_store_down = True
        asked_at = self.request('entry-2')
        self.fleet.run(1.0)
        core = self.fleet.cores['entry-2']
        self.assertLess(core.get_proved_at('routes'), asked_at)
