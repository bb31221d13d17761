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
        reserved = [_environment._reserve_ports() for _ in range(20)]
        self.addCleanup(lambda: [each.close() for each, _ in reserved])
        base_ports = sorted(base_port for _, base_port in reserved)
        for one, other in zip(base_ports, base_ports[1:], strict=False):
            self.assertGreaterEqual(other - one, _environment._PORT_COUNT)

    def test_no_outgoing_connection_takes_them(self):
        path = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')
        lowest = int(path.read_text().split()[0])
        reservation, base_port = _environment._reserve_ports()
        reservation.close()
        self.assertLess(base_port + _environment._PORT_COUNT, lowest)

    def test_ports_that_another_run_holds_are_not_taken(self):
        reservation, base_port = _environment._reserve_ports()
        self.addCleanup(reservation.close)
        others = [_environment._reserve_ports() for _ in range(50)]
        self.addCleanup(lambda: [each.close() for each, _ in others])
        self.assertNotIn(base_port, [each for _, each in others])
