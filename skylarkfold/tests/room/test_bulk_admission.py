"""Tests of bulk admission: uploads that overload an instance's own link.

Callers of uploads don't slow down on a full link and would delay all traffic
behind them. Target response times: 453 ms for live requests, of which the
link may take 100; 1,345 ms for uploads, of which admission may take 40%.
Refusals must come quickly, and neither kind may starve the other.
"""

import random

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import room as rooms
from skylarkfold.tests.room import link

# 5 and 100 Mbit/s.
SMALL = 625_000.0
LARGE = 12_500_000.0
MEAN_BYTES = 40_000
MOST_BYTES = 240_000
SIGMA = 0.7
AIM_SECONDS = 1.345
LIVE_DELAY_SECONDS = 0.1
WAIT_SECONDS = 0.4 * AIM_SECONDS
SECONDS = 10.0
# A live packet each 10 ms: 6% of the small link.
LIVE_EVERY = 0.01


def draw_bytes(source):
    """Draw the size of an upload."""
    size = source.lognormvariate(0, SIGMA) * MEAN_BYTES * 0.783
    return max(1, min(MOST_BYTES, int(size)))


def simulate(rate, per_second, seed=1, live_every=LIVE_EVERY, **fields):
    """Simulate uploads at random times beside live packets."""
    source = random.Random(seed)
    simulation = link.LinkSimulation(rate, **fields)
    simulation.schedule(0.0, simulation.send_live, live_every, SECONDS)
    simulation.schedule(0.0, simulation.tick, SECONDS)
    now = 0.0
    simulation.offered = 0
    while now < SECONDS:
        simulation.offered += 1
        number = 100 + simulation.offered
        simulation.schedule(
            now, simulation.start_upload, number, draw_bytes(source)
        )
        now += source.expovariate(per_second)
    simulation.run(SECONDS)
    return simulation


def compute_goodput(simulation):
    """Compute the share of the link that finished uploads took."""
    return (
        sum(size for _, size, _ in simulation.finished)
        / SECONDS
        / simulation.rate
    )


