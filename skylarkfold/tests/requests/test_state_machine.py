import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import testtools

from skylarkfold import requests
from skylarkfold.requests import _executor
from skylarkfold.requests import _holders
from skylarkfold.requests import _messages
from skylarkfold.requests import _vote_table
from skylarkfold.tests.requests import chaos
from skylarkfold.tests.requests import fleet

NUMBERS = strategies.integers(0, 255)
WEIGHTED = [
    name
    for name in chaos.STEP_NAMES
    for _ in range(chaos.WEIGHTS.get(name, 1))
]
SETTINGS = hypothesis.settings(
    max_examples=60,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
SEARCH = hypothesis.settings(
    SETTINGS, max_examples=200, phases=[hypothesis.Phase.generate]
)


class AcceptingVoteTable(_vote_table.VoteTable):
    """Table with the fault that it accepts every claim."""

    def vote(self, now, list_revision, key, claim_id):
        return _messages.VoteStatus.ACCEPTED, claim_id


class RepeatingExecutor(_executor.RequestExecutor):
    """Executor with the fault that it retries what may have run."""

    def _handle_failure(self, now, execution, outcome, answer):
        refused = _executor.Outcome.REFUSED
        super()._handle_failure(now, execution, refused, answer)


class AcceptingCore(requests.RequestCore):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.vote_table.__class__ = AcceptingVoteTable


class RepeatingCore(requests.RequestCore):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.executor.__class__ = RepeatingExecutor


# Hypothesis seeds the draws with the source text of this class, including its
# docstring. The judge is fleet.Checker.
class Machine(stateful.RuleBasedStateMachine):
    """Work and faults in any order; the judge raises a violation."""

    core_type = requests.RequestCore

    @stateful.initialize(size=strategies.integers(1, 6))
    def begin(self, size):
        self.chaos = chaos.Chaos(size, self.core_type)

    @stateful.rule(
        step=strategies.sampled_from(WEIGHTED),
        a=NUMBERS,
        b=NUMBERS,
        c=NUMBERS,
    )
    def take(self, step, a, b, c):
        getattr(self.chaos, step)(a, b, c)


class AcceptingMachine(Machine):
    core_type = AcceptingCore


class RepeatingMachine(Machine):
    core_type = RepeatingCore


class MachineTest(testtools.TestCase):
    """At-most-once execution under any order of requests and faults."""

    def setUp(self):
        super().setUp()
        self.patch(_holders, 'RANGES', 16)

    def test_invariants_hold(self):
        stateful.run_state_machine_as_test(Machine, settings=SETTINGS)

    def test_checker_finds_holders_that_vote_twice(self):
        self.assert_violated(AcceptingMachine)

    def test_checker_finds_retries_of_what_may_have_run(self):
        self.assert_violated(RepeatingMachine)

    def assert_violated(self, machine):
        self.assertRaises(
            fleet.InvariantViolation,
            stateful.run_state_machine_as_test,
            machine,
            settings=SEARCH,
        )
