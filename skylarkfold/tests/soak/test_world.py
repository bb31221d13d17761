"""Tests of a run's surroundings, several of which may be on one machine.

Seen once: all instances of a run ended with `address in use` (status 6) while
other runs went on beside it. A port was free on one host when it was looked
for, and taken on another by the time that instances bound it.
"""

import testtools

from skylarkfold.soak import _world


class PortsTest(testtools.TestCase):
    def test_runs_at_the_same_time_have_ports_of_their_own(self):
        held = [_world._reserve_ports() for _ in range(20)]
        self.addCleanup(lambda: [each.close() for each, _ in held])
        firsts = sorted(first for _, first in held)
        for one, other in zip(firsts, firsts[1:], strict=False):
            self.assertGreaterEqual(other - one, _world._PORTS)

    def test_ports_that_another_run_holds_are_not_taken(self):
        holder, first = _world._reserve_ports()
        self.addCleanup(holder.close)
        again = [_world._reserve_ports() for _ in range(50)]
        self.addCleanup(lambda: [each.close() for each, _ in again])
        self.assertNotIn(first, [each for _, each in again])
