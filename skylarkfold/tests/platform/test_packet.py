"""Tests of the packet codec, with the examples of the platform's docs."""

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import affinity
from skylarkfold.platform import _packet

FIRST = bytes.fromhex(
    '11223344 00000000 10 00 c6120001 9c41 01bb 64400007 00000000a1b2c3d5 0000'
)
RESET = bytes.fromhex(
    '00000000 00000000 20 00 64400007 01bb 9c41 c6120001 0000000000000000 0000'
)


def build_upstream(number):
    return affinity.Upstream('i', number, 's', ('10.0.0.1', 80), 'z')


class PacketTest(testtools.TestCase):
    def test_example_packet_is_decoded(self):
        packet = _packet.decode(FIRST)
        self.assertEqual(
            '100.64.0.7:40001>198.18.0.1:443',
            affinity.format_flow(packet.flow),
        )
        self.assertTrue(packet.is_first)
        self.assertEqual(0x11223344, packet.sequence)
        self.assertEqual(
            affinity.pack_address('198.18.0.1', 443), packet.address
        )

    def test_example_reset_is_encoded(self):
        packet = _packet.decode(FIRST)
        data, caller = _packet.encode_reset(packet.flow, 0, 8172)
        self.assertEqual(RESET, data)
        self.assertEqual(('100.64.0.7', 8172), caller)

    @hypothesis.given(
        strategies.integers(0, 2**64 - 1), strategies.binary(max_size=60)
    )
    def test_only_the_token_of_a_packet_changes(self, number, payload):
        length = len(payload).to_bytes(2, 'big')
        data = FIRST[:30] + length + payload
        sent = _packet.encode_forward(build_upstream(number), data)
        self.assertEqual(number, int.from_bytes(sent[:8], 'big'))
        carried = _packet.decode(sent[8:])
        self.assertEqual(number & 0xFFFFFFFF, carried.token)
        self.assertEqual(data[:22], sent[8:30])
        self.assertEqual(data[26:], sent[34:])

    @hypothesis.given(strategies.binary(max_size=80))
    def test_any_bytes_are_a_packet_or_none(self, data):
        packet = _packet.decode(data)
        if packet is not None:
            self.assertEqual(len(data) - 32, packet.length)
