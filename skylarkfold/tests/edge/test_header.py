"""Tests of PROXY protocol headers."""

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold.edge import _header
from skylarkfold import endpoint
from skylarkfold import errors

ADDRESSES = strategies.ip_addresses(v=4).map(str)
PORTS = strategies.integers(0, 65535)
ENDPOINTS = strategies.builds(endpoint.Endpoint, ADDRESSES, PORTS)


class HeaderTest(testtools.TestCase):
    @hypothesis.given(ENDPOINTS, ENDPOINTS, strategies.binary())
    def test_header_tells_both_ends(self, caller, address, payload):
        data = _header.pack_datagram_header(caller, address) + payload
        length = _header.measure_header(data)
        self.assertEqual(payload, data[length:])
        self.assertEqual((caller, address, payload), _header.split(data))
        unpacked = _header.unpack_header(data[:length])
        self.assertEqual((caller, address), unpacked)

    def test_version_6_addresses(self):
        caller = endpoint.Endpoint('fe80::1', 7)
        address = endpoint.Endpoint('fe80::2', 8)
        header = _header.pack_datagram_header(caller, address)
        unpacked = _header.unpack_header(header)
        self.assertEqual((caller, address), unpacked)
        parts = _header.split(header + b'x')
        self.assertEqual((caller, address, b'x'), parts)

    @hypothesis.given(
        strategies.one_of(
            strategies.binary(),
            strategies.binary().map(
                lambda tail: b'\r\n\r\n\x00\r\nQUIT\n' + tail
            ),
        )
    )
    def test_garbage_is_a_coded_error(self, data):
        try:
            _header.split(data)
        except errors.DecodeError as error:
            self.assertEqual('message-malformed', error.code)
