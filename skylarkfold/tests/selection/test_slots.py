"""Tests of slots that a coordinator grants to several instances."""

import dataclasses

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import admission
from skylarkfold import codec
from skylarkfold import effect
from skylarkfold import request
from skylarkfold import selection
from skylarkfold import service
from skylarkfold.tests.selection import test_selector

NAMES = ('one', 'two', 'three')
ANSWERED = request.Outcome.ANSWERED


class Group:
    """Selectors that exchange messages, with their waiting requests."""

    def __init__(self, names=NAMES, configured=None, **settings):
        self.service = configured or test_selector.build_service()
        self.owners = tuple(names)
        self.selectors = {
            name: test_selector.build_selector(
                selection.Policy.SLOTS, name, settle_seconds=0.0, **settings
            )
            for name in names
        }
        self.waiting = dict.fromkeys(names, admission.WaitingCounts())
        self.running = []
        self.mail = []
        self.cut_off = set()
        self.configure(self.service)

    def configure(self, configured, owners=None):
        self.service = configured
        self.owners = owners or self.owners
        for selector in self.selectors.values():
            selector.configure(configured, self.owners)

    def want(self, now, name, alerts=0, exchanges=0, bulk=0):
        old = self.waiting[name]
        self.waiting[name] = admission.WaitingCounts(
            old.alerts + alerts, old.exchanges + exchanges, old.bulk + bulk
        )
        self.flush(now, name)

    def flush(self, now, name):
        self.dispatch_waiting(now, name)
        self.collect_messages(name, self.selectors[name].flush(now))
        if self.selectors[name].list_ready():
            self.dispatch_waiting(now, name)
            self.collect_messages(name, self.selectors[name].flush(now))

    def dispatch_waiting(self, now, name):
        selector = self.selectors[name]
        selector.record_waiting(now, 'desk', self.waiting[name])
        while self.waiting[name].total:
            choice = selector.choose(now, 'desk', frozenset())
            if choice.upstream is None:
                break
            self.remove_waiting(name)
            selector.record_dispatch(now, 'desk', choice.upstream.name)
            self.running.append((name, choice.upstream.name))
        selector.record_waiting(now, 'desk', self.waiting[name])

    def remove_waiting(self, name):
        waiting = self.waiting[name]
        for field in ('alerts', 'exchanges', 'bulk'):
            count = getattr(waiting, field)
            if count:
                changes = {field: count - 1}
                self.waiting[name] = dataclasses.replace(waiting, **changes)
                return

    def collect_messages(self, sender, effects):
        for each in effects:
            if isinstance(each, effect.SendToPeer):
                self.mail.append((sender, each.peer, each.message))

    def deliver(self, now):
        while self.mail:
            sender, peer, message = self.mail.pop(0)
            if self.cut_off & {sender, peer}:
                continue
            (decoded,) = codec.StreamDecoder(selection.MESSAGES).feed(
                codec.encode(message)
            )
            effects = self.selectors[peer].handle_message(now, sender, decoded)
            self.collect_messages(peer, effects)
            self.flush(now, peer)

    def finish(self, now, index=0, outcome=ANSWERED, elapsed=0.1):
        name, upstream = self.running.pop(index)
        self.selectors[name].record_outcome(
            now, 'desk', upstream, outcome, elapsed
        )
        self.flush(now, name)
        return name, upstream

    def tick(self, now):
        for name in self.owners:
            self.collect_messages(name, self.selectors[name].tick(now))
            self.flush(now, name)
        self.deliver(now)

    def get_coordinator(self):
        (state,) = self.selectors[self.owners[0]]._states.values()
        return state.coordinator_name

    def count_by_upstream(self):
        counts = {}
        for _, upstream in self.running:
            counts[upstream] = counts.get(upstream, 0) + 1
        return counts


