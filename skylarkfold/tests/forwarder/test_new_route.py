"""Tests of open flows that reach an instance beside a change of routes.

What was seen: open flows of a route that had just been added were reset while
their upstream held them. How it came about: they moved to an instance that had
just started, which did not hear of the change from its zone yet. The cause: a
confirmation of the routes from before the change was taken to tell that the
route was removed. The proof: where messages of peers reach a started instance
late, real processes reset such flows by that decision, and none by this one.
"""

import testtools

from skylarkfold import affinity
from skylarkfold.measure import _relay_fleet as fleet_module
from skylarkfold.tests.affinity import samples
from skylarkfold.tests.forwarder import instance as instance_module

ZONES = ('a', 'a', 'a', 'a', 'b', 'b', 'c', 'c')
STARTED = 'entry-3'
REST_SECONDS = 9.0
# The times between a start, a change of a time-out and that of a route.
DOWN_SECONDS = 1.3
READY_SECONDS = 0.3
# When a flow comes after the addition of its route.
OFFSETS = (0.02, 0.1, 0.3, 0.6, 0.9)
# How long the packets of such a flow may be held.
HELD_SECONDS = 0.4
# The time within which an instance in touch with others has learnt more than
# what peers can have told late.
LEARNT_SECONDS = 5.0


class NewRouteTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = fleet_module.Fleet(ZONES)
        self.fleet.store.put(instance_module.UPSTREAMS, 'one', {})
        self.version = 0
        self.configure([samples.OTHER_ADDRESS])
        self.fleet.run(REST_SECONDS)

    def configure(self, addresses):
        self.version += 1
        value = instance_module.build_configuration(self.version, addresses)
        self.fleet.store.put(instance_module.ROUTES, 'main', value)

    def restart(self):
        """Start an instance again beside a change of a time-out."""
        self.fleet.end(STARTED)
        self.fleet.run(DOWN_SECONDS)
        self.configure([samples.OTHER_ADDRESS])
        self.fleet.start(STARTED, 'a')
        started = instance_module.Instance(self.fleet, STARTED)
        started.run(READY_SECONDS)
        self.assertTrue(started.core.is_ready)
        return started

    def isolate_from_peers(self):
        """Lose all messages of peers to the started instance."""
        self.fleet.cut = lambda one, other: (
            STARTED in (one, other) and fleet_module.STORE not in (one, other)
        )

    def build_packet(self, port=1, sequence=101):
        token = instance_module.UPSTREAM.token
        return samples.build_packet(port, token, sequence, length=10)

    def test_an_unheard_addition_resets_no_open_flow(self):
        """Guards against resets of flows whose route is newer than a start."""
        for offset in OFFSETS:
            started = self.restart()
            self.isolate_from_peers()
            self.configure([samples.OTHER_ADDRESS, samples.ADDRESS])
            started.run(offset)
            packet = self.build_packet()
            started.receive(packet)
            started.run(2 * HELD_SECONDS)
            self.assertEqual([], started.list_resets(), offset)
            self.assertEqual([packet.data], started.list_forwarded(), offset)
            self.fleet.cut = lambda one, other: False

    def test_an_unheard_addition_without_the_store_resets_no_open_flow(self):
        """Guards against the same where the store can't be asked either."""
        for offset in OFFSETS:
            started = self.restart()
            self.fleet.cut = lambda one, other: STARTED in (one, other)
            self.configure([samples.OTHER_ADDRESS, samples.ADDRESS])
            started.run(offset)
            packet = self.build_packet()
            started.receive(packet)
            started.run(2 * HELD_SECONDS)
            self.assertEqual([], started.list_resets(), offset)
            self.assertEqual([packet.data], started.list_forwarded(), offset)
            self.fleet.cut = lambda one, other: False

    def test_ready_line_tells_the_age_of_what_is_known(self):
        """Guards against a reset whose cause the log can't tell."""
        started = self.restart()
        [fields] = [each for name, each in started.lines if name == 'ready']
        self.assertEqual(self.version, fields['version'])
        for name in ('routes_age_ms', 'upstreams_age_ms'):
            self.assertGreaterEqual(fields[name], 0)

    def test_reset_line_tells_the_age_of_what_is_known(self):
        """Guards against a reset whose cause the log can't tell."""
        started = self.restart()
        started.receive(self.build_packet())
        started.run(HELD_SECONDS)
        [line] = [
            each
            for _, each in started.effects
            if isinstance(each, affinity.RecordDecision)
            and each.kind == 'reset'
        ]
        details = line.details
        self.assertEqual(affinity.Reason.ROUTE_REMOVED, line.reason)
        self.assertLessEqual(0, details['proved_ms'])
        self.assertLessEqual(details['proved_ms'], details['carried_ms'])
        self.assertGreaterEqual(details['confirmed_ms'], 0)

    def test_an_unheard_removal_ends_open_flows_in_time(self):
        """Guards against flows that outlive their route at an instance."""
        for offset in OFFSETS:
            started = self.restart()
            # It has never known the route that the flow was opened on.
            started.run(offset)
            packet = self.build_packet()
            started.receive(packet)
            started.run(HELD_SECONDS)
            self.assertEqual([packet.flow], started.list_resets(), offset)
            self.assertEqual([], started.list_forwarded(), offset)

    def test_a_removal_without_the_store_ends_open_flows_later(self):
        """Guards against flows that outlive their route for good."""
        started = self.restart()
        self.fleet.cut = lambda one, other: (
            one == STARTED and other == fleet_module.STORE
        )
        started.receive(self.build_packet())
        started.run(2 * HELD_SECONDS)
        self.assertEqual([], started.list_resets())
        # Its peers tell it that the store has confirmed the routes since.
        started.run(LEARNT_SECONDS)
        packet = self.build_packet(sequence=111)
        started.receive(packet)
        started.run(HELD_SECONDS)
        self.assertEqual([packet.flow], started.list_resets())
