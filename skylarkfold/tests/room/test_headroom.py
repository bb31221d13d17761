"""Tests of an instance's headroom: a link that fills, probes that get lost.

Guards against upstreams that are taken for dead while the instance's own link
delays or drops the answers, and against a link that still counts as full a
second after its load has ended.
"""

import hypothesis
from hypothesis import strategies
import testtools

from skylarkfold import room

RATE = 625_000.0
STEP = 0.01


def build(rate=RATE):
    return room.InstanceHeadroom(room.RoomSettings(), rate)


def generate_traffic(headroom, share, since, until):
    """Record traffic at a share of the link's rate; return when it ends."""
    steps = round((until - since) / STEP)
    for step in range(steps):
        size = int(share * headroom.bytes_per_second * STEP)
        headroom.record_traffic(since + step * STEP, size, size // 2)
    return since + steps * STEP


class LinkTest(testtools.TestCase):
    def test_the_share_in_use_is_measured(self):
        for share in (0.1, 0.5, 0.9):
            headroom = build()
            now = generate_traffic(headroom, share, 0.0, 2.0)
            self.assertAlmostEqual(
                share, headroom.compute_link_share(now), delta=0.06
            )

    def test_the_busier_direction_counts(self):
        headroom = build()
        for step in range(200):
            headroom.record_traffic(step * STEP, 0, int(0.9 * RATE * STEP))
        self.assertTrue(headroom.is_full(2.0))

    def test_a_full_link_is_detected_before_callers_give_up(self):
        # Callers retransmit after 0.2 s, and again after 0.4 s more.
        headroom = build()
        now = generate_traffic(headroom, 0.2, 0.0, 2.0)
        now = generate_traffic(headroom, 1.0, now, now + 0.4)
        self.assertTrue(headroom.is_full(now))

    def test_one_transfer_does_not_fill_it(self):
        headroom = build()
        generate_traffic(headroom, 0.2, 0.0, 2.0)
        headroom.record_traffic(2.0, 19_200, 19_200)
        self.assertFalse(headroom.is_full(2.0))

    def test_it_has_headroom_again_within_a_second(self):
        headroom = build()
        now = generate_traffic(headroom, 1.0, 0.0, 4.0)
        now = generate_traffic(headroom, 0.2, now, now + 0.5)
        self.assertFalse(headroom.is_short(now))

    def test_a_link_of_unknown_rate_is_never_full(self):
        headroom = build(0.0)
        headroom.record_traffic(1.0, 1 << 30, 1 << 30)
        self.assertEqual(0.0, headroom.compute_link_share(1.0))
        self.assertFalse(headroom.is_short(1.0))


class LossTest(testtools.TestCase):
    def test_the_least_tries_do_without_samples(self):
        self.assertEqual(2, build().count_tries(0.0, 2))

    def test_more_loss_needs_more_tries(self):
        tries = []
        for lost in (0, 1, 3):
            headroom = build()
            for number in range(40):
                headroom.record_probe(1.0, number >= lost)
            tries.append(headroom.count_tries(1.0, 2))
        self.assertEqual(sorted(set(tries)), tries)

    def test_no_number_of_tries_does_under_heavy_loss(self):
        headroom = build()
        for number in range(10):
            headroom.record_probe(1.0, number % 2 == 0)
        self.assertTrue(headroom.is_short(1.0))
        self.assertEqual(0, headroom.count_tries(1.0, 2))

    def test_no_number_of_tries_does_on_a_full_link(self):
        headroom = build()
        now = generate_traffic(headroom, 1.0, 0.0, 1.0)
        self.assertEqual(0, headroom.count_tries(now, 2))

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
