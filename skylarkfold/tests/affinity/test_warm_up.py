"""Tests of upstreams that warm up after a start."""

import collections
import itertools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import testtools

from skylarkfold import affinity
from skylarkfold.affinity import _upstream_state
from skylarkfold.affinity import _warm_up
from skylarkfold.tests.affinity import samples

ZONES = ('caerdydd', 'abertawe', 'casnewydd')
WARM_UP_SECONDS = 2.0
SLACK = 5
# Long enough for an instance to become an owner.
SETTLED = 6.0
COPY_SECONDS = 0.2


def build_settings(**fields):
    fields.setdefault('limits_warm_up', True)
    fields.setdefault('warm_up_factor', 1.5)
    fields.setdefault('warm_up_slack', float(SLACK))
    return affinity.AffinitySettings(follows_evacuations=True, **fields)


def build_routes(per_second=0.0):
    route = affinity.Route(
        samples.ADDRESS, ((samples.SERVICE, 1),), is_idempotent=True
    )
    warm_up = affinity.WarmUp(WARM_UP_SECONDS, per_second)
    return affinity.RouteTable(1, [route], warm_ups={samples.SERVICE: warm_up})


def build_core(zone, routes=None, **fields):
    core = affinity.AffinityCore(zone, build_settings(**fields))
    core.set_routes(0.0, routes or build_routes())
    core.set_evacuations(0.0, affinity.Evacuations())
    return core


def count_worst(times):
    """Count the most first packets in any second."""
    times = sorted(times)
    worst = begin = 0
    for place, at in enumerate(times):
        while times[begin] < at - 1.0:
            begin += 1
        worst = max(worst, place - begin + 1)
    return worst


class FleetTest(testtools.TestCase):
    """All instances of a fleet place flows on upstreams that warm up."""

    def run_fleet(self, instances, cold, warm, per_second, routes=None):
        """Open flows while upstreams warm up.

        :returns: the times of first packets by upstream, and the refused
            flows.
        """
        cores = {}
        for number in range(instances):
            zone = ZONES[number % len(ZONES)]
            cores[f'entry-{number}'] = build_core(zone, routes)
        for name, core in cores.items():
            zone_peers = [
                each for each in cores if cores[each]._zone == core._zone
            ]
            core.set_mates(0.0, name, set(zone_peers) - {name})
        upstreams = [
            samples.build_upstream(
                number + 1,
                zone=ZONES[number % len(ZONES)],
                address=(f'10.0.{number >> 8}.{number & 255}', 8080),
                warm_up_seconds=WARM_UP_SECONDS if number < cold else 0.0,
            )
            for number in range(cold + warm)
        ]
        for core in cores.values():
            core.set_upstreams(SETTLED, upstreams)
        openings = collections.defaultdict(list)
        refused = 0
        names = list(cores)
        for number in range(int(per_second * WARM_UP_SECONDS)):
            now = SETTLED + number / per_second
            core = cores[names[(number * 7919) % instances]]
            packet = samples.build_first(number + 1)
            effects = core.handle_packet(now, packet)
            refused += len(samples.list_resets(effects))
            for name in samples.list_forwards(effects):
                openings[name].append(now)
        self.cold = {each.name for each in upstreams[:cold]}
        return openings, refused

    def check_limit(self, openings, limit=SLACK):
        for name in self.cold:
            self.assertLessEqual(count_worst(openings[name]), limit)

    def test_the_limit_holds_in_fleets_of_any_size(self):
        for instances, flows in ((7, 300), (84, 500), (195, 1000)):
            openings, _ = self.run_fleet(instances, 20, 40, flows)
            self.check_limit(openings)

    def test_it_holds_where_all_of_a_service_warms_up(self):
        for instances in (7, 84):
            openings, refused = self.run_fleet(instances, 12, 0, 500)
            self.check_limit(openings)
            self.assertGreater(refused, 0)

    def count_used(self, openings):
        return sum(len(openings[name]) for name in self.cold)

    def test_part_of_the_limit_is_used_while_the_others_are_busy(self):
        openings, _ = self.run_fleet(84, 20, 2, 500)
        self.check_limit(openings)
        self.assertGreater(self.count_used(openings), 0)

    def test_a_service_with_a_higher_limit_gets_more(self):
        routes = build_routes(per_second=40.0)
        openings, _ = self.run_fleet(84, 20, 40, 2000, routes)
        self.check_limit(openings, limit=40 * 1.5 + SLACK)
        others, _ = self.run_fleet(84, 20, 40, 2000)
        self.assertGreater(self.count_used(openings), self.count_used(others))


class WarmUpTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.core = build_core(samples.ZONE)
        self.core.set_mates(0.0, 'one', [])

    def open_flows(self, now, ports):
        names = []
        for port in ports:
            packet = samples.build_first(port)
            effects = self.core.handle_packet(now, packet)
            names += samples.list_forwards(effects)
        return names

    def set_upstreams(self, now, *remaining, revision=1):
        """Set upstreams and the remaining warm-up of each."""
        self.core.set_upstreams(
            now,
            [
                samples.build_upstream(
                    number + 1, warm_up_seconds=seconds, revision=revision
                )
                for number, seconds in enumerate(remaining)
            ],
        )

    def test_warm_ones_go_first(self):
        self.set_upstreams(SETTLED, 0.0, 2.0)
        names = self.open_flows(SETTLED, range(40))
        self.assertEqual(40, len(names))
        counted = collections.Counter(names)
        self.assertLessEqual(counted['i-0000000002'], SLACK)

    def test_a_flow_that_no_upstream_may_take_is_refused_at_once(self):
        self.set_upstreams(SETTLED, 2.0, 2.0)
        names = self.open_flows(SETTLED, range(40))
        self.assertLessEqual(len(names), 2 * SLACK)
        packet = samples.build_first(99)
        effects = self.core.handle_packet(SETTLED, packet)
        self.assertEqual(1, len(samples.list_resets(effects)))

    def test_an_upstream_is_unlimited_after_its_warm_up(self):
        self.set_upstreams(SETTLED, 2.0)
        names = self.open_flows(SETTLED + WARM_UP_SECONDS, range(40))
        self.assertEqual(40, len(names))

    def test_an_entry_that_is_read_again_counts_what_is_left(self):
        self.set_upstreams(SETTLED, 2.0)
        self.set_upstreams(SETTLED + 1.2, 0.8, revision=2)
        names = self.open_flows(SETTLED + 2.01, range(40))
        self.assertEqual(40, len(names))

    def test_an_entry_may_start_another_warm_up(self):
        self.set_upstreams(SETTLED, 0.0, 0.0)
        self.set_upstreams(SETTLED + 9.0, 2.0, 0.0, revision=2)
        names = self.open_flows(SETTLED + 9.1, range(40))
        counted = collections.Counter(names)
        self.assertLessEqual(counted['i-0000000001'], SLACK)

    def test_a_change_of_another_entry_leaves_it_as_it_is(self):
        first = samples.build_upstream(1, warm_up_seconds=2.0)
        self.core.set_upstreams(SETTLED, [first])
        second = samples.build_upstream(2)
        self.core.set_upstreams(SETTLED + 1.5, [first, second])
        state = self.core.directory.get(first.name)
        self.assertEqual(SETTLED + 2.0, state.warming_until)
        self.assertEqual(1, self.core.directory.count_warming(SETTLED + 1.9))
        self.assertEqual(0, self.core.directory.count_warming(SETTLED + 2.0))

    def test_a_zone_warms_up_after_its_evacuation(self):
        self.set_upstreams(0.0, 0.0, 0.0)
        zone = samples.ZONE
        evacuated = affinity.Evacuations({zone: 3})
        self.core.set_evacuations(SETTLED, evacuated)
        self.core.set_evacuations(SETTLED + 8.0, affinity.Evacuations())
        names = self.open_flows(SETTLED + 8.0, range(40))
        self.assertLessEqual(len(names), 2 * SLACK)
        later = SETTLED + 8.0 + WARM_UP_SECONDS
        names = self.open_flows(later, range(50, 90))
        self.assertEqual(40, len(names))

    def test_copies_count_for_the_limit(self):
        self.set_upstreams(SETTLED, 2.0)
        sent = self.open_flows(SETTLED, [1])
        for step in range(1, 40):
            now = SETTLED + step * 0.01
            sent += samples.list_forwards(self.core.tick(now))
            if step in (20, 39):
                copy = samples.build_first(1, copy=step)
                effects = self.core.handle_packet(now, copy)
                sent += samples.list_forwards(effects)
        self.assertLessEqual(len(sent), SLACK)

    def test_an_instance_that_has_just_started_sends_none(self):
        core = build_core(samples.ZONE)
        core.set_mates(SETTLED, 'one', [])
        upstream = samples.build_upstream(1, warm_up_seconds=2.0)
        core.set_upstreams(SETTLED, [upstream])
        effects = core.handle_packet(SETTLED + 1.0, samples.build_first(1))
        self.assertEqual([], samples.list_forwards(effects))

    def test_an_instance_of_another_zone_sends_none(self):
        upstream = samples.build_upstream(
            1, zone=samples.OTHER_ZONE, warm_up_seconds=2.0
        )
        self.core.set_upstreams(SETTLED, [upstream])
        self.assertEqual([], self.open_flows(SETTLED, range(9)))

    def test_silent_instances_of_the_zone_still_count(self):
        names = [f'entry-{number}' for number in range(30)]
        limits = {
            name: _warm_up.WarmUpLimiter(samples.ZONE, build_settings())
            for name in names
        }
        for name, limit in limits.items():
            limit.set_warm_ups(build_routes().warm_ups)
            limit.set_mates(0.0, name, set(names) - {name})
            limit.set_mates(SETTLED, name, [])
        upstream = samples.build_upstream(1, warm_up_seconds=2.0)
        allowed = 0
        for limit in limits.values():
            # Each instance has its own state.
            state = _upstream_state.UpstreamState(upstream, SETTLED)
            allowed += limit.allows_first_packet(SETTLED, state)
        self.assertEqual(1, allowed)

    def test_without_a_bound_there_is_none(self):
        core = build_core(samples.ZONE, limits_warm_up=False)
        core.set_upstreams(
            SETTLED, [samples.build_upstream(1, warm_up_seconds=2.0)]
        )
        self.core = core
        self.assertEqual(40, len(self.open_flows(SETTLED, range(40))))

    def test_their_slowness_is_learnt(self):
        self.set_upstreams(0.0, 0.0, 60.0)
        slowness = self.core.directory.get('i-0000000002').slowness
        for port in range(60):
            for name, seconds in (
                ('i-0000000001', 0.02),
                ('i-0000000002', 0.06),
            ):
                self.answer(port * 0.2, name, port, seconds)
        self.assertTrue(0.28 < slowness.share < 0.39, slowness.share)

    def answer(self, now, name, port, seconds):
        """Have an upstream answer a request of one of its flows."""
        token = int(name[2:], 16)
        port += token * 1000
        for sequence, wait, length in ((101, 0.0, 100), (201, seconds, 0)):
            packet = samples.build_packet(
                port, token, sequence, sequence + 400, length
            )
            self.core.handle_packet(now + wait, packet)


