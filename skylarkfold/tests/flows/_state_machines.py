"""Hypothesis state machines that check a fleet of cores by an oracle."""

import dataclasses
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from skylarkfold import event
from skylarkfold import flow
from skylarkfold import flows
from skylarkfold.measure import _flow_fleet
from skylarkfold.measure import _flow_links
from skylarkfold.measure import _flow_rules
from skylarkfold.measure import _flow_scenario
from skylarkfold.measure import _flow_workload
from skylarkfold import service

INSTANCES = 4
UPSTREAMS = 3
IDLE_SECONDS = 8.0
PACKET_SECONDS = 1.0
MINIMUM_INSTANCES = 2
MAXIMUM_INSTANCES = 6
MAXIMUM_HOPS = 8
SPARSE_PACKET_SECONDS = 4.0
REPLICATION_SECONDS = 2.0
SETTLED_SECONDS = 40.0
CORE_SETTINGS = flows.FlowSettings(bucket_count=32)

PICKS = strategies.integers(0, 1000)
MARKS = strategies.booleans()


def build_core(settings):
    """Build a core with a table small enough for tests to cover."""
    return flows.FlowCore(settings, CORE_SETTINGS)


def build_rule(preference):
    """Build the rule of the flow core with a small table."""
    own = _flow_rules.OWN_RULES[0]
    return dataclasses.replace(
        own, make_core=build_core, preference=preference
    )


