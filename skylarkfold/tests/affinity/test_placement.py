"""Tests of the choice of an upstream."""

import collections

import testtools

from skylarkfold import affinity
from skylarkfold.affinity import _placement
from skylarkfold.affinity import _upstream_state
from skylarkfold.affinity import _warm_up
from skylarkfold.tests.affinity import samples

# Upstreams and callers' flows by zone: the zone with the most flows does not
# have the most upstreams.
UPSTREAMS = {'a': 3, 'b': 2, 'c': 2}
FLOWS = {'a': 134, 'b': 110, 'c': 156}


# A service of a fleet of 300 instances, and the flows of each upstream.
UPSTREAM_COUNT = 2400
EACH = 4


class LargeServiceTest(testtools.TestCase):
    """Placement on thousands of upstreams."""

    def setUp(self):
        super().setUp()
        self.settings = affinity.AffinitySettings()
        self.limit = _warm_up.WarmUpLimiter('a', self.settings)
        self.states = [
            _upstream_state.UpstreamState(
                samples.build_upstream(number + 1, zone='abc'[number % 3]),
                0.0,
            )
            for number in range(UPSTREAM_COUNT)
        ]
        self.read = collections.Counter()

    def place(self, port, states=None):
        key = samples.build_flow(port % 60000, bytes(str(port), 'ascii'))
        flow_hash = _placement.hash_flow(key)
        chosen = _placement.choose_upstream(
            0.0,
            states or self.states,
            'abc'[port % 3],
            flow_hash,
            (),
            self.settings,
            self.limit,
        )
        if chosen is not None:
            chosen.flows += 1
        return chosen

    def test_only_a_sample_is_read(self):
        read = []

        class Counted(list):
            def __getitem__(self, place):
                read.append(place)
                return super().__getitem__(place)

            def __iter__(self):
                read.extend(range(len(self)))
                return super().__iter__()

        self.place(1, Counted(self.states))
        self.assertEqual(self.settings.choice_sample, len(set(read)))
        self.assertEqual(self.settings.choice_sample, len(read))

    def test_the_busiest_stays_near_the_mean(self):
        for port in range(UPSTREAM_COUNT * EACH):
            self.place(port)
        busiest = max(each.flows for each in self.states)
        self.assertLessEqual(busiest, 1.25 * EACH)

    def test_most_flows_stay_in_their_zone(self):
        other_zone = sum(
            self.place(port).upstream.zone != 'abc'[port % 3]
            for port in range(UPSTREAM_COUNT)
        )
        self.assertLess(other_zone, UPSTREAM_COUNT / 10)

    def test_where_the_sample_holds_no_good_one_all_are_read(self):
        for each in self.states[:-1]:
            each.health = _upstream_state.Health.SUSPECTED
        chosen = self.place(7)
        self.assertIs(self.states[-1], chosen)

    def test_where_none_may_take_it_none_is_chosen(self):
        for each in self.states:
            each.is_evacuated = True
        self.assertIsNone(self.place(7))


class PlacementTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.settings = affinity.AffinitySettings()
        self.limit = _warm_up.WarmUpLimiter('a', self.settings)
        self.states = []
        for zone, count in UPSTREAMS.items():
            for _ in range(count):
                number = len(self.states) + 1
                upstream = samples.build_upstream(number, zone=zone)
                state = _upstream_state.UpstreamState(upstream, 0.0)
                self.states.append(state)

    def place(self, zone, port):
        flow_hash = _placement.hash_flow(samples.build_flow(port))
        chosen = _placement.choose_upstream(
            0.0, self.states, zone, flow_hash, (), self.settings, self.limit
        )
        chosen.flows += 1
        return chosen

    def place_all(self):
        """Place all flows, alternating between zones."""
        left = dict(FLOWS)
        other_zone = 0
        while any(left.values()):
            zone = max(left, key=lambda each: left[each] / FLOWS[each])
            left[zone] -= 1
            chosen = self.place(zone, sum(left.values()))
            other_zone += chosen.upstream.zone != zone
        return other_zone

    def compute_imbalance(self):
        loads = [each.flows for each in self.states]
        return max(loads) * len(loads) / sum(loads)

    def test_the_busiest_is_near_the_mean_where_zones_are_uneven(self):
        self.place_all()
        self.assertLess(self.compute_imbalance(), 1.25)

    def test_few_flows_leave_their_zone(self):
        self.assertLess(self.place_all(), sum(FLOWS.values()) / 10)

    def test_an_upstream_that_fails_at_once_does_not_attract_all_flows(self):
        # It has no requests in flight, as it fails at once.
        failing, *others = self.states
        for _ in range(16):
            failing.record_early_answer(True)
        for each in others:
            each.change_busy(0.0, 1)
        counts = collections.Counter(
            self.place('a', port).upstream.name for port in range(30)
        )
        self.assertLess(counts[failing.upstream.name], 30 / len(UPSTREAMS))

    def test_a_single_early_answer_changes_little(self):
        state = self.states[0]
        for number in range(64):
            state.record_early_answer(number % 20 == 0)
        self.assertLess(state.early_answer_share, 0.15)

    def test_a_slow_one_gets_less_from_its_first_waiting_requests_on(self):
        slow = self.states[0]
        slow.change_busy(0.0, 4)
        names = {self.place('a', port).upstream.name for port in range(3)}
        self.assertNotIn(slow.upstream.name, names)

    def test_an_idle_flow_weighs_less_than_a_request(self):
        idle, *others = self.states
        idle.flows = 24
        for each in others:
            each.flows = 20
            each.change_busy(0.0, 3)
        chosen = self.place('a', 1)
        self.assertIs(idle, chosen)
