"""Tests of a zone with a thousand upstreams that falls silent."""

import testtools

from skylarkfold import affinity
from skylarkfold.tests.affinity import samples

# A third of 3,000 upstreams, the size of a fleet of 300 instances.
LOST_UPSTREAMS = 1000
USED_UPSTREAMS = 5
TICK_SECONDS = 0.01
RUN_SECONDS = 3.0
# The most probes in flight: a probe and its control for each upstream with
# flows here, and for a zone at the suspect limit.
SUSPECT_LIMIT = 32
MAXIMUM_PROBES = 2 * (USED_UPSTREAMS + SUSPECT_LIMIT)


class ZoneLossTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.near = [
            samples.build_upstream(
                number + 1, address=(f'10.1.{number >> 8}.{number & 255}', 80)
            )
            for number in range(50)
        ]
        self.far = [
            samples.build_upstream(
                0x10000 + number,
                zone=samples.OTHER_ZONE,
                address=(f'10.2.{number >> 8}.{number & 255}', 80),
            )
            for number in range(LOST_UPSTREAMS)
        ]
        self.core = samples.build_core(*self.near, *self.far)
        self.lost = {each.name for each in self.far}
        self.now = 0.0
        self.due = []
        self.probes = 0
        self.maximum_in_flight = 0
        self.opened = []
        self.resets = []

    def perform(self, effects):
        for each in effects:
            if isinstance(each, affinity.Probe):
                self.probes += 1
                is_lost = each.upstream.name in self.lost
                seconds = each.timeout_seconds if is_lost else 0.003
                self.due.append((self.now + seconds, each.upstream))
        self.maximum_in_flight = max(self.maximum_in_flight, len(self.due))
        self.resets += samples.list_resets(effects)

    def run_until(self, until):
        while self.now < until:
            self.now += TICK_SECONDS
            ended = [each for each in self.due if each[0] <= self.now]
            self.due = [each for each in self.due if each[0] > self.now]
            for _, upstream in ended:
                outcome = affinity.ProbeOutcome.ALIVE
                if upstream.name in self.lost:
                    outcome = affinity.ProbeOutcome.SILENT
                self.perform(
                    self.core.handle_probe_result(
                        self.now, upstream.name, outcome
                    )
                )
            self.perform(self.core.tick(self.now))

    def use(self, upstreams, sequence):
        """Send a request on a flow of each upstream."""
        for upstream in upstreams:
            port = upstream.number & 0xFFF | upstream.number >> 4
            packet = samples.build_packet(
                port, upstream.token, sequence, sequence + 400, 100
            )
            self.perform(self.core.handle_packet(self.now, packet))

    def run_outage(self):
        """Have the zone fall silent while callers use some of it."""
        used = self.far[:USED_UPSTREAMS]
        self.use([*used, *self.near], 101)
        for step in range(int(RUN_SECONDS / 0.05)):
            self.run_until((step + 1) * 0.05)
            self.use(self.near, 201 + 100 * step)
            if step in (3, 11):
                # Requests to the lost zone are not answered, so callers repeat
                # them.
                for upstream in used:
                    port = upstream.number & 0xFFF | upstream.number >> 4
                    packet = samples.build_packet(
                        port, upstream.token, 101, 501, 100
                    )
                    effects = self.core.handle_packet(self.now, packet)
                    self.perform(effects)

    def test_few_probes_are_in_flight(self):
        self.run_outage()
        self.assertLessEqual(self.maximum_in_flight, MAXIMUM_PROBES)

    def test_they_do_not_grow_with_the_zone(self):
        self.run_outage()
        rounds = RUN_SECONDS / 0.4 + 2
        self.assertLess(self.probes, MAXIMUM_PROBES * rounds)

    def test_flows_of_used_upstreams_are_reset(self):
        self.run_outage()
        self.assertEqual(USED_UPSTREAMS, len(set(self.resets)))

    def test_no_new_flow_goes_there(self):
        self.run_outage()
        for port in range(20000, 20100):
            effects = self.core.handle_packet(
                self.now, samples.build_first(port)
            )
            (name,) = samples.list_forwards(effects)
            zone = self.core.directory.get(name).upstream.zone
            self.assertNotEqual(samples.OTHER_ZONE, zone)

    def test_an_upstream_that_peers_report_unreachable_is_probed(self):
        far = self.far[7]
        effects = self.core.handle_unreachable(1.0, [far.incarnation])
        self.assertEqual([far.name], samples.list_probes(effects))

    def test_beyond_the_suspect_limit_upstreams_are_deprioritized_unprobed(
        self,
    ):
        reported = [each.incarnation for each in self.far]
        effects = self.core.handle_unreachable(1.0, reported)
        self.assertEqual(SUSPECT_LIMIT, len(samples.list_probes(effects)))
        state = self.core.directory.get(self.far[-1].name)
        self.assertGreater(state.deprioritized_until, 4.0)

    def test_a_deprioritized_upstream_is_used_again_once_it_is_heard(self):
        self.core.handle_unreachable(
            1.0, [each.incarnation for each in self.far]
        )
        far = self.far[-1]
        for sequence in (101, 201):
            packet = samples.build_packet(
                60001, far.token, sequence, sequence + 400, 100
            )
            self.core.handle_packet(1.1, packet)
        state = self.core.directory.get(far.name)
        self.assertLess(state.deprioritized_until, 1.0)
