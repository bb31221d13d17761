"""Tests of the port reservation of concurrent soak runs.

They guard against instances that can't bind their ports because another run
or an outgoing connection uses them.
"""

import pathlib

import testtools

from skylarkfold.soak import _environment


class PortsTest(testtools.TestCase):
    def test_concurrent_runs_reserve_distinct_ports(self):
        reserved = [_environment._reserve_ports() for _ in range(20)]
        self.addCleanup(lambda: [each.close() for each, _ in reserved])
        base_ports = sorted(base_port for _, base_port in reserved)
        for plan, other in zip(base_ports, base_ports[1:], strict=False):
            self.assertGreaterEqual(other - plan, _environment._PORT_COUNT)

    def test_ports_are_not_ephemeral(self):
        path = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')
        lowest = int(path.read_text().split()[0])
        reservation, base_port = _environment._reserve_ports()
        reservation.close()
        self.assertLess(base_port + _environment._PORT_COUNT, lowest)

    def test_reserved_ports_are_not_reserved_again(self):
        reservation, base_port = _environment._reserve_ports()
        self.addCleanup(reservation.close)
        others = [_environment._reserve_ports() for _ in range(50)]
        self.addCleanup(lambda: [each.close() for each, _ in others])
        self.assertNotIn(base_port, [each for _, each in others])
