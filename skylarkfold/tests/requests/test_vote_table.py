import testtools

from skylarkfold import requests
from skylarkfold.requests import _messages
from skylarkfold.requests import _vote_table

VoteStatus = _messages.VoteStatus
KEY = b'0123456789abcdef'
FIRST = _vote_table.ClaimId('e-1', 11, 101)
SECOND = _vote_table.ClaimId('e-2', 12, 102)


class VoteTableTest(testtools.TestCase):
    """The votes of one holder."""

    def setUp(self):
        super().setUp()
        self.settings = requests.RequestSettings(maximum_votes=2)
        self.vote_table = _vote_table.VoteTable(self.settings)

    def vote(self, claim_id, key=KEY, now=0.0, list_revision=1):
        return self.vote_table.vote(now, list_revision, key, claim_id)

    def test_votes_once(self):
        self.assertEqual((VoteStatus.ACCEPTED, FIRST), self.vote(FIRST))
        self.assertEqual((VoteStatus.ACCEPTED, FIRST), self.vote(FIRST))
        self.assertEqual((VoteStatus.TAKEN, FIRST), self.vote(SECOND))

    def test_only_the_accepted_claim_can_release_a_vote(self):
        self.vote(FIRST)
        self.vote_table.release(KEY, SECOND, None)
        self.assertEqual((VoteStatus.TAKEN, FIRST), self.vote(SECOND))
        self.vote_table.release(KEY, FIRST, None)
        self.assertEqual((VoteStatus.ACCEPTED, SECOND), self.vote(SECOND))

    def test_released_vote_moves_to_the_successor(self):
        self.vote(FIRST)
        successor = _vote_table.ClaimId('e-3', 13, FIRST.number)
        self.vote_table.release(KEY, FIRST, successor)
        self.assertEqual((VoteStatus.TAKEN, successor), self.vote(SECOND))

    def test_claim_under_an_older_list_is_stale(self):
        self.vote_table.fence(5)
        self.assertEqual(
            VoteStatus.STALE, self.vote(FIRST, list_revision=4)[0]
        )
        self.vote(FIRST, list_revision=6)
        self.assertEqual(
            VoteStatus.STALE, self.vote(FIRST, list_revision=5)[0]
        )

    def test_full_table_keeps_its_votes(self):
        for number in range(3):
            status, _ = self.vote(FIRST, key=bytes([number]) * 16)
        self.assertEqual(VoteStatus.FULL, status)
        again, _ = self.vote(SECOND, key=bytes([0]) * 16)
        self.assertEqual(VoteStatus.TAKEN, again)

    def test_retention_counts_from_the_last_claim(self):
        retention = self.settings.vote_retention_seconds
        self.vote(FIRST)
        self.vote(SECOND, now=10.0)
        self.vote_table.expire(retention + 9.0)
        self.assertEqual(1, len(self.vote_table))
        self.vote_table.expire(retention + 10.0)
        self.assertEqual(0, len(self.vote_table))

    def test_merging_conflicting_votes_makes_the_claim_unknown(self):
        self.vote(FIRST)
        self.vote_table.merge(0.0, [(KEY, FIRST)])
        self.assertEqual((VoteStatus.TAKEN, FIRST), self.vote(SECOND))
        self.vote_table.merge(0.0, [(KEY, SECOND)])
        third = _vote_table.ClaimId('e-3', 13, 103)
        expected = (VoteStatus.TAKEN, _vote_table.UNKNOWN_CLAIM)
        self.assertEqual(expected, self.vote(third))
        self.assertEqual(expected, self.vote(FIRST))

    def test_closed_table_refuses_claims(self):
        self.vote_table.close()
        self.assertEqual(VoteStatus.STALE, self.vote(FIRST)[0])
