"""Concurrent commands of several teams on a faulty platform.

The platform's log is the oracle: each command's result must be correct, no
applied change may lose its claims, no name or address may have two holders,
and no crash may leave a state that later commands can't repair.
"""

import json

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import errors
from skylarkfold import platform_api
from skylarkfold import teams
from skylarkfold.tests import fakes
from skylarkfold.tests.teams import commands

TEAMS = ('desk', 'vault')
KINDS = ('use', 'use', 'leave', 'drain')
FAULTS = ('lost before', 'lost after', 'late', 'shed', 'outage', 'crash')
FATES = (*['whole'] * 12, *FAULTS)
OUTAGE_CALLS = 20

OPERATIONS = strategies.tuples(
    strategies.sampled_from(TEAMS), strategies.sampled_from(KINDS)
)
# In each turn one command runs until its next write. The fate applies to
# the write at the start of the turn.
TURNS = strategies.tuples(
    strategies.integers(0, 3),
    strategies.sampled_from(FATES),
    strategies.sampled_from([0, 0, 0, 0, 1, 2, 4]),
)


def is_late_claim(error):
    return isinstance(error, errors.ClaimError) and 'meanwhile' in str(error)


class Race:
    """Concurrent commands on one platform, with checks of their results."""

    def __init__(self):
        self.platform = fakes.FakePlatform()
        self.running = []
        self.ended = []
        self.delayed = []
        self.count = 0

    def start(self, team, kind):
        self.count += 1
        write_id = f'w{self.count}'
        command = commands.start(team, kind, write_id)
        self.running.append(command)
        self.send(command, None)
        return command

    def send(self, command, answer):
        if command in self.running:
            if not command.send(answer, self.platform.revision):
                self.running.remove(command)
                self.ended.append(command)

    def take_turn(self, pick, fate, behind):
        if pick >= len(self.running):
            if self.delayed:
                self.platform.perform(self.delayed.pop(0))
            return
        command = self.running[pick]
        if fate == 'crash':
            self.running.remove(command)
            command.steps.close()
        elif fate == 'outage':
            for _ in range(OUTAGE_CALLS):
                self.perform(command, 'lost before', 0)
        else:
            self.perform(command, fate, behind)
            self.run_to_write(command, behind)

    def run_to_write(self, command, behind):
        while command in self.running:
            if isinstance(command.next_request, platform_api.WriteObject):
                return
            self.perform(command, 'whole', behind)

    def perform(self, command, fate, behind):
        request = command.next_request
        answer = fakes.LOST
        if isinstance(request, teams.Pause):
            answer = None
        elif fate == 'whole':
            answer = self.platform.perform(request, behind)
        elif fate == 'lost after':
            self.platform.perform(request)
        elif fate == 'late' and isinstance(request, platform_api.WriteObject):
            self.delayed.append(request)
        elif fate == 'shed':
            answer = fakes.SHED
        self.send(command, answer)

    def finish(self):
        while self.running:
            self.perform(self.running[0], 'whole', 0)
        while self.delayed:
            self.platform.perform(self.delayed.pop(0))

    def check(self):
        history = list(self.replay())
        for command in self.ended:
            self.check_result(command)
            if command.applied is not None:
                self.check_claims(command, history)
        self.check_owners(history)
        self.check_repair()

    def replay(self):
        """Yield the subtrees and claims of each revision."""
        subtrees = {}
        claims = {}
        yield {}, {}
        for each in self.platform.log:
            team = teams.parse_team(each.path)
            if team is None:
                claims = dict(claims)
                claims[each.path] = teams.read_claim(each.path, each.value)
            else:
                subtrees = dict(subtrees)
                subtrees[team] = teams.read_subtree(team, each)
            yield subtrees, claims

    def list_versions(self, command):
        path = teams.build_subtree_path(command.team)
        encoded_id = json.dumps(command.write_id).encode()
        return [
            each.version
            for each in self.platform.log
            if each.path == path
            and b'"write":{"version":%d,"id":%s' % (each.version, encoded_id)
            in each.value
        ]

    def check_result(self, command):
        versions = self.list_versions(command)
        if command.applied is not None:
            assert versions == [command.applied.version], command.applied
        elif is_late_claim(command.error):
            assert len(versions) == 1, command.error
        elif not isinstance(command.error, errors.OutcomeUnknownError):
            assert not versions, command.error

    def check_claims(self, command, history):
        """Check that claims persist while all later versions use them."""
        paths = {
            path
            for each in command.services.values()
            for path in teams.list_claim_paths(each)
        }
        version = command.applied.version
        for subtrees, claims in history[command.ended_at :]:
            while version < subtrees[command.team].version:
                version += 1
                paths &= self.list_used(command.team, version)
            for path in paths:
                holder = claims[path].team
                assert holder == command.team, (path, holder, command.applied)

    def list_used(self, team, version):
        path = teams.build_subtree_path(team)
        for each in self.platform.log:
            if (each.path, each.version) == (path, version):
                return teams.read_subtree(team, each).list_claims()
        raise AssertionError('no such version')

    def check_owners(self, history):
        for subtrees, claims in history:
            read = {name: each.settings for name, each in subtrees.items()}
            built = teams.build_configuration(1, read, claims)
            used = [each.address for each in built.services.values()]
            assert len(used) == len(set(used)), used

    def check_repair(self):
        """Check that each team can release and use the address again."""
        for team in TEAMS:
            self.run_alone(team, 'leave')
        for team in TEAMS:
            self.run_alone(team, 'use')
            self.run_alone(team, 'leave')

    def run_alone(self, team, kind):
        command = self.start(team, kind)
        while command in self.running:
            self.perform(command, 'whole', 0)
        assert command.applied is not None, command.error


class RaceTest(testtools.TestCase):
    @hypothesis.settings(max_examples=250)
    @hypothesis.given(
        strategies.lists(OPERATIONS, max_size=2),
        strategies.lists(OPERATIONS, min_size=2, max_size=4),
        strategies.lists(TURNS, min_size=5, max_size=40),
    )
    def test_results_are_true_and_claims_hold(self, before, racing, turns):
        race = Race()
        for team, kind in before:
            race.start(team, kind)
            race.finish()
        for team, kind in racing:
            race.start(team, kind)
        for pick, fate, behind in turns:
            race.take_turn(pick, fate, behind)
        race.finish()
        race.check()