class SlotsTest(testtools.TestCase):
    def test_every_slot_is_used_once(self):
        group = Group(pipeline_extra=0)
        for name in NAMES:
            group.want(0.0, name, exchanges=10)
        group.deliver(0.0)
        self.assertEqual(14, len(group.running))
        self.assertEqual({2}, set(group.count_by_upstream().values()))
        self.assertEqual(7, len(group.count_by_upstream()))

    def test_one_busy_instance_can_use_all_slots(self):
        group = Group(pipeline_extra=0)
        other = next(each for each in NAMES if each != group.get_coordinator())
        group.want(0.0, other, bulk=20)
        group.deliver(0.0)
        self.assertEqual(14, len(group.running))
        self.assertEqual({other}, {name for name, _ in group.running})

    def test_a_released_slot_goes_to_an_alert_of_another_instance(self):
        group = Group(pipeline_extra=0, slot_uses=1)
        busy, other = [
            each for each in NAMES if each != group.get_coordinator()
        ]
        group.want(0.0, busy, bulk=20)
        group.deliver(0.0)
        group.want(0.0, other, alerts=1)
        group.deliver(0.0)
        group.finish(0.1)
        group.deliver(0.1)
        self.assertEqual(other, group.running[-1][0])

    def test_idle_slots_are_released(self):
        group = Group(pipeline_extra=0)
        other = next(each for each in NAMES if each != group.get_coordinator())
        group.want(0.0, other, exchanges=14)
        group.waiting[other] = admission.WaitingCounts()
        group.deliver(0.0)
        self.assertEqual([], group.running)
        group.want(0.0, group.get_coordinator(), exchanges=14)
        group.deliver(0.0)
        self.assertEqual(14, len(group.running))

    def test_a_held_slot_of_a_draining_upstream_is_not_used(self):
        group = Group()
        other = next(each for each in NAMES if each != group.get_coordinator())
        group.want(0.0, other, exchanges=1)
        drained = test_selector.build_service(draining=range(6))
        group.selectors[other].configure(drained, NAMES)
        group.deliver(0.0)
        allowed = {'desk-6'}
        self.assertEqual(set(), set(group.count_by_upstream()) - allowed)
        group.configure(drained)
        group.tick(1.0)
        group.want(1.0, other, exchanges=9)
        group.deliver(1.0)
        self.assertEqual(allowed, set(group.count_by_upstream()))

    def test_choices_are_local_when_the_coordinator_stays_silent(self):
        group = Group()
        coordinator = group.get_coordinator()
        other = next(each for each in NAMES if each != coordinator)
        group.cut_off.add(coordinator)
        group.want(0.0, other, exchanges=20)
        group.deliver(0.0)
        self.assertEqual([], group.running)
        group.tick(0.5)
        self.assertEqual([], group.running)
        group.tick(0.7)
        self.assertEqual(14, len(group.running))

    def test_a_coordinator_settles_before_its_first_grant(self):
        selector = test_selector.build_selector(selection.Policy.SLOTS)
        configured = test_selector.build_service()
        selector.configure(configured, ('one', 'zero'))
        self.assertEqual('one', selector._states['desk'].coordinator_name)
        self.assertIsNone(selector.choose(0.0, 'desk', frozenset()).upstream)
        selector.configure(configured, ('zero',))
        selector.configure(configured, ('one', 'zero'))
        selector.tick(1.0)
        choice = selector.choose(1.2, 'desk', frozenset())
        self.assertIsNotNone(choice.upstream)

    def test_choices_are_local_when_the_coordinator_is_lost(self):
        group = Group()
        coordinator = group.get_coordinator()
        other = next(each for each in NAMES if each != coordinator)
        group.selectors[other].handle_peer_lost(0.0, coordinator)
        group.want(0.0, other, exchanges=1)
        self.assertEqual(1, len(group.running))

    def test_a_new_coordinator_learns_which_slots_are_held(self):
        group = Group(pipeline_extra=0)
        coordinator = group.get_coordinator()
        remaining = tuple(each for each in NAMES if each != coordinator)
        for name in remaining:
            group.want(0.0, name, exchanges=5)
        group.deliver(0.0)
        self.assertEqual(10, len(group.running))
        group.cut_off.add(coordinator)
        group.configure(group.service, remaining)
        for name in remaining:
            group.flush(0.1, name)
        group.deliver(0.1)
        group.tick(0.2)
        for name in remaining:
            group.want(0.3, name, exchanges=20)
        group.deliver(0.3)
        self.assertEqual({2}, set(group.count_by_upstream().values()))
        self.assertEqual(14, len(group.running))

    def test_slots_of_a_silent_instance_are_reclaimed(self):
        group = Group(pipeline_extra=0)
        coordinator = group.get_coordinator()
        gone, other = [each for each in NAMES if each != coordinator]
        group.want(0.0, gone, exchanges=14)
        group.deliver(0.0)
        group.running.clear()
        group.cut_off.add(gone)
        for second in range(1, 8):
            group.tick(float(second))
        group.want(8.0, other, exchanges=14)
        group.deliver(8.0)
        self.assertEqual(14, len(group.running))

    def test_a_lost_grant_is_replaced(self):
        group = Group(pipeline_extra=0)
        other = next(each for each in NAMES if each != group.get_coordinator())
        group.want(0.0, other, exchanges=1)
        group.deliver(0.0)
        group.finish(0.1)
        group.deliver(0.1)
        group.want(0.2, other, exchanges=14)
        sender, peer, demand = group.mail.pop(0)
        group.collect_messages(
            peer, group.selectors[peer].handle_message(0.2, sender, demand)
        )
        group.mail.clear()
        self.assertEqual([], group.running)
        for step in range(1, 30):
            group.tick(0.2 + step * 0.2)
        self.assertEqual(14, len(group.running))

    def test_choices_are_local_while_the_byte_budget_is_spent(self):
        group = Group(control_bytes_per_second=100.0, pipeline_extra=0)
        coordinator = group.get_coordinator()
        other = next(each for each in NAMES if each != coordinator)
        for step in range(10):
            group.want(step * 0.01, other, exchanges=1)
            group.deliver(step * 0.01)
        self.assertEqual(10, len(group.running))
        choice = group.selectors[other].choose(0.2, 'desk', frozenset())
        self.assertEqual(selection.ChoiceReason.CHOSEN_ALONE, choice.reason)
        while group.running:
            group.finish(0.3)
        self.assertEqual([], group.mail)
        group.tick(3.0)
        group.want(3.0, other, exchanges=1)
        self.assertEqual([], group.running)
        group.deliver(3.0)
        self.assertEqual(1, len(group.running))

    def test_messages_keep_to_the_byte_budget(self):
        group = Group(control_bytes_per_second=200.0, pipeline_extra=0)
        coordinator = group.get_coordinator()
        other = next(each for each in NAMES if each != coordinator)
        size_bytes = 0
        for step in range(2000):
            now = step * 0.01
            group.want(now, other, exchanges=1)
            size_bytes += sum(
                len(codec.encode(message)) for _, _, message in group.mail
            )
            group.deliver(now)
            while len(group.running) > 7:
                group.finish(now)
            if step % 20 == 0:
                group.tick(now)
        self.assertLess(size_bytes / 20, 300)

    def test_a_lost_coordinator_is_used_again_when_it_replies(self):
        group = Group(pipeline_extra=0)
        coordinator = group.get_coordinator()
        other = next(each for each in NAMES if each != coordinator)
        group.selectors[other].handle_peer_lost(0.0, coordinator)
        group.want(0.0, other, exchanges=1)
        group.want(0.1, other, exchanges=1)
        self.assertEqual(2, len(group.running))
        while group.running:
            group.finish(0.2)
        group.tick(1.5)
        group.want(2.0, other, exchanges=1)
        self.assertEqual([], group.running)
        group.deliver(2.0)
        self.assertEqual(1, len(group.running))


