"""Stateful tests of several cores under changes and faults.

For a longer search run
``_state_machines.run(_state_machines.FaultMachine, 500, 50)`` under a
hypothesis profile that is not derandomized.
"""

import testtools

from skylarkfold.measure import _flow_rules
from skylarkfold.tests.flows import _state_machines

EXAMPLES = 5
STEPS = 20


class RendezvousMachine(_state_machines.PlannedMachine):
    rule = _flow_rules.BASELINES[2]


class PlannedChangesTest(testtools.TestCase):
    def test_no_flow_breaks(self):
        _state_machines.run(_state_machines.PlannedMachine, EXAMPLES, STEPS)

    def test_the_oracle_fails_for_rendezvous_with_a_table(self):
        self.assertRaises(
            AssertionError, _state_machines.run, RendezvousMachine, 300, 30
        )


class FaultsTest(testtools.TestCase):
    def test_single_deaths_break_no_flow_with_replicas(self):
        _state_machines.run(_state_machines.DeathMachine, EXAMPLES, STEPS)

    def test_all_faults_together_break_only_exposed_flows(self):
        _state_machines.run(_state_machines.FaultMachine, EXAMPLES, STEPS)
