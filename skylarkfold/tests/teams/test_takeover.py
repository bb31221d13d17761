"""Claims that two teams and several operators fight for.

Each test is an order of steps in which one guard of the claims decides.
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
        return command.go(self.platform, until, answer)

    def get_holder(self):
        found = self.platform.get(commands.ADDRESS_PATH)
        return teams.read_claim(found.path, found.value).team

    def answer_old(self, call):
        """Answer as if team desk had written nothing yet."""
        if isinstance(call, platform_api.ListObjects):
            return self.platform.perform(call, self.platform.revision)
        is_desk = getattr(call, 'path', '') == DESK_PATH
        return NOT_FOUND if is_desk else None

    def drop_without_release(self):
        """Let team desk use the address once, and leave it uncleared."""
        self.assertIsNotNone(self.start('desk', 'use').applied)
        self.start('desk', 'leave', '/claims/')
        self.assertEqual('desk', self.get_holder())

    def test_a_holder_read_from_the_past_is_not_believed(self):
        self.start('desk', 'use')
        command = self.start('vault', 'use', answer=self.answer_old)
        self.assertIsInstance(command.error, errors.ClaimError)
        self.assertEqual('desk', self.get_holder())

    def test_a_late_operator_does_not_weaken_its_teams_claim(self):
        late = self.start('desk', 'use', '/claims/')
        self.assertIsNotNone(self.start('desk', 'use').applied)
        late.go(self.platform, '/teams/')
        command = self.start('vault', 'use', answer=self.answer_old)
        self.assertIsInstance(command.error, errors.ClaimError)
        self.assertEqual('desk', self.get_holder())

    def test_an_abandoned_claim_is_taken_over(self):
        self.drop_without_release()
        applied = self.start('vault', 'use').applied
        self.assertEqual((1, ()), (applied.version, applied.not_in_force))

    def check_fourth(self, taker, fourth):
        """Only one of the two may get the address."""
        taker.go(self.platform)
        fourth.go(self.platform)
        self.assertTrue(fourth.applied is None or taker.applied is None)
        winner = 'vault' if taker.applied else 'desk'
        self.assertEqual(winner, self.get_holder())

    def test_a_pending_claim_is_not_relied_on(self):
        self.drop_without_release()
        adder = self.start('desk', 'use', '/teams/')
        taker = self.start('vault', 'use', commands.ADDRESS_PATH)
        adder.go(self.platform, '/claims/')
        fourth = self.start('desk', 'use')
        self.check_fourth(taker, fourth)

    def test_a_slow_confirmation_keeps_what_is_pending(self):
        slow = self.start('desk', 'use', '/teams/')
        slow.go(self.platform, '/claims/')
        # The version that slow wrote is left again, without a release.
        self.start('desk', 'leave', '/claims/')
        adder = self.start('desk', 'use', '/teams/')
        slow.go(self.platform)
        taker = self.start('vault', 'use', commands.ADDRESS_PATH)
        adder.go(self.platform, '/claims/')
        fourth = self.start('desk', 'use')
        self.check_fourth(taker, fourth)

    def test_claims_are_no_older_than_the_subtree(self):
        self.drop_without_release()
        fourth = commands.start('desk', 'use', 'w4')
        fourth.send(None, 0)
        first_list = self.platform.perform(fourth.wanted)
        fourth.send(first_list, 0)
        adder = self.start('desk', 'use', '/teams/')
        taker = self.start('vault', 'use', commands.ADDRESS_PATH)
        adder.go(self.platform, '/claims/')
        fourth.go(self.platform)
        self.check_fourth(taker, fourth)

    def test_a_command_at_work_is_left_in_peace(self):
        desk = self.start('desk', 'use', '/teams/')
        reads = []

        def answer(call):
            if isinstance(call, platform_api.ReadObject):
                reads.append(call)
            if len(reads) == 6:
                desk.go(self.platform)

        vault = self.start('vault', 'use', answer=answer)
        self.assertIsInstance(vault.error, errors.ClaimError)
        self.assertIsNotNone(desk.applied)

    def test_a_change_whose_claim_was_taken_over_is_undone(self):
        desk = self.start('desk', 'use', '/teams/')
        vault = self.start('vault', 'use')
        self.assertIsNotNone(vault.applied)
        desk.go(self.platform)
        self.assertIsInstance(desk.error, errors.ClaimError)
        self.assertIn('undone', desk.error.reason)
        found = teams.read_subtree('desk', self.platform.get(DESK_PATH))
        self.assertEqual((2, {}), (found.version, found.services))

    def test_an_undone_change_keeps_what_stood_before(self):
        before = test_apply.build_services(x='10.0.0.5:1')
        steps = test_apply.start_apply(test_apply.DESK, before, 'w1')
        test_apply.run(self.platform, steps)
        after = test_apply.build_services(x=commands.HOST)
        steps = test_apply.start_apply(test_apply.DESK, after, 'w2')
        desk = commands.Command(steps, 'desk', 'w2', {})
        desk.go(self.platform, '/teams/')
        self.assertIsNotNone(self.start('vault', 'use').applied)
        desk.go(self.platform)
        self.assertIn('undone', desk.error.reason)
        found = teams.read_subtree('desk', self.platform.get(DESK_PATH))
        self.assertEqual((3, before), (found.version, found.services))
        held = self.platform.get('/claims/address/10.0.0.5:1')
        claim = teams.read_claim(held.path, held.value)
        self.assertEqual(('desk', 3, 0), (claim.team, *_list_versions(claim)))


def _list_versions(claim):
    return claim.version, claim.pending