class OverloadTest(testtools.TestCase):
    def test_without_admission_live_packets_are_late(self):
        # Control: shows that the load of the other tests overloads the link.
        simulation = simulate(SMALL, 25, has_admission=False)
        delays = sorted(simulation.delays)
        self.assertGreater(delays[len(delays) // 2], 0.453)

    def test_live_packets_are_on_time_and_the_link_is_used(self):
        for per_second in (16, 25, 64):
            for seed in (1, 2, 3):
                simulation = simulate(SMALL, per_second, seed)
                self.assertLess(max(simulation.delays), LIVE_DELAY_SECONDS)
                self.assertGreater(compute_goodput(simulation), 0.6)

    def test_admitted_uploads_meet_their_target_time(self):
        simulation = simulate(SMALL, 25)
        seconds = sorted(each for _, _, each in simulation.finished)
        late = sum(each > AIM_SECONDS for each in seconds)
        self.assertLess(late / len(seconds), 0.02)

    def test_bytes_in_flight_stay_below_the_limit(self):
        settings = rooms.RoomSettings()
        simulation = simulate(SMALL, 25)
        bound = settings.queue_seconds * SMALL
        self.assertLessEqual(simulation.max_bytes_in_flight, bound)

    def test_most_refusals_come_at_once(self):
        simulation = simulate(SMALL, 25)
        waits = [each for _, each in simulation.refused]
        self.assertGreater(len(waits), 50)
        at_once = sum(each < LIVE_DELAY_SECONDS for each in waits)
        self.assertGreater(at_once / len(waits), 0.8)
        # The wait itself, the transit time and one tick.
        most = WAIT_SECONDS + LIVE_DELAY_SECONDS + 0.01
        self.assertLess(max(waits), most)

    def test_each_upload_ends_once(self):
        simulation = simulate(SMALL, 25)
        finished = {number for number, _, _ in simulation.finished}
        refused = [number for number, _ in simulation.refused]
        self.assertEqual(len(refused), len(set(refused)))
        self.assertEqual(set(), finished & set(refused))
        ended = len(finished) + len(refused)
        self.assertLess(simulation.offered - ended, 20)

    def test_a_link_with_headroom_refuses_nothing(self):
        for rate, per_second in ((SMALL, 4), (LARGE, 16)):
            simulation = simulate(rate, per_second)
            self.assertEqual([], simulation.refused)

    def test_on_a_wide_link_uploads_are_not_bulk(self):
        simulation = simulate(LARGE, 16)
        self.assertEqual(0, simulation.max_bytes_in_flight)

    def test_overload_of_a_wide_link(self):
        settings = rooms.RoomSettings(bulk_seconds=0.001)
        simulation = simulate(LARGE, 320, settings=settings)
        self.assertLess(max(simulation.delays), LIVE_DELAY_SECONDS)
        self.assertGreater(compute_goodput(simulation), 0.6)

    def test_the_first_uploads_after_a_restart(self):
        # Until the size of a route is known, all are admitted: those that
        # arrive within the time of one upload.
        simulation = simulate(SMALL, 64)
        early = simulation.delays[: int(1.0 / LIVE_EVERY)]
        self.assertLess(max(early), LIVE_DELAY_SECONDS)


class StarvationTest(testtools.TestCase):
    def test_live_packets_go_first(self):
        # 360 bytes per millisecond are 58% of the link, which counts as full
        # at 80%.
        simulation = simulate(SMALL, 16, live_every=0.001)
        delays = sorted(simulation.delays)
        self.assertLess(delays[int(0.9 * len(delays))], LIVE_DELAY_SECONDS)

    def test_bulk_gets_its_least_share_under_live_load(self):
        simulation = simulate(SMALL, 16, live_every=0.0006)
        least = rooms.RoomSettings().bulk_least_share
        admitted_share = sum(simulation.admitted_sizes) / SECONDS / SMALL
        self.assertGreater(admitted_share, 0.8 * least)

    def test_bulk_gets_no_more_under_live_load(self):
        # Live packets fill 82% of the link; beside the least share of bulk
        # they still fit, so their queue must not grow.
        simulation = simulate(SMALL, 25, live_every=0.0007)
        last = simulation.delays[-len(simulation.delays) // 4 :]
        self.assertLess(max(last), 0.453)


class BulkAdmissionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.settings = rooms.RoomSettings()
        self.room = rooms.InstanceHeadroom(self.settings, SMALL)
        self.gate = rooms.BulkAdmission(self.settings, self.room)

    def bring(self, number, now=0.0, size=MEAN_BYTES, address=link.BULK):
        """Pass the packets of an upload, from the first one to its answer."""
        sequence = 0
        while sequence < size:
            length = min(1200, size - sequence)
            packet = link.Packet(number, length, sequence, address=address)
            self.gate.handle_packet(now, packet, packet.address, sequence == 0)
            sequence += length
        answered = link.Packet(number, acknowledged=9, address=address)
        self.gate.handle_packet(now, answered, answered.address, False)

    def make_route_bulk(self, size=MEAN_BYTES):
        for number in range(3):
            self.bring(number, 0.0, size)
        # By then the debt of these uploads is paid down.
        self.assertIsNone(self.decide(9, 0.0 + 2.0))

    def decide(self, number, now, copies=0, aim=AIM_SECONDS):
        packet = link.Packet(number, acknowledged=copies)
        return self.gate.decide(now, packet, aim)

    def begin(self, number, now):
        self.gate.begin(now, link.Packet(number))

    def admit_until_full(self, now):
        """Admit flows until one has to wait; return its number."""
        number = 100
        while self.decide(number, now) is None:
            self.begin(number, now)
            number += 1
        return number

    def test_small_requests_never_wait(self):
        for number in range(3):
            self.bring(number, 0.0, 300)
        for number in range(1000):
            self.assertIsNone(self.decide(10 + number, 0.0))
            self.begin(10 + number, 0.0)
        self.assertEqual(0, self.gate.transfers.on_way)

    def test_many_small_requests_on_one_flow_are_not_bulk(self):
        for number in range(1000):
            now = number * 1.0
            request = link.Packet(1, 300, number * 300, acknowledged=number)
            self.gate.handle_packet(now, request, request.address, True)
        self.assertIsNone(self.decide(2, 1000.0))
        self.assertIsNone(self.gate.transfers.find_bulk(link.BULK))

    def test_one_large_request_does_not_make_a_route_bulk(self):
        self.bring(1, 0.0, MEAN_BYTES)
        for number in range(2, 200):
            self.bring(number, number * 1.0, 300)
        self.assertIsNone(self.gate.transfers.find_bulk(link.BULK))

    def test_a_retransmission_is_queued_once(self):
        self.make_route_bulk()
        number = self.admit_until_full(2.0)
        self.assertEqual(1, self.gate.waiting_count)
        again = self.decide(number, 2.2, copies=1)
        self.assertEqual('repeated', again.outcome)
        self.assertEqual(1, self.gate.waiting_count)

    def test_a_retransmission_has_a_shorter_wait_limit(self):
        self.make_route_bulk()
        self.admit_until_full(2.0)
        self.gate.pop_late(9.0)
        limits = [
            self.decide(500 + copies, 2.0, copies).limit_seconds
            for copies in (0, 1)
        ]
        self.assertAlmostEqual(WAIT_SECONDS, limits[0])
        self.assertAlmostEqual(WAIT_SECONDS - 0.2, limits[1])

    def test_a_flow_opened_elsewhere_leaves_the_queue(self):
        self.make_route_bulk()
        number = self.admit_until_full(2.0)
        self.assertEqual(1, self.gate.waiting_count)
        packet = link.Packet(number, 1200, 5)
        self.gate.handle_packet(2.1, packet, packet.address, False)
        self.assertEqual(0, self.gate.waiting_count)
        self.assertFalse(self.gate.is_waiting(packet.flow))

    def test_admission_keeps_the_order_of_arrival(self):
        self.make_route_bulk()
        number = self.admit_until_full(2.0)
        came = [number] + [
            each
            for each in range(number + 1, number + 4)
            if self.decide(each, 2.0 + each / 1000).outcome == 'waits'
        ]
        self.assertGreater(len(came), 1)
        let_in = []
        now = 2.0
        while self.gate.waiting_count and now < 9.0:
            now += 0.01
            while (waiter := self.gate.pop_ready(now)) is not None:
                let_in.append(waiter.packet.flow)
                self.gate.begin(now, waiter.packet)
        flows = [link.Packet(each).flow for each in came]
        self.assertEqual(flows, let_in)

    def test_a_stopped_transfer_frees_its_bytes(self):
        self.make_route_bulk()
        last = self.admit_until_full(2.0)
        for number in range(100, last):
            # One data packet arrives, then nothing more.
            packet = link.Packet(number, 1200, 0, acknowledged=7)
            self.gate.handle_packet(2.0, packet, packet.address, True)
        self.assertGreater(self.gate.transfers.on_way, 0)
        self.gate.pop_ready(2.2)
        self.assertEqual(0, self.gate.transfers.on_way)
        self.gate.pop_ready(3.1)
        self.assertEqual(0, len(self.gate.transfers))

    def test_a_transfer_that_never_opens_frees_its_bytes(self):
        self.make_route_bulk()
        self.admit_until_full(2.0)
        self.gate.pop_late(9.0)
        self.gate.pop_ready(2.9)
        self.assertGreater(self.gate.transfers.on_way, 0)
        self.gate.pop_ready(3.1)
        self.assertEqual(0, self.gate.transfers.on_way)

    def test_find_due_leads_to_the_next_admission(self):
        self.make_route_bulk()
        self.assertIsNone(self.gate.find_due(2.0))
        self.admit_until_full(2.0)
        now, steps = 2.0, 0
        while self.gate.waiting_count:
            due = self.gate.find_due(now)
            self.assertGreaterEqual(due, now)
            now, steps = max(due, now + 0.001), steps + 1
            if self.gate.pop_ready(now) is None:
                self.gate.pop_late(now)
            self.assertLess(steps, 100)
        self.assertLessEqual(now, 2.0 + WAIT_SECONDS + 0.01)

    def test_the_queue_is_bounded(self):
        self.settings.wait_limit = 2
        self.settings.wait_share = 100.0
        self.settings.wait_seconds = 100.0
        self.make_route_bulk()
        first = self.admit_until_full(2.0)
        outcomes = [self.decide(first + each, 2.0) for each in (1, 2)]
        self.assertEqual(
            ['waits', 'refused'], [each.outcome for each in outcomes]
        )

    def test_a_removed_route_is_dropped(self):
        self.make_route_bulk()
        self.assertIsNotNone(self.gate.transfers.find_bulk(link.BULK))
        self.gate.keep_routes({link.LIVE})
        self.assertIsNone(self.gate.transfers.find_bulk(link.BULK))

    def test_an_upload_larger_than_the_queue_is_admitted_alone(self):
        self.make_route_bulk(MOST_BYTES * 4)
        self.begin(9, 2.0)
        self.assertIsNotNone(self.decide(10, 2.0))
        self.gate.pop_late(9.0)
        self.assertIsNone(self.decide(11, 9.0))

    @hypothesis.given(
        shares=strategies.tuples(
            *[strategies.sampled_from((0.0, 1e-6, 0.3, 1.0, 1e6))] * 6
        ),
        window=strategies.sampled_from((0, 1, 19200, 10**8)),
        limit=strategies.sampled_from((0, 1, 64)),
        used=strategies.floats(0, 4),
    )
    def test_any_settings_give_an_answer(self, shares, window, limit, used):
        names = (
            'bulk_least_share bulk_seconds bulk_share queue_seconds'
            ' wait_share wait_seconds'
        )
        settings = rooms.RoomSettings(
            window_bytes=window,
            wait_limit=limit,
            **dict(zip(names.split(), shares, strict=True)),
        )
        self.room = rooms.InstanceHeadroom(settings, SMALL)
        self.gate = rooms.BulkAdmission(settings, self.room)
        self.room.record_traffic(0.0, int(used * SMALL), 0)
        for number in range(3):
            self.bring(number)
        for number in range(10, 20):
            verdict = self.decide(number, 0.0, number % 3, number % 2)
            if verdict is None:
                self.begin(number, 0.0)
            elif verdict.outcome == verdict.WAITS:
                self.assertIsNotNone(self.gate.find_due(0.0))
        while self.gate.pop_late(1e12) is not None:
            pass
        self.assertEqual(0, self.gate.waiting_count)
