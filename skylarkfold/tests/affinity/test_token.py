"""Tests of packets that carry a token."""

import testtools

from skylarkfold import affinity
from skylarkfold.tests.affinity import samples


class TokenTest(testtools.TestCase):
    def test_an_instance_that_never_saw_the_flow_forwards_it(self):
        upstream = samples.build_upstream(1)
        core = samples.build_core(upstream, samples.build_upstream(2))
        packet = samples.build_packet(1, upstream.token, length=10)
        effects = core.handle_packet(0.0, packet)
        self.assertEqual([upstream.name], samples.list_forwards(effects))

    def test_flows_of_a_lapsed_upstream_continue(self):
        upstream = samples.build_upstream(1)
        core = samples.build_core(upstream, samples.build_upstream(2))
        core.set_upstreams(1.0, [samples.build_upstream(2)])
        packet = samples.build_packet(1, upstream.token, length=10)
        effects = core.handle_packet(5.0, packet)
        self.assertEqual([upstream.name], samples.list_forwards(effects))
        new = core.handle_packet(5.0, samples.build_first(2))
        self.assertEqual(['i-0000000002'], samples.list_forwards(new))

    def test_a_lapsed_upstream_is_used_where_there_is_no_other(self):
        upstream = samples.build_upstream(1)
        core = samples.build_core(upstream)
        core.set_upstreams(1.0, [])
        soon = core.handle_packet(2.0, samples.build_first(1))
        self.assertEqual([upstream.name], samples.list_forwards(soon))
        late = core.handle_packet(4.0, samples.build_first(2))
        self.assertEqual(1, len(samples.list_resets(late)))

    def test_a_new_owner_of_an_address_resets_the_flows_of_the_old(self):
        old = samples.build_upstream(1, address=('10.0.0.9', 8080))
        core = samples.build_core(old)
        packet = samples.build_packet(1, old.token, length=10)
        core.handle_packet(0.0, packet)
        new = samples.build_upstream(
            2, samples.OTHER_SERVICE, address=('10.0.0.9', 8080)
        )
        effects = core.set_upstreams(3.0, [new])
        self.assertEqual([packet.flow], samples.list_resets(effects))
        later = samples.build_packet(2, old.token, length=10)
        effects = core.handle_packet(3.1, later)
        self.assertEqual([], samples.list_forwards(effects))
        self.assertEqual([later.flow], samples.list_resets(effects))

    def test_the_older_of_two_upstreams_keeps_a_shared_token(self):
        older = samples.build_upstream(0x1_00000007, created=3)
        newer = samples.build_upstream(0x2_00000007, created=9)
        self.assertEqual(older.token, newer.token)
        for order in ((older, newer), (newer, older)):
            core = samples.build_core(*order)
            for port in range(20):
                effects = core.handle_packet(0.0, samples.build_first(port))
                self.assertEqual([older.name], samples.list_forwards(effects))
            packet = samples.build_packet(50, older.token)
            effects = core.handle_packet(0.0, packet)
            self.assertEqual([older.name], samples.list_forwards(effects))

    def test_a_token_of_an_upstream_not_known_yet_waits_for_it(self):
        core = samples.build_core(samples.build_upstream(1))
        new = samples.build_upstream(2)
        packet = samples.build_packet(1, new.token, length=10)
        self.assertEqual([], core.handle_packet(0.0, packet))
        effects = core.set_upstreams(0.1, [samples.build_upstream(1), new])
        self.assertEqual([new.name], samples.list_forwards(effects))

    def test_held_packets_are_bounded_in_number_and_time(self):
        core = samples.build_core(samples.build_upstream(1))
        for port in range(2000):
            core.handle_packet(0.0, samples.build_packet(port, 99))
        self.assertGreater(core.tally.counters['drop.token-unknown'], 1000)
        core.tick(1.0)
        new = samples.build_upstream(99)
        effects = core.set_upstreams(1.1, [new])
        self.assertEqual([], samples.list_forwards(effects))

    def test_a_removed_route_ends_its_flows(self):
        upstream = samples.build_upstream(1)
        core = samples.build_core(upstream)
        packet = samples.build_packet(1, upstream.token, length=10)
        core.handle_packet(0.0, packet)
        core.set_routes(0.1, affinity.RouteTable(2, []))
        effects = core.handle_packet(0.2, packet)
        self.assertEqual([packet.flow], samples.list_resets(effects))

    def test_a_route_that_is_not_known_yet_ends_no_flow(self):
        # The instance that opened the flow knew the route. This one's routes
        # are old, or from a store restored from a copy.
        upstream = samples.build_upstream(1)
        core = affinity.AffinityCore(samples.ZONE, affinity.AffinitySettings())
        core.set_routes(0.0, affinity.RouteTable(3, []))
        core.set_upstreams(0.0, [upstream])
        packet = samples.build_packet(1, upstream.token, length=10)
        effects = core.handle_packet(0.1, packet)
        self.assertEqual([upstream.name], samples.list_forwards(effects))
        # Its removal is now confirmed.
        core.note_confirmed(0.2)
        core.note_proved(0.2)
        again = samples.build_packet(1, upstream.token, 111, length=10)
        effects = core.handle_packet(0.3, again)
        self.assertEqual([packet.flow], samples.list_resets(effects))

    def test_a_route_that_was_known_and_removed_ends_its_flows_at_once(self):
        upstream = samples.build_upstream(1)
        core = affinity.AffinityCore(samples.ZONE, affinity.AffinitySettings())
        core.set_routes(0.0, affinity.RouteTable(3, []))
        core.set_upstreams(0.0, [upstream])
        packet = samples.build_packet(1, upstream.token, length=10)
        core.handle_packet(0.1, packet)
        core.set_routes(0.2, samples.build_routes(4))
        core.handle_packet(0.3, packet)
        core.set_routes(0.4, affinity.RouteTable(5, []))
        effects = core.handle_packet(0.5, packet)
        self.assertEqual([packet.flow], samples.list_resets(effects))

    def test_other_weights_leave_open_flows_where_they_are(self):
        old = samples.build_upstream(1)
        new = samples.build_upstream(2, samples.OTHER_SERVICE)
        core = samples.build_core(old, new)
        packet = samples.build_packet(1, old.token, length=10)
        core.handle_packet(0.0, packet)
        shares = ((samples.OTHER_SERVICE, 1),)
        core.set_routes(0.1, samples.build_routes(2, shares))
        effects = core.handle_packet(0.2, packet)
        self.assertEqual([old.name], samples.list_forwards(effects))
        effects = core.handle_packet(0.2, samples.build_first(2))
        self.assertEqual([new.name], samples.list_forwards(effects))
