"""Tests of the encoding of loads of upstreams.

Malformed loads must not influence the choice of an upstream, and reports on
thousands of upstreams must stay small.
"""

import hypothesis
from hypothesis import strategies
import msgpack
import testtools

from skylarkfold import errors
from skylarkfold.relay import _load_codec
from skylarkfold import upstream_load

EIGHTHS = strategies.integers(1, 64)
EIGHTIETHS = strategies.integers(-110, 110)


class LoadCodecTest(testtools.TestCase):
    @hypothesis.given(EIGHTHS, EIGHTIETHS, strategies.booleans())
    def test_a_load_survives_encoding_and_decoding(
        self, eighths, eightieths, is_zone
    ):
        answers = eighths / 8
        load = upstream_load.UpstreamLoad(
            3, 0.25, answers, answers * eightieths / 80
        )
        fields = _load_codec.list_load(load)
        self.assertEqual(load, _load_codec.convert_load(is_zone, *fields))

    def test_no_speed_is_encoded_without_answers(self):
        load = upstream_load.UpstreamLoad(3, 0.25)
        self.assertEqual([3, 25], _load_codec.list_load(load))

    @hypothesis.given(EIGHTHS, strategies.integers(-110, 110))
    def test_a_speed_takes_three_bytes_at_most(self, eighths, eightieths):
        answers = eighths / 8
        load = upstream_load.UpstreamLoad(
            3, 0.25, answers, answers * eightieths / 80
        )
        size_without_speed = len(msgpack.packb([3, 25]))
        size_with_speed = len(msgpack.packb(_load_codec.list_load(load)))
        self.assertLessEqual(size_with_speed, size_without_speed + 3)

    def test_malformed_fields_are_refused(self):
        for is_zone, answers, slowness in (
            (False, 65, 0),
            (True, 8 * 4096 + 1, 0),
            (False, -1, 0),
            (False, 8, 112),
            (False, 8, -112),
            (False, 8, 1.5),
            (False, True, 0),
            (False, 8, None),
        ):
            self.assertRaises(
                errors.DecodeError,
                _load_codec.convert_load,
                is_zone,
                3,
                25,
                answers,
                slowness,
            )
