"""Tests of the metric names and of sending counters to statsd."""

import pathlib
import re
import socket

import testtools

from skylarkfold import endpoint
from skylarkfold import metric


class CountersTest(testtools.TestCase):
    def test_only_increments_are_sent(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(('127.0.0.1', 0))
            server.settimeout(10)
            address = endpoint.Endpoint(*server.getsockname())
            counters = metric.Counters('a1', address)
            counters.add(metric.ATTEMPTS, 3)
            counters.flush()
            first = server.recv(1000)
            counters.flush()
            counters.add(metric.ATTEMPTS)
            counters.flush()
            second = server.recv(1000)
        self.assertEqual(b'skylarkfold.a1.attempts:3|c', first)
        self.assertEqual(b'skylarkfold.a1.attempts:1|c', second)
        self.assertEqual(4, counters.totals[metric.ATTEMPTS])


class NamesTest(testtools.TestCase):
    def test_metric_names_are_defined_in_one_module(self):
        literal = re.compile(r"(CountMetric|counters\.add)\(\s*f?'[a-z]")
        package = pathlib.Path(metric.__file__).parent
        found = [
            str(path.relative_to(package))
            for path in package.rglob('*.py')
            if 'tests' not in path.parts and literal.search(path.read_text())
        ]
        self.assertEqual([], found)
