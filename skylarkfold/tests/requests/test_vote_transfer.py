import testtools

from skylarkfold import requests
from skylarkfold.requests import _context
from skylarkfold.requests import _holders
from skylarkfold.requests import _messages
from skylarkfold.requests import _vote_table
from skylarkfold.requests import _vote_transfer
from skylarkfold.tests.requests import samples

CLAIM = _vote_table.ClaimId('e-9', 99, 909)


def make_holder(name, boot_id):
    return _holders.Holder(name, f'zone-{name}', boot_id)


class VoteTransferTest(testtools.TestCase):
    """Transfer of votes to one new holder."""

    def setUp(self):
        super().setUp()
        self.patch(_holders, 'RANGES', 4)
        settings = requests.RequestSettings()
        self.retention = settings.vote_retention_seconds
        instance = samples.make_instance('e-0')
        self.context = _context.Context(instance, settings, 1)
        self.context.reachable = frozenset({'e-1', 'e-2', 'e-3'})
        self.vote_table = _vote_table.VoteTable(settings)
        self.gone = set()
        self.vote_transfer = _vote_transfer.VoteTransfer(
            self.context, self.vote_table, lambda each: each.name in self.gone
        )
        self.begin(2)

    def begin(self, list_revision):
        own = make_holder('e-0', self.context.boot_id)
        former = tuple(make_holder(f'e-{n}', n) for n in (1, 2, 3))
        previous = _holders.PreviousHolders(former, (0, 1, 2, 3))
        value = _holders.HolderValue((own,), (previous,))
        self.holders = _holders.HolderList(list_revision, list_revision, value)
        self.vote_transfer.start(0.0, self.holders)
        self.vote_transfer.tick(0.0)

    def list_sent(self):
        messages = [each.message for each in self.context.effects]
        self.context.effects.clear()
        return messages

    def receive_votes(
        self, number, request_number, chunk=0, chunk_count=1, votes=()
    ):
        message = _messages.VoteTransferMessage(
            list_revision=self.holders.list_revision,
            request_number=request_number,
            target_boot_id=self.context.boot_id,
            boot_id=number,
            chunk=chunk,
            chunk_count=chunk_count,
            votes=votes,
        )
        self.vote_transfer.record_votes(1.0, f'e-{number}', message)

    def list_pending_ranges(self, now=1.0):
        return self.vote_transfer.list_pending_ranges(now)

    def test_requests_votes_of_all_previous_holders(self):
        self.assertEqual(3, len(self.list_sent()))

    def test_majority_of_previous_holders_completes_a_range(self):
        self.receive_votes(1, 1)
        self.assertEqual([0, 1, 2, 3], self.list_pending_ranges())
        self.receive_votes(2, 2)
        self.assertEqual([], self.list_pending_ranges())

    def test_chunks_of_two_answers_are_not_combined(self):
        self.receive_votes(1, 1)
        self.receive_votes(2, 2, chunk=0, chunk_count=3)
        self.receive_votes(2, 5, chunk=1, chunk_count=2)
        self.assertEqual([0, 1, 2, 3], self.list_pending_ranges())
        self.receive_votes(2, 5, chunk=0, chunk_count=2)
        self.assertEqual([], self.list_pending_ranges())

    def test_received_votes_are_merged(self):
        vote = _messages.TransferredVote(b'k' * 16, *CLAIM)
        self.receive_votes(1, 1, votes=(vote,))
        other = _vote_table.ClaimId('e-8', 88, 808)
        result = self.vote_table.vote(1.0, 2, b'k' * 16, other)
        self.assertEqual((_messages.VoteStatus.TAKEN, CLAIM), result)

    def test_unreachable_holder_does_not_count_as_gone(self):
        self.receive_votes(1, 1)
        self.assertEqual(4, len(self.list_pending_ranges(9 * self.retention)))

    def test_ranges_of_gone_holders_wait_for_the_retention_time(self):
        self.receive_votes(1, 1)
        self.gone = {'e-2', 'e-3'}
        self.assertEqual(4, len(self.list_pending_ranges(5.0)))
        late = 5.0 + self.retention
        self.assertEqual(4, len(self.list_pending_ranges(late - 0.1)))
        self.assertEqual([], self.list_pending_ranges(late))

    def test_one_gone_holder_of_three_causes_no_wait(self):
        self.gone = {'e-3'}
        self.receive_votes(1, 1)
        self.receive_votes(2, 2)
        self.assertEqual([], self.list_pending_ranges())

    def test_previous_holder_refuses_older_claims_after_answering(self):
        request = _messages.TransferRequestMessage(
            list_revision=7,
            request_number=1,
            target_boot_id=self.context.boot_id,
            boot_id=5,
            ranges=(0,),
        )
        self.vote_transfer.send_votes('e-5', request)
        status, _ = self.vote_table.vote(1.0, 6, b'k' * 16, CLAIM)
        self.assertEqual(_messages.VoteStatus.STALE, status)

    def test_many_votes_are_sent_in_chunks(self):
        count = 2 * _vote_transfer.CHUNK_SIZE + 1
        for number in range(count):
            key = number.to_bytes(16, 'little')
            self.vote_table.vote(0.0, 1, key, CLAIM)
        self.list_sent()
        request = _messages.TransferRequestMessage(
            list_revision=2,
            request_number=1,
            target_boot_id=self.context.boot_id,
            boot_id=5,
            ranges=(0, 1, 2, 3),
        )
        self.vote_transfer.send_votes('e-5', request)
        sent = self.list_sent()
        self.assertEqual([3] * 3, [each.chunk_count for each in sent])
        self.assertEqual(count, sum(len(each.votes) for each in sent))
