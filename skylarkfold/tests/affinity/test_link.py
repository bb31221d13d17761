"""Tests of first packets that are held for room on the instance's own link.

Uploads saturate one small link. The tests guard against opening an admitted
flow twice, refusing without a reason or after a request may have run, delaying
preferred or open flows, and any effect on links that are wide or of unknown
rate.
"""

import testtools

from skylarkfold import affinity
from skylarkfold import room as rooms
from skylarkfold.tests.affinity import samples

SMALL = 625_000.0
UPLOAD_BYTES = 40_000
AIM_SECONDS = 1.345
WAIT_SECONDS = 0.4 * AIM_SECONDS


def build_routes(*addresses, version=2, priority=2):
    """Build routes of live requests and uploads."""
    shares = ((samples.SERVICE, 1),)
    return affinity.RouteTable(
        version,
        [
            affinity.Route(
                address, shares, True, priority, aim_seconds=AIM_SECONDS
            )
            for address in addresses or (samples.ADDRESS,)
        ],
    )


def build_core(bytes_per_second=SMALL, routes=None, **fields):
    """Build a core with its own link."""
    room = rooms.InstanceHeadroom(
        rooms.RoomSettings(**fields), bytes_per_second
    )
    core = affinity.AffinityCore(
        samples.ZONE, affinity.AffinitySettings(), room
    )
    core.set_routes(0.0, routes or build_routes())
    core.set_upstreams(0.0, [samples.build_upstream(1, slots=99)])
    core.note_confirmed(0.0)
    return core


def upload(core, now, port, size=UPLOAD_BYTES):
    """Send an upload on an open flow, until its answer."""
    for sent in range(0, size, 1200):
        length = min(1200, size - sent)
        packet = samples.build_packet(port, 1, 101 + sent, 501, length)
        core.handle_packet(now, packet)
    answered = samples.build_packet(port, 1, 101 + size, 901)
    core.handle_packet(now, answered)


def run_uploads(core, count=3):
    """Run some uploads, from which their size is learnt."""
    for port in range(1, 1 + count):
        core.handle_packet(port * 1.0, samples.build_first(port))
        upload(core, port * 1.0, port)
    core.tick(5.0)
    core.note_confirmed(5.0)


def send_burst(core, now, count, first=1000):
    """Send first packets at once.

    :returns: the ports that were forwarded, held and refused.
    """
    sent, held, refused = [], [], []
    for port in range(first, first + count):
        effects = core.handle_packet(now, samples.build_first(port))
        if samples.list_forwards(effects):
            sent.append(port)
        elif samples.list_resets(effects):
            refused.append(port)
        else:
            held.append(port)
    return sent, held, refused


