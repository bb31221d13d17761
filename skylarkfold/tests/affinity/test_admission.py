"""Tests of refusing new flows whose answer would come too late."""

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import affinity
from skylarkfold.affinity import _admission
from skylarkfold.affinity import _placement
from skylarkfold.affinity import _request_time
from skylarkfold.affinity import _upstream_state
from skylarkfold.tests.affinity import samples

AIM_SECONDS = 0.12
WORK_SECONDS = 0.022
FLOWS = 400


def build_routes(**fields):
    """Build an ordinary route and a preferred one."""
    fields.setdefault('aim_seconds', AIM_SECONDS)
    routes = [
        affinity.Route(address, ((samples.SERVICE, 1),), priority=priority)
        for address, priority in (
            (samples.ADDRESS, 1),
            (samples.OTHER_ADDRESS, 0),
        )
    ]
    for each in routes:
        each.aim_seconds = fields['aim_seconds']
    return affinity.RouteTable(1, routes)


def build_state(waiting, slots=2):
    """Build an upstream with some requests in flight."""
    upstream = samples.build_upstream(1, slots=slots)
    state = _upstream_state.UpstreamState(upstream, 0.0)
    state.change_busy(0.0, waiting)
    return state


def build_admission(answers=32, seconds=WORK_SECONDS):
    """Build an admission that has seen requests that did not wait."""
    admission = _admission.Admission(affinity.AffinitySettings())
    idle = build_state(0)
    for _ in range(answers):
        admission.record(0.0, idle, samples.ADDRESS, 0.0, seconds)
    return admission


def estimate_work(admission):
    """Estimate the time of a request that does not wait."""
    route = build_routes().get(samples.ADDRESS)
    return admission.estimate(0.0, route, build_state(0)).seconds


def count_refused(admission, state, address=samples.ADDRESS, **fields):
    """Count how many of the new flows would be refused."""
    route = build_routes(**fields).get(address)
    expected = admission.estimate(0.0, route, state)
    return sum(
        admission.is_refused(
            route,
            expected,
            _placement.hash_flow(samples.build_flow(port, address)),
        )
        for port in range(1000, 1000 + FLOWS)
    )


