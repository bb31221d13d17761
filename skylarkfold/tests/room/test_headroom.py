"""Tests of an instance's own room: a link that fills, probes that get lost.

The load is bulk traffic beyond a small instance's link. What callers need is
that nothing is concluded from silence while the silence may be the link's, and
that it is again within the second in which the link has room.
"""

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import room

RATE = 625_000.0
STEP = 0.01


def build(rate=RATE):
    return room.InstanceHeadroom(room.RoomSettings(), rate)


def press(own, share, since, until):
    """Have a share of the link's rate go through."""
    steps = round((until - since) / STEP)
    for step in range(steps):
        size = int(share * own.bytes_per_second * STEP)
        own.record_traffic(since + step * STEP, size, size // 2)
    return since + steps * STEP


class LinkTest(testtools.TestCase):
    def test_a_share_of_the_rate_is_told(self):
        for share in (0.1, 0.5, 0.9):
            own = build()
            now = press(own, share, 0.0, 2.0)
            self.assertAlmostEqual(
                share, own.compute_link_share(now), delta=0.06
            )

    def test_the_busier_direction_counts(self):
        own = build()
        for step in range(200):
            own.record_traffic(step * STEP, 0, int(0.9 * RATE * STEP))
        self.assertTrue(own.is_full(2.0))

    def test_a_full_link_is_known_within_its_callers_patience(self):
        # Callers repeat what is not answered after 0.2 s, and again after
        # 0.4 s more.
        own = build()
        now = press(own, 0.2, 0.0, 2.0)
        now = press(own, 1.0, now, now + 0.4)
        self.assertTrue(own.is_full(now))

    def test_one_transfer_does_not_fill_it(self):
        own = build()
        press(own, 0.2, 0.0, 2.0)
        own.record_traffic(2.0, 19_200, 19_200)
        self.assertFalse(own.is_full(2.0))

    def test_it_has_room_again_within_a_second(self):
        own = build()
        now = press(own, 1.0, 0.0, 4.0)
        now = press(own, 0.2, now, now + 0.5)
        self.assertFalse(own.is_short(now))

    def test_a_link_of_unknown_rate_is_never_full(self):
        own = build(0.0)
        own.record_traffic(1.0, 1 << 30, 1 << 30)
        self.assertEqual(0.0, own.compute_link_share(1.0))
        self.assertFalse(own.is_short(1.0))


class LossTest(testtools.TestCase):
    def test_where_nothing_is_known_the_least_tries_do(self):
        self.assertEqual(2, build().count_tries(0.0, 2))

    def test_the_more_gets_lost_the_more_tries_are_needed(self):
        tries = []
        for lost in (0, 1, 3):
            own = build()
            for number in range(40):
                own.record_probe(1.0, number >= lost)
            tries.append(own.count_tries(1.0, 2))
        self.assertEqual(sorted(set(tries)), tries)

    def test_where_much_gets_lost_none_would_do(self):
        own = build()
        for number in range(10):
            own.record_probe(1.0, number % 2 == 0)
        self.assertTrue(own.is_short(1.0))
        self.assertEqual(0, own.count_tries(1.0, 2))

    def test_on_a_full_link_none_would_do(self):
        own = build()
        now = press(own, 1.0, 0.0, 1.0)
        self.assertEqual(0, own.count_tries(now, 2))

    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 0.5), strategies.booleans()
            ),
            max_size=60,
        )
    )
    def test_losses_seldom_explain_the_tries(self, exchanges):
        own = build()
        settings = room.RoomSettings()
        now = 0.0
        for pause, is_answered in exchanges:
            now += pause
            own.record_probe(now, is_answered)
        share = own.compute_loss_share(now)
        self.assertGreater(share, 0.0)
        self.assertLess(share, 1.0)
        tries = own.count_tries(now, 1)
        if tries:
            self.assertLessEqual(tries, settings.most_tries)
            self.assertLessEqual(share**tries, settings.false_share * 1.001)
