"""Tests of the trust in reported loads.

They guard against many instances with many short flows all choosing the same
upstream, the least loaded one by stale reports.
"""

import collections

import testtools

from skylarkfold import affinity
from skylarkfold.affinity import _directory
from skylarkfold.affinity import _load_trust
from skylarkfold.affinity import _placement
from skylarkfold.affinity import _warm_up
from skylarkfold.tests.affinity import samples

UPSTREAMS = 9
FLOWS = 450
ZONE = samples.ZONE


class LoadTrustTest(testtools.TestCase):
    def place(self, per_second, remote, trust=4.0):
        """Place flows that are never reported; the first upstream is idle."""
        settings = affinity.AffinitySettings(unseen_trust=trust)
        directory = _directory.Directory(settings)
        directory.replace(
            0.0, [samples.build_upstream(n + 1) for n in range(UPSTREAMS)]
        )
        states = directory.list_states(samples.SERVICE)
        for each in states[1:]:
            each.flows = 1
            each.remote_flows = remote
            each.remote_busy = 1.0
        load_trust = None
        if trust:
            load_trust = _load_trust.LoadTrust(trust, directory)
        limit = _warm_up.WarmUpLimiter(ZONE, settings)
        chosen = collections.Counter()
        for number in range(FLOWS):
            flow_hash = _placement.hash_flow(samples.build_flow(number))
            found = _placement.choose_upstream(
                number / per_second,
                states,
                ZONE,
                flow_hash,
                (),
                settings,
                limit,
                load_trust,
            )
            chosen[found.upstream.name] += 1
        return chosen

    def test_a_single_instance_chooses_the_least_loaded(self):
        chosen = self.place(per_second=500, remote=0)
        self.assertEqual({'i-0000000001': FLOWS}, chosen)

    def test_instances_with_few_flows_choose_the_least_loaded(self):
        chosen = self.place(per_second=5, remote=6)
        self.assertEqual({'i-0000000001': FLOWS}, chosen)

    def test_many_instances_with_many_flows_spread_them(self):
        chosen = self.place(per_second=50, remote=63)
        self.assertEqual(UPSTREAMS, len(chosen))
        self.assertLess(max(chosen.values()), 2 * FLOWS / UPSTREAMS)

    def test_when_disabled_the_least_loaded_is_chosen(self):
        chosen = self.place(per_second=50, remote=63, trust=0.0)
        self.assertEqual({'i-0000000001': FLOWS}, chosen)

    def test_the_report_interval_is_measured(self):
        directory = _directory.Directory(affinity.AffinitySettings())
        for _ in range(100):
            directory.record_report_interval(1.0)
        self.assertAlmostEqual(
            1.0, directory.report_interval_seconds, places=2
        )
