"""A short run of the soak, and seeds that once failed."""

import pathlib
import tempfile

import testtools

from skylarkfold import soak
from skylarkfold.soak import _plan

SECONDS = 8.0
# Long enough that the last configuration must be in force everywhere.
LONG_SECONDS = 20.0
# Long enough for three new starts, each unheard of for 2.5 s.
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
            )
        self.assertEqual([], result.broken, f'{result.plan}')
        self.assertGreater(result.outcomes['answered'], 0)

    def test_planned_work_fails_no_request(self):
        self.run_seed(7, planned_only=True)

    def test_faults_break_no_promise(self):
        self.run_seed(11)

    def test_new_starts_and_foreign_entries_break_no_promise(self):
        self.run_seed(3, has_restarts=True)

    def test_new_starts_that_are_heard_of_late_lose_no_flow(self):
        # Fails where all flows that are older than the new entry are ended
        # (no `entry_seconds`): those opened since the start are reset.
        plan = [
            _plan.Step(2.0 + 2.5 * number, 'upstream-restarted-late', 2.5, 1.0)
            for number in range(3)
        ]
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(scratch)
            result = soak.run_plan(plan, 1, folder, LATE_SECONDS)
        self.assertEqual([], result.broken)
        self.assertGreater(result.outcomes['answered'], 0)

    def test_silent_connections_to_the_store_hide_no_change(self):
        # Failed while a watch could wait for a silent connection for ever:
        # the last configuration was in force nowhere.
        self.run_seed(161, seconds=LONG_SECONDS)

    def test_evacuations_beside_faults_break_no_promise(self):
        self.run_seed(4, seconds=LATE_SECONDS, has_evacuations=True)

    def test_returns_from_an_older_copy_break_no_promise(self):
        self.run_seed(5, seconds=LATE_SECONDS, has_returns=True)

    def test_presses_beside_faults_break_no_promise(self):
        self.run_seed(6, seconds=LATE_SECONDS, has_presses=True)

    def test_a_press_fails_no_request(self):
        # Packets that get lost are repeated, and what one caller asks beyond
        # its share takes no other's flow.
        plan = [
            _plan.Step(1.0, 'caller-presses', 4.0, 0.4),
            _plan.Step(2.0, 'link-loses', 3.0, 0.4),
        ]
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(scratch)
            result = soak.run_plan(plan, 3, folder, LATE_SECONDS)
        self.assertEqual([], result.broken)
        self.assertGreater(result.outcomes['answered'], 0)

    def test_a_return_fails_no_request(self):
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
        one = [repr(step) for step in soak.draw_plan(5, 20.0, False)]
        self.assertEqual(
            one, [repr(step) for step in soak.draw_plan(5, 20.0, False)]
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
