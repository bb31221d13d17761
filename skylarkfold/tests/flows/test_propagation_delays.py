"""Tests of planned changes that instances learn of at different times."""

import testtools

from skylarkfold import event
from skylarkfold import member
from skylarkfold import service
from skylarkfold.tests.flows import cluster as cluster_module
from skylarkfold.tests.flows import traffic as traffic_module

BALANCE = service.Preference.BALANCE
CONTINUITY = service.Preference.CONTINUITY
DRAINING = service.UpstreamState.DRAINING
FLOWS = 200


def build_service(count, draining=(), preference=CONTINUITY):
    upstreams = [
        cluster_module.build_upstream(
            number,
            state=DRAINING
            if number in draining
            else service.UpstreamState.ACTIVE,
        )
        for number in range(count)
    ]
    return cluster_module.build_service(
        upstreams, preference=preference, flow_idle_seconds=20.0
    )


class PropagationDelayTest(testtools.TestCase):
    """Updates take up to 2 s, messages between instances up to 10 ms."""

    def start(self, preference, has_marks=True, seed=1):
        self.preference = preference
        self.cluster = cluster_module.Cluster(
            6, seed=seed, message_delay=0.01, publish_delay=2.0
        )
        self.configure(6)
        self.cluster.run(3)
        self.traffic = traffic_module.Traffic(
            self.cluster, has_marks=has_marks, seed=seed
        )
        self.traffic.begin(FLOWS, within_seconds=8)
        self.traffic.run(10)

    def configure(self, count, draining=()):
        new_service = build_service(count, draining, self.preference)
        self.cluster.configure(new_service)

    def begin_drain(self):
        self.configure(6, [1])
        self.traffic.begin(FLOWS, within_seconds=20)
        self.traffic.run(12)

    def assert_unbroken(self):
        self.assertEqual({}, self.traffic.broken)
        self.assertEqual(2 * FLOWS, len(self.traffic.first_upstreams))


class ConfigurationTest(PropagationDelayTest):
    def test_drain_of_unmarked_flows(self):
        self.start(CONTINUITY, has_marks=False)
        self.begin_drain()
        self.traffic.run(30)
        self.assert_unbroken()

    def test_overlapping_changes(self):
        self.start(BALANCE)
        self.configure(6, [1])
        self.traffic.begin(FLOWS, within_seconds=15)
        self.traffic.run(2.5)
        self.configure(7, [1])
        self.traffic.run(1.5)
        self.configure(7, [2])
        self.traffic.run(4)
        self.configure(8, [2, 3])
        self.traffic.run(40)
        self.assert_unbroken()


class MembersTest(PropagationDelayTest):
    def test_each_instance_is_replaced(self):
        self.start(BALANCE)
        self.begin_drain()
        for name in sorted(self.cluster.cores):
            self.cluster.stop(name)
            self.traffic.run(0.5)
            self.cluster.start_instance(name)
            self.traffic.run(4)
        self.assert_unbroken()

    def test_three_of_six_stop_at_once_and_come_back(self):
        self.start(BALANCE)
        self.begin_drain()
        leaving = ['i0', 'i1', 'i2']
        for name in leaving:
            self.cluster.set_state(name, member.MemberState.LEAVING)
            self.cluster.handle_event(name, event.StopRequested())
        self.traffic.run(15)
        for name in leaving:
            self.assertTrue(self.cluster.cores[name].is_finished)
            del self.cluster.cores[name]
            self.cluster.set_state(name, member.MemberState.LEFT)
        self.traffic.run(10)
        for name in leaving:
            self.cluster.start_instance(name)
        self.traffic.run(15)
        self.assert_unbroken()

    def test_instances_join_together(self):
        self.start(BALANCE)
        self.begin_drain()
        self.cluster.start_instance('i6')
        self.cluster.start_instance('i7')
        self.traffic.run(0.3)
        self.cluster.start_instance('i8')
        self.traffic.run(15)
        self.assert_unbroken()

    def test_one_instance_dies(self):
        self.start(CONTINUITY)
        self.begin_drain()
        self.traffic.run(10)
        self.cluster.kill('i0')
        self.traffic.run(15)
        self.assert_unbroken()

    def test_instance_joins_while_holders_stop(self):
        self.start(BALANCE)
        self.begin_drain()
        self.cluster.start_instance('i6')
        self.traffic.run(0.3)
        for name in ('i0', 'i1'):
            self.cluster.set_state(name, member.MemberState.LEAVING)
            self.cluster.handle_event(name, event.StopRequested())
        self.traffic.run(5)
        for name in ('i0', 'i1'):
            self.assertTrue(self.cluster.cores[name].is_finished)
            del self.cluster.cores[name]
            self.cluster.set_state(name, member.MemberState.LEFT)
        self.traffic.run(8)
        self.assert_unbroken()
