"""Tests of routes that a restored store lacks, at an instance that starts.

What would be seen: open flows are reset, and first packets refused, on a route
that the store lost when it was restored from an older copy, while other
instances retain it until its operator writes it again. How it comes about: an
instance starts just then and reaches the store, but no other instance. The
cause: it took the store's objects for complete after the time that upstreams
need to write their entries again; operators have longer.
"""

import testtools

from skylarkfold.measure import _relay_fleet as fleet_module
from skylarkfold import relay
from skylarkfold.tests.affinity import samples
from skylarkfold.tests.forwarder import instance as instance_module

ZONES = ('a', 'a', 'a', 'b', 'c')
STARTED = 'entry-4'
REST_SECONDS = 9.0
LASTING_SECONDS = 15.0
# When a flow comes after the start.
OFFSETS = (0.5, 3.0, 8.0, 14.0)
HELD_SECONDS = 0.4


class RestoredRoutesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        settings = relay.RelaySettings(
            topics=fleet_module.TOPICS,
            lasting_topics=(instance_module.ROUTES,),
            lasting_seconds=LASTING_SECONDS,
        )
        self.fleet = fleet_module.Fleet(ZONES, settings)
        self.fleet.store.put(instance_module.UPSTREAMS, 'one', {})
        self.configure(1, [samples.OTHER_ADDRESS])
        self.fleet.run(REST_SECONDS)

    def configure(self, version, addresses):
        value = instance_module.build_configuration(version, addresses)
        self.fleet.store.put(instance_module.ROUTES, 'main', value)

    def start_beside_restore(self):
        """Start an instance in reach of nothing but the restored store."""
        saved = self.fleet.store.copy()
        self.configure(2, [samples.OTHER_ADDRESS, samples.ADDRESS])
        self.fleet.run(1.0)
        self.fleet.end(STARTED)
        self.fleet.store.restore(saved)
        self.fleet.cut = lambda one, other: (
            STARTED in (one, other) and fleet_module.STORE not in (one, other)
        )
        self.fleet.run(0.3)
        self.fleet.start(STARTED, 'c')
        return instance_module.Instance(self.fleet, STARTED)

    def test_a_lost_route_ends_no_flow_before_it_can_be_written_again(self):
        """Guards against a proof by a store that lacks what it had."""
        started = self.start_beside_restore()
        token = instance_module.UPSTREAM.token
        for port, offset in enumerate(OFFSETS, 1):
            started.run(max(0.0, offset - self.find_uptime(started)))
            started.receive(samples.build_packet(port, token, length=10))
            started.receive(samples.build_first(100 + port))
            started.run(2 * HELD_SECONDS)
            self.assertEqual([], started.list_resets(), offset)

    def test_a_route_that_is_not_written_again_is_gone_in_the_end(self):
        started = self.start_beside_restore()
        started.run(LASTING_SECONDS + 4.0)
        packet = samples.build_packet(
            1, instance_module.UPSTREAM.token, length=10
        )
        started.receive(packet)
        started.run(HELD_SECONDS)
        self.assertEqual([packet.flow], started.list_resets())

    def find_uptime(self, started):
        return self.fleet.now - started.started_at
