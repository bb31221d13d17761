"""Tests of open flows on routes that this instance doesn't know.

What was seen: open flows of a route that had just been added were reset, and
the requests in their packets were lost, by an instance that had just started.
How it came about: it had its routes from a peer and heard of the new one some
tenths of a second later. The cause: routes that were confirmed within the last
second were taken to tell that a route that isn't among them was removed.
"""

import testtools

from skylarkfold import affinity
from skylarkfold.tests.affinity import samples

HELD_SECONDS = 0.4


class UnknownRoutesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.upstream = samples.build_upstream(1)
        settings = affinity.AffinitySettings()
        self.core = affinity.AffinityCore(samples.ZONE, settings)
        self.core.set_routes(0.0, affinity.RouteTable(3, []))
        self.core.set_upstreams(0.0, [self.upstream])
        self.core.note_confirmed(0.0)
        self.core.note_proved(0.0)
        self.packet = samples.build_packet(1, self.upstream.token, length=10)

    def handle(self, now, packet=None):
        return self.core.handle_packet(now, packet or self.packet)

    def list_asked(self, effects):
        return [
            each
            for each in effects
            if isinstance(each, affinity.ConfirmRoutes)
        ]

    def test_a_route_added_since_the_last_answer_ends_no_flow(self):
        effects = self.handle(0.5)
        self.assertEqual([], samples.list_resets(effects))
        self.assertEqual(1, len(self.list_asked(effects)))
        effects = self.core.set_routes(0.55, samples.build_routes(4))
        effects += self.core.tick(0.56)
        self.assertEqual([], samples.list_resets(effects))
        self.assertEqual([self.upstream.name], samples.list_forwards(effects))

    def test_a_word_of_peers_about_the_same_moment_ends_no_flow(self):
        # Its age does not count the time that the beacon was on its way.
        self.handle(0.5)
        self.core.note_confirmed(0.51)
        self.assertEqual([], samples.list_resets(self.core.tick(0.52)))

    def test_a_route_that_is_gone_ends_its_flows_once_the_store_says_so(self):
        self.handle(0.5)
        self.core.note_proved(0.5)
        effects = self.core.tick(0.51)
        self.assertEqual([self.packet.flow], samples.list_resets(effects))
        self.assertEqual([], samples.list_forwards(effects))

    def test_packets_are_held_in_order_and_not_for_long(self):
        self.handle(0.5)
        later = samples.build_packet(1, self.upstream.token, 111, length=10)
        self.handle(0.6, later)
        effects = self.core.tick(0.7)
        self.assertEqual([], samples.list_forwards(effects))
        self.assertEqual(1, len(self.list_asked(effects)))
        effects = self.core.tick(0.5 + HELD_SECONDS)
        self.assertEqual(
            [self.packet.data, later.data], self.list_data(effects)
        )
        # The store has not answered: the flow goes on.
        effects = self.handle(1.5, later)
        self.assertEqual([self.upstream.name], samples.list_forwards(effects))

    def test_an_answer_from_before_the_flow_does_not_end_it(self):
        self.handle(0.5)
        self.core.note_proved(0.49)
        effects = self.core.tick(0.51)
        self.assertEqual([], samples.list_resets(effects))

    def test_a_flow_that_is_not_tracked_does_not_wait(self):
        settings = affinity.AffinitySettings(flow_limit=0)
        core = affinity.AffinityCore(samples.ZONE, settings)
        core.set_routes(0.0, affinity.RouteTable(3, []))
        core.set_upstreams(0.0, [self.upstream])
        core.note_confirmed(0.0)
        effects = core.handle_packet(0.5, self.packet)
        self.assertEqual([self.upstream.name], samples.list_forwards(effects))

    def test_no_more_packets_are_held_than_fit(self):
        held = 0
        for port in range(1000):
            packet = samples.build_packet(
                port + 1, self.upstream.token, length=10
            )
            effects = self.handle(0.5, packet)
            held += len(self.list_asked(effects))
        self.assertEqual(512, held)

    def list_data(self, effects):
        return [
            each.data for each in effects if isinstance(each, affinity.Forward)
        ]

    def build_later(self, sequence):
        return samples.build_packet(
            1, self.upstream.token, sequence, length=10
        )

    def test_a_packet_does_not_overtake_held_ones_of_its_flow(self):
        """Guards against reordering where the route becomes known."""
        later = self.build_later(111)
        self.handle(0.5)
        effects = self.core.set_routes(0.55, samples.build_routes(4))
        effects += self.handle(0.551, later)
        effects += self.core.tick(0.56)
        self.assertEqual(
            [self.packet.data, later.data], self.list_data(effects)
        )

    def test_a_packet_that_comes_late_does_not_overtake_held_ones(self):
        """Guards against reordering where the wait has just ended."""
        later = self.build_later(111)
        self.handle(0.5)
        effects = self.handle(0.5 + HELD_SECONDS, later)
        effects += self.core.tick(0.51 + HELD_SECONDS)
        self.assertEqual(
            [self.packet.data, later.data], self.list_data(effects)
        )

    def test_a_packet_beyond_the_limit_does_not_overtake_held_ones(self):
        """Guards against reordering where no more packets can be held."""
        self.handle(0.5)
        for port in range(2, 1000):
            self.handle(
                0.5,
                samples.build_packet(port, self.upstream.token, length=10),
            )
        later = self.build_later(111)
        effects = self.handle(0.51, later)
        self.assertEqual(
            [self.packet.data, later.data], self.list_data(effects)
        )

    def test_a_removed_route_resets_a_flow_of_held_packets_once(self):
        """Guards against further calls and resets for one flow."""
        self.handle(0.5)
        self.handle(0.51, self.build_later(111))
        self.core.note_proved(0.5)
        effects = self.core.tick(0.52) + self.core.tick(0.53)
        self.assertEqual([self.packet.flow], samples.list_resets(effects))
        self.assertEqual([], self.list_asked(effects))
