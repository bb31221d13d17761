"""Tests of slots granted by a service's home to several instances."""

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
    """Selectors that exchange messages, and what each of them waits for."""

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
        self.settle(now, name)

    def settle(self, now, name):
        self.pump(now, name)
        self.collect(name, self.selectors[name].flush(now))
        if self.selectors[name].list_ready():
            self.pump(now, name)
            self.collect(name, self.selectors[name].flush(now))

    def pump(self, now, name):
        selector = self.selectors[name]
        selector.record_waiting(now, 'desk', self.waiting[name])
        while self.waiting[name].total:
            choice = selector.choose(now, 'desk', frozenset())
            if choice.upstream is None:
                break
            self.take(name)
            selector.record_dispatch(now, 'desk', choice.upstream.name)
            self.running.append((name, choice.upstream.name))
        selector.record_waiting(now, 'desk', self.waiting[name])

    def take(self, name):
        left = self.waiting[name]
        for field in ('alerts', 'exchanges', 'bulk'):
            count = getattr(left, field)
            if count:
                changes = {field: count - 1}
                self.waiting[name] = dataclasses.replace(left, **changes)
                return

    def collect(self, sender, effects):
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
            self.collect(peer, effects)
            self.settle(now, peer)

    def finish(self, now, index=0, outcome=ANSWERED, elapsed=0.1):
        name, upstream = self.running.pop(index)
        self.selectors[name].record_outcome(
            now, 'desk', upstream, outcome, elapsed
        )
        self.settle(now, name)
        return name, upstream

    def tick(self, now):
        for name in self.owners:
            self.collect(name, self.selectors[name].tick(now))
            self.settle(now, name)
        self.deliver(now)

    def find_home(self):
        (share,) = self.selectors[self.owners[0]]._shares.values()
        return share.home

    def count_by_upstream(self):
        counts = {}
        for _, upstream in self.running:
            counts[upstream] = counts.get(upstream, 0) + 1
        return counts


