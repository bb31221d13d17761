"""Tests of evacuated availability zones."""

import collections

import testtools

from skylarkfold import affinity
from skylarkfold.tests.affinity import samples

ZONES = ('caerdydd', 'abertawe', 'casnewydd')
EACH = 3
FLOWS = 90
# A caller repeats a first packet after 0.2 s and after 0.6 s.
COPY_SECONDS = 0.2
TICK_SECONDS = 0.01


def build_upstreams():
    """Build some upstreams in each zone."""
    return [
        samples.build_upstream(zone_number * 16 + number + 1, zone=zone)
        for zone_number, zone in enumerate(ZONES)
        for number in range(EACH)
    ]


def evacuate(*zones):
    """Build evacuations of some zones."""
    return affinity.Evacuations(dict.fromkeys(zones, 7))


def build_core(*upstreams):
    settings = affinity.AffinitySettings(follows_evacuations=True)
    return samples.build_core(*upstreams, settings=settings)


class EvacuationTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.upstreams = build_upstreams()
        self.by_name = {each.name: each for each in self.upstreams}
        self.core = build_core(*self.upstreams)
        self.core.set_evacuations(0.0, evacuate())

    def list_zones(self, effects):
        return [
            self.by_name[name].zone for name in samples.list_forwards(effects)
        ]

    def open_flows(self, now, ports):
        """Send first packets and list the zones that they were sent to."""
        zones = []
        for port in ports:
            effects = self.core.handle_packet(now, samples.build_first(port))
            zones += self.list_zones(effects)
        return zones

    def run_until(self, begin, end):
        effects = []
        now = begin
        while now < end:
            now += TICK_SECONDS
            effects += self.core.tick(now)
        return effects

    def test_an_instance_is_not_ready_before_it_knows_them(self):
        core = build_core(*self.upstreams)
        self.assertFalse(core.is_ready)
        self.assertEqual([], core.handle_packet(0.0, samples.build_first(1)))
        released = core.set_evacuations(0.1, evacuate(*ZONES[:2]))
        (name,) = samples.list_forwards(released)
        self.assertEqual(ZONES[2], self.by_name[name].zone)
        self.assertTrue(core.is_ready)

    def test_without_evacuations_in_the_settings_none_are_awaited(self):
        self.assertTrue(samples.build_core(*self.upstreams).is_ready)

    def test_no_new_flow_goes_to_a_zone_that_is_evacuated(self):
        self.core.set_evacuations(1.0, evacuate(samples.ZONE))
        zones = self.open_flows(1.0, range(FLOWS))
        self.assertEqual(FLOWS, len(zones))
        self.assertNotIn(samples.ZONE, zones)

    def test_its_callers_are_spread_over_the_other_zones(self):
        self.core.set_evacuations(1.0, evacuate(samples.ZONE))
        counted = collections.Counter(self.open_flows(1.0, range(FLOWS)))
        self.assertEqual(set(ZONES[1:]), set(counted))
        self.assertLess(max(counted.values()), FLOWS * 0.6)

    def test_open_flows_stay_where_they_are(self):
        self.core.set_evacuations(0.0, evacuate(*ZONES[1:]))
        self.open_flows(0.0, [1])
        upstream = self.by_name[self.find_upstream(1)]
        packet = samples.build_packet(1, upstream.token, length=100)
        self.core.handle_packet(0.01, packet)
        effects = self.core.set_evacuations(0.1, evacuate(upstream.zone))
        self.assertEqual([], samples.list_resets(effects))
        later = samples.build_packet(1, upstream.token, 201, 601, 100)
        forwarded = samples.list_forwards(self.core.handle_packet(0.2, later))
        self.assertEqual([upstream.name], forwarded)

    def find_upstream(self, port):
        flow = self.core._flows.get(samples.build_flow(port))
        return flow.state.upstream.name

    def test_a_retry_does_not_go_to_an_evacuated_zone(self):
        self.open_flows(0.0, range(20))
        self.core.set_evacuations(0.001, evacuate(samples.ZONE))
        effects = self.run_until(0.001, 0.15)
        self.assertEqual(40, len(self.list_zones(effects)))
        self.assertNotIn(samples.ZONE, self.list_zones(effects))

    def test_a_copy_that_all_have_got_does_not_go_to_an_evacuated_zone(self):
        # One upstream in each zone, so that each has got the first packet.
        few = self.upstreams[::EACH]
        core = build_core(*few)
        core.set_evacuations(0.0, evacuate())
        core.handle_packet(0.0, samples.build_first(1))
        for step in range(15):
            core.tick(step * TICK_SECONDS)
        (flow,) = core._flows
        self.assertEqual(len(few), len(flow.tried))
        last = flow.state.upstream.zone
        core.set_evacuations(COPY_SECONDS, evacuate(last))
        copy = samples.build_first(1, copy=1)
        effects = core.handle_packet(COPY_SECONDS, copy)
        (name,) = samples.list_forwards(effects)
        self.assertNotEqual(last, self.by_name[name].zone)

    def test_a_copy_does_not_go_to_a_draining_upstream(self):
        upstream = samples.build_upstream(1)
        core = build_core(upstream)
        core.set_evacuations(0.0, evacuate())
        core.handle_packet(0.0, samples.build_first(1))
        core.set_upstreams(0.1, [samples.build_upstream(1, is_draining=True)])
        copy = samples.build_first(1, copy=1)
        effects = core.handle_packet(COPY_SECONDS, copy)
        self.assertEqual([], samples.list_forwards(effects))
        self.assertEqual(1, len(samples.list_resets(effects)))
        # It no longer counts for any upstream.
        self.assertEqual(0, core.directory.count_flows())
        self.assertEqual(0, core.directory.count_busy())

    def test_without_any_upstream_left_the_flow_is_reset_at_once(self):
        self.core.set_evacuations(1.0, evacuate(*ZONES))
        effects = self.core.handle_packet(1.0, samples.build_first(1))
        self.assertEqual([], samples.list_forwards(effects))
        self.assertEqual(1, len(samples.list_resets(effects)))

    def test_a_copy_is_reset_too_without_any_upstream_left(self):
        self.open_flows(0.0, [1])
        self.core.set_evacuations(0.1, evacuate(*ZONES))
        copy = samples.build_first(1, copy=1)
        effects = self.core.handle_packet(COPY_SECONDS, copy)
        self.assertEqual([], samples.list_forwards(effects))
        self.assertEqual(1, len(samples.list_resets(effects)))

    def test_a_lapsed_upstream_in_an_evacuated_zone_gets_no_flow(self):
        self.core.set_evacuations(0.0, evacuate(samples.ZONE))
        self.core.set_upstreams(0.0, [])
        zones = self.open_flows(0.1, range(20))
        self.assertEqual(20, len(zones))
        self.assertNotIn(samples.ZONE, zones)

    def test_an_upstream_that_starts_in_an_evacuated_zone_gets_no_flow(self):
        self.core.set_evacuations(0.0, evacuate(samples.ZONE))
        idle = samples.build_upstream(99, created=99)
        self.by_name[idle.name] = idle
        self.core.set_upstreams(0.1, [*self.upstreams, idle])
        self.assertNotIn(samples.ZONE, self.open_flows(0.1, range(20)))

    def test_a_zone_gets_flows_again_after_its_evacuation(self):
        self.core.set_evacuations(0.0, evacuate(samples.ZONE))
        self.open_flows(0.0, range(20))
        self.core.set_evacuations(9.0, evacuate())
        self.assertIn(samples.ZONE, self.open_flows(9.0, range(50, 90)))

    def test_upstreams_that_are_evacuated_are_counted(self):
        self.core.set_evacuations(1.0, evacuate(*ZONES[:2]))
        self.assertEqual(2 * EACH, self.core.directory.count_evacuated())
        self.core.set_evacuations(2.0, evacuate(ZONES[0]))
        self.assertEqual(EACH, self.core.directory.count_evacuated())

    def test_begin_and_end_are_recorded(self):
        begun = self.core.set_evacuations(1.0, evacuate(samples.ZONE))
        ended = self.core.set_evacuations(2.0, evacuate())
        self.assertEqual([], self.core.set_evacuations(3.0, evacuate()))
        lines = [
            (each.kind, each.reason, each.details['zone'])
            for each in (*begun, *ended)
            if isinstance(each, affinity.RecordDecision)
        ]
        self.assertEqual(
            [
                ('evacuation', 'started', samples.ZONE),
                ('evacuation', 'ended', samples.ZONE),
            ],
            lines,
        )
        self.assertEqual('7', begun[0].details['revision'])
        self.assertEqual(EACH, begun[0].details['upstreams'])
