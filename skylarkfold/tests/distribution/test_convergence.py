"""Convergence of several instances under faults of network and platform.

No instance may ever publish an older version of an object. Within a bound
after all faults are repaired, every instance must agree with the platform
and see every running instance as alive.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import testtools

from skylarkfold import event
from skylarkfold.measure import _control_fleet
from skylarkfold.measure import _control_platform
from skylarkfold import member
from skylarkfold import platform_api

ZONES = ('hall-a', 'hall-b', 'hall-c')
HOSTS = tuple(f'entry-{number}' for number in range(6))
PATHS = ('/teams/desk/settings', '/tables/desk', '/claims/x', '/leases/y')
BOUND_SECONDS = 90.0
OK = platform_api.PlatformStatus.OK

hosts = strategies.sampled_from(HOSTS)
waits = strategies.sampled_from((0, 0.5, 4, 12, 30))
zones = strategies.sampled_from(ZONES)


def find_disagreements(fleet):
    """List what is wrong with a mended fleet."""
    platform = fleet.platform
    wanted = {
        path: each
        for path, each in platform.list_current().items()
        if each.value is not None
    }
    found = []
    for name, host in sorted(fleet.hosts.items()):
        applied = {
            path: each
            for path, each in host.applied.items()
            if each.value is not None
        }
        if applied != wanted:
            found.append(f'{name}: objects differ')
        if host.distribution.revision != platform.revision:
            found.append(f'{name}: at {host.distribution.revision}')
        if not host.distribution.is_ready or not host.membership.is_ready:
            found.append(f'{name}: not ready')
        found += find_wrong_members(fleet, host)
    return found


def find_wrong_members(fleet, host):
    members = host.membership.membership.members
    for name in sorted({*members, *fleet.hosts}):
        seen = members.get(name)
        if name in fleet.hosts:
            is_right = seen and seen.state is member.MemberState.ALIVE
        else:
            is_right = not seen.state.is_reachable
        if not is_right:
            yield f'{host.name}: {name} is {seen and seen.state}'


class FleetMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.platform = _control_platform.Platform(0.005, seed=1)
        self.fleet = _control_fleet.Fleet(1, self.platform)
        self.incarnations = dict.fromkeys(HOSTS, 0)
        for name in HOSTS:
            self.begin(name)
        self.platform.instances = self.fleet.list_instances()
        self.fleet.run(3)

    def begin(self, name):
        self.incarnations[name] += 10
        zone = ZONES[HOSTS.index(name) % len(ZONES)]
        place = _control_fleet.Place(zone, 'norte')
        self.fleet.start(name, place, self.incarnations[name])

    @stateful.rule(path=strategies.sampled_from(PATHS), size=hosts)
    def write(self, path, size):
        self.platform.write(self.fleet.now, path, size.encode())

    @stateful.rule(path=strategies.sampled_from(PATHS), name=hosts)
    def write_from_instance(self, path, name):
        """The writer knows its object before its watch brings it."""
        now = self.fleet.now
        self.platform.write(now, path, b'earlier')
        written = self.platform.write(now, path, name.encode())
        if name in self.fleet.hosts and not self.platform.is_down:
            ended = event.WriteEnded(path, OK, written)
            self.fleet.tell(name, ended)

    @stateful.rule(path=strategies.sampled_from(PATHS))
    def delete(self, path):
        current = self.platform.list_current().get(path)
        if current is not None and current.value is not None:
            self.platform.write(self.fleet.now, path, None)

    @stateful.rule(is_down=strategies.booleans())
    def change_platform(self, is_down):
        (self.platform.stop if is_down else self.platform.start)()

    @stateful.rule(lost=strategies.sampled_from((0.0, 0.5)))
    def lose_answers(self, lost):
        self.platform.lost_share = lost

    @stateful.rule(stale=strategies.sampled_from((0.0, 0.5)))
    def read_stale(self, stale):
        self.platform.stale_share = stale

    @stateful.rule()
    def compact(self):
        self.platform.compacted = self.platform.number

    @stateful.rule(lost=strategies.integers(0, 6))
    def come_back_older(self, lost):
        """The platform comes back from a copy that lacks some writes."""
        self.platform.restore(max(0, self.platform.number - lost))

    @stateful.rule(loss=strategies.sampled_from((0.0, 0.01, 0.3)))
    def lose_messages(self, loss):
        self.fleet.loss = loss

    @stateful.rule(zone=zones, seconds=waits)
    def cut_zone(self, zone, seconds=0):
        self.fleet.cut_zones.add(zone)
        self.fleet.run(seconds)

    @stateful.rule(zone=zones, seconds=waits)
    def mend_zone(self, zone, seconds=0):
        self.fleet.cut_zones.discard(zone)
        self.fleet.run(seconds)

    @stateful.rule(name=hosts, seconds=waits)
    def cut_host(self, name, seconds=0):
        self.fleet.cut_hosts.add(name)
        self.fleet.run(seconds)

    @stateful.rule(name=hosts, seconds=waits)
    def mend_host(self, name, seconds=0):
        self.fleet.cut_hosts.discard(name)
        self.fleet.run(seconds)

    @stateful.rule(name=hosts, is_paused=strategies.booleans())
    def pause(self, name, is_paused):
        if name in self.fleet.hosts:
            self.fleet.hosts[name].is_paused = is_paused

    @stateful.rule(name=hosts, is_told=strategies.booleans())
    def kill(self, name, is_told):
        if name in self.fleet.hosts:
            self.fleet.kill(name, is_told)

    @stateful.rule(name=hosts)
    def start(self, name):
        if name not in self.fleet.hosts:
            self.begin(name)

    @stateful.rule()
    def renew_list(self):
        self.platform.instances = self.fleet.list_instances()

    @stateful.rule(seconds=strategies.sampled_from((0.5, 4, 12, 30, 70)))
    def wait(self, seconds):
        self.fleet.run(seconds)

    @stateful.invariant()
    def nothing_reverts(self):
        for host in self.fleet.hosts.values():
            assert host.reverts == 0, host.name

    def teardown(self):
        self.mend()
        self.fleet.run(BOUND_SECONDS)
        self.nothing_reverts()
        found = find_disagreements(self.fleet)
        assert not found, found

    def mend(self):
        self.fleet.cut_zones.clear()
        self.fleet.cut_hosts.clear()
        self.fleet.loss = 0.0
        self.platform.start()
        self.platform.lost_share = self.platform.stale_share = 0.0
        for host in self.fleet.hosts.values():
            host.is_paused = False
        self.renew_list()


class ConvergenceTest(testtools.TestCase):
    def test_faults_never_revert_and_always_converge(self):
        settings = hypothesis.settings(
            max_examples=8, stateful_step_count=15, deadline=None
        )
        stateful.run_state_machine_as_test(FleetMachine, settings=settings)

    def test_partitioned_instance_rejoins(self):
        machine = FleetMachine()
        machine.cut_host('entry-0')
        machine.wait(30)
        members = machine.fleet.hosts['entry-3'].membership.membership.members
        self.assertIs(member.MemberState.DEAD, members['entry-0'].state)
        machine.teardown()

    def test_paused_instance_rejoins(self):
        machine = FleetMachine()
        machine.pause('entry-0', True)
        machine.wait(30)
        machine.teardown()

    def test_broken_path_between_zone_peers_declares_nobody_dead(self):
        machine = FleetMachine()
        pair = frozenset(('entry-0', 'entry-3'))
        machine.fleet.cut_pairs.add(pair)
        for _ in range(30):
            machine.wait(1)
            for name in pair:
                seen = machine.fleet.hosts[name].membership.membership
                states = {each.state for each in seen.members.values()}
                self.assertEqual({member.MemberState.ALIVE}, states)
        machine.teardown()

    def test_zone_peer_killed_during_a_partition_is_declared_dead(self):
        """Its only zone peer is partitioned at the time of the kill."""
        machine = FleetMachine()
        machine.cut_host('entry-0')
        machine.kill('entry-3', is_told=False)
        machine.wait(70)
        machine.teardown()
