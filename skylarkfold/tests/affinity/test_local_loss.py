"""Tests of an instance whose own link is full while the upstreams live.

They guard against resetting open flows of living upstreams when first packets,
requests, probes and controls are lost at random on the instance's own link,
and against queries and copies that saturate the link further.

Losses are drawn for each exchange independently, as a full queue loses
packets.
"""

import random

import testtools

from skylarkfold import affinity
from skylarkfold import room
from skylarkfold.tests.affinity import samples

ZONES = ('caerdydd', 'abertawe', 'casnewydd')
UPSTREAMS = 12
FLOWS = 36
STEP_SECONDS = 0.01
ANSWER_SECONDS = 0.03
# The interval between requests on a flow, and the time after which a caller
# repeats an unanswered request.
ASK_SECONDS = 0.4
REPEAT_SECONDS = 0.2
LOSS_PERIOD = (2.0, 6.0)
END = 9.0
SEEDS = range(6)


class LossyLink:
    """Simulation of an instance, its callers and a lossy link.

    :param seed: the seed of the losses.
    :param loss: the share of exchanges that are lost during the loss period.
    :param failed: names of upstreams that fail when the loss period begins.
    """

    def __init__(self, seed, loss, failed=(), link=None):
        self.draw = random.Random(f'own link {seed}')
        self.loss = loss
        self.failed = set(failed)
        self.now = 0.0
        self.room = room.InstanceHeadroom(room.RoomSettings(), link or 0.0)
        self.upstreams = [
            samples.build_upstream(number + 1, zone=ZONES[number % 3])
            for number in range(UPSTREAMS)
        ]
        self.core = affinity.AffinityCore(
            samples.ZONE, affinity.AffinitySettings(), self.room
        )
        self.core.set_routes(0.0, samples.build_routes())
        self.core.set_upstreams(0.0, self.upstreams)
        self.due = []
        self.flows = {
            1000 + number: self.upstreams[number % UPSTREAMS]
            for number in range(FLOWS)
        }
        self.sent = dict.fromkeys(self.flows, 101)
        self.answered = dict.fromkeys(self.flows, 501)
        self.waits = {}
        self.opened = {}
        self.resets = []
        self.queries = 0
        self.copies = 0

    def is_lost(self, upstream):
        is_lossy = LOSS_PERIOD[0] <= self.now < LOSS_PERIOD[1]
        if upstream.name in self.failed and self.now >= LOSS_PERIOD[0]:
            return True
        return is_lossy and self.draw.random() < self.loss

    def schedule(self, seconds, call, *arguments):
        self.due.append((self.now + seconds, call, arguments))

    def perform(self, effects):
        for each in effects:
            if isinstance(each, affinity.Probe):
                self.probe(each)
            elif isinstance(each, affinity.Reset):
                self.resets.append(each.flow)
            elif isinstance(each, affinity.QueryPeers):
                self.queries += 1

    def probe(self, wanted):
        outcome, seconds = affinity.ProbeOutcome.ALIVE, 0.004
        if self.is_lost(wanted.upstream):
            outcome = affinity.ProbeOutcome.SILENT
            seconds = wanted.timeout_seconds
        self.schedule(seconds, self.end_probe, wanted, outcome)

    def end_probe(self, wanted, outcome):
        upstream = wanted.upstream
        effects = self.core.handle_probe_result(
            self.now,
            upstream.name,
            outcome,
            upstream.incarnation,
            wanted.is_control,
        )
        self.perform(effects)

    def ask(self, port):
        upstream = self.flows[port]
        self.sent[port] += 100
        self.send(port, upstream, self.sent[port])
        self.schedule(ASK_SECONDS, self.ask, port)

    def send(self, port, upstream, sequence):
        """Send a request and repeat it until it is answered."""
        if sequence != self.sent[port]:
            return
        packet = samples.build_packet(
            port, upstream.token, sequence, self.answered[port], 100
        )
        self.perform(self.core.handle_packet(self.now, packet))
        if self.is_lost(upstream):
            self.schedule(REPEAT_SECONDS, self.send, port, upstream, sequence)
        else:
            self.schedule(ANSWER_SECONDS, self.answer, port, upstream)

    def answer(self, port, upstream):
        self.answered[port] += 400
        packet = samples.build_packet(
            port, upstream.token, self.sent[port] + 100, self.answered[port]
        )
        self.perform(self.core.handle_packet(self.now, packet))

    def open(self, port):
        """Open a flow without any requests."""
        packet = samples.build_first(port)
        effects = self.core.handle_packet(self.now, packet)
        self.perform(effects)
        names = samples.list_forwards(effects)
        if names and not self.is_lost(
            self.core.directory.get(names[0]).upstream
        ):
            self.schedule(0.007, self.confirm, port, names[0])
        self.schedule(0.05, self.open, port + 1)

    def confirm(self, port, name):
        upstream = self.core.directory.get(name).upstream
        self.opened[port] = upstream
        packet = samples.build_packet(port, upstream.token)
        self.perform(self.core.handle_packet(self.now, packet))

    def run(self, until=END):
        for number, port in enumerate(self.flows):
            self.schedule(number * ASK_SECONDS / FLOWS, self.ask, port)
        self.schedule(0.0, self.open, 20000)
        while self.now < until:
            self.now += STEP_SECONDS
            ready = [each for each in self.due if each[0] <= self.now]
            self.due = [each for each in self.due if each[0] > self.now]
            for _, call, arguments in ready:
                call(*arguments)
            self.core.note_confirmed(self.now)
            self.perform(self.core.tick(self.now))

    def list_wrong_resets(self):
        """List resets of flows whose upstream lives."""
        carried = {**self.flows, **self.opened}
        failed = {
            samples.build_flow(port)
            for port, upstream in carried.items()
            if upstream.name in self.failed
        }
        return [flow for flow in self.resets if flow not in failed]

    def list_reset_ports(self):
        """List the ports of flows that were reset as their upstream failed."""
        return [
            port
            for port, upstream in self.flows.items()
            if upstream.name in self.failed
            and samples.build_flow(port) in self.resets
        ]


