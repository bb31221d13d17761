"""Tests of the speeds of upstreams, which are learnt from answers.

They guard against a slow upstream getting as many flows as others, a recovered
one getting too few, and any change while all are equal.
"""

import collections
import random

import testtools

from skylarkfold import affinity
from skylarkfold.affinity import _admission
from skylarkfold.affinity import _directory
from skylarkfold.tests.affinity import samples
from skylarkfold.tests.affinity import simulation
from skylarkfold import upstream_load

UNEQUAL = (0.6, 1.0, 1.6)
WORK_SECONDS = 0.013
# Answers of one upstream at all instances.
ANSWERS_PER_SECOND = 25
MOST = upstream_load.MAXIMUM_ANSWERS


class LearningTest(testtools.TestCase):
    """One instance that sees all answers of some upstreams."""

    def setUp(self):
        super().setUp()
        self.now = 0.0
        self.draw = random.Random('speeds')
        self.effects = []
        self.build()

    def build(self, **settings):
        self.settings = affinity.AffinitySettings(**settings)
        self.directory = _directory.Directory(self.settings)
        self.entries = [samples.build_upstream(n + 1) for n in range(5)]
        self.directory.replace(0.0, self.entries)
        self.admission = _admission.Admission(self.settings, self.directory)

    @property
    def states(self):
        return self.directory.list_states(samples.SERVICE)

    def list_speeds(self):
        return [each.speed for each in self.states]

    def answer(self, seconds, speeds, tails=True):
        """Let upstreams answer for some time, one request at a time."""
        until = self.now + seconds
        while self.now < until:
            self.now += 1 / ANSWERS_PER_SECOND
            for each, speed in zip(self.states, speeds):
                if not speed:
                    continue
                work = WORK_SECONDS * self.draw.lognormvariate(-0.125, 0.5)
                if tails and self.draw.random() < 1 / 30:
                    work *= 7
                self.admission.record(
                    self.now, each, samples.ADDRESS, 0, work / speed
                )
            self.effects += self.admission.refresh(self.now)

    def test_equal_upstreams_keep_equal_speeds_despite_long_tails(self):
        for _ in range(300):
            self.answer(0.2, [1.0] * 5)
            self.assertEqual([1.0] * 5, self.list_speeds())
        self.assertEqual([], self.effects)

    def test_an_upstream_that_slows_down_is_detected_within_two_seconds(self):
        self.answer(4.0, [1.0] * 5)
        self.answer(2.0, [1 / 6, 1.0, 1.0, 1.0, 1.0])
        slow, *others = self.list_speeds()
        self.assertLess(slow, 0.5)
        self.assertEqual([1.0] * 4, others)

    def test_an_upstream_that_recovers_has_its_share_within_six_seconds(self):
        self.answer(10.0, [1 / 6, 1.0, 1.0, 1.0, 1.0])
        self.answer(6.0, [1.0] * 5)
        self.assertEqual([1.0] * 5, self.list_speeds())

    def test_a_slow_upstream_without_work_is_tried_again(self):
        self.answer(10.0, [1 / 6, 1.0, 1.0, 1.0, 1.0])
        self.answer(10.0, [0, 1.0, 1.0, 1.0, 1.0])
        self.assertEqual([1.0] * 5, self.list_speeds())

    def test_machines_of_three_speeds_are_distinguished(self):
        self.answer(6.0, [0.6, 1.0, 1.0, 1.0, 1.6])
        slow, *usual, fast = self.list_speeds()
        self.assertTrue(0.45 < slow < 0.8, slow)
        self.assertTrue(1.25 < fast < 2.0, fast)
        self.assertEqual([1.0] * 3, usual)

    def test_a_new_start_is_as_usual(self):
        self.answer(6.0, [0.4, 1.0, 1.0, 1.0, 1.0])
        again = samples.build_upstream(1, born=7)
        self.directory.replace(self.now, [again, *self.entries[1:]])
        state = self.directory.get(again.name)
        self.assertEqual(1.0, state.speed)
        self.assertIsNone(state.answer_statistics)

    def test_a_queue_does_not_make_an_upstream_slow(self):
        self.answer(6.0, [1.0] * 5, tails=False)
        queued = self.states[0]
        # Eight requests on two slots wait for four rounds.
        queued.remote_busy = 8.0
        self.answer(4.0, [0.25, 1.0, 1.0, 1.0, 1.0], tails=False)
        self.assertEqual(1.0, queued.speed)

    def test_an_upstream_that_fails_at_once_is_not_fast(self):
        self.answer(4.0, [1.0] * 5)
        self.answer(4.0, [20.0, 1.0, 1.0, 1.0, 1.0], tails=False)
        self.assertEqual([1.0] * 5, self.list_speeds())

    def test_a_single_wrong_peer_changes_nothing(self):
        # The largest possible report on an upstream, besides the true one of
        # 25 answers a second.
        for mean in (
            upstream_load.MAXIMUM_MEAN_SLOWNESS,
            -upstream_load.MAXIMUM_MEAN_SLOWNESS,
        ):
            self.answer(4.0, [1.0] * 5)
            self.states[0].remote_answers = MOST
            self.states[0].remote_slowness = MOST * mean
            self.answer(1.0, [1.0] * 5)
            self.assertEqual([1.0] * 5, self.list_speeds())

    def test_speeds_are_learnt_from_peers_alone(self):
        for number, each in enumerate(self.states):
            each.remote_answers = 60.0
            each.remote_slowness = 60.0 * (number == 0)
        for second in range(6):
            self.admission.refresh(float(second))
        slow, *others = self.list_speeds()
        self.assertLess(slow, 0.5)
        self.assertEqual([1.0] * 4, others)

    def test_a_change_is_recorded_once_with_its_figures(self):
        self.answer(4.0, [1.0] * 5)
        self.answer(4.0, [0.3, 1.0, 1.0, 1.0, 1.0])
        self.answer(8.0, [1.0] * 5)
        self.assertEqual(
            ['slow', 'usual'], [each.reason for each in self.effects]
        )
        slow, usual = self.effects
        self.assertEqual('speed', slow.kind)
        self.assertEqual('i-0000000001', slow.upstream)
        self.assertLess(slow.details['speed'], 0.9)
        self.assertGreater(slow.details['own_answers'], 10)
        self.assertEqual(0.0, slow.details['peers_answers'])
        self.assertGreater(usual.details['lasted_ms'], 3000)

    def test_when_disabled_nothing_is_kept(self):
        self.build(speed_tolerance=0.0)
        self.answer(6.0, [0.3, 1.0, 1.0, 1.0, 1.0])
        self.assertEqual([1.0] * 5, self.list_speeds())
        kept = {each.answer_statistics for each in self.states}
        self.assertEqual({None}, kept)

    def test_gauges_of_the_slowest_and_the_busiest(self):
        self.assertEqual(0, self.directory.count_slow())
        self.assertEqual(1.0, self.directory.find_slowest())
        self.answer(8.0, [0.5, 1.0, 1.0, 1.0, 1.0])
        slow = self.states[0]
        self.assertEqual(1, self.directory.count_slow())
        self.assertEqual(slow.speed, self.directory.find_slowest())
        # No upstream has requests: the time until another would be answered.
        soon = 1 / slow.speed
        self.assertAlmostEqual(
            soon * 5 / (soon + 4), self.directory.compute_busiest(self.now)
        )

    def test_an_opened_flow_records_the_speed(self):
        core = samples.build_core(samples.build_upstream(1))
        next(iter(core.directory)).speed = 0.5
        opened, _ = core.handle_packet(0.0, samples.build_first(1))
        self.assertEqual(0.5, opened.details['speed'])

    def test_a_slow_one_answers_later_by_estimate(self):
        self.answer(8.0, [0.5, 1.0, 1.0, 1.0, 1.0])
        route = samples.build_routes().get(samples.ADDRESS)
        slow, usual, *_ = self.states
        late = self.admission.estimate(self.now, route, slow).seconds
        soon = self.admission.estimate(self.now, route, usual).seconds
        self.assertAlmostEqual(soon / slow.speed, late)


