"""What the judge of the soak makes of the end of a run."""

import testtools

from skylarkfold.soak import _invariants
from skylarkfold.standin import packets

ADDRESS = ('198.51.100.1', 444)
# As the soak asks for: at most one in fifty is lost.
LEAST = 0.98
DEADLINE = 'deadline'
RESET = 'reset'


class JudgeCalmTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.judge = _invariants.InvariantChecker()
        self.judge.allow(ADDRESS, 'desk')
        self._names = iter(range(1, 1000))

    def begin(self):
        exchange = packets.Exchange(next(self._names).to_bytes(8, 'big'))
        self.judge.begin(exchange)
        return exchange

    def end(self, exchange, outcome):
        exchange.outcome = outcome
        if outcome == packets.ANSWERED:
            exchange.answer = 'desk'
            self.judge.note_run(exchange.request)
        self.judge.take(exchange, ADDRESS)

    def answer(self, count):
        for _ in range(count):
            self.end(self.begin(), packets.ANSWERED)

    def test_what_began_during_a_fault_may_end_in_the_calm(self):
        # Seed 11, 8 s: requests that must not run twice wait at an upstream
        # that has ended, and reach their deadline after the calm's begin.
        early = [self.begin(), self.begin()]
        self.judge.begin_calm()
        self.answer(77)
        for each in early:
            self.end(each, DEADLINE)
        self.assertEqual([], self.judge.judge_calm(LEAST))

    def test_what_is_lost_of_the_calm_is_told(self):
        self.judge.begin_calm()
        late = [self.begin(), self.begin()]
        self.answer(77)
        for each in late:
            self.end(each, RESET)
        self.assertEqual(1, len(self.judge.judge_calm(LEAST)))

    def test_what_never_ends_is_lost(self):
        self.judge.begin_calm()
        self.begin()
        self.begin()
        self.answer(77)
        self.assertEqual(1, len(self.judge.judge_calm(LEAST)))

    def test_a_retry_counts_in_place_of_the_first_attempt(self):
        self.judge.begin_calm()
        for _ in range(9):
            self.judge.note_retry(self.begin())
        self.answer(9)
        self.assertEqual([], self.judge.judge_calm(1.0))

    def test_a_calm_without_requests_is_told(self):
        self.judge.begin_calm()
        self.assertEqual(1, len(self.judge.judge_calm(LEAST)))
