"""Tests of refusing new flows of crowded services."""

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import affinity
from skylarkfold.affinity import _admission
from skylarkfold.tests.affinity import samples

AIM_SECONDS = 0.25
FLOWS = 400


def build_core(answer_seconds, answers=32, wait_seconds=1.0, **fields):
    """Build a core that has seen answers of a service."""
    fields.setdefault('aim_seconds', AIM_SECONDS)
    upstreams = [samples.build_upstream(number) for number in (1, 2, 3)]
    routes = samples.build_routes(**fields)
    core = samples.build_core(*upstreams, routes=routes)
    now = 1.0
    tokens = {}
    for port in range(1, answers + 1):
        (name,) = samples.list_forwards(
            core.take_packet(now, samples.build_first(port))
        )
        tokens[port] = int(name[2:], 16)
    for port, token in tokens.items():
        request = samples.build_packet(port, token, 101, 501, 100)
        core.take_packet(now, request)
        answered = samples.build_packet(port, token, 201, 2501)
        core.take_packet(now + answer_seconds, answered)
    now += answer_seconds + wait_seconds
    core.note_confirmed(now)
    return core, now


def count_refused(core, now):
    """Count how many of new flows are refused."""
    refused = 0
    for port in range(1000, 1000 + FLOWS):
        effects = core.take_packet(now, samples.build_first(port))
        refused += len(samples.list_resets(effects))
    return refused


class AdmissionTest(testtools.TestCase):
    def test_a_service_that_answers_well_refuses_nothing(self):
        self.assertEqual(0, count_refused(*build_core(0.3 * AIM_SECONDS)))

    def test_one_that_answers_too_late_refuses_every_new_flow(self):
        self.assertEqual(FLOWS, count_refused(*build_core(AIM_SECONDS)))

    def test_in_between_it_refuses_a_part(self):
        refused = count_refused(*build_core(0.57 * AIM_SECONDS))
        self.assertTrue(FLOWS * 0.4 < refused < FLOWS * 0.6, refused)

    def test_a_rush_is_no_crowd(self):
        core, now = build_core(2 * AIM_SECONDS, wait_seconds=0.1)
        self.assertEqual(0, count_refused(core, now))

    def test_a_crowd_that_comes_and_goes_stays_one(self):
        admission = _admission.Admission(affinity.AffinitySettings())
        for step in range(20):
            for _ in range(16):
                admission.note(step * 0.1, 's', 0.9 if step % 2 else 0.1)
        for hashed in (0, 1 << 40, 3 << 45):
            refused = admission.is_refused(
                1.9, 's', samples.build_routes().get(samples.ADDRESS), hashed
            )
            self.assertTrue(refused)

    def test_without_an_aim_nothing_is_refused(self):
        core, now = build_core(9 * AIM_SECONDS, aim_seconds=0.0)
        self.assertEqual(0, count_refused(core, now))

    def test_few_answers_tell_nothing(self):
        core, now = build_core(2 * AIM_SECONDS, answers=4)
        self.assertEqual(0, count_refused(core, now))

    def test_old_answers_tell_nothing(self):
        core, now = build_core(2 * AIM_SECONDS)
        core.note_confirmed(now + 3.0)
        self.assertEqual(0, count_refused(core, now + 3.0))

    def test_a_refusal_says_why(self):
        core, now = build_core(AIM_SECONDS)
        record, reset = core.take_packet(now, samples.build_first(1000))
        self.assertEqual('crowded', record.reason)
        self.assertEqual(1.0, record.details['share_of_aim'])
        self.assertIsInstance(reset, affinity.Reset)

    def test_a_copy_is_not_refused(self):
        # Another instance may have placed the flow, and it may be open.
        core, now = build_core(AIM_SECONDS)
        effects = core.take_packet(now, samples.build_first(1000, copy=1))
        self.assertEqual([], samples.list_resets(effects))
        self.assertEqual(1, len(samples.list_forwards(effects)))

    def test_open_flows_are_carried_on(self):
        core, now = build_core(AIM_SECONDS)
        for port in range(1, 33):
            found = []
            for number in (1, 2, 3):
                packet = samples.build_packet(port, number, 201, 2501, 10)
                found += samples.list_resets(core.take_packet(now, packet))
            self.assertEqual([], found)

    def test_a_short_answer_that_is_acknowledged_late_is_no_crowd(self):
        admission = _admission.Admission(affinity.AffinitySettings())
        for number in range(16):
            admission.note(0.0, 's', 0.3 if number % 3 else 3.0)
        self.assertEqual(0.3, admission.compute_share(0.0, 's'))

    @hypothesis.given(
        shares=strategies.lists(
            strategies.floats(0, 5), min_size=8, max_size=40
        ),
        limits=strategies.tuples(
            strategies.floats(0, 2),
            strategies.floats(0, 2),
            strategies.floats(0, 1),
        ),
    )
    def test_any_limits_give_a_part(self, shares, limits):
        settings = affinity.AffinitySettings(
            crowd_share=limits[0],
            crowd_limit=limits[1],
            crowd_quantile=limits[2],
        )
        admission = _admission.Admission(settings)
        for share in shares:
            admission.note(0.0, 's', share)
        route = samples.build_routes().get(samples.ADDRESS)
        refused = admission.compute_refused(0.0, 's', route)
        self.assertTrue(0 <= refused <= 1)

    @hypothesis.given(
        shares=strategies.lists(strategies.floats(0, 5), max_size=40),
        priority=strategies.integers(0, 1),
    )
    def test_preferred_routes_are_refused_last(self, shares, priority):
        admission = _admission.Admission(affinity.AffinitySettings())
        first = affinity.Route(samples.ADDRESS, (('s', 1),), priority=0)
        last = affinity.Route(samples.OTHER_ADDRESS, (('s', 1),), priority=1)
        affinity.RouteTable(1, [first, last])
        for share in shares:
            admission.note(0.0, 's', share)
        ordinary = admission.compute_refused(0.0, 's', last)
        preferred = admission.compute_refused(0.0, 's', first)
        self.assertTrue(0 <= preferred <= ordinary <= 1)