class SlotsTest(testtools.TestCase):
    def test_all_slots_are_used_and_none_twice(self):
        group = Group(pipeline_extra=0)
        for name in NAMES:
            group.want(0.0, name, exchanges=10)
        group.deliver(0.0)
        self.assertEqual(14, len(group.running))
        self.assertEqual({2}, set(group.count_by_upstream().values()))
        self.assertEqual(7, len(group.count_by_upstream()))

    def test_one_busy_instance_gets_the_slots_of_idle_ones(self):
        group = Group(pipeline_extra=0)
        other = next(each for each in NAMES if each != group.find_home())
        group.want(0.0, other, bulk=20)
        group.deliver(0.0)
        self.assertEqual(14, len(group.running))
        self.assertEqual({other}, {name for name, _ in group.running})

    def test_a_freed_slot_goes_to_an_alert_of_another_instance(self):
        group = Group(pipeline_extra=0, slot_uses=1)
        busy, urgent = [n for n in NAMES if n != group.find_home()]
        group.want(0.0, busy, bulk=20)
        group.deliver(0.0)
        group.want(0.0, urgent, alerts=1)
        group.deliver(0.0)
        group.finish(0.1)
        group.deliver(0.1)
        self.assertEqual(urgent, group.running[-1][0])

    def test_unused_slots_go_back(self):
        group = Group(pipeline_extra=0)
        other = next(each for each in NAMES if each != group.find_home())
        group.want(0.0, other, exchanges=14)
        group.waiting[other] = admission.WaitingCounts()
        group.deliver(0.0)
        self.assertEqual([], group.running)
        group.want(0.0, group.find_home(), exchanges=14)
        group.deliver(0.0)
        self.assertEqual(14, len(group.running))

    def test_a_draining_upstream_gets_nothing_although_a_slot_is_held(self):
        group = Group()
        other = next(each for each in NAMES if each != group.find_home())
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

    def test_a_silent_home_is_done_without_after_a_while(self):
        group = Group()
        home = group.find_home()
        other = next(each for each in NAMES if each != home)
        group.cut_off.add(home)
        group.want(0.0, other, exchanges=20)
        group.deliver(0.0)
        self.assertEqual([], group.running)
        group.tick(0.5)
        self.assertEqual([], group.running)
        group.tick(0.7)
        self.assertEqual(14, len(group.running))

    def test_a_home_settles_before_its_first_request(self):
        selector = test_selector.build_selector(selection.Policy.SLOTS)
        service_ = test_selector.build_service()
        selector.configure(service_, ('one', 'zero'))
        self.assertEqual('one', selector._shares['desk'].home)
        self.assertIsNone(selector.choose(0.0, 'desk', frozenset()).upstream)
        selector.configure(service_, ('zero',))
        selector.configure(service_, ('one', 'zero'))
        selector.tick(1.0)
        choice = selector.choose(1.2, 'desk', frozenset())
        self.assertIsNotNone(choice.upstream)

    def test_a_lost_home_is_done_without_at_once(self):
        group = Group()
        home = group.find_home()
        other = next(each for each in NAMES if each != home)
        group.selectors[other].handle_peer_lost(0.0, home)
        group.want(0.0, other, exchanges=1)
        self.assertEqual(1, len(group.running))

    def test_a_new_home_learns_what_is_held(self):
        group = Group(pipeline_extra=0)
        home = group.find_home()
        rest = tuple(each for each in NAMES if each != home)
        for name in rest:
            group.want(0.0, name, exchanges=5)
        group.deliver(0.0)
        self.assertEqual(10, len(group.running))
        group.cut_off.add(home)
        group.configure(group.service, rest)
        for name in rest:
            group.settle(0.1, name)
        group.deliver(0.1)
        group.tick(0.2)
        for name in rest:
            group.want(0.3, name, exchanges=20)
        group.deliver(0.3)
        self.assertEqual({2}, set(group.count_by_upstream().values()))
        self.assertEqual(14, len(group.running))

    def test_a_silent_holder_loses_its_slots(self):
        group = Group(pipeline_extra=0)
        home = group.find_home()
        gone, other = [n for n in NAMES if n != home]
        group.want(0.0, gone, exchanges=14)
        group.deliver(0.0)
        group.running.clear()
        group.cut_off.add(gone)
        for second in range(1, 8):
            group.tick(float(second))
        group.want(8.0, other, exchanges=14)
        group.deliver(8.0)
        self.assertEqual(14, len(group.running))

    def test_a_lost_grant_is_made_good(self):
        group = Group(pipeline_extra=0)
        other = next(each for each in NAMES if each != group.find_home())
        group.want(0.0, other, exchanges=1)
        group.deliver(0.0)
        group.finish(0.1)
        group.deliver(0.1)
        group.want(0.2, other, exchanges=14)
        sender, peer, demand = group.mail.pop(0)
        group.collect(
            peer, group.selectors[peer].handle_message(0.2, sender, demand)
        )
        group.mail.clear()
        self.assertEqual([], group.running)
        for step in range(1, 30):
            group.tick(0.2 + step * 0.2)
        self.assertEqual(14, len(group.running))

    def test_a_spent_budget_has_all_choose_alone_for_a_while(self):
        group = Group(control_bytes_per_second=100.0, pipeline_extra=0)
        home = group.find_home()
        other = next(each for each in NAMES if each != home)
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

    def test_messages_keep_to_the_budget(self):
        group = Group(control_bytes_per_second=200.0, pipeline_extra=0)
        home = group.find_home()
        other = next(each for each in NAMES if each != home)
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

    def test_a_lost_home_is_returned_to_when_it_answers(self):
        group = Group(pipeline_extra=0)
        home = group.find_home()
        other = next(each for each in NAMES if each != home)
        group.selectors[other].handle_peer_lost(0.0, home)
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


