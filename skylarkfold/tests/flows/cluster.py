"""A simulated cluster of flow cores with a store and a network."""

import collections
import dataclasses
import heapq
import random

from skylarkfold import configuration
from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold import event
from skylarkfold import flows
from skylarkfold import instance
from skylarkfold import member
from skylarkfold import platform_api
from skylarkfold import revision as revisions
from skylarkfold import service

ADDRESS = endpoint.Endpoint('10.0.0.1', 7000)
ZONES = ('hall-a', 'hall-b', 'hall-c')


def build_upstream(number, **changes):
    """Build the upstream ``u<number>``."""
    fields = {
        'name': f'u{number}',
        'address': endpoint.Endpoint('10.0.1.1', 9000 + number),
        'zone': ZONES[number % len(ZONES)],
    }
    return service.Upstream(**{**fields, **changes})


def build_service(upstreams=(), **changes):
    """Build the service ``press-desk``."""
    fields = {
        'name': 'press-desk',
        'team': 'desk',
        'address': ADDRESS,
        'upstreams': tuple(upstreams),
    }
    return service.Service(**{**fields, **changes})


def build_caller(number):
    """Build a caller's endpoint."""
    return endpoint.Endpoint(f'10.9.{number >> 8}.{number & 255}', 5000)


class Cluster:
    """Flow cores that exchange messages with simulated delays.

    :param count: the initial number of instances.
    :param settings: the flow settings.
    :param seed: the seed of the random delays.
    :param message_delay: the maximum delay of a peer's message; 0 for none.
    :param publish_delay: the maximum delay of updates from the platform.
    :ivar unsubscribed: instances that get no updates from the platform.
    :ivar cut_links: pairs of instances that can't exchange messages.
    :ivar loses_write_answers: whether writes succeed without an answer.
    """

    def __init__(
        self,
        count,
        settings=None,
        seed=1,
        message_delay=0.0,
        publish_delay=0.0,
    ):
        self.settings = settings or flows.FlowSettings()
        self.random = random.Random(seed)
        self.message_delay = message_delay
        self.publish_delay = publish_delay
        self.now = 100.0
        self.scheduled_calls = []
        self.sequence = 0
        self.cores = {}
        self.epochs = collections.Counter()
        self.members = {}
        self.members_version = 0
        self.stored = None
        # Increases when the store is restored from an older copy.
        self.store_era = 0
        self.configuration = None
        self.is_store_down = False
        self.loses_write_answers = False
        self.cut_links = set()
        self.unsubscribed = set()
        self.last_arrival = {}
        self.forwarded = []
        self.dropped = []
        self.messages = collections.Counter()
        for number in range(count):
            self.start_instance(f'i{number}')

    def start_instance(self, name):
        """Start an instance, or restart it without its state."""
        zone = ZONES[int(name[1:]) % len(ZONES)]
        address = endpoint.Endpoint('10.0.2.1', int(name[1:]))
        former = self.members.get(name)
        incarnation = former.incarnation + 1 if former else 1
        self.members[name] = member.Member(
            name, zone, 'sierra', address, incarnation
        )
        self.epochs[name] += 1
        self.cores[name] = flows.FlowCore(
            instance.InstanceSettings(name, zone, 'sierra', address),
            self.settings,
        )
        if self.stored is not None:
            self.handle_event(name, event.ObjectChanged(self.stored))
        if self.configuration is not None:
            self.handle_event(
                name, event.ConfigurationChanged(self.configuration)
            )
        self.handle_event(name, self.build_membership_event())
        self.publish_membership()
        self.schedule(self.random.random() * 0.25, self.tick, name)

    def tick(self, name):
        """Send a tick to an instance and schedule the next one."""
        self.handle_event(name, event.Tick())
        self.schedule(0.25, self.tick, name)

    def kill(self, name):
        """Kill an instance without a planned stop."""
        del self.cores[name]
        self.set_state(name, member.MemberState.DEAD)

    def stop(self, name, limit=60):
        """Carry out a planned stop of an instance."""
        self.set_state(name, member.MemberState.LEAVING)
        self.handle_event(name, event.StopRequested())
        end = self.now + limit
        while not self.cores[name].is_finished and self.now < end:
            self.run(0.25)
        del self.cores[name]
        self.set_state(name, member.MemberState.LEFT)

    def set_state(self, name, state):
        """Change an instance's member state and publish it."""
        self.members[name] = dataclasses.replace(
            self.members[name], state=state
        )
        self.publish_membership()

    def build_membership_event(self):
        """Build the event of the current membership."""
        self.members_version += 1
        return event.MembershipChanged(
            member.Membership(self.members_version, dict(self.members))
        )

    def publish_membership(self):
        """Publish the current membership to all instances."""
        self.publish(self.build_membership_event())

    def configure(self, new_service, only=None):
        """Publish a configuration with one service to instances."""
        revision = self.configuration.revision + 1 if self.configuration else 1
        self.configuration = configuration.Configuration(
            revision, {new_service.name: new_service}
        )
        self.publish(event.ConfigurationChanged(self.configuration), only)

    def publish_table(self, only=None):
        """Publish the stored table to all or some instances."""
        self.publish(event.ObjectChanged(self.stored), only)

    def publish(self, occurred, only=None):
        """Deliver an event to instances, each after a random delay."""
        for name in only or sorted(self.cores):
            if name in self.unsubscribed:
                continue
            delay = self.random.random() * self.publish_delay
            self.deliver('', name, occurred, delay)

    def deliver(self, sender, name, occurred, delay):
        """Deliver an event after a delay; in order for each pair and type."""
        if not delay and not self.message_delay:
            self.handle_event(name, occurred)
            return
        pair = (sender, name, type(occurred))
        at = max(self.now + delay, self.last_arrival.get(pair, 0.0))
        self.last_arrival[pair] = at
        self.schedule(at - self.now, self.handle_event, name, occurred)

    def schedule(self, delay, call, name, *arguments):
        """Schedule a call for an instance; skipped if it restarts before."""
        self.sequence += 1
        item = (
            self.now + delay,
            self.sequence,
            self.epochs[name],
            call,
            name,
            arguments,
        )
        heapq.heappush(self.scheduled_calls, item)

    def handle_event(self, name, occurred):
        """Handle an event in a core and apply its effects."""
        if name not in self.cores:
            return
        for produced in self.cores[name].handle(self.now, occurred):
            self.apply_effect(name, produced)

    def apply_effect(self, name, produced):
        """Apply one effect of an instance."""
        if isinstance(produced, effect.SendToPeer):
            self.messages[type(produced.message).__name__] += 1
            if frozenset((name, produced.peer)) in self.cut_links:
                return
            self.deliver(
                name,
                produced.peer,
                event.PeerMessageReceived(name, produced.message),
                self.random.random() * self.message_delay,
            )
        elif isinstance(produced, effect.ForwardDatagram):
            self.forwarded.append((name, produced))
        elif isinstance(produced, effect.DropDatagram):
            self.dropped.append((name, produced))
        elif isinstance(produced, effect.RequestWrite):
            self.write(name, produced.write)

    def write(self, name, write):
        """Apply a conditional write to the store."""
        version = self.stored.version if self.stored else 0
        status = platform_api.PlatformStatus.CONFLICT
        if not self.is_store_down and version == write.expected_version:
            status = platform_api.PlatformStatus.OK
            self.stored = platform_api.StoredObject(
                write.path,
                version + 1,
                int(revisions.Revision(version + 1, self.store_era)),
                write.value,
            )
            self.publish_table()
        current = self.stored
        if self.is_store_down or self.loses_write_answers:
            status = platform_api.PlatformStatus.UNKNOWN
            current = None
        ended = event.WriteEnded(write.path, status, current)
        self.deliver('platform', name, ended, self.message_delay)

    def restore(self, saved):
        """Restore the store with an older table, or with none."""
        self.store_era += 1
        path, version, value = self.stored.path, 0, None
        if saved is not None:
            version, value = saved.version, saved.value
        revision = int(revisions.Revision(version, self.store_era))
        found = platform_api.StoredObject(path, version, revision, value)
        self.stored = None if saved is None else found
        self.publish(event.ObjectChanged(found))

    def run(self, seconds):
        """Advance the time and run the scheduled calls."""
        end = self.now + seconds
        while self.scheduled_calls and self.scheduled_calls[0][0] <= end:
            at, _, epoch, call, name, arguments = heapq.heappop(
                self.scheduled_calls
            )
            self.now = at
            if self.epochs[name] == epoch:
                call(name, *arguments)
        self.now = end

    def partition(self, side):
        """Cut all links between some instances and the others."""
        self.cut_links = {
            frozenset((one, other))
            for one in side
            for other in self.cores
            if other not in side
        }

    def report_load(self, upstream, flows, reachable=True, only=None):
        """Deliver an upstream's load report to all or some instances."""
        report = event.LoadReported(
            'press-desk', upstream, reachable, 0, flows, reachable
        )
        for name in only or sorted(self.cores):
            self.handle_event(name, report)

    def send(self, name, caller, is_first=False):
        """Send a datagram and return the name of the upstream it reached.

        Returns None if it was not forwarded. Only for clusters without
        message delays.
        """
        count = len(self.forwarded)
        self.deliver_datagram(name, caller, is_first)
        if len(self.forwarded) == count:
            return None
        return self.forwarded[-1][1].upstream.name

    def deliver_datagram(self, name, caller, is_first=False):
        """Deliver a caller's datagram to an instance."""
        datagram = event.DatagramReceived(ADDRESS, caller, b'x', is_first)
        self.handle_event(name, datagram)