class UpstreamStateTrackingTest(testtools.TestCase):
    def test_a_refusal_lowers_the_limit_for_a_while(self):
        group = Group(
            configured=test_selector.build_service(count=1),
            pipeline_extra=0,
        )
        coordinator = group.get_coordinator()
        group.want(0.0, coordinator, exchanges=4)
        self.assertEqual(2, len(group.running))
        group.finish(0.1, outcome=request.Outcome.REFUSED)
        self.assertEqual(1, len(group.running))
        group.tick(0.19)
        self.assertEqual(1, len(group.running))
        group.tick(0.21)
        self.assertEqual(2, len(group.running))

    def test_failures_eject_no_more_than_the_cap(self):
        group = Group()
        coordinator = group.get_coordinator()
        now = 0.0
        for _ in range(60):
            now += 0.01
            group.want(now, coordinator, exchanges=1)
            group.finish(now, outcome=request.Outcome.BROKEN)
        ejected = [
            each.upstream.name
            for each in group.selectors[coordinator]
            ._states['desk']
            .allocator.pool
            if each.is_ejected(now)
        ]
        self.assertEqual(2, len(ejected))

    def test_an_upstream_unreachable_from_one_instance_serves_others(self):
        group = Group(pipeline_extra=0)
        coordinator = group.get_coordinator()
        partitioned, other = [each for each in NAMES if each != coordinator]
        now = 0.0
        used = set()
        for _ in range(100):
            now += 0.01
            group.want(now, partitioned, exchanges=1)
            group.deliver(now)
            failed = group.running[-1][1] == 'desk-0'
            outcome = request.Outcome.UNREACHABLE if failed else ANSWERED
            group.finish(now, -1, outcome)
            group.deliver(now)
            group.want(now, other, exchanges=1)
            group.deliver(now)
            used.add(group.finish(now, -1)[1])
            group.deliver(now)
        group.want(now, other, exchanges=14)
        group.deliver(now)
        self.assertIn('desk-0', group.count_by_upstream())
        group.running.clear()
        group.want(now, partitioned, exchanges=14)
        group.deliver(now)
        self.assertNotIn('desk-0', group.count_by_upstream())

    def test_an_instance_that_reaches_no_upstream_names_a_peer(self):
        group = Group(pipeline_extra=0)
        coordinator = group.get_coordinator()
        partitioned = next(each for each in NAMES if each != coordinator)
        now = 0.0
        for _ in range(60):
            now += 0.01
            group.want(now, partitioned, exchanges=1)
            group.deliver(now)
            group.finish(now, 0, request.Outcome.UNREACHABLE)
            group.deliver(now)
        choice = group.selectors[partitioned].choose(now, 'desk', frozenset())
        self.assertIsNone(choice.upstream)
        self.assertEqual(
            selection.ChoiceReason.UNREACHABLE_HERE, choice.reason
        )
        self.assertEqual(coordinator, choice.pass_to)

    def test_a_slow_upstream_is_used_last(self):
        group = Group(pipeline_extra=0)
        coordinator = group.get_coordinator()
        now = 0.0
        for _ in range(200):
            now += 0.01
            group.want(now, coordinator, exchanges=1)
            slow = group.running[0][1] == 'desk-3'
            group.finish(now, elapsed=0.9 if slow else 0.1)
        group.want(now, coordinator, exchanges=12)
        self.assertNotIn('desk-3', group.count_by_upstream())
        group.want(now, coordinator, exchanges=200)
        self.assertIn('desk-3', group.count_by_upstream())

    def test_a_new_upstream_starts_with_fewer_slots(self):
        group = Group(
            configured=test_selector.build_service(count=2, slots=4),
            pipeline_extra=0,
        )
        coordinator = group.get_coordinator()
        group.configure(test_selector.build_service(count=3, slots=4))
        group.want(0.0, coordinator, exchanges=20)
        self.assertEqual(1, group.count_by_upstream()['desk-2'])
        for step in range(8):
            index = [each for _, each in group.running].index('desk-2')
            group.finish(0.1 + step, index)
        self.assertEqual(4, group.count_by_upstream()['desk-2'])

    def test_recent_answers_outweigh_unhealthy_reports(self):
        group = Group(pipeline_extra=0)
        coordinator = group.get_coordinator()
        group.want(0.0, coordinator, exchanges=7)
        while group.running:
            group.finish(0.1)
        state = group.selectors[coordinator]._states['desk']
        for record in state.allocator.pool:
            record.record_report(False, 0)
        group.want(0.2, coordinator, exchanges=14)
        self.assertEqual(14, len(group.running))
        group.running.clear()
        usable = state.allocator.pool.list_usable(60.0)
        self.assertEqual(5, len(usable))


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ('want', 'finish', 'deliver', 'tick', 'drain', 'cut', 'lose')
        ),
        strategies.integers(0, 2),
        strategies.integers(0, 6),
        strategies.sampled_from(
            (
                ANSWERED,
                ANSWERED,
                request.Outcome.REFUSED,
                request.Outcome.BROKEN,
                request.Outcome.UNREACHABLE,
            )
        ),
    ),
    max_size=60,
)


