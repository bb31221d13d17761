"""Tests of how upstreams are found to be out of reach."""

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

    def ask(self, now, port, sequence=101):
        packet = samples.build_packet(
            port, self.upstream.token, sequence, length=100
        )
        return self.core.handle_packet(now, packet)

    def hear(self, now, upstream, port=77):
        # An instance that has not seen the flow learns where it stands
        # from its first packet, and that it was answered from the next.
        for number in (1000, 1001):
            packet = samples.build_packet(
                port, upstream.token, acknowledged=number + int(now * 1000)
            )
            self.core.handle_packet(now, packet)

    def doubt(self, now):
        """Let a request wait until its upstream is probed."""
        self.open(now - 1.0, 1)
        self.hear(now - 1.0, self.other)
        self.ask(now, 1)
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

    def test_a_request_without_answer_leads_to_a_question(self):
        self.open(0.0, 1)
        self.ask(1.0, 1)
        self.assertEqual([], self.core.tick(1.05))
        doubt, asked = self.core.tick(1.11)
        self.assertEqual('not-answered', doubt.reason)
        self.assertEqual(samples.build_flow(1), doubt.flow)
        self.assertIsInstance(asked, affinity.QueryPeers)
        self.assertEqual(self.upstream.name, asked.upstream.name)

    def test_without_a_word_from_peers_it_is_probed(self):
        effects = self.doubt(1.0)
        self.assertEqual([self.upstream.name], samples.list_probes(effects))

    def test_a_peer_that_heard_it_ends_the_doubt(self):
        self.open(0.0, 1)
        self.ask(1.0, 1)
        self.core.tick(1.11)
        self.core.handle_last_seen(1.115, {self.upstream.token: 0.05})
        self.assertEqual([], samples.list_probes(self.core.tick(1.15)))
        self.assertEqual([], samples.list_probes(self.core.tick(1.17)))

    def test_what_a_peer_heard_before_the_request_ends_no_doubt(self):
        self.open(0.0, 1)
        self.ask(1.0, 1)
        self.core.tick(1.11)
        self.core.handle_last_seen(1.115, {self.upstream.token: 0.5})
        effects = self.core.tick(1.15)
        self.assertEqual([self.upstream.name], samples.list_probes(effects))

    def test_a_peer_is_told_what_was_heard_here(self):
        self.hear(1.0, self.upstream)
        heard = self.core.list_last_seen(1.2, [self.upstream.token, 99])
        self.assertEqual([self.upstream.token], list(heard))
        self.assertAlmostEqual(0.2, heard[self.upstream.token])

    def test_an_upstream_that_answers_others_is_not_doubted(self):
        self.open(0.0, 1)
        self.hear(0.5, self.upstream)
        self.ask(1.0, 1)
        self.hear(1.06, self.upstream)
        self.assertEqual([], self.core.tick(1.11))
        # Silent for a whole patience since then.
        self.assertEqual(2, len(self.core.tick(1.17)))

    def test_a_flow_that_moved_to_another_instance_is_no_doubt(self):
        # Its caller would have repeated the packet after 0.2 s.
        self.open(0.0, 1)
        self.ask(1.0, 1)
        self.hear(1.08, self.upstream, 5)
        self.assertEqual([], self.core.tick(1.11))
        self.hear(1.2, self.upstream, 5)
        self.assertEqual([], self.core.tick(1.21))
        self.assertEqual([], self.core.tick(1.32))
        self.assertEqual([], self.core.tick(2.0))

    def test_a_request_of_several_packets_that_moved_is_no_doubt(self):
        self.open(0.0, 1)
        self.ask(1.0, 1)
        self.ask(1.004, 1, sequence=201)
        self.hear(1.08, self.upstream, 5)
        self.core.tick(1.11)
        self.hear(1.2, self.upstream, 5)
        self.assertEqual([], self.core.tick(1.32))
        self.assertEqual([], self.core.tick(2.0))

    def test_a_caller_that_repeats_its_request_keeps_the_doubt(self):
        self.open(0.0, 1)
        self.ask(1.0, 1)
        self.hear(1.08, self.upstream, 5)
        self.core.tick(1.11)
        self.hear(1.19, self.upstream, 5)
        self.ask(1.2, 1)
        self.core.tick(1.21)
        self.assertEqual(2, len(self.core.tick(1.32)))

    def test_answers_are_seen_wherever_the_numbers_begin(self):
        for begun in (501, 0x7FFFFFFF, 0x80000001, 0xFFFFFFF0):
            core = samples.build_core(samples.build_upstream(1))
            core.handle_packet(1.0, samples.build_first(5))
            request = samples.build_packet(5, 1, 101, begun, 100)
            core.handle_packet(1.01, request)
            end = (begun + 2000) % (1 << 32)
            core.handle_packet(1.05, samples.build_packet(5, 1, 201, end))
            answers = core.tally.histograms['answer_seconds']
            self.assertEqual(1, answers.count, hex(begun))

    def test_a_slow_service_is_waited_for(self):
        for number in range(20):
            now = float(number)
            self.hear(now, self.upstream, 5)
            packet = samples.build_packet(
                5,
                self.upstream.token,
                sequence=101 + 100 * number,
                acknowledged=1000 + int(now * 1000),
                length=100,
            )
            self.core.handle_packet(now, packet)
            self.hear(now + 0.3, self.upstream, 5)
            self.core.tick(now + 0.5)
        self.ask(30.0, 6)
        self.assertEqual([], self.core.tick(30.25))

    def test_an_upstream_that_answers_the_probe_keeps_its_flows(self):
        self.doubt(1.0)
        effects = self.core.handle_probe_result(
            1.21, self.upstream.name, ALIVE
        )
        self.assertEqual([], samples.list_resets(effects))
        effects = self.ask(1.3, 1)
        self.assertEqual([self.upstream.name], samples.list_forwards(effects))

    def test_one_that_answers_a_caller_outranks_its_failed_probes(self):
        self.doubt(1.0)
        self.hear(1.15, self.upstream, 3)
        effects = self.fail_probes(1.3)
        self.assertEqual([], samples.list_resets(effects))
        self.assertEqual([], samples.list_resets(self.ask(1.4, 1)))

    def test_failed_probes_end_the_flows(self):
        # A cut may refuse connections as well as swallow them.
        for outcome in (SILENT, REFUSED):
            self.core = samples.build_core(self.upstream, self.other)
            self.doubt(1.0)
            self.open(1.0, 2)
            effects = self.fail_probes(1.3, outcome)
            ended = {samples.build_flow(1), samples.build_flow(2)}
            self.assertEqual(ended, set(samples.list_resets(effects)))
            effects = self.ask(1.4, 3)
            self.assertEqual(
                [samples.build_flow(3)], samples.list_resets(effects)
            )
            self.assertEqual([], samples.list_forwards(effects))
            new = self.core.handle_packet(1.4, samples.build_first(9))
            self.assertEqual([self.other.name], samples.list_forwards(new))

    def test_a_verdict_is_told_to_the_peers(self):
        self.doubt(1.0)
        effects = self.fail_probes(1.3)
        (told,) = [
            each for each in effects if isinstance(each, affinity.NotifyPeers)
        ]
        self.assertEqual(self.upstream.name, told.upstream.name)

    def test_a_peer_s_verdict_is_looked_into_at_once(self):
        self.open(0.0, 1)
        self.hear(0.5, self.other)
        effects = self.core.handle_unreachable(1.0, [self.upstream.token, 99])
        self.assertEqual([self.upstream.name], samples.list_probes(effects))
        self.assertEqual([], samples.list_resets(effects))
        effects = self.fail_probes(1.2)
        self.assertEqual([samples.build_flow(1)], samples.list_resets(effects))

    def test_a_peer_s_verdict_on_one_that_is_heard_here_is_its_own(self):
        self.open(0.0, 1)
        self.hear(1.0, self.upstream)
        effects = self.core.handle_unreachable(1.05, [self.upstream.token])
        self.assertEqual([], effects)

    def test_failed_probes_prove_nothing_if_another_one_fails_too(self):
        self.doubt(1.0)
        effects = self.fail_probes(1.3, is_confirmed=False)
        self.assertEqual([], samples.list_resets(effects))
        self.assertEqual([], samples.list_resets(self.ask(1.4, 1)))
        new = self.core.handle_packet(1.4, samples.build_first(9))
        self.assertEqual([self.other.name], samples.list_forwards(new))

    def test_one_silent_probe_is_no_verdict(self):
        self.doubt(1.0)
        effects = self.fail_probes(1.3, count=1)
        self.assertEqual([], samples.list_resets(effects))
        effects = self.ask(1.4, 1)
        self.assertEqual([], samples.list_resets(effects))

    def test_a_planned_leave_resets_nothing(self):
        self.open(0.0, 1)
        leaving = samples.build_upstream(1, is_draining=True)
        self.core.set_upstreams(1.0, [leaving, self.other])
        for outcome in (REFUSED, SILENT):
            effects = self.core.set_upstreams(4.0, [self.other])
            effects += self.fail_probes(4.2, outcome)
            effects += self.ask(4.3, 1)
            self.assertEqual([], samples.list_resets(effects))

    def test_a_verdict_is_soon_out_of_date(self):
        self.doubt(1.0)
        self.fail_probes(1.3)
        self.assertEqual([], samples.list_resets(self.ask(9.0, 3)))

    def test_what_may_not_run_twice_waits_for_its_answer(self):
        self.core.set_routes(0.0, samples.build_routes(2, is_idempotent=False))
        self.doubt(1.0)
        self.open(1.0, 2)
        effects = self.fail_probes(1.3)
        self.assertEqual([samples.build_flow(2)], samples.list_resets(effects))

    def test_an_upstream_out_of_reach_is_probed_until_it_answers(self):
        self.doubt(1.0)
        self.fail_probes(1.3)
        self.assertEqual(
            [self.upstream.name], samples.list_probes(self.core.tick(1.8))
        )
        self.core.handle_probe_result(1.81, self.upstream.name, ALIVE)
        self.assertEqual([], samples.list_probes(self.core.tick(3.0)))
        effects = self.ask(3.0, 4)
        self.assertEqual([self.upstream.name], samples.list_forwards(effects))

    def test_one_that_is_back_is_avoided_until_its_entry_would_lapse(self):
        # Another process may have its address.
        self.doubt(1.0)
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

    def test_one_that_answers_a_caller_again_is_trusted_at_once(self):
        self.doubt(1.0)
        self.fail_probes(1.3)
        self.core.tick(2.9)
        self.core.handle_probe_result(3.0, self.upstream.name, ALIVE)
        self.hear(3.1, self.upstream, 8)
        chosen = {
            samples.list_forwards(
                self.core.handle_packet(3.2, samples.build_first(port))
            )[0]
            for port in range(100, 140)
        }
        self.assertIn(self.upstream.name, chosen)

    def test_a_refusal_waits_for_the_control(self):
        # Within the zone it is back sooner than an answer from another.
        self.doubt(1.0)
        self.core.handle_probe_result(1.15, self.upstream.name, REFUSED)
        self.assertEqual(
            [],
            self.core.handle_probe_result(1.151, self.upstream.name, REFUSED),
        )
        effects = self.core.handle_probe_result(1.153, self.other.name, ALIVE)
        self.assertEqual([samples.build_flow(1)], samples.list_resets(effects))

    def test_a_lapsed_entry_has_its_upstream_doubted(self):
        self.open(0.0, 1)
        effects = self.core.set_upstreams(1.0, [self.other])
        (asked,) = [
            each for each in effects if isinstance(each, affinity.QueryPeers)
        ]
        self.assertEqual(self.upstream.name, asked.upstream.name)

    def lose(self, now, upstream, port):
        """Have an upstream found out of reach."""
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

    def test_two_silent_upstreams_make_their_zone_doubted(self):
        far = [
            samples.build_upstream(number, zone=samples.OTHER_ZONE)
            for number in (3, 4, 5)
        ]
        self.core.set_upstreams(0.0, [self.other, *far])
        self.assertEqual([], self.lose(1.0, far[0], 1))
        self.assertEqual([far[2].name], self.lose(2.0, far[1], 2))

    def test_a_zone_of_which_one_is_heard_is_not_doubted(self):
        far = [
            samples.build_upstream(number, zone=samples.OTHER_ZONE)
            for number in (3, 4, 5)
        ]
        self.core.set_upstreams(0.0, [self.other, *far])
        self.lose(1.0, far[0], 1)
        self.hear(1.9, far[2])
        self.assertEqual([], self.lose(2.0, far[1], 2))
