"""Tests of the detection of unreachable upstreams."""

import testtools

from skylarkfold import affinity
from skylarkfold.tests.affinity import samples

ALIVE = affinity.ProbeOutcome.ALIVE
REFUSED = affinity.ProbeOutcome.REFUSED
SILENT = affinity.ProbeOutcome.SILENT


class HealthTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.upstream = samples.build_upstream(1)
        self.other = samples.build_upstream(2)
        self.core = samples.build_core(self.upstream, self.other)

    def open(self, now, port, upstream=None):
        token = (upstream or self.upstream).token
        packet = samples.build_packet(port, token)
        self.core.handle_packet(now, packet)

    def request(self, now, port, sequence=101):
        packet = samples.build_packet(
            port, self.upstream.token, sequence, length=100
        )
        return self.core.handle_packet(now, packet)

    def acknowledge(self, now, upstream, port=77):
        # The first packet of an unknown flow gives its acknowledgement number,
        # the next one shows that it was answered.
        for number in (1000, 1001):
            packet = samples.build_packet(
                port, upstream.token, acknowledged=number + int(now * 1000)
            )
            self.core.handle_packet(now, packet)

    def suspect(self, now):
        """Let a request wait until its upstream is probed."""
        self.open(now - 1.0, 1)
        self.acknowledge(now - 1.0, self.other)
        self.request(now, 1)
        effects = self.core.tick(now + 0.11)
        return effects + self.core.tick(now + 0.14)

    def fail_probes(self, now, outcome=SILENT, count=2, is_confirmed=True):
        effects = []
        for _ in range(count):
            effects += self.core.handle_probe_result(
                now, self.upstream.name, outcome
            )
        if self.other.name in samples.list_probes(effects):
            control = ALIVE if is_confirmed else SILENT
            effects += self.core.handle_probe_result(
                now, self.other.name, control
            )
        return effects

    def test_an_unanswered_request_queries_the_peers(self):
        self.open(0.0, 1)
        self.request(1.0, 1)
        self.assertEqual([], self.core.tick(1.05))
        record, query = self.core.tick(1.11)
        self.assertEqual('not-answered', record.reason)
        self.assertEqual(samples.build_flow(1), record.flow)
        self.assertIsInstance(query, affinity.QueryPeers)
        self.assertEqual(self.upstream.name, query.upstream.name)

    def test_without_an_answer_from_peers_it_is_probed(self):
        effects = self.suspect(1.0)
        self.assertEqual([self.upstream.name], samples.list_probes(effects))

    def test_a_peer_that_heard_it_clears_the_suspicion(self):
        self.open(0.0, 1)
        self.request(1.0, 1)
        self.core.tick(1.11)
        self.core.handle_last_seen(1.115, {self.upstream.token: 0.05})
        self.assertEqual([], samples.list_probes(self.core.tick(1.15)))
        self.assertEqual([], samples.list_probes(self.core.tick(1.17)))

    def test_what_a_peer_heard_before_the_request_clears_nothing(self):
        self.open(0.0, 1)
        self.request(1.0, 1)
        self.core.tick(1.11)
        self.core.handle_last_seen(1.115, {self.upstream.token: 0.5})
        effects = self.core.tick(1.15)
        self.assertEqual([self.upstream.name], samples.list_probes(effects))

    def test_a_peer_s_query_is_answered(self):
        self.acknowledge(1.0, self.upstream)
        heard = self.core.list_last_seen(1.2, [self.upstream.token, 99])
        self.assertEqual([self.upstream.token], list(heard))
        self.assertAlmostEqual(0.2, heard[self.upstream.token])

    def test_an_upstream_that_answers_others_is_not_suspected(self):
        self.open(0.0, 1)
        self.acknowledge(0.5, self.upstream)
        self.request(1.0, 1)
        self.acknowledge(1.06, self.upstream)
        self.assertEqual([], self.core.tick(1.11))
        # Silent for a whole timeout since then.
        self.assertEqual(2, len(self.core.tick(1.17)))

    def test_a_flow_that_moved_to_another_instance_raises_no_suspicion(self):
        # Its caller would have repeated the packet after 0.2 s.
        self.open(0.0, 1)
        self.request(1.0, 1)
        self.acknowledge(1.08, self.upstream, 5)
        self.assertEqual([], self.core.tick(1.11))
        self.acknowledge(1.2, self.upstream, 5)
        self.assertEqual([], self.core.tick(1.21))
        self.assertEqual([], self.core.tick(1.32))
        self.assertEqual([], self.core.tick(2.0))

    def test_a_request_of_several_packets_that_moved_raises_no_suspicion(self):
        self.open(0.0, 1)
        self.request(1.0, 1)
        self.request(1.004, 1, sequence=201)
        self.acknowledge(1.08, self.upstream, 5)
        self.core.tick(1.11)
        self.acknowledge(1.2, self.upstream, 5)
        self.assertEqual([], self.core.tick(1.32))
        self.assertEqual([], self.core.tick(2.0))

    def test_a_caller_that_repeats_its_request_keeps_the_suspicion(self):
        self.open(0.0, 1)
        self.request(1.0, 1)
        self.acknowledge(1.08, self.upstream, 5)
        self.core.tick(1.11)
        self.acknowledge(1.19, self.upstream, 5)
        self.request(1.2, 1)
        self.core.tick(1.21)
        self.assertEqual(2, len(self.core.tick(1.32)))

    def test_answers_are_seen_with_any_initial_sequence_number(self):
        for begun in (501, 0x7FFFFFFF, 0x80000001, 0xFFFFFFF0):
            core = samples.build_core(samples.build_upstream(1))
            core.handle_packet(1.0, samples.build_first(5))
            request = samples.build_packet(5, 1, 101, begun, 100)
            core.handle_packet(1.01, request)
            end = (begun + 2000) % (1 << 32)
            core.handle_packet(1.05, samples.build_packet(5, 1, 201, end))
            answers = core.tally.histograms['answer_seconds']
            self.assertEqual(1, answers.count, hex(begun))

    def test_the_timeout_adapts_to_a_slow_service(self):
        for number in range(20):
            now = float(number)
            self.acknowledge(now, self.upstream, 5)
            packet = samples.build_packet(
                5,
                self.upstream.token,
                sequence=101 + 100 * number,
                acknowledged=1000 + int(now * 1000),
                length=100,
            )
            self.core.handle_packet(now, packet)
            self.acknowledge(now + 0.3, self.upstream, 5)
            self.core.tick(now + 0.5)
        self.request(30.0, 6)
        self.assertEqual([], self.core.tick(30.25))

    def test_an_upstream_that_answers_the_probe_keeps_its_flows(self):
        self.suspect(1.0)
        effects = self.core.handle_probe_result(
            1.21, self.upstream.name, ALIVE
        )
        self.assertEqual([], samples.list_resets(effects))
        effects = self.request(1.3, 1)
        self.assertEqual([self.upstream.name], samples.list_forwards(effects))

    def test_an_answer_to_a_caller_overrides_failed_probes(self):
        self.suspect(1.0)
        self.acknowledge(1.15, self.upstream, 3)
        effects = self.fail_probes(1.3)
        self.assertEqual([], samples.list_resets(effects))
        self.assertEqual([], samples.list_resets(self.request(1.4, 1)))

    def test_failed_probes_reset_the_flows(self):
        # A network partition may reject connections or drop their packets.
        for outcome in (SILENT, REFUSED):
            self.core = samples.build_core(self.upstream, self.other)
            self.suspect(1.0)
            self.open(1.0, 2)
            effects = self.fail_probes(1.3, outcome)
            ended = {samples.build_flow(1), samples.build_flow(2)}
            self.assertEqual(ended, set(samples.list_resets(effects)))
            effects = self.request(1.4, 3)
            self.assertEqual(
                [samples.build_flow(3)], samples.list_resets(effects)
            )
            self.assertEqual([], samples.list_forwards(effects))
            new = self.core.handle_packet(1.4, samples.build_first(9))
            self.assertEqual([self.other.name], samples.list_forwards(new))

    def test_peers_are_notified_of_an_unreachable_upstream(self):
        self.suspect(1.0)
        effects = self.fail_probes(1.3)
        (notice,) = [
            each for each in effects if isinstance(each, affinity.NotifyPeers)
        ]
        self.assertEqual(self.upstream.name, notice.upstream.name)

    def test_an_upstream_that_a_peer_reports_unreachable_is_probed_at_once(
        self,
    ):
        self.open(0.0, 1)
        self.acknowledge(0.5, self.other)
        effects = self.core.handle_unreachable(1.0, [self.upstream.token, 99])
        self.assertEqual([self.upstream.name], samples.list_probes(effects))
        self.assertEqual([], samples.list_resets(effects))
        effects = self.fail_probes(1.2)
        self.assertEqual([samples.build_flow(1)], samples.list_resets(effects))

    def test_a_peer_s_report_on_an_upstream_heard_here_is_ignored(self):
        self.open(0.0, 1)
        self.acknowledge(1.0, self.upstream)
        effects = self.core.handle_unreachable(1.05, [self.upstream.token])
        self.assertEqual([], effects)

    def test_failed_probes_reset_nothing_if_the_control_fails_too(self):
        self.suspect(1.0)
        effects = self.fail_probes(1.3, is_confirmed=False)
        self.assertEqual([], samples.list_resets(effects))
        self.assertEqual([], samples.list_resets(self.request(1.4, 1)))
        new = self.core.handle_packet(1.4, samples.build_first(9))
        self.assertEqual([self.other.name], samples.list_forwards(new))

    def test_a_single_silent_probe_resets_nothing(self):
        self.suspect(1.0)
        effects = self.fail_probes(1.3, count=1)
        self.assertEqual([], samples.list_resets(effects))
        effects = self.request(1.4, 1)
        self.assertEqual([], samples.list_resets(effects))

    def test_a_drained_upstream_that_leaves_resets_nothing(self):
        self.open(0.0, 1)
        leaving = samples.build_upstream(1, is_draining=True)
        self.core.set_upstreams(1.0, [leaving, self.other])
        for outcome in (REFUSED, SILENT):
            effects = self.core.set_upstreams(4.0, [self.other])
            effects += self.fail_probes(4.2, outcome)
            effects += self.request(4.3, 1)
            self.assertEqual([], samples.list_resets(effects))

    def test_a_verdict_expires(self):
        self.suspect(1.0)
        self.fail_probes(1.3)
        self.assertEqual([], samples.list_resets(self.request(9.0, 3)))

    def test_a_request_that_must_not_run_twice_is_not_reset(self):
        self.core.set_routes(0.0, samples.build_routes(2, is_idempotent=False))
        self.suspect(1.0)
        self.open(1.0, 2)
        effects = self.fail_probes(1.3)
        self.assertEqual([samples.build_flow(2)], samples.list_resets(effects))

    def test_an_unreachable_upstream_is_probed_until_it_answers(self):
        self.suspect(1.0)
        self.fail_probes(1.3)
        self.assertEqual(
            [self.upstream.name], samples.list_probes(self.core.tick(1.8))
        )
        self.core.handle_probe_result(1.81, self.upstream.name, ALIVE)
        self.assertEqual([], samples.list_probes(self.core.tick(3.0)))
        effects = self.request(3.0, 4)
        self.assertEqual([self.upstream.name], samples.list_forwards(effects))

    def test_a_returning_upstream_is_deprioritized_until_its_entry_would_lapse(
        self,
    ):
        # Another process may have its address.
        self.suspect(1.0)
        self.fail_probes(1.3)
        self.core.tick(2.9)
        self.core.handle_probe_result(3.0, self.upstream.name, ALIVE)
        new = self.core.handle_packet(3.1, samples.build_first(50))
        self.assertEqual([self.other.name], samples.list_forwards(new))
        chosen = {
            samples.list_forwards(
                self.core.handle_packet(7.0, samples.build_first(port))
            )[0]
            for port in range(100, 140)
        }
        self.assertIn(self.upstream.name, chosen)

    def test_a_returning_upstream_that_answers_a_caller_is_used_at_once(self):
        self.suspect(1.0)
        self.fail_probes(1.3)
        self.core.tick(2.9)
        self.core.handle_probe_result(3.0, self.upstream.name, ALIVE)
        self.acknowledge(3.1, self.upstream, 8)
        chosen = {
            samples.list_forwards(
                self.core.handle_packet(3.2, samples.build_first(port))
            )[0]
            for port in range(100, 140)
        }
        self.assertIn(self.upstream.name, chosen)

    def test_a_refusal_waits_for_the_control(self):
        # A refusal within the zone arrives before an answer from another.
        self.suspect(1.0)
        self.core.handle_probe_result(1.15, self.upstream.name, REFUSED)
        self.assertEqual(
            [],
            self.core.handle_probe_result(1.151, self.upstream.name, REFUSED),
        )
        effects = self.core.handle_probe_result(1.153, self.other.name, ALIVE)
        self.assertEqual([samples.build_flow(1)], samples.list_resets(effects))

    def test_an_upstream_whose_entry_lapses_is_suspected(self):
        self.open(0.0, 1)
        effects = self.core.set_upstreams(1.0, [self.other])
        (query,) = [
            each for each in effects if isinstance(each, affinity.QueryPeers)
        ]
        self.assertEqual(self.upstream.name, query.upstream.name)

    def declare_unreachable(self, now, upstream, port):
        """Have an upstream declared unreachable."""
        packet = samples.build_packet(port, upstream.token, length=10)
        self.core.handle_packet(now, packet)
        self.core.tick(now + 0.11)
        self.core.tick(now + 0.14)
        effects = []
        for _ in range(2):
            effects += self.core.handle_probe_result(
                now + 0.3, upstream.name, SILENT
            )
        effects += self.core.handle_probe_result(
            now + 0.3, self.other.name, ALIVE
        )
        return [
            each.upstream.name
            for each in effects
            if isinstance(each, affinity.QueryPeers)
        ]

    def test_two_unreachable_upstreams_make_their_zone_suspected(self):
        far = [
            samples.build_upstream(number, zone=samples.OTHER_ZONE)
            for number in (3, 4, 5)
        ]
        self.core.set_upstreams(0.0, [self.other, *far])
        self.assertEqual([], self.declare_unreachable(1.0, far[0], 1))
        self.assertEqual(
            [far[2].name], self.declare_unreachable(2.0, far[1], 2)
        )

    def test_a_zone_with_an_upstream_that_is_heard_is_not_suspected(self):
        far = [
            samples.build_upstream(number, zone=samples.OTHER_ZONE)
            for number in (3, 4, 5)
        ]
        self.core.set_upstreams(0.0, [self.other, *far])
        self.declare_unreachable(1.0, far[0], 1)
        self.acknowledge(1.9, far[2])
        self.assertEqual([], self.declare_unreachable(2.0, far[1], 2))
