"""Tests of a whole zone that falls silent, before thousands of upstreams."""

import testtools

from skylarkfold import affinity
from skylarkfold.tests.affinity import samples

# A third of 3,000 upstreams, the size of a fleet of 300 instances.
LOST = 1000
USED = 5
TICK_SECONDS = 0.01
PLAYED_SECONDS = 3.0
# What an instance may have under way at once: a probe and its control for
# each upstream that it has flows with, and for a zone of today's size.
SAMPLED = 32
MOST_PROBES = 2 * (USED + SAMPLED)


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
            for number in range(LOST)
        ]
        self.core = samples.build_core(*self.near, *self.far)
        self.lost = {each.name for each in self.far}
        self.now = 0.0
        self.due = []
        self.probes = 0
        self.most = 0
        self.opened = []
        self.resets = []

    def perform(self, effects):
        for each in effects:
            if isinstance(each, affinity.Probe):
                self.probes += 1
                is_lost = each.upstream.name in self.lost
                seconds = each.timeout_seconds if is_lost else 0.003
                self.due.append((self.now + seconds, each.upstream))
        self.most = max(self.most, len(self.due))
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

    def play(self):
        """Have the zone fall silent while callers use some of it."""
        used = self.far[:USED]
        self.use([*used, *self.near], 101)
        for step in range(int(PLAYED_SECONDS / 0.05)):
            self.run_until((step + 1) * 0.05)
            self.use(self.near, 201 + 100 * step)
            if step in (3, 11):
                # Those of the lost zone are not answered: callers repeat.
                for upstream in used:
                    port = upstream.number & 0xFFF | upstream.number >> 4
                    packet = samples.build_packet(
                        port, upstream.token, 101, 501, 100
                    )
                    effects = self.core.handle_packet(self.now, packet)
                    self.perform(effects)

    def test_few_probes_are_under_way(self):
        self.play()
        self.assertLessEqual(self.most, MOST_PROBES)

    def test_they_do_not_grow_with_the_zone(self):
        self.play()
        rounds = PLAYED_SECONDS / 0.4 + 2
        self.assertLess(self.probes, MOST_PROBES * rounds)

    def test_flows_of_those_that_are_used_are_reset(self):
        self.play()
        self.assertEqual(USED, len(set(self.resets)))

    def test_no_new_flow_goes_there(self):
        self.play()
        for port in range(20000, 20100):
            effects = self.core.handle_packet(
                self.now, samples.build_first(port)
            )
            (name,) = samples.list_forwards(effects)
            zone = self.core.directory.get(name).upstream.zone
            self.assertNotEqual(samples.OTHER_ZONE, zone)

    def test_what_peers_found_lost_is_probed_and_passed_on(self):
        far = self.far[7]
        effects = self.core.handle_unreachable(1.0, [far.incarnation])
        self.assertEqual([far.name], samples.list_probes(effects))

    def test_beyond_a_zone_of_them_they_are_passed_by_without_a_probe(self):
        lost = [each.incarnation for each in self.far]
        effects = self.core.handle_unreachable(1.0, lost)
        self.assertEqual(SAMPLED, len(samples.list_probes(effects)))
        state = self.core.directory.get(self.far[-1].name)
        self.assertGreater(state.deprioritized_until, 4.0)

    def test_one_that_is_passed_by_is_used_again_once_it_is_heard(self):
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
