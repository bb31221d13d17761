"""Tests of the membership core."""

import testtools

from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold import event
from skylarkfold import instance
from skylarkfold import member
from skylarkfold import membership

State = member.MemberState


def build_core(name, incarnation=1, **changes):
    settings = instance.InstanceSettings(
        name, 'hall-a', 'norte', endpoint.Endpoint('127.0.0.1', 9000)
    )
    return membership.MembershipCore(
        settings,
        membership.MembershipSettings(**changes),
        incarnation=incarnation,
        seed=1,
    )


def deliver(now, cores, effects, sender):
    queue = [(sender, each) for each in effects]
    while queue:
        source, each = queue.pop(0)
        if not isinstance(each, effect.SendToPeer) or each.peer not in cores:
            continue
        received = event.PeerMessageReceived(source, each.message)
        answers = cores[each.peer].handle(now, received)
        queue += [(each.peer, answer) for answer in answers]


def build_cores(*names):
    cores = {name: build_core(name) for name in names}
    for name in names[1:]:
        effects = cores[names[0]].handle(0.0, event.PeerConnected(name))
        deliver(0.0, cores, effects, names[0])
    return cores


def run(cores, begin, end):
    for step in range(int(begin * 4), int(end * 4)):
        for name, core in cores.items():
            effects = core.handle(step / 4, event.Tick())
            deliver(step / 4, cores, effects, name)


class MembershipCoreTest(testtools.TestCase):
    def test_two_instances_discover_each_other(self):
        cores = {name: build_core(name) for name in ('a1', 'a2')}
        effects = cores['a1'].handle(0.0, event.PeerConnected('a2'))
        deliver(0.0, cores, effects, 'a1')
        run(cores, 0, 4)
        for core in cores.values():
            states = {
                name: each.state
                for name, each in core.membership.members.items()
            }
            self.assertEqual({'a1': State.ALIVE, 'a2': State.ALIVE}, states)

    def test_new_instance_is_ready_once_others_are_published(self):
        cores = build_cores('a1', 'a2')
        run(cores, 0, 4)
        cores['a3'] = build_core('a3')
        # Its first publication holds only itself, and the next may be delayed.
        cores['a3'].handle(4.0, event.Tick())
        effects = cores['a3'].handle(4.2, event.PeerConnected('a1'))
        deliver(4.2, cores, effects, 'a3')
        member_counts = []
        for step in range(17, 40):
            run(cores, step / 4, (step + 1) / 4)
            if cores['a3'].is_ready:
                member_counts.append(len(cores['a3'].membership.members))
        self.assertEqual({3}, set(member_counts))

    def test_silent_instance_becomes_suspect_then_dead(self):
        cores = build_cores('a1', 'a2', 'a3')
        run(cores, 0, 4)
        del cores['a2']
        run(cores, 4, 9)
        silent = cores['a1'].membership.members['a2']
        self.assertEqual(State.SUSPECT, silent.state)
        run(cores, 9, 15)
        silent = cores['a1'].membership.members['a2']
        self.assertEqual(State.DEAD, silent.state)

    def test_isolated_instance_declares_nobody_dead_at_first(self):
        cores = build_cores('a1', 'a2', 'a3')
        run(cores, 0, 4)
        del cores['a2'], cores['a3']
        run(cores, 4, 15)
        members = cores['a1'].membership.members
        self.assertEqual(State.ALIVE, members['a2'].state)
        run(cores, 15, 30)
        members = cores['a1'].membership.members
        self.assertEqual(State.SUSPECT, members['a2'].state)
        run(cores, 30, 70)
        members = cores['a1'].membership.members
        self.assertEqual(State.DEAD, members['a2'].state)

    def test_leaving_instance_announces_its_states(self):
        cores = build_cores('a1', 'a2', 'a3')
        run(cores, 0, 4)
        effects = cores['a2'].handle(4.0, event.StopRequested())
        deliver(4.0, cores, effects, 'a2')
        run(cores, 4, 5)
        leaving = cores['a1'].membership.members['a2']
        self.assertEqual(State.LEAVING, leaving.state)
        deliver(5.0, cores, cores['a2'].leave(5.0), 'a2')
        run(cores, 5, 6)
        leaving = cores['a1'].membership.members['a2']
        self.assertEqual(State.LEFT, leaving.state)

    def test_paused_instance_syncs_before_it_is_ready(self):
        cores = build_cores('a1', 'a2', 'a3')
        run(cores, 0, 4)
        paused = cores['a2']
        self.assertTrue(paused.is_ready)
        paused.handle(34.0, event.Tick())
        self.assertFalse(paused.is_ready)
        run(cores, 34, 38)
        self.assertTrue(paused.is_ready)
        self.assertEqual(2, paused.membership.members['a2'].incarnation)

    def test_seed_resolves_to_its_address(self):
        core = build_core('a1', seeds=('127.0.0.1:9001',))
        self.assertEqual(
            endpoint.Endpoint('127.0.0.1', 9001),
            core.resolve('127.0.0.1:9001'),
        )
        self.assertIsNone(core.resolve('nobody'))