class Upstream:
    """An upstream's actual state."""

    def __init__(self, number, zone):
        self.number = number
        self.zone = zone
        self.warm_at = 0.0
        self.revision = number
        self.openings = []


class Instance:
    """An instance and what it has been told."""

    def __init__(self, name, zone, now):
        self.name = name
        self.zone = zone
        self.core = build_core(zone)
        self.is_cut = False
        self.begun_at = now


class WarmUpMachine(stateful.RuleBasedStateMachine):
    """Evacuations, starts of upstreams and instances, and partitions.

    Upstreams need to warm up after their start and after an evacuation. An
    instance that is cut off learns nothing and continues.
    """

    def __init__(self):
        super().__init__()
        self.now = SETTLED
        self.numbers = itertools.count(1)
        self.ports = itertools.count(1)
        self.upstreams = []
        self.instances = []
        self.evacuated = {}

    @stateful.initialize()
    def begin(self):
        for zone in ZONES[:2]:
            for _ in range(3):
                self.add_instance(zone, 0.0)
            for _ in range(2):
                self.upstreams.append(Upstream(next(self.numbers), zone))
        self.announce()

    def add_instance(self, zone, now):
        name = f'entry-{next(self.numbers)}'
        self.instances.append(Instance(name, zone, now))

    def announce(self):
        """Announce the present state to all instances that are not cut off."""
        for instance in self.instances:
            if not instance.is_cut:
                self.announce_to(instance)

    def announce_to(self, instance):
        zone_peers = [
            each.name
            for each in self.instances
            if each.zone == instance.zone and each is not instance
        ]
        core = instance.core
        core.set_mates(instance.begun_at, instance.name, zone_peers)
        core.set_evacuations(
            self.now, affinity.Evacuations(dict(self.evacuated))
        )
        core.set_upstreams(
            self.now,
            [
                samples.build_upstream(
                    each.number,
                    zone=each.zone,
                    revision=each.revision,
                    warm_up_seconds=max(0.0, each.warm_at - self.now),
                )
                for each in self.upstreams
            ],
        )

    @stateful.rule(zone=strategies.sampled_from(ZONES[:2]))
    def start_upstream(self, zone):
        upstream = Upstream(next(self.numbers), zone)
        upstream.warm_at = self.now + WARM_UP_SECONDS
        self.upstreams.append(upstream)
        self.announce()

    @stateful.rule(zone=strategies.sampled_from(ZONES[:2]))
    def start_instance(self, zone):
        self.add_instance(zone, self.now)
        self.announce()

    @stateful.rule(data=strategies.data())
    def cut_or_join(self, data):
        instance = data.draw(strategies.sampled_from(self.instances))
        instance.is_cut = not instance.is_cut
        self.announce()

    @stateful.rule(zone=strategies.sampled_from(ZONES[:2]))
    def evacuate(self, zone):
        if zone not in self.evacuated:
            self.evacuated[zone] = next(self.numbers)
            self.announce()

    @stateful.rule(
        zone=strategies.sampled_from(ZONES[:2]),
        is_announced=strategies.booleans(),
    )
    def end_evacuation(self, zone, is_announced):
        """End an evacuation; entries may announce the warm-up later."""
        if zone not in self.evacuated:
            return
        if any(each.is_cut for each in self.instances):
            # An instance that does not know of the evacuation would not know
            # of the warm-up either.
            return
        del self.evacuated[zone]
        if not is_announced:
            self.announce()
        for upstream in self.upstreams:
            if upstream.zone == zone:
                upstream.warm_at = self.now + WARM_UP_SECONDS
                upstream.revision = next(self.numbers)
        if is_announced:
            self.announce()

    @stateful.rule(seconds=strategies.sampled_from([0.3, 1.0, 5.0]))
    def wait(self, seconds):
        self.now += seconds
        for instance in self.instances:
            instance.core.tick(self.now)
        self.announce()

    @stateful.rule(seconds=strategies.sampled_from([0.1, 1.0]))
    def open_flows(self, seconds):
        """Have callers open flows through all instances."""
        by_name = {f'i-{each.number:010x}': each for each in self.upstreams}
        for _ in range(10):
            self.now += seconds / 10
            for instance in self.instances:
                packet = samples.build_first(next(self.ports) % 60000)
                effects = instance.core.handle_packet(self.now, packet)
                effects += instance.core.tick(self.now)
                for name in samples.list_forwards(effects):
                    upstream = by_name[name]
                    assert upstream.zone not in self.evacuated or (
                        instance.is_cut
                    )
                    upstream.openings.append(self.now)

    @stateful.invariant()
    def no_upstream_exceeds_the_limit(self):
        for upstream in self.upstreams:
            begin = upstream.warm_at - WARM_UP_SECONDS
            cold = [
                at for at in upstream.openings if begin < at < upstream.warm_at
            ]
            assert count_worst(cold) <= SLACK, cold


class MachineTest(testtools.TestCase):
    def test_the_limit_holds_in_any_order_of_events(self):
        stateful.run_state_machine_as_test(
            WarmUpMachine,
            settings=hypothesis.settings(
                max_examples=100, stateful_step_count=40, deadline=None
            ),
        )
