"""Tests of the ages of an answer at which instances call the store."""

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import relay
from skylarkfold.relay import _schedule

# The share of the bound that is left for the last call and its answer.
RESERVE_SHARE = 0.15
BOUNDS = strategies.floats(0.5, 60.0)
INSTANCES = strategies.integers(1, 1000)


def build_schedule(bound):
    return _schedule.ConfirmationSchedule(
        relay.RelaySettings(change_seconds=bound)
    )


class ConfirmationScheduleTest(testtools.TestCase):
    @hypothesis.given(BOUNDS, INSTANCES)
    def test_the_last_instance_calls_before_the_bound(self, bound, instances):
        schedule = build_schedule(bound)
        limit = (1 - RESERVE_SHARE) * bound + 1e-9
        age = schedule.compute_allowed_age(instances - 1, instances)
        self.assertLessEqual(age, limit)
        # A rank may be out of date.
        age = schedule.compute_allowed_age(10 * instances, instances)
        self.assertLessEqual(age, limit)

    @hypothesis.given(BOUNDS, INSTANCES)
    def test_instances_call_in_the_order_of_their_ranks(
        self, bound, instances
    ):
        schedule = build_schedule(bound)
        ages = [
            schedule.compute_allowed_age(rank, instances)
            for rank in range(instances)
        ]
        self.assertEqual(sorted(ages), ages)
        self.assertGreater(ages[0], schedule.interval_seconds)

    @hypothesis.given(BOUNDS, strategies.integers(1, 11))
    def test_watches_are_answered_once_in_each_interval(self, bound, watchers):
        schedule = build_schedule(bound)
        interval = schedule.interval_seconds + 1e-9
        period = schedule.compute_watch_seconds(watchers)
        first = [
            schedule.compute_first_watch_seconds(rank, watchers)
            for rank in range(watchers)
        ]
        answers = sorted(first + [each + period for each in first])
        previous = 0.0
        for at in answers:
            self.assertLessEqual(at - previous, interval)
            previous = at

    def test_a_long_bound_leaves_watches_as_long_as_they_are_set(self):
        settings = relay.RelaySettings()
        schedule = build_schedule(13.0)
        self.assertEqual(settings.wait_seconds, schedule.interval_seconds)
        self.assertEqual(
            settings.wait_seconds + settings.substitute_seconds,
            schedule.first_seconds,
        )
