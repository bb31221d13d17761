"""Tests of several flow cores in a cluster."""

import testtools

from skylarkfold import service
from skylarkfold.tests.flows import cluster as cluster_module

DRAINING = service.UpstreamState.DRAINING


def build_upstreams(count, draining=()):
    return [
        cluster_module.build_upstream(
            number,
            state=DRAINING
            if number in draining
            else service.UpstreamState.ACTIVE,
        )
        for number in range(count)
    ]


def build_service(count, draining=(), **changes):
    upstreams = build_upstreams(count, draining)
    return cluster_module.build_service(upstreams, **changes)


class FlowSet:
    """Flows with the upstream that each reached first."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.first_upstreams = {}
        self.pick_count = 0

    def pick_instance(self):
        names = sorted(self.cluster.cores)
        self.pick_count += 1
        return names[self.pick_count * 7 % len(names)]

    def begin(self, count, is_first=True):
        for _ in range(count):
            caller = cluster_module.build_caller(len(self.first_upstreams))
            self.first_upstreams[caller] = self.cluster.send(
                self.pick_instance(), caller, is_first
            )

    def find_broken(self, is_first=False):
        found = {
            caller: self.cluster.send(self.pick_instance(), caller, is_first)
            for caller in self.first_upstreams
        }
        return [
            each for each in found if found[each] != self.first_upstreams[each]
        ]

    def keep_alive(self, seconds, step=10):
        broken = []
        for _ in range(int(seconds / step)):
            broken += self.find_broken()
            self.cluster.run(step)
        return broken


class PlannedChangeTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.cluster = cluster_module.Cluster(4)
        self.cluster.configure(build_service(4))
        self.cluster.run(1)
        self.flows = FlowSet(self.cluster)
        self.flows.begin(400)

    def test_first_table_is_written(self):
        self.assertEqual(1, self.cluster.stored.version)

    def test_drain_keeps_flows_and_stops_new_ones(self):
        self.cluster.configure(build_service(4, draining=[1]))
        self.cluster.run(2)
        self.assertEqual([], self.flows.find_broken())
        first_forwarded = len(self.cluster.forwarded)
        self.flows.begin(200)
        new = {
            each.upstream.name
            for _, each in self.cluster.forwarded[first_forwarded:]
        }
        self.assertNotIn('u1', new)
        self.assertEqual([], self.flows.find_broken())

    def test_a_table_that_the_store_has_lost_is_written_again(self):
        """Restoring an older copy must not block later table changes.

        The store's version goes back with the copy; writes that expect the
        lost version would be rejected forever.
        """
        saved = self.cluster.stored
        for draining in ([1], [1, 2]):
            self.cluster.configure(build_service(4, draining=draining))
            self.cluster.run(20)
        lost = self.cluster.stored
        self.assertGreater(lost.version, saved.version + 1)
        self.cluster.restore(saved)
        self.assertEqual([], self.flows.find_broken())
        self.cluster.run(20)
        self.assertNotEqual(saved.value, self.cluster.stored.value)
        self.assertEqual([], self.flows.find_broken())
        self.cluster.configure(build_service(4, draining=[1, 2, 3]))
        self.cluster.run(20)
        first_forwarded = len(self.cluster.forwarded)
        self.flows.begin(100)
        new = {
            each.upstream.name
            for _, each in self.cluster.forwarded[first_forwarded:]
        }
        self.assertEqual({'u0'}, new)
        self.assertEqual([], self.flows.find_broken())

    def test_a_table_that_the_copy_lacks_is_written_again(self):
        self.cluster.configure(build_service(4, draining=[1]))
        self.cluster.run(20)
        before = self.cluster.stored
        self.cluster.restore(None)
        self.cluster.run(20)
        self.assertEqual(1, self.cluster.stored.version)
        self.assertEqual(before.value, self.cluster.stored.value)
        self.assertEqual([], self.flows.find_broken())

    def test_buckets_close_when_old_flows_ended(self):
        self.cluster.configure(build_service(4, draining=[1]))
        self.cluster.run(300)
        core = self.cluster.cores['i0']
        for number in range(500):
            caller = cluster_module.build_caller(5000 + number)
            self.assertIsNotNone(
                core.route(self.cluster.now, 'press-desk', caller)
            )

    def test_added_upstream_keeps_flows(self):
        self.cluster.configure(build_service(5))
        self.cluster.run(3)
        self.flows.begin(200)
        self.assertIn('u4', self.flows.first_upstreams.values())
        self.assertEqual([], self.flows.find_broken())

    def test_second_change_before_the_first_is_done(self):
        self.cluster.configure(build_service(4, draining=[1]))
        self.cluster.run(3)
        self.flows.begin(200)
        self.cluster.configure(build_service(4, draining=[1, 2]))
        self.cluster.run(0.5)
        self.flows.begin(100)
        self.cluster.configure(build_service(5, draining=[2]))
        self.flows.begin(100)
        self.assertEqual([], self.flows.keep_alive(200))

    def test_instances_restart_one_after_the_other(self):
        self.cluster.configure(build_service(4, draining=[1]))
        self.cluster.run(3)
        self.flows.begin(200)
        self.cluster.run(1)
        for name in sorted(self.cluster.cores):
            self.cluster.start_instance(name)
            self.cluster.run(2)
            self.assertEqual([], self.flows.find_broken())
            self.cluster.run(3)
        self.assertEqual([], self.flows.find_broken())

    def test_second_datagram_overtakes_the_first(self):
        self.cluster.configure(build_service(4, draining=[1]))
        self.cluster.run(3)
        for number in range(200):
            caller = cluster_module.build_caller(3000 + number)
            second = self.cluster.send('i0', caller)
            self.assertEqual(second, self.cluster.send('i1', caller, True))

    def test_known_caller_begins_again_after_a_drain(self):
        self.cluster.configure(build_service(4, draining=[1]))
        self.cluster.run(30)
        reached = {
            self.cluster.send(self.flows.pick_instance(), caller, True)
            for caller in self.flows.first_upstreams
        }
        self.assertEqual({'u0', 'u2', 'u3'}, reached)

    def test_repeated_first_datagram_stays(self):
        self.cluster.configure(build_service(4, draining=[1]))
        self.cluster.run(2)
        self.flows.begin(200)
        self.cluster.configure(build_service(4, draining=[1, 2]))
        self.cluster.run(1)
        self.assertEqual([], self.flows.find_broken(is_first=True)[400:])


class OutageTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.cluster = cluster_module.Cluster(4)
        self.cluster.configure(build_service(4))
        self.cluster.run(1)
        self.flows = FlowSet(self.cluster)
        self.flows.begin(200)

    def test_tables_are_frozen_and_served_without_the_store(self):
        self.cluster.is_store_down = True
        self.cluster.configure(build_service(4, draining=[1]))
        self.cluster.run(60)
        self.flows.begin(100)
        self.assertEqual([], self.flows.find_broken())
        self.assertNotIn(None, self.flows.first_upstreams.values())
        self.assertEqual(1, self.cluster.stored.version)

    def test_drain_goes_on_when_the_store_is_back(self):
        self.cluster.is_store_down = True
        self.cluster.configure(build_service(4, draining=[1]))
        self.cluster.run(20)
        self.cluster.is_store_down = False
        self.cluster.run(40)
        first_forwarded = len(self.cluster.forwarded)
        self.flows.begin(100)
        new = self.cluster.forwarded[first_forwarded:]
        self.assertNotIn('u1', {each.upstream.name for _, each in new})

    def test_lost_answers_of_writes(self):
        self.cluster.loses_write_answers = True
        self.cluster.configure(build_service(4, draining=[1]))
        self.cluster.run(60)
        first_forwarded = len(self.cluster.forwarded)
        self.flows.begin(100)
        new = self.cluster.forwarded[first_forwarded:]
        self.assertNotIn('u1', {each.upstream.name for _, each in new})
        self.assertEqual([], self.flows.find_broken())
