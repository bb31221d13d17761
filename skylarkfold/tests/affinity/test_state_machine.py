"""Stateful test of instances with differing views against an oracle."""

import collections
import itertools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import testtools

from skylarkfold import affinity
from skylarkfold.tests.affinity import samples

INSTANCES = ('one', 'two', 'three')
NAMES = strategies.sampled_from(INSTANCES)
# The number of an upstream has a serial number above this bit; the token is
# the lowest 32 bits.
TOKEN_BITS = 32
# Copies of first packets have smaller acknowledgement numbers, later packets
# larger ones.
MINIMUM_ACKNOWLEDGED = 100
INITIAL_UPSTREAMS = 3
# A caller without an answer repeats its packet at this interval.
SILENT_STEPS = 6
SILENT_SECONDS = 0.25


class Process:
    """An upstream's actual state, whatever instances believe."""

    def __init__(self, upstream):
        self.upstream = upstream
        self.is_alive = True
        self.is_draining = False
        self.has_entry = True


class Flow:
    """A caller's flow."""

    def __init__(self, number):
        self.key = samples.build_flow(number)
        self.number = number
        self.process = None
        self.is_ended = False
        self.sequence = 101

    @property
    def is_living(self):
        """Whether its upstream still holds it."""
        is_held = self.process is not None and self.process.is_alive
        return is_held and not self.is_ended


class Instance:
    """A core and what it has been told."""

    def __init__(self):
        self.core = affinity.AffinityCore(
            samples.ZONE, affinity.AffinitySettings()
        )
        self.version = 0
        self.has_route = False
        self.known = {}
        self.is_cut = False

    def knows(self, process):
        """Return whether it has been told of a process."""
        return process.upstream.name in self.known

    def is_draining(self, name):
        """Return whether the last entry that it saw is draining."""
        return self.known[name].is_draining


class AffinityMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.revisions = itertools.count(1)
        self.numbers = itertools.count(1)
        # The versions of the routes in the store, and whether each has the
        # route.
        self.versions = [(1, True)]
        self.processes = []
        self.flows = {}
        self.instances = {name: Instance() for name in INSTANCES}

    @stateful.initialize()
    def begin(self):
        for position in range(INITIAL_UPSTREAMS):
            self.start(position + 1, position, samples.SERVICE)
        self.learn_all()
        self.open_flows(['one'])
        assert all(each.is_living for each in self.flows.values())

    def start(self, token, position, service):
        number = (next(self.numbers) << TOKEN_BITS) + token
        upstream = samples.build_upstream(
            number,
            service,
            address=(f'10.0.0.{position}', 8080),
            created=next(self.revisions),
        )
        self.processes.append(Process(upstream))

    @property
    def living(self):
        return [each for each in self.processes if each.is_alive]

    def list_unique_tokens(self):
        """List living processes whose token no other process has."""
        tokens = [each.upstream.token for each in self.processes]
        return [
            each
            for each in self.living
            if tokens.count(each.upstream.token) == 1
        ]

    def find_at(self, address):
        for process in self.living:
            if process.upstream.address == address:
                return process
        return None

    def perform(self, name, effects):
        """Perform effects and return their actual results."""
        pending = list(effects)
        while pending:
            wanted = pending.pop(0)
            if isinstance(wanted, affinity.Probe):
                outcome = self.probe(name, wanted.upstream)
                pending += self.instances[name].core.handle_probe_result(
                    self.now, wanted.upstream.name, outcome
                )
            elif isinstance(wanted, affinity.Reset):
                self.check_reset(name, wanted)
            elif isinstance(wanted, affinity.Forward):
                if not self.instances[name].is_cut:
                    self.deliver(wanted)

    def probe(self, name, upstream):
        if self.instances[name].is_cut:
            return affinity.ProbeOutcome.SILENT
        if self.find_at(upstream.address) is None:
            return affinity.ProbeOutcome.REFUSED
        return affinity.ProbeOutcome.ALIVE

    def deliver(self, wanted):
        """Deliver a packet if the process at its address is the right one."""
        process = self.find_at(wanted.upstream.address)
        if process is None or process.upstream.name != wanted.upstream.name:
            return
        flow = self.flows[samples.get_flow(wanted.data)]
        if wanted.data.startswith(b'first'):
            assert process.upstream.service == samples.SERVICE
            if flow.process is None:
                flow.process = process
            return
        assert process is flow.process, 'a packet reached another upstream'

    def check_reset(self, name, wanted):
        flow = self.flows[wanted.flow]
        is_answer = wanted.acknowledged < MINIMUM_ACKNOWLEDGED
        if is_answer and flow.process is not None:
            # It answers a copy of the first packet, and its number is far from
            # what the caller of an open flow expects: it has no effect.
            return
        if flow.is_living:
            # Only a configuration without the route may reset a living flow.
            has_route = self.instances[name].has_route
            assert not has_route, 'a living flow was reset'
        flow.is_ended = True

    @stateful.rule(
        token=strategies.integers(1, INITIAL_UPSTREAMS),
        position=strategies.integers(0, INITIAL_UPSTREAMS),
        service=strategies.sampled_from(
            [samples.SERVICE, samples.SERVICE, samples.OTHER_SERVICE]
        ),
        is_announced=strategies.booleans(),
    )
    def start_upstream(self, token, position, service, is_announced):
        """Start an upstream, which may share a token and reuse an address.

        An instance that starts later knows nothing of a process that has left,
        and cannot tell that a new one has its token: tokens are shared only
        with processes that still have an entry.
        """
        removed = [each for each in self.processes if not each.has_entry]
        if any(each.upstream.token == token for each in removed):
            return
        if self.find_at((f'10.0.0.{position}', 8080)) is None:
            self.start(token, position, service)
        if is_announced:
            self.learn_all()
            self.open_flows(['one'])

    @stateful.rule(data=strategies.data())
    def crash(self, data):
        unique = self.list_unique_tokens()
        if unique:
            process = data.draw(strategies.sampled_from(unique))
            process.is_alive = False
            process.has_entry = False

    @stateful.rule(data=strategies.data())
    def lapse(self, data):
        """Remove the entry of a living upstream."""
        unique = self.list_unique_tokens()
        if unique:
            process = data.draw(strategies.sampled_from(unique))
            process.has_entry = False

    @stateful.rule()
    def restore_entries(self):
        """Restore the entries of living upstreams by creating them anew."""
        for process in self.living:
            if not process.has_entry:
                process.has_entry = True
                process.upstream.created = next(self.revisions)

    @stateful.rule(data=strategies.data())
    def recreate_entry(self, data):
        """Remove an entry and create it anew, with all instances notified."""
        unique = [each for each in self.list_unique_tokens() if each.has_entry]
        if not unique:
            return
        process = data.draw(strategies.sampled_from(unique))
        process.has_entry = False
        self.learn_all()
        self.restore_entries()
        self.learn_all()

    @stateful.rule(data=strategies.data())
    def drain(self, data):
        if self.living:
            process = data.draw(strategies.sampled_from(self.living))
            process.is_draining = True

    @stateful.rule()
    def change_routes(self):
        version, has_route = self.versions[-1]
        self.versions.append((version + 1, not has_route))

    @stateful.rule(name=NAMES, is_stale=strategies.booleans())
    def learn(self, name, is_stale):
        """Send an instance the present or the previous routes of the store."""
        instance = self.instances[name]
        version, has_route = self.versions[-1]
        if is_stale and len(self.versions) > 1:
            version, has_route = self.versions[-2]
        if version > instance.version:
            instance.version = version
            instance.has_route = has_route
        routes = affinity.RouteTable(version, [])
        if has_route:
            routes = samples.build_routes(version)
        present = [
            self.copy_entry(each) for each in self.processes if each.has_entry
        ]
        instance.known.update({each.name: each for each in present})
        core = instance.core
        self.perform(name, core.set_routes(self.now, routes))
        self.perform(name, core.set_upstreams(self.now, present))
        core.note_confirmed(self.now)

    @stateful.rule()
    def learn_all(self):
        for name in INSTANCES:
            self.learn(name, False)

    @stateful.rule(name=NAMES)
    def restart(self, name):
        self.instances[name] = Instance()

    @stateful.rule(names=strategies.lists(NAMES, min_size=1, max_size=3))
    def open_flows(self, names):
        """Open a flow for each living upstream."""
        for _ in range(len(self.living)):
            self.open_flow(names)

    def open_flow(self, names):
        """Send a first packet and its copies to some instances."""
        flow = Flow(len(self.flows) + 1)
        self.flows[flow.key] = flow
        for copy, name in enumerate(names):
            packet = samples.build_first(flow.number, copy)
            instance = self.instances[name]
            effects = instance.core.handle_packet(self.now, packet)
            for wanted in effects:
                if isinstance(wanted, affinity.Forward):
                    assert not instance.is_draining(wanted.upstream.name)
            self.perform(name, effects)
        self.send_request(flow, names[0])

    @stateful.rule(name=NAMES)
    def send(self, name):
        """Send a request on each living flow through one instance."""
        for flow in list(self.flows.values()):
            self.send_request(flow, name)

    def send_request(self, flow, name):
        if not flow.is_living:
            return
        flow.sequence += 100
        upstream = flow.process.upstream
        packet = samples.build_packet(
            flow.number, upstream.token, flow.sequence, flow.sequence, 100
        )
        instance = self.instances[name]
        effects = instance.core.handle_packet(self.now, packet)
        if instance.has_route and instance.knows(flow.process):
            assert samples.list_forwards(effects) == [upstream.name]
        self.perform(name, effects)

    @stateful.rule(name=NAMES, is_cut=strategies.booleans())
    def repeat_unanswered(self, name, is_cut):
        """Have callers repeat unanswered requests, maybe behind a cut."""
        instance = self.instances[name]
        instance.is_cut = is_cut
        flows = [each for each in self.flows.values() if each.is_living]
        for flow in flows:
            flow.sequence += 100
        for _ in range(SILENT_STEPS):
            for flow in flows:
                self.send_again(flow, name)
            self.wait(SILENT_SECONDS)
        instance.is_cut = False

    def send_again(self, flow, name):
        if not flow.is_living:
            return
        upstream = flow.process.upstream
        packet = samples.build_packet(
            flow.number, upstream.token, flow.sequence, 501, 100
        )
        core = self.instances[name].core
        self.perform(name, core.handle_packet(self.now, packet))

    @stateful.rule(seconds=strategies.sampled_from([0.05, 0.5, 3.0]))
    def wait(self, seconds):
        for _ in range(4):
            self.now += seconds / 4
            for name, instance in self.instances.items():
                self.perform(name, instance.core.tick(self.now))

    @stateful.invariant()
    def versions_never_decrease(self):
        for instance in self.instances.values():
            assert max(instance.core.version, 0) == instance.version

    @stateful.invariant()
    def requests_in_flight_are_counted_once(self):
        for instance in self.instances.values():
            core = instance.core
            busy = collections.Counter(
                flow.state for flow in core._flows if flow.is_busy
            )
            counted = {
                state: state.busy for state in core.directory if state.busy
            }
            assert counted == busy

    @staticmethod
    def copy_entry(process):
        upstream = process.upstream
        return samples.build_upstream(
            upstream.number,
            upstream.service,
            address=upstream.address,
            created=upstream.created,
            is_draining=process.is_draining,
        )


class MachineTest(testtools.TestCase):
    def test_no_flow_changes_its_upstream(self):
        stateful.run_state_machine_as_test(
            AffinityMachine,
            settings=hypothesis.settings(
                max_examples=200, stateful_step_count=60
            ),
        )
