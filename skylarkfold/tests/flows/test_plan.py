"""Property tests of table planning."""

import collections

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import flows
from skylarkfold.flows import _plan
from skylarkfold.flows import _table
from skylarkfold import service
from skylarkfold.tests.flows import cluster

SETTINGS = flows.FlowSettings(bucket_count=64)
STATES = strategies.sampled_from(service.UpstreamState)
WEIGHTS = strategies.sampled_from([0.5, 1.0, 2.0])
PREFERENCES = strategies.sampled_from(service.Preference)
BUCKETS = strategies.frozensets(strategies.integers(0, 63))


@strategies.composite
def build_services(draw):
    numbers = draw(strategies.sets(strategies.integers(0, 9), min_size=1))
    upstreams = [
        cluster.build_upstream(
            number, state=draw(STATES), weight=draw(WEIGHTS)
        )
        for number in sorted(numbers)
    ]
    return cluster.build_service(upstreams, preference=draw(PREFERENCES))


@strategies.composite
def build_plan_inputs(draw):
    new_service = draw(build_services())
    names = [each.name for each in new_service.upstreams]
    dead = draw(strategies.frozensets(strategies.sampled_from(names)))
    migrated = draw(BUCKETS)
    return _plan.PlanInput(
        service=new_service,
        dead=dead if len(dead) < len(names) else frozenset(),
        prepared=draw(BUCKETS),
        migrated=migrated,
        settled=migrated & draw(BUCKETS),
    )


def plan(table, plan_input):
    return _plan.plan_table(table, plan_input, SETTINGS) or table


def run_plans(first, plan_inputs):
    table = _table.build_initial(first, SETTINGS)
    for plan_input in plan_inputs:
        planned = plan(table, plan_input)
        yield table, plan_input, planned
        table = planned


HISTORIES = strategies.lists(build_plan_inputs(), min_size=1, max_size=6)


class PlanTest(testtools.TestCase):
    @hypothesis.given(build_services(), HISTORIES)
    def test_established_flows_keep_their_upstream(self, first, history):
        for before, plan_input, after in run_plans(first, history):
            for bucket in range(64):
                was = before.unpinned[bucket]
                if before.upstreams[was].name in plan_input.dead:
                    continue
                if after.unpinned[bucket] != was:
                    self.assertIn(bucket, plan_input.migrated)
                    self.assertEqual(_plan.OPEN, before.states[bucket])

    @hypothesis.given(build_services(), HISTORIES)
    def test_a_bucket_opens_only_when_prepared(self, first, history):
        for before, plan_input, after in run_plans(first, history):
            for bucket in range(64):
                was, now = before.states[bucket], after.states[bucket]
                if now == _plan.OPEN and was != _plan.OPEN:
                    self.assertEqual(_plan.PREPARING, was)
                    self.assertIn(bucket, plan_input.prepared)

    @hypothesis.given(build_services(), HISTORIES)
    def test_a_bucket_closes_only_where_nothing_can_differ(
        self, first, history
    ):
        for before, situation, after in run_plans(first, history):
            for bucket in range(64):
                was, now = before.states[bucket], after.states[bucket]
                if was == _plan.OPEN and now != _plan.OPEN:
                    self.assertEqual(_plan.CLOSED, now)
                    self.assertIn(bucket, situation.settled)
                    unpinned = before.unpinned[bucket]
                    self.assertEqual(before.targets[bucket], unpinned)

    @hypothesis.given(build_services(), HISTORIES, build_services())
    def test_shares_are_exact_in_the_end(self, first, history, last):
        table = _table.build_initial(first, SETTINGS)
        for plan_input in history:
            table = plan(table, plan_input)
        everything = frozenset(range(64))
        steady = _plan.PlanInput(
            service=last,
            prepared=everything,
            migrated=everything,
            settled=everything,
        )
        for _ in range(12):
            table = plan(table, steady)
        eligible = _table.list_eligible(last)
        weights = {each.name: each.weight for each in eligible}
        assigned = [each for each in table.targets if each != _table.BY_LOAD]
        counts = collections.Counter(
            table.upstreams[each].name for each in assigned
        )
        expected = _table.apportion(weights, len(assigned))
        self.assertEqual({k: v for k, v in expected.items() if v}, counts)
        balanced = _table.count_balanced(last, SETTINGS)
        self.assertEqual(balanced, len(table.targets) - len(assigned))
        self.assertIsNone(_plan.plan_table(table, steady, SETTINGS))

    @hypothesis.given(build_services(), HISTORIES)
    def test_tables_survive_the_store(self, first, history):
        for _, _, after in run_plans(first, history):
            self.assertEqual(after, _table.decode(_table.encode(after)))