class PlannedMachine(stateful.RuleBasedStateMachine):
    """Planned changes with slow links and platform and duplicate messages.

    No flow may break: each packet has to reach the upstream that the first
    packet of its flow reached.
    """

    rule = None

    @stateful.initialize(
        preference=strategies.sampled_from(list(service.Preference)),
        is_marked=MARKS,
        seed=strategies.integers(0, 2**32),
    )
    def open(self, preference, is_marked, seed):
        self.is_marked = is_marked
        self.random = random.Random(seed)
        address = _flow_scenario.ADDRESS
        self.fleet = _flow_fleet.Fleet(
            self.rule or build_rule(preference),
            _flow_fleet.FleetSettings(),
            {address: _flow_scenario.SERVICE},
            seed,
        )
        self.site = _flow_scenario.Site(
            self.fleet,
            _flow_scenario.SiteSettings(
                preference,
                instances=INSTANCES,
                upstreams=UPSTREAMS,
                idle_seconds=IDLE_SECONDS,
            ),
        )
        self.site.open()
        self.flows = []
        self.sent = 0
        self.next_flow = 0
        self.started_count = INSTANCES
        self.begin_flows(count=20, early=0.02, copies=1)

    # Packets.

    @stateful.rule(
        count=strategies.integers(1, 20),
        early=strategies.floats(0.0, 0.02),
        copies=strategies.integers(1, 2),
    )
    def begin_flows(self, count, early, copies):
        numbers = range(self.next_flow, self.next_flow + count)
        self.next_flow += count
        self.flows += numbers
        for number in numbers:
            for _ in range(copies):
                self._send(number, True)
        self.fleet.advance(early)
        self._send_all(numbers)

    @stateful.rule()
    def send_packets(self):
        self._send_all(self.flows)

    @stateful.rule(pick=PICKS)
    def end_flows(self, pick):
        kept = pick % (len(self.flows) + 1)
        self.random.shuffle(self.flows)
        del self.flows[kept:]

    @stateful.rule(seconds=strategies.floats(0.01, 10.0))
    def wait(self, seconds):
        end = self.fleet.now + seconds
        while self.fleet.now < end:
            self._send_all(self.flows)
            left = end - self.fleet.now
            self.fleet.advance(min(left, PACKET_SECONDS))

    @stateful.rule()
    def let_settle(self):
        for _ in range(int(SETTLED_SECONDS / SPARSE_PACKET_SECONDS)):
            self._send_all(self.flows)
            self.fleet.advance(SPARSE_PACKET_SECONDS)

    # Planned changes.

    @stateful.rule(pick=PICKS)
    def drain(self, pick):
        self.site.drain(self._pick_upstream(pick))

    @stateful.rule(pick=PICKS)
    def return_to_service(self, pick):
        self.site.return_to_service(self._pick_upstream(pick))

    @stateful.rule(pick=PICKS, weight=strategies.sampled_from([0.25, 1.0, 3]))
    def weigh(self, pick, weight):
        self.site.weigh(self._pick_upstream(pick), weight)

    @stateful.precondition(lambda self: len(self.site.upstreams) < 6)
    @stateful.rule()
    def add_upstream(self):
        self.site.arrive(len(self.site.upstreams) + 1)

    @stateful.precondition(
        lambda self: len(self.fleet.nodes) < MAXIMUM_INSTANCES
    )
    @stateful.rule()
    def start_instance(self):
        self.started_count += 1
        self.fleet.start(f'entry-{self.started_count}')

    @stateful.precondition(lambda self: self._has_instance_to_spare())
    @stateful.rule(pick=PICKS)
    def stop_instance(self, pick):
        self.fleet.stop(self._pick_remaining(pick))

    # Platform outages, lost answers, link delays and duplicates.

    @stateful.rule(is_down=strategies.booleans())
    def turn_platform(self, is_down):
        self.fleet.platform.settings.is_down = is_down

    @stateful.rule(share=strategies.sampled_from([0.0, 0.3]))
    def lose_answers(self, share):
        self.fleet.platform.settings.lost_answer_share = share

    @stateful.rule(
        most=strategies.sampled_from([0.003, 0.1, 0.5]),
        doubled=strategies.sampled_from([0.0, 0.2]),
    )
    def set_links(self, most, doubled):
        self.fleet.links.settings = _flow_links.LinkSettings(
            most_delay_seconds=most, doubled_share=doubled
        )

    # Invariants.

    @stateful.invariant()
    def no_flow_is_broken(self):
        found = [each for each in self._list_unexcused_breaks()]
        assert not found, found

    @stateful.invariant()
    def no_packet_reaches_another_service(self):
        assert not self.fleet.oracle.misdirected

    @stateful.invariant()
    def no_packet_goes_round(self):
        bound = self.sent * MAXIMUM_HOPS
        assert self.fleet.links.data_messages <= bound

    def _list_unexcused_breaks(self):
        return self.fleet.oracle.breaks

    def _send_all(self, numbers):
        for number in list(numbers):
            self._send(number, False)

    def _send(self, number, is_first):
        serving = self.fleet.list_serving()
        if not serving:
            return
        self.sent += 1
        datagram = event.DatagramReceived(
            _flow_scenario.ADDRESS,
            _flow_workload.make_caller(number),
            b'',
            is_first if self.is_marked else None,
        )
        self.fleet.deliver(self.random.choice(serving), datagram)

    def _pick_upstream(self, pick):
        return pick % len(self.site.upstreams) + 1

    def _list_remaining(self):
        return [
            each for each in self.fleet.nodes.values() if not each.is_leaving
        ]

    def _has_instance_to_spare(self):
        return len(self._list_remaining()) > MINIMUM_INSTANCES

    def _pick_remaining(self, pick):
        remaining = self._list_remaining()
        return remaining[pick % len(remaining)].name


