"""Tests of flows under instance, network and upstream failures."""

import collections
import dataclasses

import testtools

from skylarkfold import effect
from skylarkfold import event
from skylarkfold import flows
from skylarkfold.flows import _messages
from skylarkfold import member
from skylarkfold import service
from skylarkfold.tests.flows import cluster as cluster_module
from skylarkfold.tests.flows import test_core

BALANCE = service.Preference.BALANCE


class FaultTest(testtools.TestCase):
    def start(self, count=6, settings=None, **changes):
        self.cluster = cluster_module.Cluster(count, settings)
        self.changes = changes
        self.configure()
        self.cluster.run(1)
        self.flows = test_core.FlowSet(self.cluster)
        self.flows.begin(300)

    def configure(self, draining=()):
        new_service = test_core.build_service(5, draining, **self.changes)
        self.cluster.configure(new_service)

    def begin_drain(self):
        self.configure([1])
        self.cluster.run(3)
        self.flows.begin(300)
        self.cluster.run(1)


class DeathTest(FaultTest):
    def test_two_instances_die_at_once(self):
        self.start()
        self.begin_drain()
        self.cluster.kill('i0')
        self.cluster.kill('i1')
        self.assertEqual([], self.flows.find_broken())

    def test_instance_restarts_without_state(self):
        self.start()
        self.begin_drain()
        self.cluster.start_instance('i0')
        self.assertEqual([], self.flows.find_broken())

    def test_cached_flows_survive_death_of_holders(self):
        self.start(8, flows.FlowSettings(replica_count=1))
        self.begin_drain()
        for caller in self.flows.first_upstreams:
            for _ in range(10):
                for name in ('i6', 'i7'):
                    self.cluster.send(name, caller)
        self.cluster.kill('i0')
        self.cluster.kill('i1')
        self.cluster.run(5)
        self.assertEqual([], self.flows.find_broken())

    def test_without_a_replica_flows_are_lost(self):
        self.start(6, flows.FlowSettings(replica_count=0))
        self.begin_drain()
        self.cluster.kill('i0')
        self.assertNotEqual([], self.flows.find_broken())


class PartitionTest(FaultTest):
    def partition_zone(self, state):
        side = ['i0', 'i3']
        self.cluster.partition(side)
        for name in sorted(self.cluster.cores):
            members = {
                other: dataclasses.replace(
                    each,
                    state=member.MemberState.ALIVE
                    if (name in side) == (other in side)
                    else state,
                )
                for other, each in self.cluster.members.items()
            }
            membership = member.Membership(99, members)
            self.cluster.handle_event(
                name, event.MembershipChanged(membership)
            )

    def heal_partition(self):
        self.cluster.cut_links = set()
        self.cluster.publish_membership()

    def test_partition_of_a_zone_heals(self):
        self.start()
        self.begin_drain()
        self.partition_zone(member.MemberState.DEAD)
        for caller in self.flows.first_upstreams:
            for name in ('i0', 'i1'):
                self.assertIsNotNone(self.cluster.send(name, caller))
        self.cluster.run(20)
        self.heal_partition()
        self.cluster.run(10)
        self.assertEqual([], self.flows.find_broken())

    def test_other_side_of_a_partition_keeps_its_flows(self):
        self.start()
        self.begin_drain()
        self.partition_zone(member.MemberState.DEAD)
        self.cluster.run(5)
        reached = {
            caller: self.cluster.send('i1', caller)
            for caller in self.flows.first_upstreams
        }
        self.assertEqual(self.flows.first_upstreams, reached)

    def test_instance_without_the_table_asks_others(self):
        self.start()
        self.cluster.unsubscribed = {'i5'}
        self.configure([1])
        self.cluster.run(20)
        self.assertEqual(
            1, self.cluster.cores['i5']._registry.get('press-desk').version
        )
        names = ['i0', 'i1', 'i2']
        found = {}
        for number in range(300):
            caller = cluster_module.build_caller(7000 + number)
            found[caller] = self.cluster.send(names[number % 3], caller, True)
        reached = {each: self.cluster.send('i5', each) for each in found}
        self.assertEqual(found, reached)