class LinkTest(testtools.TestCase):
    def test_a_burst_is_admitted_held_and_refused_in_turn(self):
        core = build_core()
        run_uploads(core)
        sent, held, refused = send_burst(core, 5.0, 40)
        self.assertEqual(
            list(range(1000, 1040)), sorted(sent + held + refused)
        )
        self.assertTrue(sent and held and refused)
        self.assertLess(max(sent), min(held))
        self.assertLess(max(held), min(refused))
        counters = core.tally.counters
        self.assertEqual(len(held), counters['hold.link-full'])
        self.assertEqual(len(refused), counters['reset.link-full'])

    def test_a_refusal_records_its_figures(self):
        core = build_core()
        run_uploads(core)
        send_burst(core, 5.0, 39)
        effects = core.handle_packet(5.0, samples.build_first(2000))
        (record,) = (
            each
            for each in effects
            if isinstance(each, affinity.RecordDecision)
        )
        self.assertEqual('link-full', record.reason)
        details = record.details
        self.assertEqual(int(WAIT_SECONDS * 1000), details['limit_ms'])
        self.assertGreater(details['wait_ms'], details['limit_ms'])
        self.assertGreater(details['bytes'], 0)
        self.assertGreater(details['waiting'], 0)
        self.assertIn('link_share', details)

    def test_a_held_packet_records_its_expected_wait(self):
        core = build_core()
        run_uploads(core)
        _, held, _ = send_burst(core, 5.0, 2)
        effects = core.handle_packet(5.0, samples.build_first(2000))
        (record,) = effects
        self.assertEqual(('hold', 'link-full'), (record.kind, record.reason))
        self.assertEqual(len(held), record.details['waiting'])
        self.assertGreater(record.details['wait_ms'], 0)

    def test_held_packets_are_released_as_transfers_end(self):
        core = build_core()
        run_uploads(core)
        sent, held, _ = send_burst(core, 5.0, 40)
        for port in sent:
            upload(core, 5.0, port)
        effects, now = [], 5.0
        while core.link.list_gauges()['transfers_waiting']:
            due = core.find_due(now)
            now = max(now + 0.001, min(due, now + 0.05))
            new = core.tick(now)
            effects += new
            for each in new:
                if isinstance(each, affinity.Forward):
                    port = int.from_bytes(each.data[9:11], 'big')
                    upload(core, now, port)
            self.assertLess(now, 5.0 + WAIT_SECONDS + 0.1)
        opened = samples.list_forwards(effects)
        resets = samples.list_resets(effects)
        self.assertEqual(len(held), len(opened) + len(resets))
        # The estimate was right for almost all.
        self.assertLessEqual(len(resets), 1)
        waits = core.tally.histograms['link_wait_seconds']
        self.assertEqual(len(held), waits.count)

    def test_a_held_packet_that_expires_is_refused(self):
        core = build_core()
        run_uploads(core)
        _, held, _ = send_burst(core, 5.0, 40)
        # Admitted transfers never end and keep the link busy.
        core.link._bulk_admission.transfers.debt.adjust(1e9)
        effects = core.tick(5.0 + WAIT_SECONDS + 0.001)
        flows = [samples.build_flow(port) for port in held]
        self.assertEqual(flows, samples.list_resets(effects))

    def test_copies_of_a_held_packet_change_nothing(self):
        core = build_core()
        run_uploads(core)
        _, held, _ = send_burst(core, 5.0, 40)
        before = core.link.list_gauges()
        copy = samples.build_first(held[0], copy=1)
        effects = core.handle_packet(5.001, copy)
        self.assertEqual([], samples.list_forwards(effects))
        self.assertEqual([], samples.list_resets(effects))
        self.assertEqual(before, core.link.list_gauges())

    def test_a_copy_that_is_new_here_is_never_refused(self):
        # Another instance may have placed it, and it may be open.
        core = build_core()
        run_uploads(core)
        send_burst(core, 5.0, 40)
        effects = []
        for port in range(2000, 2020):
            copy = samples.build_first(port, copy=1)
            effects += core.handle_packet(5.0, copy)
        effects += core.tick(5.0 + WAIT_SECONDS)
        resets = samples.list_resets(effects)
        copies = {samples.build_flow(port) for port in range(2000, 2020)}
        self.assertEqual(set(), copies & set(resets))
        self.assertGreater(core.tally.counters['drop.link-full'], 0)

    def test_open_flows_are_carried_on(self):
        core = build_core()
        run_uploads(core)
        send_burst(core, 5.0, 40)
        for sent in range(0, 100 * 1200, 1200):
            packet = samples.build_packet(1, 1, 101 + sent, 901, 1200)
            effects = core.handle_packet(5.0, packet)
            self.assertEqual(1, len(samples.list_forwards(effects)))

    def test_preferred_routes_are_never_held(self):
        last = affinity.Route(
            samples.OTHER_ADDRESS, ((samples.SERVICE, 1),), True, 2
        )
        first = affinity.Route(
            samples.ADDRESS, ((samples.SERVICE, 1),), True, 1
        )
        core = build_core(routes=affinity.RouteTable(1, [first, last]))
        run_uploads(core)
        sent, held, refused = send_burst(core, 5.0, 40)
        self.assertEqual(40, len(sent))

    def test_small_requests_are_never_held(self):
        core = build_core()
        for port in range(1, 20):
            core.handle_packet(0.0, samples.build_first(port))
            upload(core, 0.0, port, 900)
        sent, held, refused = send_burst(core, 1.0, 200)
        self.assertEqual(200, len(sent))

    def test_without_a_known_rate_nothing_is_held(self):
        for fields in ({'bytes_per_second': 0.0}, {'bulk_share': 0.0}):
            core = build_core(**fields)
            self.assertIsNone(core.link)
            self.assertNotIn('link_wait_seconds', core.tally.histograms)
            run_uploads(core)
            self.assertEqual(40, len(send_burst(core, 5.0, 40)[0]))

    def test_removing_a_route_refuses_its_held_packets(self):
        core = build_core()
        run_uploads(core)
        _, held, _ = send_burst(core, 5.0, 40)
        other = build_routes(samples.OTHER_ADDRESS, version=3)
        core.set_routes(5.1, other)
        core.note_confirmed(5.1)
        effects = []
        for step in range(60):
            effects += core.tick(5.1 + step * 0.01)
        self.assertEqual([], samples.list_forwards(effects))
        flows = [samples.build_flow(port) for port in held]
        self.assertEqual(flows, samples.list_resets(effects))

    def test_opened_flows_reduce_the_estimated_loss(self):
        core = build_core()
        for _ in range(5):
            core.room.record_probe(0.0, False)
        before = core.room.compute_loss_share(0.0)
        core.handle_packet(0.0, samples.build_first(1))
        core.handle_packet(0.0, samples.build_packet(1, 1))
        self.assertLess(core.room.compute_loss_share(0.0), before)

    def test_held_packets_have_a_deadline(self):
        core = build_core()
        run_uploads(core)
        _, held, _ = send_burst(core, 5.0, 40)
        self.assertIsNotNone(core.link.find_due(5.0))
        self.assertLessEqual(core.find_due(5.0), 5.0 + WAIT_SECONDS)