class DeathMachine(PlannedMachine):
    """Single instance deaths between planned changes.

    The death of an instance may break only the flows that began within
    ``REPLICATION_SECONDS`` before it or ``SETTLED_SECONDS`` after it; the
    pins of all others have a replica. The oracle itself excuses the flows of
    dead upstreams.
    """

    def __init__(self):
        super().__init__()
        self.excused_until = 0.0
        self.excused = set()

    @stateful.precondition(lambda self: self._is_settled())
    @stateful.precondition(lambda self: self._has_instance_to_spare())
    @stateful.rule(pick=PICKS, resets=strategies.booleans())
    def kill_instance(self, pick, resets):
        self.fleet.kill(self._pick_remaining(pick), resets)
        self._excuse_flows(self.fleet.now - REPLICATION_SECONDS)

    @stateful.rule(pick=PICKS)
    def kill_upstream(self, pick):
        upstream = self.site.upstreams[self._pick_upstream(pick) - 1]
        dead = self.fleet.oracle.dead_upstreams
        if len(dead) + 1 < len(self.site.upstreams):
            self.fleet.lose_upstream(_flow_scenario.SERVICE, upstream.name)

    def _is_settled(self):
        return self.fleet.now >= self.excused_until

    def _excuse_flows(self, begun_after):
        for key, binding in self.fleet.oracle.bindings.items():
            if binding.begun >= begun_after:
                self.excused.add(key)
        self.excused_until = self.fleet.now + SETTLED_SECONDS

    def _send(self, number, is_first):
        if is_first and not self._is_settled():
            self.excused.add(build_flow_key(number))
        super()._send(number, is_first)

    def _list_unexcused_breaks(self):
        return [
            each
            for each in self.fleet.oracle.breaks
            if each.key not in self.excused
        ]


class FaultMachine(DeathMachine):
    """Any combination of faults between planned changes.

    Flows may break if they are open at any time between the start of a fault
    and ``SETTLED_SECONDS`` after its end. No packet may reach another service
    or be redirected in a loop, and flows that begin later must not break.
    """

    def __init__(self):
        super().__init__()
        self.has_lasting_fault = False

    @stateful.precondition(lambda self: self._has_instance_to_spare())
    @stateful.rule(pick=PICKS, resets=strategies.booleans())
    def kill_another(self, pick, resets):
        self.fleet.kill(self._pick_remaining(pick), resets)
        self._excuse_flows(0.0)

    @stateful.rule(share=strategies.sampled_from([0.0, 0.1]))
    def lose_messages(self, share):
        self.fleet.links.settings = dataclasses.replace(
            self.fleet.links.settings, lost_share=share, in_order=share == 0.0
        )
        self._excuse_during_faults()

    @stateful.rule(pick=PICKS)
    def cut_instances(self, pick):
        names = sorted(self.fleet.nodes)
        one = names[: pick % len(names)]
        self.fleet.cut(one, [each for each in names if each not in one])
        self._excuse_during_faults()

    @stateful.rule()
    def join_instances(self):
        self.fleet.join()
        self._excuse_during_faults()

    @stateful.rule(pick=PICKS, is_cut_off=strategies.booleans())
    def cut_platform(self, pick, is_cut_off):
        names = sorted(self.fleet.nodes)
        self.fleet.cut_platform(names[pick % len(names)], is_cut_off)
        self._excuse_during_faults()

    def _excuse_during_faults(self):
        """Excuse all open flows while a lasting fault is present."""
        has_lasting_fault = (
            self.fleet.links.settings.lost_share > 0
            or self.fleet.links.cut
            or any(each.is_cut_off for each in self.fleet.nodes.values())
        )
        self.has_lasting_fault = bool(has_lasting_fault)
        self._excuse_flows(0.0)

    def _is_settled(self):
        return not self.has_lasting_fault and super()._is_settled()

    def _send(self, number, is_first):
        if self.has_lasting_fault:
            self.excused_until = self.fleet.now + SETTLED_SECONDS
        super()._send(number, is_first)


def build_flow_key(number):
    """Return the key of a numbered flow."""
    return flow.FlowKey(
        _flow_scenario.SERVICE, _flow_workload.make_caller(number)
    )


def run(machine, examples, steps):
    """Run a state machine.

    Failing sequences are not shrunk, which would take minutes.

    :param machine: the state machine's class.
    :param examples: the number of sequences of steps.
    :param steps: the maximum number of steps of a sequence.
    """
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        phases=[hypothesis.Phase.generate],
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(machine, settings=settings)
