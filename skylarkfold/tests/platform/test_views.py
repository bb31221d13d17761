"""Stateful test of the instances' views of the store against a model.

Upstreams start, crash, restart and lapse, and another program writes faulty
entries. Instances learn of that from listings, events and each other, in any
order, and must end with the same view and never misdirect a packet.
"""

import itertools
import json

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import testtools

from skylarkfold import affinity
from skylarkfold.platform import _objects
from skylarkfold.platform import _store
from skylarkfold import relay
from skylarkfold.relay import _topic
from skylarkfold.tests.affinity import samples
from skylarkfold.tests.platform import test_foreign

INSTANCES = ('one', 'two', 'three')
INSTANCE = strategies.sampled_from(INSTANCES)
NAMES = ('i-a1', 'i-a2', 'i-a3')
ADDRESSES = tuple(f'10.0.0.{number}:80' for number in range(1, 5))
# Names under which another program writes; the last is an upstream's.
FOREIGN_NAMES = ('i-f1', 'i-0x_f2', 'i-0', NAMES[0])
# The store deletes an entry this long after the last write of its process.
LAPSE_SECONDS = 4.6
STEP_SECONDS = 0.5
# The number of steps between two rounds of traffic.
TRAFFIC_STEPS = 4
REQUEST_BYTES = 100


class Process:
    """One start of an upstream, as it is."""

    def __init__(self, name, born, address, service, now):
        self.name = name
        self.born = born
        self.address = address
        self.service = service
        self.is_alive = True
        self.started_at = now
        self.died_at = None

    def build_entry(self):
        return {
            **test_foreign.ENTRY,
            'service': self.service,
            'address': self.address,
            'born': self.born,
        }


class Flow:
    """A caller's flow and the upstream process that holds it."""

    def __init__(self, number):
        self.number = number
        self.key = samples.build_flow(number)
        self.holder = None
        self.is_over = False
        self.sequence = 101
        self.acknowledged = 501

    @property
    def is_living(self):
        return (
            self.holder is not None
            and self.holder.is_alive
            and not self.is_over
        )


class Store:
    """Objects with the revisions of their changes."""

    def __init__(self):
        self.revision = 0
        self.objects = {}
        self.events = []

    def put(self, name, spec):
        self.revision += 1
        _, created = self.objects.get(name, (None, self.revision))
        self._write(name, created, spec, False)

    def delete(self, name):
        if name in self.objects:
            self.revision += 1
            _, created = self.objects[name]
            self._write(name, created, None, True)
            del self.objects[name]

    def _write(self, name, created, spec, is_deleted):
        meta = {'name': name, 'rev': self.revision, 'create_rev': created}
        found = {'meta': meta, 'spec': spec, 'status': None}
        self.objects[name] = (found, created)
        self.events.append(
            (self.revision, {'object': found, 'deleted': is_deleted})
        )

    def list_all(self):
        return {
            'items': [found for found, _ in self.objects.values()],
            'truncated': False,
            'current_rev': self.revision,
        }

    def list_events(self, revision):
        return {
            'events': [each for at, each in self.events if at > revision],
            'current_rev': self.revision,
        }


class Instance:
    """An instance's view of the entries and its decisions."""

    def __init__(self):
        self.topic = _topic.Topic(
            'servers',
            0,
            None,
            relay.RelaySettings(tombstones=256),
            relay.NoRetention(),
        )
        self.decoder = _objects.UpstreamDecoder()
        self.core = affinity.AffinityCore(
            samples.ZONE, affinity.AffinitySettings()
        )
        route = affinity.Route(
            samples.ADDRESS, ((samples.SERVICE, 1),), is_idempotent=True
        )
        services = (samples.SERVICE, samples.OTHER_SERVICE)
        table = affinity.RouteTable(1, [route], services=services)
        self.core.set_routes(0.0, table)
        self.core.note_confirmed(0.0)

    def list_items(self):
        return self.topic.list_items()

    def list_open(self):
        """List what may get new flows, by name with address and start."""
        return {
            each.upstream.name: (each.upstream.address, each.upstream.born)
            for each in self.core.directory
            if each.takes_new_flows
        }


class ViewsMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.store = Store()
        self.numbers = itertools.count(1)
        self.births = itertools.count(1764720000000)
        self.processes = []
        # Of each name, the start whose entry the store holds.
        self.writers = {}
        self.flows = {}
        self.instances = {name: Instance() for name in INSTANCES}

    @stateful.initialize()
    def begin(self):
        for name, address in zip(NAMES, ADDRESSES, strict=False):
            self.start_process(name, address, samples.SERVICE, True, 0)
        self.settle()
        self.wait(2.0)

    def find_at(self, address):
        for process in self.processes:
            if process.is_alive and process.address == address:
                return process
        return None

    def find_named(self, name):
        for process in self.processes:
            if process.is_alive and process.name == name:
                return process
        return None

    def start_process(self, name, address, service, is_registered, shift):
        if self.find_at(address) or self.find_named(name):
            return
        if any(
            each.address == address and not self.is_reusable(each)
            for each in self.processes
            if each.name != name
        ):
            return
        # Clocks differ: a later start may seem to be an earlier one.
        born = next(self.births) - shift
        process = Process(name, born, address, service, self.now)
        self.processes.append(process)
        if is_registered:
            self.register(process)

    def is_reusable(self, process):
        """Tell whether the address of one that has ended may be given on.

        It may be a while after its end, when its entry is gone as well.
        """
        if process.is_alive:
            return False
        return self.now - process.died_at > LAPSE_SECONDS

    def register(self, process):
        self.store.put(process.name, process.build_entry())
        self.writers[process.name] = process

    @stateful.rule(
        name=strategies.sampled_from(NAMES),
        address=strategies.sampled_from(ADDRESSES),
        service=strategies.sampled_from(
            [samples.SERVICE, samples.SERVICE, samples.OTHER_SERVICE]
        ),
        is_registered=strategies.booleans(),
        shift=strategies.sampled_from([0, 86_400_000]),
    )
    def start(self, name, address, service, is_registered, shift):
        self.start_process(name, address, service, is_registered, shift)

    @stateful.rule(
        name=strategies.sampled_from(NAMES),
        is_registered=strategies.booleans(),
    )
    def restart(self, name, is_registered):
        """Have one crash and start again at once, where it was."""
        process = self.find_named(name)
        if process is None:
            return
        self.end(process)
        self.start_process(
            name, process.address, process.service, is_registered, 0
        )

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def crash(self, name):
        process = self.find_named(name)
        if process is not None:
            self.end(process)

    def end(self, process):
        process.is_alive = False
        process.died_at = self.now

    @stateful.rule()
    def register_all(self):
        for process in self.processes:
            is_known = self.writers.get(process.name) is process
            if process.is_alive and not is_known:
                self.register(process)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def lapse(self, name):
        """Lose the entry of one that lives, as in an outage."""
        process = self.find_named(name)
        if process is not None and self.writers.get(name) is process:
            self.store.delete(name)
            del self.writers[name]

    @stateful.rule(
        name=strategies.sampled_from(FOREIGN_NAMES),
        odd=strategies.sampled_from(test_foreign.MALFORMED),
        address=strategies.sampled_from(ADDRESSES),
    )
    def write_foreign(self, name, odd, address):
        """Have another writer leave what it likes."""
        entry = {**test_foreign.ENTRY, 'address': address}
        entry[odd[0]] = odd[1]
        if odd[1] is test_foreign.MISSING:
            del entry[odd[0]]
        self.store.put(name, entry)
        self.writers.pop(name, None)

    @stateful.rule(
        name=strategies.sampled_from(FOREIGN_NAMES[:-1]),
        spec=strategies.sampled_from([None, 7, 'text', [], {'a': 2**70}]),
    )
    def write_nonsense(self, name, spec):
        self.store.put(name, spec)

    @stateful.rule(name=INSTANCE)
    def watch(self, name):
        """Have an instance take the events since its position."""
        topic = self.instances[name].topic
        answer = self.ask(self.store.list_events(topic.position))
        topic.apply_changes(answer.items, answer.revision)
        self.apply(name, self.now)

    @stateful.rule(name=INSTANCE)
    def list_all(self, name):
        """Have an instance list all entries."""
        answer = self.ask(self.store.list_all())
        topic = self.instances[name].topic
        topic.apply_listing(self.now, answer.items, answer.revision)
        self.apply(name, self.now)

    @stateful.rule(name=INSTANCE, other=INSTANCE)
    def hear(self, name, other):
        """Have an instance take what another one knows."""
        topic = self.instances[name].topic
        source = self.instances[other].topic
        if source.position < topic.position or not source.is_complete:
            return
        page = relay.decode_page(
            relay.encode_page(source.build_page(self.now, topic.position))
        )
        topic.handle_page(self.now, page)
        self.apply(name, source.confirmed_at)

    @stateful.rule()
    def replace_instance(self):
        self.instances[INSTANCES[0]] = Instance()

    @staticmethod
    def ask(body):
        call = relay.Call('servers', None, '', 0.0, 1.0)
        return _store._decode(call, 200, json.dumps(body).encode())

    def apply(self, name, confirmed_at):
        instance = self.instances[name]
        upstreams = instance.decoder.decode(instance.list_items())
        self.perform(name, instance.core.set_upstreams(self.now, upstreams))
        instance.topic.confirm(confirmed_at)
        instance.core.note_present(instance.topic.confirmed_at)

    @stateful.rule(names=strategies.lists(INSTANCE, min_size=1, max_size=2))
    def open_flows(self, names):
        """Open some flows, their copies through other instances."""
        for _ in NAMES:
            flow = Flow(next(self.numbers))
            self.flows[flow.key] = flow
            for copy, name in enumerate(names):
                core = self.instances[name].core
                packet = samples.build_first(flow.number, copy)
                self.perform(name, core.handle_packet(self.now, packet))
            self.send_on(flow, names[0])

    @stateful.rule(name=INSTANCE)
    def send(self, name):
        for flow in list(self.flows.values()):
            self.send_on(flow, name)

    def send_on(self, flow, name):
        if flow.holder is None or flow.is_over:
            del self.flows[flow.key]
            return
        flow.sequence += REQUEST_BYTES
        if flow.is_living:
            flow.acknowledged += REQUEST_BYTES
        token = int(flow.holder.name.rpartition('-')[2], 16)
        packet = samples.build_packet(
            flow.number,
            token,
            flow.sequence,
            flow.acknowledged,
            REQUEST_BYTES,
        )
        core = self.instances[name].core
        self.perform(name, core.handle_packet(self.now, packet))

    def perform(self, name, effects):
        pending = list(effects)
        while pending:
            wanted = pending.pop(0)
            if isinstance(wanted, affinity.Probe):
                upstream = wanted.upstream
                pending += self.instances[name].core.handle_probe_result(
                    self.now,
                    upstream.name,
                    self.probe(upstream),
                    upstream.incarnation,
                )
            elif isinstance(wanted, affinity.Reset):
                flow = self.flows.get(wanted.flow)
                if flow is not None:
                    assert not flow.is_living, 'a living flow was reset'
                    flow.is_over = True
            elif isinstance(wanted, affinity.Forward):
                self.deliver(wanted)

    def probe(self, upstream):
        host, port = upstream.address
        if self.find_at(f'{host}:{port}') is None:
            return affinity.ProbeOutcome.REFUSED
        return affinity.ProbeOutcome.ALIVE

    def deliver(self, wanted):
        """Bring a packet to whoever is at the address and is meant."""
        upstream = wanted.upstream
        assert upstream.name in NAMES, 'another writer named an upstream'
        process = self.find_at('{}:{}'.format(*upstream.address))
        if process is None or process.name != upstream.name:
            return
        flow = self.flows.get(wanted.data[5:])
        if flow is None:
            return
        if wanted.data.startswith(b'first'):
            if flow.holder is None:
                flow.holder = process
        elif flow.holder is not process:
            # It knows no such flow, and says so to the caller.
            assert not flow.is_living, 'a packet went to another upstream'
            flow.is_over = True

    @stateful.rule(seconds=strategies.sampled_from([0.5, 2.0, 10.0]))
    def wait(self, seconds):
        """Let time and traffic pass; entries without a process go."""
        for step in range(int(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            self.remove_silent()
            if step % TRAFFIC_STEPS == 0:
                self.open_flows([INSTANCES[step % len(INSTANCES)]])
                self.send(INSTANCES[-step % len(INSTANCES)])
            for name, instance in self.instances.items():
                self.perform(name, instance.core.tick(self.now))

    def remove_silent(self):
        for name, process in list(self.writers.items()):
            is_dead = not process.is_alive
            if is_dead and self.now - process.died_at >= LAPSE_SECONDS - 1:
                self.store.delete(name)
                del self.writers[name]

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def restart_and_settle(self, name):
        """Have one start again while all watch."""
        self.restart(name, True)
        self.settle()

    @stateful.rule()
    def settle(self):
        """At rest all agree with the store and the oracle."""
        self.register_all()
        for name in INSTANCES:
            self.watch(name)
        wanted = {
            process.name: (self.split(process.address), process.born)
            for process in self.writers.values()
        }
        for instance in self.instances.values():
            assert instance.list_open() == wanted, 'a view differs'
            self.check_heard(instance.core)

    def check_heard(self, core):
        """Nothing that was heard of a start is taken for a later one."""
        for standing in core.directory:
            process = self.writers.get(standing.upstream.name)
            if process is not None and standing.heard_at > float('-inf'):
                is_of_it = standing.heard_at >= process.started_at
                assert is_of_it, 'heard before it started'

    @staticmethod
    def split(address):
        host, _, port = address.rpartition(':')
        return host, int(port)


class ViewsTest(testtools.TestCase):
    def test_all_agree_and_no_packet_goes_astray(self):
        stateful.run_state_machine_as_test(
            ViewsMachine,
            settings=hypothesis.settings(
                max_examples=200, stateful_step_count=50
            ),
        )
