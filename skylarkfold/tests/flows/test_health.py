"""Tests of flows on unhealthy, partly unreachable and dead upstreams."""

import testtools

from skylarkfold import event
from skylarkfold.tests.flows import cluster as cluster_module
from skylarkfold.tests.flows import test_core

UPSTREAM = 'u2'


class HealthTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.cluster = cluster_module.Cluster(4)
        self.cluster.configure(test_core.build_service(4))
        self.cluster.run(1)
        self.flows = test_core.FlowSet(self.cluster)
        self.flows.begin(400)

    def report(self, names, seconds, **reported):
        """Deliver a report on one upstream to instances each second."""
        for _ in range(seconds):
            for name in names:
                report = event.LoadReported(
                    'press-desk', UPSTREAM, running=0, flows=100, **reported
                )
                self.cluster.handle_event(name, report)
            self.cluster.run(1)

    def list_flows_on_upstream(self):
        first = self.flows.first_upstreams
        return {each for each in first if first[each] == UPSTREAM}

    def test_unhealthy_upstream_keeps_its_flows(self):
        everyone = sorted(self.cluster.cores)
        self.report(everyone, 20, healthy=False, reachable=True)
        self.assertEqual([], self.flows.find_broken())

    def test_upstream_that_few_can_not_reach_keeps_its_flows(self):
        self.report(['i0'], 20, healthy=False, reachable=False)
        self.report(['i1', 'i2', 'i3'], 2, healthy=True, reachable=True)
        self.assertEqual([], self.flows.find_broken())

    def test_dead_upstream_loses_its_own_flows_and_no_others(self):
        everyone = sorted(self.cluster.cores)
        own = self.list_flows_on_upstream()
        self.report(everyone, 20, healthy=False, reachable=False)
        self.assertEqual(own, set(self.flows.find_broken()))
