"""Tests of changes of teams' subtrees."""

import json

import testtools

from skylarkfold import errors
from skylarkfold import platform_api
from skylarkfold import service
from skylarkfold import settings
from skylarkfold import teams
from skylarkfold.tests import fakes

PATH = '/teams/desk/settings'
DESK = teams.Operator('ana', 'desk')
VAULT = teams.Operator('luis', 'vault')
Status = platform_api.PlatformStatus


def build_services(**addresses):
    return {
        name: {
            'address': address,
            'upstreams': {
                'u-1': {'address': f'10.9.9.{ord(name)}:1', 'zone': 'a'},
                'u-2': {'address': f'10.9.9.{ord(name)}:2', 'zone': 'b'},
            },
        }
        for name, address in addresses.items()
    }


def start_apply(operator, services, write_id, expected_version=None):
    text = json.dumps({'services': services})
    new = settings.read_team_settings(text, 'f', operator.team)
    session = teams.Session(write_id)
    return teams.apply(session, operator, new, services, expected_version)


def run(platform, steps, answer=None):
    """Run steps; ``answer(call, number)`` may return another answer."""
    received = None
    number = 0
    while True:
        try:
            request = steps.send(received)
        except StopIteration as ended:
            return ended.value
        received = None
        if isinstance(request, teams.Pause):
            continue
        number += 1
        if answer is not None:
            received = answer(request, number)
        if received is None:
            received = platform.perform(request)


class ApplyTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.platform = fakes.FakePlatform()

    def apply(self, operator, write_id, answer=None, version=None, **services):
        steps = start_apply(
            operator, build_services(**services), write_id, version
        )
        return run(self.platform, steps, answer)

    def read(self, team='desk'):
        path = teams.build_subtree_path(team)
        return teams.read_subtree(team, self.platform.get(path))

    def get_holder(self, path):
        found = self.platform.get(path)
        return teams.read_claim(path, found.value).team

    def test_first_and_second_version(self):
        applied = self.apply(DESK, 'a', x='10.0.0.1:1')
        self.assertEqual((1, ()), (applied.version, applied.not_in_force))
        self.assertEqual('services.x: added', str(applied.changes[0]))
        applied = self.apply(DESK, 'b', x='10.0.0.2:1')
        self.assertEqual(2, applied.version)
        self.assertEqual('ana', self.read().operator)
        self.assertEqual('a', self.read().find_writer(1).id)
        self.assertEqual('', self.get_holder('/claims/address/10.0.0.1:1'))
        path = '/claims/address/10.0.0.2:1'
        self.assertEqual('desk', self.get_holder(path))

    def test_other_team_s_subtree_is_refused(self):
        text = json.dumps({'services': {}})
        new = settings.read_team_settings(text, 'f', 'desk')
        steps = teams.apply(teams.Session('a'), VAULT, new, {})
        self.assertRaises(errors.RightError, run, self.platform, steps)
        self.assertEqual([], self.platform.log)

    def test_conflict_names_the_earlier_writer(self):
        self.apply(DESK, 'a', x='10.0.0.1:1')
        error = self.assertRaises(
            errors.ConflictError, self.apply, DESK, 'b', version=0
        )
        self.assertIn('version 1 by ana', error.reason)

    def test_address_has_one_holder(self):
        self.apply(DESK, 'a', x='10.0.0.1:1')
        error = self.assertRaises(
            errors.ClaimError,
            self.apply,
            VAULT,
            'b',
            y='10.0.0.0:1',
            z='10.0.0.1:1',
        )
        self.assertIn('team desk', error.reason)
        self.assertEqual(0, self.read('vault').version)
        # This claim was taken first and has been released.
        self.assertEqual('', self.get_holder('/claims/address/10.0.0.0:1'))
        self.apply(DESK, 'c')
        self.apply(VAULT, 'd', y='10.0.0.1:1')

    def test_subtree_written_without_claims_blocks_others(self):
        value = json.dumps({'services': build_services(x='10.0.0.1:1')})
        self.platform.perform(
            platform_api.WriteObject(PATH, value.encode(), 0)
        )
        self.assertRaises(
            errors.ClaimError, self.apply, VAULT, 'b', y='10.0.0.1:1'
        )

    def test_pending_claim_of_a_crashed_command_is_taken_over(self):
        steps = start_apply(DESK, build_services(x='10.0.0.1:1'), 'a')
        received = None
        while not isinstance(
            request := steps.send(received), platform_api.WriteObject
        ) or not request.path.startswith('/teams/'):
            received = self.platform.perform(request)
        # The command of team desk crashes here.
        applied = self.apply(VAULT, 'b', y='10.0.0.1:1')
        self.assertEqual(1, applied.version)

    def test_invalid_subtree_keeps_its_claims(self):
        self.apply(DESK, 'a', x='10.0.0.1:1')
        self.platform.perform(platform_api.WriteObject(PATH, b'{', 1))
        self.assertRaises(
            errors.ClaimError, self.apply, VAULT, 'b', y='10.0.0.1:1'
        )
        self.assertEqual(3, self.apply(DESK, 'c', x='10.0.0.1:1').version)

    def lose_answers(self, path, performs, times=1):
        """Build an answer function that loses answers to writes of a path."""
        remaining = [times]

        def answer(call, number):
            is_write = isinstance(call, platform_api.WriteObject)
            if not is_write or call.path != path or not remaining[0]:
                return None
            remaining[0] -= 1
            if performs:
                self.platform.perform(call)
            return fakes.LOST

        return answer

    def test_lost_answers(self):
        answer = self.lose_answers(PATH, performs=True)
        applied = self.apply(DESK, 'a', answer, x='10.0.0.1:1')
        self.assertEqual(1, applied.version)
        answer = self.lose_answers(PATH, performs=False)
        applied = self.apply(DESK, 'b', answer, x='10.0.0.1:1')
        self.assertEqual(2, applied.version)
        answer = self.lose_answers('/claims/service/z', performs=True)
        applied = self.apply(DESK, 'c', answer, z='10.0.0.1:1')
        self.assertEqual((3, 3), (applied.version, self.read().version))

    def lose_and_overwrite(self, performs):
        def answer(call, number):
            is_write = isinstance(call, platform_api.WriteObject)
            if not is_write or call.path != PATH or self.read().version:
                return None
            if performs:
                self.platform.perform(call)
            self.apply(DESK, 'other', x='10.0.0.1:2')
            self.apply(DESK, 'another', x='10.0.0.1:2')
            return fakes.LOST

        return answer

    def test_lost_answer_and_later_writes(self):
        applied = self.apply(
            DESK, 'a', self.lose_and_overwrite(True), x='10.0.0.1:2'
        )
        self.assertEqual((1, 3), (applied.version, self.read().version))

    def test_lost_write_and_later_writes(self):
        self.assertRaises(
            errors.ConflictError,
            self.apply,
            DESK,
            'a',
            self.lose_and_overwrite(False),
            x='10.0.0.1:2',
        )

    def test_unavailable_platform(self):
        error = self.assertRaises(
            errors.PlatformError,
            self.apply,
            DESK,
            'a',
            lambda call, number: fakes.LOST,
        )
        self.assertEqual('platform-unavailable', error.code)

    def test_platform_refuses_claims(self):
        calls = []

        def answer(call, number):
            calls.append(call)
            is_write = isinstance(call, platform_api.WriteObject)
            return fakes.SHED if is_write else None

        error = self.assertRaises(
            errors.PlatformError,
            self.apply,
            DESK,
            'a',
            answer,
            x='10.0.0.1:1',
        )
        self.assertEqual('platform-unavailable', error.code)
        self.assertLess(len(calls), 12)

    def test_platform_fails_before_claims_are_confirmed(self):
        def answer(call, number):
            return fakes.LOST if self.read().version else None

        error = self.assertRaises(
            errors.PlatformError,
            self.apply,
            DESK,
            'a',
            answer,
            x='10.0.0.1:1',
        )
        self.assertEqual('write-unknown', error.code)
        self.assertIn('apply it again', error.reason)
        applied = self.apply(DESK, 'b', x='10.0.0.1:1')
        self.assertEqual((2, ()), (applied.version, applied.not_in_force))

    def test_platform_fails_during_the_write(self):
        def answer(call, number):
            return fakes.LOST if number > 2 else None

        error = self.assertRaises(
            errors.PlatformError, self.apply, DESK, 'a', answer
        )
        self.assertEqual('write-unknown', error.code)

    def drain(self, upstream, answer=None):
        steps = teams.edit_state(
            teams.Session('d'),
            DESK,
            'x',
            upstream,
            service.UpstreamState.DRAINING,
        )
        return run(self.platform, steps, answer)

    def test_drain_changes_one_setting(self):
        self.apply(DESK, 'a', x='10.0.0.1:1')
        before = self.read().services
        applied = self.drain('u-2')
        self.assertEqual(
            ['services.x.upstreams.u-2.state: active -> draining'],
            [str(each) for each in applied.changes],
        )
        before['x']['upstreams']['u-2']['state'] = 'draining'
        self.assertEqual(before, self.read().services)
        error = self.assertRaises(errors.SettingsError, self.drain, 'u-3')
        self.assertEqual('$.services.x.upstreams.u-3', error.path)

    def test_drain_keeps_a_concurrent_change(self):
        self.apply(DESK, 'a', x='10.0.0.1:1')

        def answer(call, number):
            if isinstance(call, platform_api.WriteObject) and number == 3:
                self.apply(DESK, 'b', x='10.0.0.1:1', y='10.0.0.2:1')
            return None

        applied = self.drain('u-1', answer)
        self.assertEqual(3, applied.version)
        self.assertEqual({'x', 'y'}, set(self.read().services))

    def test_preview(self):
        self.apply(DESK, 'a', x='10.0.0.1:1')
        self.apply(VAULT, 'b', y='10.0.0.2:1')
        services = build_services(x='10.0.0.2:1')
        del services['x']['upstreams']['u-1']
        text = json.dumps({'services': services})
        new = settings.read_team_settings(text, 'f', 'desk')
        steps = teams.preview(teams.Session('p'), DESK, new)
        previewed = run(self.platform, steps)
        self.assertEqual(1, previewed.version)
        self.assertEqual(
            [
                'services.x.address: 10.0.0.1:1 -> 10.0.0.2:1',
                'services.x.upstreams.u-1: removed',
            ],
            [str(each) for each in previewed.changes],
        )
        self.assertEqual(
            (
                'callers must find x at its new address',
                'x.u-1 is removed without a drain: its flows break',
                '/claims/address/10.0.0.2:1 is held by team vault',
            ),
            previewed.warnings,
        )