class FleetTest(testtools.TestCase):
    """Many instances, each with a part of the answers, and stale reports."""

    def test_equal_upstreams_keep_equal_speeds(self):
        for count, upstreams, age in (
            (1, 9, 0.2),
            (7, 9, 0.2),
            (7, 9, 1.0),
            (64, 24, 0.4),
        ):
            fleet = simulation.SimulatedFleet(
                count, [1.0] * upstreams, age, 0.5
            )
            for step in range(1, 7):
                fleet.run(step)
                self.assertEqual([1.0] * upstreams, fleet.list_speeds())

    def test_three_speeds_are_distinguished_by_all_instances(self):
        for count, upstreams, age in (
            (1, 9, 0.2),
            (7, 9, 0.4),
            (64, 24, 0.4),
        ):
            speeds = [UNEQUAL[n % 3] for n in range(upstreams)]
            fleet = simulation.SimulatedFleet(count, speeds, age, 0.5)
            fleet.run(8.0)
            known = collections.defaultdict(list)
            for speed, each in zip(speeds, fleet.list_speeds()):
                known[speed].append(each)
            slow, usual, fast = (
                sum(known[each]) / len(known[each]) for each in UNEQUAL
            )
            case = (count, slow, usual, fast)
            self.assertLess(slow, 0.8, case)
            self.assertTrue(0.9 < usual < 1.1, case)
            self.assertGreater(fast, 1.3, case)

    def test_callers_wait_less_than_where_slots_alone_count(self):
        for count, upstreams, age in (
            (1, 9, 0.2),
            (7, 9, 0.2),
            (7, 9, 2.0),
            (64, 24, 0.2),
            (64, 24, 1.0),
        ):
            speeds = [UNEQUAL[n % 3] for n in range(upstreams)]
            waits = []
            for tolerance in (0.15, 0.0):
                fleet = simulation.SimulatedFleet(
                    count, speeds, age, 0.6, speed_tolerance=tolerance
                )
                fleet.run(3.0)
                fleet.run(8.0)
                waits.append(fleet.compute_wait())
            self.assertLess(waits[0], waits[1], (count, age))

    def test_six_hundred_instances_do_not_all_choose_the_same(self):
        speeds = [UNEQUAL[n % 3] for n in range(24)]
        waits = []
        for trust in (4.0, 0.0):
            fleet = simulation.SimulatedFleet(
                600, speeds, 1.0, 0.6, unseen_trust=trust
            )
            fleet.run(4.0)
            fleet.run(6.0)
            waits.append(fleet.compute_wait())
        self.assertLess(waits[0], waits[1] / 2)

    def test_one_false_report_among_seven_changes_nothing(self):
        report = (0, 0.0, MOST, MOST * upstream_load.MAXIMUM_MEAN_SLOWNESS)
        reports = [report] + [(0, 0.0, 0.0, 0.0)] * 8
        fleet = simulation.SimulatedFleet(
            7, [1.0] * 9, 0.2, 0.5, reports=reports
        )
        for step in range(2, 7):
            fleet.run(step)
            self.assertEqual([1.0] * 9, fleet.list_speeds())
