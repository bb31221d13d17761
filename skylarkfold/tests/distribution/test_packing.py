"""Tests of the compressed encoding of objects."""

import zlib

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import codec
from skylarkfold.distribution import _packing
from skylarkfold import errors
from skylarkfold import platform_api

objects = strategies.lists(
    strategies.builds(
        platform_api.StoredObject,
        path=strategies.text(max_size=9),
        version=strategies.integers(0, 9),
        revision=strategies.integers(0, 1 << 62),
        value=strategies.none() | strategies.binary(max_size=99),
    ),
    max_size=4,
)


class PackingTest(testtools.TestCase):
    @hypothesis.given(objects)
    def test_what_is_packed_comes_back(self, packed):
        unpacked = _packing.unpack(_packing.pack(packed))
        self.assertEqual(tuple(packed), unpacked)

    @hypothesis.given(strategies.binary())
    def test_garbage_gives_a_coded_error(self, data):
        for candidate in (data, zlib.compress(data)):
            try:
                _packing.unpack(candidate)
            except errors.DecodeError as error:
                self.assertEqual('message-malformed', error.code)

    def test_decompression_bomb_is_refused(self):
        bomb = zlib.compress(bytes(codec.MAXIMUM_MESSAGE_BYTES + 1))
        self.assertRaises(errors.DecodeError, _packing.unpack, bomb)
