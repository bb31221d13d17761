"""Several flow cores with a store and a network between them."""

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
    """Cores that talk to each other over streams with delays.

    :param count: how many instances there are at first.
    :param settings: the flow settings.
    :param seed: of delays.
    :param delay: the longest delay of a peer's message; 0 for none.
    :param uneven: the longest delay of news from the platform.
    """

    def __init__(self, count, settings=None, seed=1, delay=0.0, uneven=0.0):
        self.settings = settings or flows.FlowSettings()
        self.random = random.Random(seed)
        self.delay = delay
        self.uneven = uneven
        self.now = 100.0
        self.agenda = []
        self.number = 0
        self.cores = {}
        self.epochs = collections.Counter()
        self.members = {}
        self.members_version = 0
        self.stored = None
        # How often the store has come back from an older copy.
        self.era = 0
        self.configuration = None
        self.is_store_down = False
        self.loses_answers = False
        self.cut = set()
        self.deaf = set()
        self.last_arrival = {}
        self.forwarded = []
        self.dropped = []
        self.messages = collections.Counter()
        for number in range(count):
            self.join(f'i{number}')

    def join(self, name):
        """Start an instance, or start it anew with nothing."""
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
            self.tell(name, event.ObjectChanged(self.stored))
        if self.configuration is not None:
            self.tell(name, event.ConfigurationChanged(self.configuration))
        self.tell(name, self.build_membership())
        self.publish_members()
        self.schedule(self.random.random() * 0.25, self.tick, name)

    def tick(self, name):
        """Tell an instance the time, and again a quarter second later."""
        self.tell(name, event.Tick())
        self.schedule(0.25, self.tick, name)

    def die(self, name):
        """End an instance without notice."""
        del self.cores[name]
        self.set_state(name, member.MemberState.DEAD)

    def stop(self, name, limit=60):
        """Stop an instance as planned."""
        self.set_state(name, member.MemberState.LEAVING)
        self.tell(name, event.StopRequested())
        end = self.now + limit
        while not self.cores[name].is_finished and self.now < end:
            self.run(0.25)
        del self.cores[name]
        self.set_state(name, member.MemberState.LEFT)

    def set_state(self, name, state):
        """Show an instance in another state to all."""
        self.members[name] = dataclasses.replace(
            self.members[name], state=state
        )
        self.publish_members()

    def build_membership(self):
        """Build what members learn of each other."""
        self.members_version += 1
        return event.MembershipChanged(
            member.Membership(self.members_version, dict(self.members))
        )

    def publish_members(self):
        """Tell all instances of the members."""
        self.publish(self.build_membership())

    def configure(self, described, only=None):
        """Put a service in force on all or some instances."""
        revision = self.configuration.revision + 1 if self.configuration else 1
        self.configuration = configuration.Configuration(
            revision, {described.name: described}
        )
        self.publish(event.ConfigurationChanged(self.configuration), only)

    def publish_table(self, only=None):
        """Tell instances of the stored table."""
        self.publish(event.ObjectChanged(self.stored), only)

    def publish(self, occurred, only=None):
        """Give news to instances, each after a delay of its own."""
        for name in only or sorted(self.cores):
            if name in self.deaf:
                continue
            delay = self.random.random() * self.uneven
            self.deliver('', name, occurred, delay)

    def deliver(self, sender, name, occurred, delay):
        """Give an event to an instance later; order is kept for a pair."""
        if not delay and not self.delay:
            self.tell(name, occurred)
            return
        pair = (sender, name, type(occurred))
        at = max(self.now + delay, self.last_arrival.get(pair, 0.0))
        self.last_arrival[pair] = at
        self.schedule(at - self.now, self.tell, name, occurred)

    def schedule(self, delay, call, name, *arguments):
        """Do something for an instance later, unless it ended by then."""
        self.number += 1
        item = (
            self.now + delay,
            self.number,
            self.epochs[name],
            call,
            name,
            arguments,
        )
        heapq.heappush(self.agenda, item)

    def tell(self, name, occurred):
        """Give an event to a core and carry out its effects."""
        if name not in self.cores:
            return
        for each in self.cores[name].handle(self.now, occurred):
            self.carry_out(name, each)

    def carry_out(self, name, each):
        """Carry out one effect."""
        if isinstance(each, effect.SendToPeer):
            self.messages[type(each.message).__name__] += 1
            if frozenset((name, each.peer)) in self.cut:
                return
            self.deliver(
                name,
                each.peer,
                event.PeerMessageReceived(name, each.message),
                self.random.random() * self.delay,
            )
        elif isinstance(each, effect.ForwardDatagram):
            self.forwarded.append((name, each))
        elif isinstance(each, effect.DropDatagram):
            self.dropped.append((name, each))
        elif isinstance(each, effect.RequestWrite):
            self.write(name, each.write)

    def write(self, name, write):
        """Write conditionally to the store."""
        version = self.stored.version if self.stored else 0
        status = platform_api.PlatformStatus.CONFLICT
        if not self.is_store_down and version == write.expected_version:
            status = platform_api.PlatformStatus.OK
            self.stored = platform_api.StoredObject(
                write.path,
                version + 1,
                int(revisions.Revision(version + 1, self.era)),
                write.value,
            )
            self.publish_table()
        current = self.stored
        if self.is_store_down or self.loses_answers:
            status = platform_api.PlatformStatus.UNKNOWN
            current = None
        ended = event.WriteEnded(write.path, status, current)
        self.deliver('platform', name, ended, self.delay)

    def restore(self, saved):
        """Have the store come back with an older table, or with none."""
        self.era += 1
        path, version, value = self.stored.path, 0, None
        if saved is not None:
            version, value = saved.version, saved.value
        revision = int(revisions.Revision(version, self.era))
        found = platform_api.StoredObject(path, version, revision, value)
        self.stored = None if saved is None else found
        self.publish(event.ObjectChanged(found))

    def run(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while self.agenda and self.agenda[0][0] <= end:
            at, _, epoch, call, name, arguments = heapq.heappop(self.agenda)
            self.now = at
            if self.epochs[name] == epoch:
                call(name, *arguments)
        self.now = end

    def partition(self, side):
        """Cut some instances off from the others."""
        self.cut = {
            frozenset((one, other))
            for one in side
            for other in self.cores
            if other not in side
        }

    def report_load(self, upstream, flows, reachable=True, only=None):
        """Tell instances what an upstream says of itself."""
        report = event.LoadReported(
            'press-desk', upstream, reachable, 0, flows, reachable
        )
        for name in only or sorted(self.cores):
            self.tell(name, report)

    def send(self, name, caller, is_first=False):
        """Send a datagram; return the upstream that it reached, or None.

        Only for a network without delays.
        """
        count = len(self.forwarded)
        self.inject(name, caller, is_first)
        if len(self.forwarded) == count:
            return None
        return self.forwarded[-1][1].upstream.name

    def inject(self, name, caller, is_first=False):
        """Let the fabric hand a datagram to an instance."""
        datagram = event.DatagramReceived(ADDRESS, caller, b'x', is_first)
        self.tell(name, datagram)
