"""Tests of graceful shutdown."""

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold.forwarder import _departure

# An instance must be out of rotation 4 s after the request to stop; two failed
# readiness checks, half a second apart, may take 1.2 s of that.
LAST_READY_SECONDS = 2.8
GRACE_SECONDS = 6.0


class DepartureTest(testtools.TestCase):
    def test_leaves_at_once_if_enough_others_are_in_rotation(self):
        departure = _departure.Departure(10.0, GRACE_SECONDS)
        self.assertTrue(departure.must_leave(10.0, True))
        self.assertFalse(departure.must_leave(10.1, True))

    def test_waits_for_others_for_a_limited_time(self):
        departure = _departure.Departure(10.0, GRACE_SECONDS)
        self.assertFalse(departure.must_leave(10.5, False))
        self.assertTrue(departure.must_leave(10.0 + LAST_READY_SECONDS, False))

    def test_forwards_until_packets_cease(self):
        departure = _departure.Departure(10.0, GRACE_SECONDS)
        departure.must_leave(10.0, True)
        self.assertFalse(departure.is_over(11.0, 10.0))
        self.assertFalse(departure.is_over(12.0, 11.9))
        self.assertTrue(departure.is_over(12.0, 11.5))

    @hypothesis.given(
        strategies.lists(strategies.booleans(), max_size=120),
        strategies.floats(1.5, 30.0),
    )
    def test_whatever_its_zone_does_it_is_out_and_over_in_time(
        self, others, grace
    ):
        departure = _departure.Departure(0.0, grace)
        now = 0.0
        for may_leave in [*others, *[False] * 400]:
            departure.must_leave(now, may_leave)
            if now > LAST_READY_SECONDS:
                self.assertIsNotNone(departure.left_at)
            # Packets never cease here.
            if departure.is_over(now, now):
                break
            now += 0.1
        self.assertLessEqual(now, grace)