class JudgementTest(testtools.TestCase):
    def test_a_refusal_lowers_the_limit_for_a_while(self):
        group = Group(
            configured=test_selector.build_service(count=1),
            pipeline_extra=0,
        )
        home = group.find_home()
        group.want(0.0, home, exchanges=4)
        self.assertEqual(2, len(group.running))
        group.finish(0.1, outcome=request.Outcome.REFUSED)
        self.assertEqual(1, len(group.running))
        group.tick(0.19)
        self.assertEqual(1, len(group.running))
        group.tick(0.21)
        self.assertEqual(2, len(group.running))

    def test_failures_eject_but_never_more_than_the_cap(self):
        group = Group()
        home = group.find_home()
        now = 0.0
        for _ in range(60):
            now += 0.01
            group.want(now, home, exchanges=1)
            group.finish(now, outcome=request.Outcome.BROKEN)
        ejected = [
            each.upstream.name
            for each in group.selectors[home]._shares['desk'].broker.pool
            if each.is_ejected(now)
        ]
        self.assertEqual(2, len(ejected))

    def test_an_upstream_out_of_reach_of_one_serves_the_others(self):
        group = Group(pipeline_extra=0)
        home = group.find_home()
        cut, other = [n for n in NAMES if n != home]
        now = 0.0
        used = set()
        for _ in range(100):
            now += 0.01
            group.want(now, cut, exchanges=1)
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
        group.want(now, cut, exchanges=14)
        group.deliver(now)
        self.assertNotIn('desk-0', group.count_by_upstream())

    def test_an_instance_that_reaches_nothing_names_a_peer(self):
        group = Group(pipeline_extra=0)
        home = group.find_home()
        cut = next(each for each in NAMES if each != home)
        now = 0.0
        for _ in range(60):
            now += 0.01
            group.want(now, cut, exchanges=1)
            group.deliver(now)
            group.finish(now, 0, request.Outcome.UNREACHABLE)
            group.deliver(now)
        choice = group.selectors[cut].choose(now, 'desk', frozenset())
        self.assertIsNone(choice.upstream)
        self.assertEqual(
            selection.ChoiceReason.UNREACHABLE_HERE, choice.reason
        )
        self.assertEqual(home, choice.pass_to)

    def test_a_slow_upstream_is_used_last(self):
        group = Group(pipeline_extra=0)
        home = group.find_home()
        now = 0.0
        for _ in range(200):
            now += 0.01
            group.want(now, home, exchanges=1)
            slow = group.running[0][1] == 'desk-3'
            group.finish(now, elapsed=0.9 if slow else 0.1)
        group.want(now, home, exchanges=12)
        self.assertNotIn('desk-3', group.count_by_upstream())
        group.want(now, home, exchanges=200)
        self.assertIn('desk-3', group.count_by_upstream())

    def test_a_new_upstream_starts_with_fewer_slots(self):
        group = Group(
            configured=test_selector.build_service(count=2, slots=4),
            pipeline_extra=0,
        )
        home = group.find_home()
        group.configure(test_selector.build_service(count=3, slots=4))
        group.want(0.0, home, exchanges=20)
        self.assertEqual(1, group.count_by_upstream()['desk-2'])
        for step in range(8):
            index = [each for _, each in group.running].index('desk-2')
            group.finish(0.1 + step, index)
        self.assertEqual(4, group.count_by_upstream()['desk-2'])

    def test_a_report_of_ill_health_counts_less_than_answers(self):
        group = Group(pipeline_extra=0)
        home = group.find_home()
        group.want(0.0, home, exchanges=7)
        while group.running:
            group.finish(0.1)
        shares = group.selectors[home]._shares['desk']
        for record in shares.broker.pool:
            record.record_report(False, 0)
        group.want(0.2, home, exchanges=14)
        self.assertEqual(14, len(group.running))
        group.running.clear()
        usable = shares.broker.pool.list_usable(60.0)
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
        """Whatever was lost: at peace, all that waits is served."""
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
        self.assertEqual(0, sum(w.total for w in group.waiting.values()))
        for name in group.owners:
            group.want(now, name, exchanges=40)
        for _ in range(40):
            now += 0.2
            group.tick(now)
        counts = group.count_by_upstream()
        self.assertEqual(7, len(counts))
        self.assertLessEqual(max(counts.values()), 3)


class UpstreamStateTest(testtools.TestCase):
    def test_a_service_without_active_upstreams_has_no_choice(self):
        group = Group(
            configured=test_selector.build_service(draining=range(7))
        )
        choice = group.selectors['one'].choose(0.0, 'desk', frozenset())
        self.assertEqual(selection.ChoiceReason.NO_UPSTREAM, choice.reason)
        self.assertEqual(
            service.UpstreamState.DRAINING,
            group.service.upstreams[0].state,
        )