class AdmissionTest(testtools.TestCase):
    def test_where_a_slot_is_free_nothing_is_refused(self):
        refused = count_refused(build_admission(), build_state(1))
        self.assertEqual(0, refused)

    def test_a_queue_that_passes_in_time_refuses_nothing(self):
        # Four requests ahead: answered after 55 of 120 ms.
        refused = count_refused(build_admission(), build_state(4))
        self.assertEqual(0, refused)

    def test_a_queue_that_takes_most_of_the_aim_refuses_every_new_flow(self):
        refused = count_refused(build_admission(), build_state(8))
        self.assertEqual(FLOWS, refused)

    def test_a_queue_in_between_refuses_a_part(self):
        refused = count_refused(build_admission(), build_state(5.5))
        self.assertTrue(FLOWS * 0.3 < refused < FLOWS * 0.7, refused)

    def test_more_slots_take_more(self):
        refused = count_refused(build_admission(), build_state(8, slots=4))
        self.assertEqual(0, refused)

    def test_an_upstream_that_warms_up_takes_less(self):
        state = build_state(4)
        state.warming_until = 1.0
        refused = count_refused(build_admission(), state)
        self.assertEqual(FLOWS, refused)

    def test_preferred_routes_are_refused_last(self):
        admission = build_admission()
        state = build_state(8)
        address = samples.OTHER_ADDRESS
        self.assertEqual(0, count_refused(admission, state, address))
        full = build_state(12)
        self.assertEqual(FLOWS, count_refused(admission, full, address))

    def test_without_an_aim_nothing_is_refused(self):
        refused = count_refused(
            build_admission(), build_state(50), aim_seconds=0.0
        )
        self.assertEqual(0, refused)

    def test_where_nothing_was_answered_nothing_is_refused(self):
        refused = count_refused(build_admission(0), build_state(50))
        self.assertEqual(0, refused)

    def test_answers_that_waited_do_not_lengthen_the_estimate(self):
        admission = build_admission()
        crowded = build_state(9)
        for _ in range(100):
            admission.record(
                0.0, crowded, samples.ADDRESS, 9.0, 5 * WORK_SECONDS
            )
        self.assertAlmostEqual(
            WORK_SECONDS,
            estimate_work(admission),
            delta=WORK_SECONDS / 10,
        )

    def test_rejected_requests_do_not_shorten_the_estimate(self):
        # Otherwise an overloaded upstream would seem to be fast.
        admission = build_admission()
        full = build_state(10)
        for _ in range(100):
            admission.record(0.0, full, samples.ADDRESS, 10.0, 0.002)
        estimate = estimate_work(admission)
        self.assertAlmostEqual(WORK_SECONDS, estimate, delta=WORK_SECONDS / 10)

    def test_long_requests_are_refused_before_short_ones(self):
        admission = build_admission()
        idle = build_state(0)
        for number in range(200):
            admission.record(0.0, idle, samples.ADDRESS, 0.0, 0.008)
            if number % 4 == 0:
                admission.record(0.0, idle, samples.OTHER_ADDRESS, 0.0, 0.08)
        table = affinity.RouteTable(
            1,
            [
                affinity.Route(address, ((samples.SERVICE, 1),), aim_seconds=s)
                for address, s in (
                    (samples.ADDRESS, 0.12),
                    (samples.OTHER_ADDRESS, 0.4),
                )
            ],
        )

        def count(address, waiting):
            route = table.get(address)
            state = build_state(waiting)
            expected = admission.estimate(0.0, route, state)
            return sum(
                admission.is_refused(
                    route,
                    expected,
                    _placement.hash_flow(samples.build_flow(port, address)),
                )
                for port in range(FLOWS)
            )

        # If a slot is free, the long request is not refused either.
        self.assertEqual(0, count(samples.OTHER_ADDRESS, 1))
        self.assertEqual(0, count(samples.ADDRESS, 11))
        self.assertGreater(count(samples.OTHER_ADDRESS, 11), FLOWS / 4)

    def test_a_refusal_records_its_figures(self):
        core = samples.build_core(
            samples.build_upstream(1), routes=build_routes()
        )
        for port in range(20):
            now = port * 1.0
            core.handle_packet(now, samples.build_first(port))
            request = samples.build_packet(port, 1, 101, 501, 100)
            core.handle_packet(now, request)
            answer = samples.build_packet(port, 1, 201, 2501)
            core.handle_packet(now + WORK_SECONDS, answer)
        core.note_confirmed(20.0)
        effects = []
        for port in range(100, 130):
            effects += core.handle_packet(20.0, samples.build_first(port))
        self.assertEqual(
            30,
            len(samples.list_forwards(effects))
            + len(samples.list_resets(effects)),
        )
        crowded = [
            each
            for each in effects
            if isinstance(each, affinity.RecordDecision)
            and each.reason == 'crowded'
        ]
        self.assertTrue(crowded)
        details = crowded[-1].details
        self.assertEqual(samples.SERVICE, details['service'])
        self.assertEqual('i-0000000001', details['upstream'])
        self.assertEqual(120, details['aim_ms'])
        self.assertGreater(details['estimate_ms'], 60)
        self.assertGreater(details['wait_ms'], 40)
        self.assertGreater(details['waiting'], 4)
        self.assertEqual(1, details['priority'])
        waits = core.tally.histograms['wait_seconds']
        self.assertEqual(50, waits.count)

    def test_a_copy_is_not_refused(self):
        # Another instance may have placed the flow, and it may be open.
        core = samples.build_core(
            samples.build_upstream(1), routes=build_routes()
        )
        core._admission = build_admission()
        next(iter(core.directory)).change_busy(0.0, 50)
        first = core.handle_packet(0.0, samples.build_first(1))
        self.assertEqual(1, len(samples.list_resets(first)))
        copy = core.handle_packet(0.0, samples.build_first(2, copy=1))
        self.assertEqual([], samples.list_resets(copy))
        self.assertEqual(1, len(samples.list_forwards(copy)))

    def test_open_flows_are_carried_on(self):
        core = samples.build_core(
            samples.build_upstream(1), routes=build_routes()
        )
        core._admission = build_admission()
        next(iter(core.directory)).change_busy(0.0, 50)
        for port in range(1, 33):
            packet = samples.build_packet(port, 1, 201, 2501, 10)
            effects = core.handle_packet(0.0, packet)
            self.assertEqual(1, len(samples.list_forwards(effects)))

    @hypothesis.given(
        waiting=strategies.floats(0, 100),
        limits=strategies.tuples(
            strategies.floats(0, 2),
            strategies.floats(0, 2),
            strategies.floats(0, 2),
            strategies.floats(0, 2),
        ),
        seconds=strategies.floats(0, 5),
    )
    def test_any_limits_give_an_answer(self, waiting, limits, seconds):
        names = 'crowd_share crowd_limit preferred_share preferred_limit'
        settings = affinity.AffinitySettings(
            **dict(zip(names.split(), limits))
        )
        admission = _admission.Admission(settings)
        state = build_state(waiting)
        admission.record(0.0, state, samples.ADDRESS, waiting, seconds)
        for address in (samples.ADDRESS, samples.OTHER_ADDRESS):
            count_refused(admission, state, address)

    @hypothesis.given(waiting=strategies.floats(0, 40))
    def test_the_longer_the_queue_the_more_are_refused(self, waiting):
        admission = build_admission()
        less, more = (
            count_refused(admission, build_state(each))
            for each in (waiting, waiting + 1)
        )
        self.assertLessEqual(less, more)


class RequestTimeTest(testtools.TestCase):
    def test_the_first_value_is_the_estimate(self):
        time = _request_time.RequestTime()
        time.record(0.02)
        self.assertEqual(0.02, time.seconds)

    def test_a_wrong_first_value_is_corrected(self):
        time = _request_time.RequestTime()
        for seconds in [0.5] + [0.02] * 200:
            time.record(seconds)
        self.assertAlmostEqual(0.02, time.seconds, delta=0.002)

    @hypothesis.given(
        strays=strategies.lists(strategies.floats(0, 10), max_size=30)
    )
    def test_a_few_outliers_change_it_little(self, strays):
        time = _request_time.RequestTime()
        for index in range(200):
            time.record(0.02)
            if index % 7 == 6 and index // 7 < len(strays):
                time.record(strays[index // 7])
        self.assertAlmostEqual(0.02, time.seconds, delta=0.004)
