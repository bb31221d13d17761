"""Tests of first packets."""

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import affinity
from skylarkfold.tests.affinity import samples


class OpeningTest(testtools.TestCase):
    def test_flows_spread_over_equal_upstreams(self):
        upstreams = [samples.build_upstream(number) for number in (1, 2, 3)]
        core = samples.build_core(*upstreams)
        counts = {each.name: 0 for each in upstreams}
        for port in range(300):
            effects = core.handle_packet(0.0, samples.build_first(port))
            counts[samples.list_forwards(effects)[0]] += 1
        self.assertEqual([100, 100, 100], list(counts.values()))

    def test_a_first_packet_without_answer_goes_to_another(self):
        core = samples.build_core(
            samples.build_upstream(1), samples.build_upstream(2)
        )
        effects = core.handle_packet(0.0, samples.build_first(1))
        (first,) = samples.list_forwards(effects)
        self.assertEqual([], samples.list_forwards(core.tick(0.03)))
        (second,) = samples.list_forwards(core.tick(0.05))
        self.assertNotEqual(first, second)
        self.assertEqual([], samples.list_forwards(core.tick(0.2)))

    def test_an_open_flow_is_not_opened_again(self):
        upstream = samples.build_upstream(1)
        core = samples.build_core(upstream, samples.build_upstream(2))
        core.handle_packet(0.0, samples.build_first(1))
        core.handle_packet(0.01, samples.build_packet(1, upstream.token))
        self.assertEqual([], samples.list_forwards(core.tick(0.05)))
        late = core.handle_packet(0.2, samples.build_first(1, copy=1))
        self.assertEqual([], samples.list_forwards(late))

    def test_a_copy_goes_to_an_upstream_that_has_not_got_it(self):
        core = samples.build_core(
            samples.build_upstream(1), samples.build_upstream(2)
        )
        effects = core.handle_packet(0.0, samples.build_first(1))
        effects += core.handle_packet(0.2, samples.build_first(1, copy=1))
        self.assertEqual(2, len(set(samples.list_forwards(effects))))

    def test_a_copy_has_its_upstream_probed(self):
        core = samples.build_core(samples.build_upstream(1))
        core.handle_packet(0.0, samples.build_first(1))
        core.handle_packet(0.2, samples.build_first(1, copy=1))
        effects = core.tick(0.25)
        self.assertEqual(['i-0000000001'], samples.list_probes(effects))

    def test_a_copy_that_arrives_at_once_is_dropped(self):
        core = samples.build_core(
            samples.build_upstream(1), samples.build_upstream(2)
        )
        effects = core.handle_packet(0.0, samples.build_first(1))
        effects += core.handle_packet(0.001, samples.build_first(1, copy=1))
        self.assertEqual(1, len(samples.list_forwards(effects)))

    def test_a_draining_upstream_gets_no_new_flow(self):
        core = samples.build_core(
            samples.build_upstream(1, is_draining=True),
            samples.build_upstream(2),
        )
        for port in range(50):
            effects = core.handle_packet(0.0, samples.build_first(port))
            self.assertEqual(['i-0000000002'], samples.list_forwards(effects))

    def test_a_flow_stays_in_the_zone_while_loads_are_alike(self):
        far = samples.build_upstream(1, zone=samples.OTHER_ZONE)
        near = samples.build_upstream(2)
        core = samples.build_core(far, near)
        effects = core.handle_packet(0.0, samples.build_first(1))
        self.assertEqual([near.name], samples.list_forwards(effects))

    def test_flows_leave_a_zone_with_a_load_well_above_the_mean(self):
        far = samples.build_upstream(1, zone=samples.OTHER_ZONE)
        near = samples.build_upstream(2)
        core = samples.build_core(far, near)
        chosen = [
            samples.list_forwards(
                core.handle_packet(0.0, samples.build_first(port))
            )[0]
            for port in range(200)
        ]
        share = chosen.count(near.name) / len(chosen)
        tolerance = affinity.AffinitySettings().near_tolerance
        self.assertTrue(0.5 < share < (1 + tolerance) / 2 + 0.05, share)

    def test_without_an_upstream_the_flow_is_reset_at_once(self):
        core = samples.build_core()
        effects = core.handle_packet(0.0, samples.build_first(1))
        self.assertEqual([samples.build_flow(1)], samples.list_resets(effects))

    def test_an_unknown_address_is_refused_only_on_fresh_knowledge(self):
        core = samples.build_core(samples.build_upstream(1))
        first = samples.build_first(1, address=samples.OTHER_ADDRESS)
        # Its route may be on the way here.
        self.assertEqual([], core.handle_packet(0.5, first))
        self.assertEqual([first.flow], samples.list_resets(core.tick(0.71)))
        effects = core.handle_packet(9.0, first) + core.tick(9.21)
        self.assertEqual([], samples.list_resets(effects))

    def test_packets_wait_for_the_first_configuration(self):
        core = affinity.AffinityCore(samples.ZONE, affinity.AffinitySettings())
        self.assertEqual([], core.handle_packet(0.0, samples.build_first(1)))
        core.set_upstreams(0.1, [samples.build_upstream(1)])
        self.assertFalse(core.is_ready)
        effects = core.set_routes(0.2, samples.build_routes())
        self.assertTrue(core.is_ready)
        self.assertEqual(1, len(samples.list_forwards(effects)))

    def test_a_flow_waits_while_only_the_routes_are_known(self):
        # Between the routes and the upstreams, new flows were reset.
        settings = affinity.AffinitySettings()
        core = affinity.AffinityCore(samples.ZONE, settings)
        core.set_routes(0.0, samples.build_routes())
        core.note_confirmed(0.0)
        self.assertEqual([], core.handle_packet(0.1, samples.build_first(1)))
        upstream = samples.build_upstream(1)
        effects = core.set_upstreams(0.2, [upstream])
        self.assertEqual([upstream.name], samples.list_forwards(effects))

    def test_routes_never_go_back(self):
        core = samples.build_core(samples.build_upstream(1))
        core.set_routes(0.0, samples.build_routes(version=7))
        core.set_routes(0.1, affinity.RouteTable(6, []))
        self.assertEqual(7, core.version)
        effects = core.handle_packet(0.2, samples.build_first(1))
        self.assertEqual(1, len(samples.list_forwards(effects)))

    @hypothesis.given(
        strategies.integers(0, 2**64 - 1),
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(['a', 'b', 'c']),
                strategies.integers(0, 100),
            ),
            max_size=4,
        ),
    )
    def test_a_share_without_weight_gets_nothing(self, flow_hash, shares):
        route = affinity.Route(samples.ADDRESS, shares)
        chosen = route.choose_service(flow_hash)
        if chosen is None:
            self.assertEqual(0, sum(weight for _, weight in shares))
        else:
            self.assertTrue(
                any(weight for name, weight in shares if name == chosen)
            )