class SlotsPropertyTest(testtools.TestCase):
    @hypothesis.given(STEPS)
    def test_no_draining_upstream_and_no_starvation_in_any_order(self, steps):
        group = Group()
        now = 0.0
        draining = set()
        for step, index, number, outcome in steps:
            now += 0.05
            name = NAMES[index]
            known = len(group.running)
            if step == 'want':
                group.want(now, name, number % 2, number // 2, index)
            elif step == 'finish' and group.running:
                group.finish(now, number % known, outcome)
                known -= 1
            elif step == 'deliver':
                group.deliver(now)
            elif step == 'tick':
                group.tick(now)
            elif step == 'drain':
                draining ^= {number}
                group.configure(test_selector.build_service(draining=draining))
            elif step == 'cut':
                group.cut_off ^= {name}
            elif step == 'lose' and group.mail:
                del group.mail[number % len(group.mail)]
            chosen = {upstream for _, upstream in group.running[known:]}
            drained = {f'desk-{each}' for each in draining}
            self.assertEqual(set(), chosen & drained)
        self._check_recovery(group, now)

    def _check_recovery(self, group, now):
        """Check that all waiting requests are served once faults end."""
        group.cut_off.clear()
        group.configure(test_selector.build_service())
        for _ in range(150):
            now += 0.2
            group.tick(now)
            while group.running:
                group.finish(now, outcome=ANSWERED)
                group.deliver(now)
            if not any(each.total for each in group.waiting.values()):
                break
        self.assertEqual(
            0, sum(waiting.total for waiting in group.waiting.values())
        )
        for name in group.owners:
            group.want(now, name, exchanges=40)
        for _ in range(40):
            now += 0.2
            group.tick(now)
        counts = group.count_by_upstream()
        self.assertEqual(7, len(counts))
        self.assertLessEqual(max(counts.values()), 3)


class UpstreamStateTest(testtools.TestCase):
    def test_no_upstream_is_chosen_if_none_is_active(self):
        group = Group(
            configured=test_selector.build_service(draining=range(7))
        )
        choice = group.selectors['one'].choose(0.0, 'desk', frozenset())
        self.assertEqual(selection.ChoiceReason.NO_UPSTREAM, choice.reason)
        self.assertEqual(
            service.UpstreamState.DRAINING,
            group.service.upstreams[0].state,
        )
