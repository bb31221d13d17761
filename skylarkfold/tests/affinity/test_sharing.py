"""Tests of refusing new flows that exceed their caller's share.

One caller opens far more flows than there are slots, others few. The tests
guard against refusing the others, refusing copies of first packets or open
flows, which may have run, and any effect where shares are not enforced.
"""

import testtools

from skylarkfold import affinity
from skylarkfold.affinity import _placement
from skylarkfold import shares
from skylarkfold.tests.affinity import samples

WORK_SECONDS = 0.05
HEAVY = '192.0.2.7'
LIGHT = '192.0.2.8'
SLOTS = 8


def build_flow(host, port):
    """Build the key of a caller's flow."""
    return affinity.pack_address(host, port) + samples.ADDRESS


def build_packet(host, port, is_first=True, copy=0, **fields):
    """Build a packet of a caller."""
    values = {'token': 0, 'sequence': 100, 'length': 0, **fields}
    flow = build_flow(host, port)
    return affinity.Packet(
        flow,
        values['token'],
        values['sequence'],
        copy,
        values['length'],
        is_first,
        False,
        b'data' + flow,
    )


class SharedCore:
    """A core that knows how long its requests take."""

    def __init__(self, settings=None, aim=0.0):
        route = affinity.Route(
            samples.ADDRESS, ((samples.SERVICE, 1),), aim_seconds=aim
        )
        upstreams = [
            samples.build_upstream(number, slots=2)
            for number in range(1, SLOTS // 2 + 1)
        ]
        self.token = upstreams[0].token
        self.core = samples.build_core(
            *upstreams, routes=affinity.RouteTable(1, [route])
        )
        self.core.shares.put(settings or shares.SharesSettings(True))
        state = next(iter(self.core.directory))
        for _ in range(32):
            self.core._admission.record(
                0.0, state, samples.ADDRESS, 0.0, WORK_SECONDS
            )
        self.now = 0.0
        self.port = 1000
        self.effects = []

    def run(self, seconds, rates):
        """Open flows and return each caller's share of forwarded ones."""
        forwarded = dict.fromkeys(rates, 0)
        opened = dict.fromkeys(rates, 0)
        for _ in range(round(seconds / 0.2)):
            arrivals = sorted(
                (self.now + 0.2 * number / (rate * 0.2), host)
                for host, rate in rates.items()
                for number in range(round(rate * 0.2))
            )
            for at, host in arrivals:
                self.port += 1
                self.core.note_confirmed(at)
                effects = self.core.handle_packet(
                    at, build_packet(host, self.port)
                )
                opened[host] += 1
                forwarded[host] += bool(samples.list_forwards(effects))
                self.effects += effects
            self.now += 0.2
            self.refresh()
        return {host: forwarded[host] / opened[host] for host in rates}

    def refresh(self):
        """Refresh the shares as the daemon does several times a second."""
        sharing = self.core.shares.sharing
        if sharing is not None:
            sharing.refresh(self.now, shares.FleetSize(0))

    def list_refused(self):
        """List the records of refusals."""
        return [
            each
            for each in self.effects
            if isinstance(each, affinity.RecordDecision)
            and each.reason == 'over-share'
        ]


class SharingTest(testtools.TestCase):
    # 160 requests a second fill the slots.
    RATES = {HEAVY: 640, LIGHT: 60}

    def test_the_heavy_caller_is_refused_and_others_are_not(self):
        case = SharedCore()
        case.run(1.0, self.RATES)
        forwarded = case.run(2.0, self.RATES)
        self.assertEqual(1.0, forwarded[LIGHT])
        # The rest of 0.95 of 160 after 60, as a share of 640.
        self.assertAlmostEqual(92 / 640, forwarded[HEAVY], delta=0.03)

    def test_a_refusal_records_its_figures(self):
        case = SharedCore()
        case.run(2.0, self.RATES)
        details = case.list_refused()[-1].details
        self.assertEqual(samples.SERVICE, details['service'])
        self.assertEqual(HEAVY, details['caller'])
        self.assertAlmostEqual(32.0, details['demand_slots'], delta=2.0)
        self.assertAlmostEqual(4.6, details['share_slots'], delta=0.4)
        self.assertAlmostEqual(7.6, details['room_slots'], delta=0.01)
        self.assertEqual(0, details['word_age_ms'])
        self.assertEqual(0, details['priority'])
        counted = case.core.tally.counters['reset.over-share']
        self.assertEqual(len(case.list_refused()), counted)

    def test_a_refused_flow_was_sent_to_no_upstream(self):
        case = SharedCore()
        case.run(2.0, self.RATES)
        refused = {each.flow for each in case.list_refused()}
        reset = set(samples.list_resets(case.effects))
        sent = {
            each.data[4:]
            for each in case.effects
            if isinstance(each, affinity.Forward)
        }
        self.assertTrue(refused)
        self.assertEqual(refused, reset)
        self.assertEqual(set(), refused & sent)

    def test_a_copy_is_not_refused(self):
        case = SharedCore()
        case.run(2.0, self.RATES)
        for port in range(100):
            packet = build_packet(HEAVY, port, copy=1)
            effects = case.core.handle_packet(case.now, packet)
            self.assertEqual([], samples.list_resets(effects))

    def test_open_flows_are_carried_on(self):
        case = SharedCore()
        case.run(2.0, self.RATES)
        for port in range(100):
            packet = build_packet(
                HEAVY, port, False, token=case.token, length=10
            )
            effects = case.core.handle_packet(case.now, packet)
            self.assertEqual(1, len(samples.list_forwards(effects)))

    def test_all_instances_draw_alike(self):
        case, other = SharedCore(), SharedCore()
        for each in (case, other):
            each.run(2.0, self.RATES)
        self.assertEqual(
            [each.flow for each in case.list_refused()],
            [each.flow for each in other.list_refused()],
        )

    def test_requests_on_open_flows_count_for_their_caller(self):
        case = SharedCore()
        core = case.core
        for step in range(200):
            now = step * 0.01
            packet = build_packet(
                HEAVY,
                1,
                False,
                token=case.token,
                sequence=100 + 20 * step,
                copy=500 + 10 * step,
                length=10,
            )
            core.handle_packet(now, packet)
        case.now = 2.0
        case.refresh()
        callers = core.shares.sharing.callers
        digest = shares.hash_service(samples.SERVICE)
        slots, rate = callers._counts.measure_services(2.0)[digest]
        self.assertAlmostEqual(100.0, rate, delta=5.0)

    def test_the_round_trip_to_the_caller_is_not_counted_as_work(self):
        case = SharedCore()
        sharing = case.core.shares.sharing
        for _ in range(16):
            sharing.record_open(samples.SERVICE, 0.02)
        seconds = sharing._estimate_work(samples.ADDRESS, samples.SERVICE)
        self.assertAlmostEqual(WORK_SECONDS - 0.02, seconds, delta=0.003)

    def test_where_nothing_was_answered_nothing_is_refused(self):
        case = SharedCore()
        case.core._admission._by_address.clear()
        case.core._admission._by_service.clear()
        forwarded = case.run(2.0, self.RATES)
        self.assertEqual({HEAVY: 1.0, LIGHT: 1.0}, forwarded)

    def test_where_all_fits_nothing_is_refused(self):
        case = SharedCore()
        rates = {HEAVY: 80, LIGHT: 40}
        self.assertEqual(1.0, min(case.run(3.0, rates).values()))

    def test_without_settings_nothing_is_counted_or_refused(self):
        for settings in (None, shares.SharesSettings()):
            case = SharedCore()
            case.core.shares.put(settings)
            self.assertIsNone(case.core.shares.sharing)
            forwarded = case.run(2.0, self.RATES)
            self.assertEqual(1.0, min(forwarded.values()))

    def test_other_weights_keep_what_was_counted(self):
        case = SharedCore()
        case.run(2.0, self.RATES)
        network = shares.Network.parse(HEAVY)
        caps = shares.NetworkTable([(network, 20.0)])
        settings = shares.SharesSettings(True, caps_per_second=caps)
        case.core.shares.put(settings)
        case.refresh()
        forwarded = case.run(1.0, self.RATES)
        self.assertEqual(1.0, forwarded[LIGHT])
        self.assertAlmostEqual(20 / 640, forwarded[HEAVY], delta=0.02)

    def test_the_draw_is_independent_of_that_of_admission(self):
        over = shares.OverShare(2.0, 1.0, 1.0, 0.5, 0.0)
        late = []
        for port in range(2000):
            flow_hash = _placement.hash_flow(build_flow(LIGHT, port))
            if not over.refuses(flow_hash):
                late.append((flow_hash >> 32) % (1 << 16) < 1 << 15)
        self.assertAlmostEqual(0.5, sum(late) / len(late), delta=0.05)
