"""What the judge of the soak makes of the end of a run."""

import testtools

from skylarkfold.soak import _invariants
from skylarkfold.standin import packets

ADDRESS = ('198.51.100.1', 444)
# As the soak asks for: at most one in fifty is lost.
MIN_ANSWERED_SHARE = 0.98
DEADLINE = 'deadline'
RESET = 'reset'


class CalmTest(testtools.TestCase):
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

    def test_what_began_during_a_fault_may_end_in_the_calm(self):
        # Seed 11, 8 s: requests that must not run twice wait at an upstream
        # that has ended, and reach their deadline after the calm's begin.
        early = [self.begin(), self.begin()]
        self.checker.begin_calm()
        self.answer(77)
        for each in early:
            self.end(each, DEADLINE)
        self.assertEqual([], self.checker.judge_calm(MIN_ANSWERED_SHARE))

    def test_what_is_lost_of_the_calm_is_told(self):
        self.checker.begin_calm()
        late = [self.begin(), self.begin()]
        self.answer(77)
        for each in late:
            self.end(each, RESET)
        self.assertEqual(1, len(self.checker.judge_calm(MIN_ANSWERED_SHARE)))

    def test_what_never_ends_is_lost(self):
        self.checker.begin_calm()
        self.begin()
        self.begin()
        self.answer(77)
        self.assertEqual(1, len(self.checker.judge_calm(MIN_ANSWERED_SHARE)))

    def test_a_retry_counts_in_place_of_the_first_attempt(self):
        self.checker.begin_calm()
        for _ in range(9):
            self.checker.note_retry(self.begin())
        self.answer(9)
        self.assertEqual([], self.checker.judge_calm(1.0))

    def test_a_calm_without_requests_is_told(self):
        self.checker.begin_calm()
        self.assertEqual(1, len(self.checker.judge_calm(MIN_ANSWERED_SHARE)))
