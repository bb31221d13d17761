"""Tests of a run's surroundings, several of which may be on one machine.

Seen twice beside load: instances of a run could not bind their ports (status
6), once all of them, once one that was to start again, twenty times. A port
was free on one host when it was looked for and taken on another later; and it
was one of those that the kernel gives to outgoing connections, of which each
host has some to the store.
"""

import pathlib

import testtools

from skylarkfold.soak import _environment


class PortsTest(testtools.TestCase):
    def test_runs_at_the_same_time_have_ports_of_their_own(self):
        held = [_environment._reserve_ports() for _ in range(20)]
        self.addCleanup(lambda: [each.close() for each, _ in held])
        firsts = sorted(first for _, first in held)
        for one, other in zip(firsts, firsts[1:], strict=False):
            self.assertGreaterEqual(other - one, _environment._PORTS)

    def test_no_outgoing_connection_takes_them(self):
        path = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')
        lowest = int(path.read_text().split()[0])
        holder, first = _environment._reserve_ports()
        holder.close()
        self.assertLess(first + _environment._PORTS, lowest)

    def test_ports_that_another_run_holds_are_not_taken(self):
        holder, first = _environment._reserve_ports()
        self.addCleanup(holder.close)
        again = [_environment._reserve_ports() for _ in range(50)]
        self.addCleanup(lambda: [each.close() for each, _ in again])
        self.assertNotIn(first, [each for _, each in again])
