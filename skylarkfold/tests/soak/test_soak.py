"""Tests of short soak runs, including seeds that failed before."""

import pathlib
import tempfile

import testtools

from skylarkfold import soak
from skylarkfold.soak import _plan

SECONDS = 8.0
# Long enough for the check that all instances use the last configuration.
LONG_SECONDS = 20.0
# Long enough for three restarts, each registered after 2.5 s.
LATE_SECONDS = 12.0


class SoakTest(testtools.TestCase):
    def run_seed(
        self,
        seed,
        planned_only=False,
        seconds=SECONDS,
        has_restarts=False,
        has_evacuations=False,
        has_returns=False,
        has_presses=False,
        has_route_changes=False,
        has_damage=False,
    ):
        with tempfile.TemporaryDirectory() as scratch:
            result = soak.run_seed(
                seed,
                pathlib.Path(scratch),
                seconds,
                planned_only,
                has_restarts,
                has_evacuations,
                has_returns,
                has_presses,
                has_route_changes,
                has_damage,
            )
        self.assertEqual([], result.broken, f'{result.plan}')
        self.assertGreater(result.outcomes['answered'], 0)

    def test_planned_operations_fail_no_request(self):
        self.run_seed(7, planned_only=True)

    def test_faults_violate_no_invariant(self):
        self.run_seed(11)

    def test_restarts_and_invalid_entries_violate_no_invariant(self):
        self.run_seed(3, has_restarts=True)

    def test_late_registration_after_a_restart_loses_no_flow(self):
        # Guards against resetting flows that were opened between an
        # upstream's restart and its registration.
        plan = [
            _plan.Step(2.0 + 2.5 * number, 'upstream-restarted-late', 2.5, 1.0)
            for number in range(3)
        ]
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(scratch)
            result = soak.run_plan(plan, 1, folder, LATE_SECONDS)
        self.assertEqual([], result.broken)
        self.assertGreater(result.outcomes['answered'], 0)

    def test_unresponsive_store_connections_hide_no_change(self):
        # Guards against a watch that waits forever on a connection that no
        # longer responds, so that no instance gets the last configuration.
        self.run_seed(161, seconds=LONG_SECONDS)

    def test_evacuations_during_faults_violate_no_invariant(self):
        self.run_seed(4, seconds=LATE_SECONDS, has_evacuations=True)

    def test_store_restores_violate_no_invariant(self):
        self.run_seed(5, seconds=LATE_SECONDS, has_returns=True)

    def test_route_changes_beside_restarts_violate_no_invariant(self):
        # Guards against resets of open flows of a route just added, at an
        # instance that has just started.
        self.run_seed(1, seconds=LATE_SECONDS, has_route_changes=True)

    def test_damaged_entries_during_faults_violate_no_invariant(self):
        self.run_seed(2, seconds=LATE_SECONDS, has_damage=True)

    def test_damaged_entries_fail_no_request(self):
        # Guards against flows to upstreams that drain beside such entries.
        plan = [
            _plan.Step(1.0, 'entries-damaged', 8.0, 1.0),
            _plan.Step(2.0, 'drain', 0.0, 0.4),
            _plan.Step(2.5, 'add-upstream', 0.0, 0.4),
            _plan.Step(3.0, 'add-route', 0.0, 0.4),
            _plan.Step(4.0, 'term', 0.0, 0.2),
        ]
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(scratch)
            result = soak.run_plan(
                plan, 4, folder, LATE_SECONDS, planned_only=True
            )
        self.assertEqual([], result.broken)
        self.assertGreater(result.outcomes['answered'], 0)

    def test_overload_during_faults_violates_no_invariant(self):
        self.run_seed(6, seconds=LATE_SECONDS, has_presses=True)

    def test_overload_fails_no_request(self):
        # Lost packets are retransmitted, and a caller that exceeds its share
        # displaces no flow of others.
        plan = [
            _plan.Step(1.0, 'caller-presses', 4.0, 0.4),
            _plan.Step(2.0, 'link-loses', 3.0, 0.4),
        ]
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(scratch)
            result = soak.run_plan(plan, 3, folder, LATE_SECONDS)
        self.assertEqual([], result.broken)
        self.assertGreater(result.outcomes['answered'], 0)

    def test_a_store_restore_fails_no_request(self):
        plan = [
            _plan.Step(1.0, 'drain', 0.0, 0.4),
            _plan.Step(2.0, 'add-upstream', 0.0, 0.4),
            _plan.Step(2.2, 'add-route', 0.0, 0.4),
            _plan.Step(4.3, 'store-returns', 1.5, 1.0),
        ]
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(scratch)
            result = soak.run_plan(
                plan, 2, folder, LATE_SECONDS, planned_only=True
            )
        self.assertEqual([], result.broken)
        self.assertGreater(result.outcomes['answered'], 0)

    def test_an_evacuation_fails_no_request(self):
        plan = [_plan.Step(1.0, 'zone-evacuated', 8.0, 0.4)]
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(scratch)
            result = soak.run_plan(
                plan, 2, folder, LATE_SECONDS, planned_only=True
            )
        self.assertEqual([], result.broken)
        self.assertGreater(result.outcomes['answered'], 0)

    def test_the_same_seed_draws_the_same_plan(self):
        plan = [repr(step) for step in soak.draw_plan(5, 20.0, False)]
        self.assertEqual(
            plan, [repr(step) for step in soak.draw_plan(5, 20.0, False)]
        )

    def test_all_kinds_of_faults_are_drawn(self):
        drawn = {
            step.kind
            for seed in range(200)
            for step in soak.draw_plan(seed, 20.0, False)
        }
        self.assertEqual({*_plan.PLANNED, *_plan.UNPLANNED}, drawn)
        drawn = {
            step.kind
            for seed in range(20)
            for step in _plan.draw_restarts(seed, 20.0)
        }
        self.assertEqual({*_plan.RESTARTS}, drawn)
        drawn = {
            step.kind
            for seed in range(20)
            for step in _plan.draw_evacuations(seed, 20.0)
        }
        self.assertEqual({*_plan.EVACUATIONS}, drawn)
        drawn = {
            step.kind
            for seed in range(20)
            for step in _plan.draw_store_restores(seed, 20.0)
        }
        self.assertEqual({*_plan.STORE_RESTORES}, drawn)
        drawn = {
            step.kind
            for seed in range(20)
            for step in _plan.draw_overloads(seed, 20.0)
        }
        self.assertEqual({*_plan.OVERLOADS}, drawn)
        drawn = {
            step.kind
            for seed in range(20)
            for step in _plan.draw_damage(seed, 20.0)
        }
        self.assertEqual({*_plan.DAMAGE}, drawn)