class OwnLinkTest(testtools.TestCase):
    """No open flow of a living upstream is reset."""

    def test_no_flow_is_reset_at_any_loss(self):
        for loss in (0.05, 0.15, 0.3, 0.45, 0.6, 0.8):
            for seed in SEEDS:
                simulation = LossyLink(seed, loss)
                simulation.run()
                self.assertEqual(
                    [], simulation.list_wrong_resets(), (loss, seed)
                )

    def test_a_failed_upstream_is_detected_at_a_low_loss(self):
        # One in fifty is more than a healthy link loses.
        for seed in SEEDS:
            simulation = LossyLink(seed, 0.02, failed=('i-0000000002',))
            simulation.run()
            self.assertEqual([], simulation.list_wrong_resets(), seed)
            self.assertEqual(
                FLOWS // UPSTREAMS, len(simulation.list_reset_ports()), seed
            )

    def test_a_failed_upstream_is_detected_after_the_loss_ends(self):
        for seed in SEEDS:
            simulation = LossyLink(seed, 0.45, failed=('i-0000000002',))
            simulation.run()
            self.assertEqual([], simulation.list_wrong_resets(), seed)
            self.assertEqual(
                FLOWS // UPSTREAMS, len(simulation.list_reset_ports()), seed
            )


class FullLinkTest(testtools.TestCase):
    """A saturated link gets no avoidable traffic."""

    RATE = 625_000.0

    def setUp(self):
        super().setUp()
        self.room = room.InstanceHeadroom(room.RoomSettings(), self.RATE)
        self.upstreams = [
            samples.build_upstream(number, zone=zone)
            for number, zone in enumerate(ZONES, 1)
        ]
        self.core = affinity.AffinityCore(
            samples.ZONE, affinity.AffinitySettings(), self.room
        )
        self.core.set_routes(0.0, samples.build_routes())
        self.core.set_upstreams(0.0, self.upstreams)
        self.core.note_confirmed(0.0)

    def saturate(self, now):
        self.room.record_traffic(now, int(self.RATE), int(self.RATE))

    def test_an_unanswered_request_queries_no_peers(self):
        token = self.upstreams[0].token
        self.core.handle_packet(1.0, samples.build_packet(1, token))
        request = samples.build_packet(1, token, length=100)
        self.core.handle_packet(1.0, request)
        self.saturate(1.1)
        effects = self.core.tick(1.12)
        self.assertEqual([], samples.list_queried(effects))
        self.assertEqual([], samples.list_probes(self.core.tick(1.2)))

    def test_an_unanswered_first_packet_is_not_copied(self):
        self.core.handle_packet(1.0, samples.build_first(5))
        self.saturate(1.03)
        self.assertEqual([], samples.list_forwards(self.core.tick(1.05)))

    def test_the_caller_s_own_copy_goes_to_another_upstream(self):
        first = self.core.handle_packet(1.0, samples.build_first(5))
        self.saturate(1.03)
        self.core.tick(1.05)
        again = self.core.handle_packet(1.2, samples.build_first(5, 1))
        (name,) = samples.list_forwards(again)
        self.assertNotEqual(samples.list_forwards(first), [name])

    def test_probes_in_flight_lead_to_no_verdict(self):
        token = self.upstreams[0].token
        self.core.handle_packet(1.0, samples.build_packet(1, token))
        self.core.handle_packet(1.0, samples.build_packet(1, token, length=9))
        self.core.tick(1.11)
        (probed,) = samples.list_probes(self.core.tick(1.14))
        self.saturate(1.2)
        for _ in range(4):
            effects = self.core.handle_probe_result(
                1.24, probed, affinity.ProbeOutcome.SILENT
            )
            self.assertEqual([], samples.list_resets(effects))
        state = self.core.directory.get(probed)
        self.assertEqual('good', state.health)

    def test_an_upstream_that_a_peer_reports_unreachable_is_not_probed(self):
        self.saturate(1.0)
        reported = [self.upstreams[1].incarnation]
        self.assertEqual([], self.core.handle_unreachable(1.0, reported))


