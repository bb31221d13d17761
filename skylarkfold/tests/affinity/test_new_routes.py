"""Tests of the first packets of flows on routes that are not known yet.

What was seen: on each addition of a route its first callers were refused, as
at a closed port: by instances that knew the change a few milliseconds later,
and by one that had just started up to some tenths of a second later. The
cause: a confirmation of up to a second before was taken to tell that there is
no such route. The proof: lines `reset no-route` whose version is older than
the one that had been acknowledged.
"""

import testtools

from skylarkfold import affinity
from skylarkfold.tests.affinity import samples

# How long a first packet on an unknown route is held, and the tick after it.
HELD_SECONDS = 0.2
LATEST_SECONDS = HELD_SECONDS + 0.01
MAXIMUM_PACKETS = 512


class NewRoutesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.upstream = samples.build_upstream(1)
        self.core = samples.build_core(
            self.upstream, routes=self.build_other_routes(1)
        )
        self.packet = samples.build_first(1)

    def build_other_routes(self, version):
        """Build routes without the one that the packets are sent to."""
        route = affinity.Route(samples.OTHER_ADDRESS, ((samples.SERVICE, 1),))
        return affinity.RouteTable(version, [route])

    def test_a_caller_that_comes_before_its_route_is_served(self):
        """Guards against refusals of callers of a route just added."""
        effects = self.core.handle_packet(0.1, self.packet)
        self.assertEqual([], samples.list_resets(effects))
        effects = self.core.set_routes(0.15, samples.build_routes(2))
        self.assertEqual([self.upstream.name], samples.list_forwards(effects))
        effects = self.core.tick(0.5)
        self.assertEqual([], samples.list_resets(effects))

    def test_a_caller_without_a_route_is_refused_soon(self):
        self.core.handle_packet(0.1, self.packet)
        due = self.core.find_due(0.1)
        self.assertLessEqual(due, 0.1 + LATEST_SECONDS)
        effects = self.core.tick(0.1 + LATEST_SECONDS)
        self.assertEqual([self.packet.flow], samples.list_resets(effects))
        self.assertIsNone(self.core.find_due(0.5))

    def test_a_caller_of_a_removed_route_is_refused_at_once(self):
        self.core.set_routes(0.1, samples.build_routes(2))
        self.core.set_routes(0.2, self.build_other_routes(3))
        self.core.set_routes(0.3, self.build_other_routes(4))
        effects = self.core.handle_packet(0.4, self.packet)
        self.assertEqual([self.packet.flow], samples.list_resets(effects))

    def test_a_caller_of_a_route_that_came_back_is_served(self):
        for version in (2, 4):
            self.core.set_routes(0.1, samples.build_routes(version))
            self.core.set_routes(0.2, self.build_other_routes(version + 1))
        self.core.set_routes(0.3, samples.build_routes(6))
        effects = self.core.handle_packet(0.4, self.packet)
        self.assertEqual([self.upstream.name], samples.list_forwards(effects))

    def test_a_copy_is_refused_at_once(self):
        # Its caller has waited already.
        copy = samples.build_first(1, copy=1)
        effects = self.core.handle_packet(0.3, copy)
        self.assertEqual([copy.flow], samples.list_resets(effects))

    def test_a_caller_is_not_refused_on_old_knowledge(self):
        effects = self.core.handle_packet(5.0, self.packet)
        effects += self.core.tick(5.0 + LATEST_SECONDS)
        copy = samples.build_first(1, copy=1)
        effects += self.core.handle_packet(5.3, copy)
        self.assertEqual([], samples.list_resets(effects))

    def test_a_flood_is_refused_and_asks_nothing(self):
        """Guards against calls and memory for addresses without a route."""
        effects = []
        for port in range(10 * MAXIMUM_PACKETS):
            effects += self.core.handle_packet(
                0.1, samples.build_first(port + 1)
            )
        refused = samples.list_resets(effects)
        self.assertEqual(9 * MAXIMUM_PACKETS, len(refused))
        effects += self.core.tick(0.1 + LATEST_SECONDS)
        self.assertEqual(
            10 * MAXIMUM_PACKETS, len(samples.list_resets(effects))
        )
        asked = [
            each
            for each in effects
            if isinstance(each, affinity.ConfirmRoutes)
        ]
        self.assertEqual([], asked)

    def test_a_flood_leaves_room_for_open_flows(self):
        """Guards against a flood that takes the place of packets that wait."""
        for port in range(2 * MAXIMUM_PACKETS):
            self.core.handle_packet(0.1, samples.build_first(port + 1))
        packet = samples.build_packet(5000, self.upstream.token, length=10)
        effects = self.core.handle_packet(0.11, packet)
        self.assertEqual([], samples.list_forwards(effects))
        effects = self.core.set_routes(0.15, samples.build_routes(2))
        self.assertIn(
            packet.data,
            [
                each.data
                for each in effects
                if isinstance(each, affinity.Forward)
            ],
        )
