"""Tests of concurrent commands of two teams that need the same claim.

Each test runs an interleaving that one check of the claims must handle.
"""

import testtools

from skylarkfold import errors
from skylarkfold import platform_api
from skylarkfold import teams
from skylarkfold.tests import fakes
from skylarkfold.tests.teams import commands
from skylarkfold.tests.teams import test_apply

DESK_PATH = '/teams/desk/settings'
NOT_FOUND = platform_api.PlatformAnswer(platform_api.PlatformStatus.NOT_FOUND)


class TakeoverTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.platform = fakes.FakePlatform()
        self.count = 0

    def start(self, team, kind, until='', answer=None):
        self.count += 1
        command = commands.start(team, kind, f'w{self.count}')
        return command.run_until(self.platform, until, answer)

    def get_holder(self):
        found = self.platform.get(commands.ADDRESS_PATH)
        return teams.read_claim(found.path, found.value).team

    def answer_stale(self, call):
        """Answer as if team desk had not written its subtree yet."""
        if isinstance(call, platform_api.ListObjects):
            return self.platform.perform(call, self.platform.revision)
        is_desk = getattr(call, 'path', '') == DESK_PATH
        return NOT_FOUND if is_desk else None

    def leave_without_release(self):
        """Let team desk use the address and stop without a release."""
        self.assertIsNotNone(self.start('desk', 'use').applied)
        self.start('desk', 'leave', '/claims/')
        self.assertEqual('desk', self.get_holder())

    def test_stale_read_of_the_holder_s_subtree_is_detected(self):
        self.start('desk', 'use')
        command = self.start('vault', 'use', answer=self.answer_stale)
        self.assertIsInstance(command.error, errors.ClaimError)
        self.assertEqual('desk', self.get_holder())

    def test_late_confirmation_does_not_lower_the_claim_s_version(self):
        late_command = self.start('desk', 'use', '/claims/')
        self.assertIsNotNone(self.start('desk', 'use').applied)
        late_command.run_until(self.platform, '/teams/')
        command = self.start('vault', 'use', answer=self.answer_stale)
        self.assertIsInstance(command.error, errors.ClaimError)
        self.assertEqual('desk', self.get_holder())

    def test_unused_claim_is_taken_over(self):
        self.leave_without_release()
        applied = self.start('vault', 'use').applied
        self.assertEqual((1, ()), (applied.version, applied.not_in_force))

    def check_single_holder(self, takeover_command, later_command):
        """Check that only one of two commands gets the address."""
        takeover_command.run_until(self.platform)
        later_command.run_until(self.platform)
        self.assertTrue(
            later_command.applied is None or takeover_command.applied is None
        )
        winner = 'vault' if takeover_command.applied else 'desk'
        self.assertEqual(winner, self.get_holder())

    def test_command_does_not_rely_on_a_pending_claim(self):
        self.leave_without_release()
        pending_command = self.start('desk', 'use', '/teams/')
        takeover_command = self.start('vault', 'use', commands.ADDRESS_PATH)
        pending_command.run_until(self.platform, '/claims/')
        later_command = self.start('desk', 'use')
        self.check_single_holder(takeover_command, later_command)

    def test_slow_confirmation_keeps_a_later_pending_version(self):
        slow_command = self.start('desk', 'use', '/teams/')
        slow_command.run_until(self.platform, '/claims/')
        # Team desk stops using the address without releasing the claim.
        self.start('desk', 'leave', '/claims/')
        pending_command = self.start('desk', 'use', '/teams/')
        slow_command.run_until(self.platform)
        takeover_command = self.start('vault', 'use', commands.ADDRESS_PATH)
        pending_command.run_until(self.platform, '/claims/')
        later_command = self.start('desk', 'use')
        self.check_single_holder(takeover_command, later_command)

    def test_claims_are_read_after_the_subtree(self):
        self.leave_without_release()
        later_command = commands.start('desk', 'use', 'w4')
        later_command.send(None, 0)
        first_list = self.platform.perform(later_command.next_request)
        later_command.send(first_list, 0)
        pending_command = self.start('desk', 'use', '/teams/')
        takeover_command = self.start('vault', 'use', commands.ADDRESS_PATH)
        pending_command.run_until(self.platform, '/claims/')
        later_command.run_until(self.platform)
        self.check_single_holder(takeover_command, later_command)

    def test_claim_of_a_running_command_is_not_taken_over(self):
        desk = self.start('desk', 'use', '/teams/')
        reads = []

        def answer(call):
            if isinstance(call, platform_api.ReadObject):
                reads.append(call)
            if len(reads) == 6:
                desk.run_until(self.platform)

        vault = self.start('vault', 'use', answer=answer)
        self.assertIsInstance(vault.error, errors.ClaimError)
        self.assertIsNotNone(desk.applied)

    def test_change_is_undone_after_losing_its_claim(self):
        desk = self.start('desk', 'use', '/teams/')
        vault = self.start('vault', 'use')
        self.assertIsNotNone(vault.applied)
        desk.run_until(self.platform)
        self.assertIsInstance(desk.error, errors.ClaimError)
        self.assertIn('undone', desk.error.reason)
        found = teams.read_subtree('desk', self.platform.get(DESK_PATH))
        self.assertEqual((2, {}), (found.version, found.services))

    def test_undone_change_restores_the_previous_services(self):
        before = test_apply.build_services(x='10.0.0.5:1')
        steps = test_apply.start_apply(test_apply.DESK, before, 'w1')
        test_apply.run(self.platform, steps)
        after = test_apply.build_services(x=commands.HOST)
        steps = test_apply.start_apply(test_apply.DESK, after, 'w2')
        desk = commands.Command(steps, 'desk', 'w2', {})
        desk.run_until(self.platform, '/teams/')
        self.assertIsNotNone(self.start('vault', 'use').applied)
        desk.run_until(self.platform)
        self.assertIn('undone', desk.error.reason)
        found = teams.read_subtree('desk', self.platform.get(DESK_PATH))
        self.assertEqual((3, before), (found.version, found.services))
        held = self.platform.get('/claims/address/10.0.0.5:1')
        claim = teams.read_claim(held.path, held.value)
        self.assertEqual(('desk', 3, 0), (claim.team, *_list_versions(claim)))


def _list_versions(claim):
    return claim.version, claim.pending