class BusyUpstreamTest(testtools.TestCase):
    """An upstream that is too busy for probes keeps its flows."""

    REQUESTS = 9

    def setUp(self):
        super().setUp()
        self.busy, self.other = (
            samples.build_upstream(number, slots=2) for number in (1, 2)
        )
        self.core = samples.build_core(self.busy, self.other)
        for port in range(1, 1 + self.REQUESTS):
            packet = samples.build_packet(port, self.busy.token)
            self.core.handle_packet(0.9, packet)
            packet = samples.build_packet(port, self.busy.token, length=100)
            self.core.handle_packet(1.0, packet)

    def repeat(self, now, resets):
        """Have callers repeat unanswered requests."""
        effects = []
        for port in range(1, 1 + self.REQUESTS):
            if samples.build_flow(port) not in resets:
                packet = samples.build_packet(
                    port, self.busy.token, length=100
                )
                effects += self.core.handle_packet(now, packet)
        return effects

    def run_until(self, now, until):
        """Run with the busy upstream silent and the other one answering."""
        resets = []
        again = now + REPEAT_SECONDS
        while now < until:
            now += 0.01
            effects = self.core.tick(now)
            if now >= again:
                again += REPEAT_SECONDS
                effects += self.repeat(now, resets)
            while effects:
                resets += samples.list_resets(effects)
                probes = [
                    each
                    for each in effects
                    if isinstance(each, affinity.Probe)
                ]
                effects = []
                for each in probes:
                    is_busy = each.upstream is self.busy
                    outcome = affinity.ProbeOutcome.ALIVE
                    if is_busy:
                        outcome = affinity.ProbeOutcome.SILENT
                    effects += self.core.handle_probe_result(
                        now, each.upstream.name, outcome, None, each.is_control
                    )
        return resets

    def test_its_flows_are_not_reset_while_its_queue_may_be_full(self):
        self.assertEqual([], self.run_until(1.0, 2.4))

    def test_its_flows_are_reset_after_a_longer_silence(self):
        resets = self.run_until(1.0, 3.5)
        self.assertEqual(self.REQUESTS, len(set(resets)))