class UpstreamTest(FaultTest):
    def test_dead_upstream_loses_only_its_own_flows(self):
        self.start()
        for number in range(5):
            self.cluster.report_load(f'u{number}', 60, number != 2)
        self.cluster.run(10)
        broken = set(self.flows.find_broken())
        on_dead = {
            caller
            for caller, upstream in self.flows.first_upstreams.items()
            if upstream == 'u2'
        }
        self.assertEqual(on_dead, broken)
        now_on = {self.cluster.send('i0', caller) for caller in broken}
        self.assertNotIn('u2', now_on)

    def test_upstream_that_some_can_not_reach_keeps_its_flows(self):
        self.start(preference=BALANCE)
        for number in range(5):
            self.cluster.report_load(f'u{number}', 60)
        self.cluster.report_load('u2', 60, False, only=['i0', 'i1'])
        self.cluster.run(10)
        self.assertEqual([], self.flows.find_broken())
        self.assertEqual(
            [], self.cluster.cores['i0']._registry.get('press-desk').table.dead
        )

    def test_full_upstream_gets_no_new_flow_where_there_is_a_choice(self):
        self.start(preference=BALANCE)
        new_service = test_core.build_service(5, [1], preference=BALANCE)
        upstreams = tuple(
            dataclasses.replace(each, connections=10)
            if each.name == 'u2'
            else each
            for each in new_service.upstreams
        )
        new_service = dataclasses.replace(new_service, upstreams=upstreams)
        self.cluster.configure(new_service)
        self.cluster.run(2)
        for number in range(5):
            self.cluster.report_load(f'u{number}', 10 if number == 2 else 50)
        first_forwarded = len(self.cluster.forwarded)
        self.flows.begin(400)
        placed = [
            each.upstream.name
            for _, each in self.cluster.forwarded[first_forwarded:]
            if each.reason is effect.Reason.PLACED
        ]
        self.assertGreater(len(placed), 50)
        self.assertNotIn('u2', placed)

    def test_new_flow_is_dropped_where_all_are_full(self):
        self.start(preference=BALANCE)
        for number in range(5):
            self.cluster.report_load(f'u{number}', 2000)
        self.flows.begin(100)
        reasons = {each.reason for _, each in self.cluster.dropped}
        self.assertEqual({effect.Reason.OVER_LIMIT}, reasons)

    def test_new_flows_go_to_the_least_loaded_upstream(self):
        self.start(preference=BALANCE)
        loads = {'u0': 400, 'u1': 500, 'u2': 500, 'u3': 500, 'u4': 500}
        for name, count in loads.items():
            self.cluster.report_load(name, count)
        first_forwarded = len(self.cluster.forwarded)
        self.flows.begin(200)
        counts = collections.Counter(
            each.upstream.name
            for _, each in self.cluster.forwarded[first_forwarded:]
        )
        self.assertEqual('u0', counts.most_common(1)[0][0])


class LimitTest(FaultTest):
    def test_pins_are_bounded(self):
        settings = flows.FlowSettings(flow_limit=50)
        self.start(4, settings, preference=BALANCE)
        self.cluster.run(6)
        before = self.count_pins()
        self.flows.begin(400)
        self.assertEqual([], self.flows.find_broken())
        self.assertLess(self.count_pins() - before, 200)

    def count_pins(self):
        return sum(
            core._registry.get('press-desk').count_pins()
            for core in self.cluster.cores.values()
        )

    def test_idle_flows_are_forgotten(self):
        self.start(4, preference=BALANCE, flow_idle_seconds=5.0)
        self.assertGreater(self.count_pins(), 0)
        self.cluster.run(200)
        self.assertEqual(0, self.count_pins())

    def test_datagram_of_an_unknown_service_is_buffered(self):
        self.start(3)
        core = self.cluster.cores['i0']
        redirect = _messages.Redirect(
            'plano-vault', '10.9.9.9', 5, b'x', False, ['i1']
        )
        core.handle(0.0, event.PeerMessageReceived('i1', redirect))
        first_forwarded = len(self.cluster.forwarded)
        other = cluster_module.build_service(
            test_core.build_upstreams(2), name='plano-vault'
        )
        self.cluster.configure(other)
        new = self.cluster.forwarded[first_forwarded:]
        self.assertEqual(['plano-vault'], [x.service.name for _, x in new])

    def test_buffered_datagram_is_dropped_after_a_timeout(self):
        self.start(3)
        core = self.cluster.cores['i0']
        redirect = _messages.Redirect(
            'plano-vault', '10.9.9.9', 5, b'x', False, ['i1']
        )
        message = event.PeerMessageReceived('i1', redirect)
        core.handle(self.cluster.now, message)
        effects = core.handle(self.cluster.now + 2, event.Tick())
        counted = effect.CountMetric('flows.dropped.held', 1)
        self.assertIn(counted, effects)


class UnmarkedTest(FaultTest):
    def test_unmarked_flows_with_rare_datagrams(self):
        self.start(preference=BALANCE, flow_idle_seconds=20.0)
        self.flows.first_upstreams.clear()
        self.flows.begin(300, is_first=None)
        self.cluster.run(3)
        self.configure([1])
        for _ in range(4):
            self.cluster.run(15)
            self.assertEqual([], self.flows.find_broken(is_first=None))
