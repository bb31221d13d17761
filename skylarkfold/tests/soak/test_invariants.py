"""Tests of the soak's checks at the end of a run."""

import testtools

from skylarkfold.soak import _invariants
from skylarkfold.standin import packets

ADDRESS = ('198.51.100.1', 444)
# As in the soak: at most one request in fifty may fail.
MIN_ANSWERED_SHARE = 0.98
DEADLINE = 'deadline'
RESET = 'reset'


class CalmPhaseTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.checker = _invariants.InvariantChecker()
        self.checker.allow(ADDRESS, 'desk')
        self._names = iter(range(1, 1000))

    def begin(self):
        exchange = packets.Exchange(next(self._names).to_bytes(8, 'big'))
        self.checker.begin(exchange)
        return exchange

    def end(self, exchange, outcome):
        exchange.outcome = outcome
        if outcome == packets.ANSWERED:
            exchange.answer = 'desk'
            self.checker.note_run(exchange.request)
        self.checker.take(exchange, ADDRESS)

    def answer(self, count):
        for _ in range(count):
            self.end(self.begin(), packets.ANSWERED)

    def test_requests_from_before_the_calm_phase_do_not_count(self):
        # Requests that must not be repeated wait for a stopped upstream and
        # reach their deadline only in the calm phase.
        early = [self.begin(), self.begin()]
        self.checker.begin_calm()
        self.answer(77)
        for each in early:
            self.end(each, DEADLINE)
        self.assertEqual([], self.checker.judge_calm(MIN_ANSWERED_SHARE))

    def test_failed_requests_of_the_calm_phase_are_reported(self):
        self.checker.begin_calm()
        late = [self.begin(), self.begin()]
        self.answer(77)
        for each in late:
            self.end(each, RESET)
        self.assertEqual(1, len(self.checker.judge_calm(MIN_ANSWERED_SHARE)))

    def test_requests_that_never_end_are_reported(self):
        self.checker.begin_calm()
        self.begin()
        self.begin()
        self.answer(77)
        self.assertEqual(1, len(self.checker.judge_calm(MIN_ANSWERED_SHARE)))

    def test_a_retry_replaces_the_first_attempt(self):
        self.checker.begin_calm()
        for _ in range(9):
            self.checker.note_retry(self.begin())
        self.answer(9)
        self.assertEqual([], self.checker.judge_calm(1.0))

    def test_a_calm_phase_without_requests_is_reported(self):
        self.checker.begin_calm()
        self.assertEqual(1, len(self.checker.judge_calm(MIN_ANSWERED_SHARE)))
