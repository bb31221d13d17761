"""Transfer of votes from former to new holders of ranges of keys."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

from skylarkfold.requests import _claim_tally
from skylarkfold.requests import _context
from skylarkfold.requests import _holders
from skylarkfold.requests import _messages
from skylarkfold.requests import _vote_table

CHUNK_SIZE = 500
_RETRY_SECONDS = 1.0

IsGone = Callable[[_holders.Holder], bool]


class VoteTransfer:
    """Sender and receiver of votes when the holders of ranges change.

    A range is transferred once a majority of its former holders have sent
    their votes and refuse claims under older lists. If too many of them are
    gone to form a majority, their votes are unknown, and the range counts as
    transferred only after the retention time of votes.

    :param context: shared identity, settings and effects of the core.
    :param vote_table: this instance's votes as a holder.
    :param is_gone: returns whether a holder's process has provably ended.
    """

    def __init__(
        self,
        context: _context.Context,
        vote_table: _vote_table.VoteTable,
        is_gone: IsGone,
    ) -> None:
        self._context = context
        self._vote_table = vote_table
        self._is_gone = is_gone
        self._holders: _holders.HolderList | None = None
        self._pending_ranges: list[int] = []
        self._effective_revision = 0
        self._received_from: set[_claim_tally.HolderId] = set()
        self._received_chunks: dict[
            tuple[_claim_tally.HolderId, int], set[int]
        ] = {}
        self._unrecoverable: dict[int, tuple[_holders.HolderSet, float]] = {}
        self._last_request_number = 0
        self._next_request_at = 0.0

    def start(self, now: float, holders: _holders.HolderList) -> None:
        """Start the transfer under a newer list of holders.

        Votes received before stay valid if the present holders are the same.

        :param now: the current time.
        :param holders: the list.
        """
        before = self._holders
        current = holders.value.current
        if before is None or before.value.current != current:
            self._effective_revision = holders.list_revision
            self._received_from = set()
        self._received_chunks = {}
        self._holders = holders
        self._pending_ranges = [
            range_number
            for range_number in holders.list_pending()
            if self._includes_self(holders.get_current(range_number))
        ]
        self._next_request_at = now
        former = (
            holders.get_previous(range_number)
            for range_number in self._pending_ranges
        )
        if any(self._includes_self(each) for each in former):
            self._vote_table.fence(self._effective_revision)
            self._received_from.add(
                (self._context.name, self._context.boot_id)
            )

    def tick(self, now: float) -> None:
        """Request votes from former holders that have not sent them.

        :param now: the current time.
        """
        pending_ranges = self.list_pending_ranges(now)
        if pending_ranges and now >= self._next_request_at:
            self._next_request_at = now + _RETRY_SECONDS
            self._request_votes(pending_ranges)

    def list_pending_ranges(self, now: float) -> list[int]:
        """List the ranges whose votes this instance still has to receive.

        :param now: the current time.
        :returns: the ranges, sorted.
        """
        self._pending_ranges = [
            each
            for each in self._pending_ranges
            if not self._is_transferred(now, each)
        ]
        return self._pending_ranges

    def send_votes(
        self, sender: str, request: _messages.TransferRequestMessage
    ) -> None:
        """Send this instance's votes and refuse claims under older lists.

        :param sender: the new holder's name.
        :param request: the ranges and the revision of the newer list.
        """
        if request.target_boot_id != self._context.boot_id:
            return
        self._vote_table.fence(request.list_revision)
        votes = [
            _messages.TransferredVote(key, *claim_id)
            for key, claim_id in self._vote_table.list_votes(
                frozenset(request.ranges)
            )
        ]
        chunk_count = max(1, -(-len(votes) // CHUNK_SIZE))
        for chunk in range(chunk_count):
            begin = chunk * CHUNK_SIZE
            message = _messages.VoteTransferMessage(
                list_revision=request.list_revision,
                request_number=request.request_number,
                target_boot_id=request.boot_id,
                boot_id=self._context.boot_id,
                chunk=chunk,
                chunk_count=chunk_count,
                votes=tuple(votes[begin : begin + CHUNK_SIZE]),
            )
            self._context.send(sender, message)

    def record_votes(
        self, now: float, sender: str, message: _messages.VoteTransferMessage
    ) -> None:
        """Merge a former holder's votes into this instance's table.

        :param now: the current time.
        :param sender: the former holder's name.
        :param message: a chunk of its votes.
        """
        is_ours = message.target_boot_id == self._context.boot_id
        if not is_ours or self._holders is None:
            return
        if message.list_revision < self._effective_revision:
            return
        votes = (
            (
                each.key,
                _vote_table.ClaimId(
                    each.claimant, each.boot_id, each.claim_number
                ),
            )
            for each in message.votes
        )
        self._vote_table.merge(now, votes)
        identity = (sender, message.boot_id)
        seen = self._received_chunks.setdefault(
            (identity, message.request_number), set()
        )
        seen.add(message.chunk)
        if len(seen) == message.chunk_count:
            self._received_from.add(identity)

    def _includes_self(self, holders: _holders.HolderSet) -> bool:
        return any(
            each.name == self._context.name
            and each.boot_id == self._context.boot_id
            for each in holders
        )

    def _is_transferred(self, now: float, range_number: int) -> bool:
        previous = self._holders.get_previous(range_number)
        received = [each for each in previous if self._has_received(each)]
        if len(received) >= _holders.count_majority(previous):
            return True
        rest = (each for each in previous if not self._has_received(each))
        if not all(self._is_gone(each) for each in rest):
            self._unrecoverable.pop(range_number, None)
            return False
        recorded, since = self._unrecoverable.get(range_number, ((), now))
        if recorded != previous:
            self._unrecoverable[range_number] = (previous, now)
            return False
        retention = self._context.settings.vote_retention_seconds
        return now - since >= retention

    def _has_received(self, holder: _holders.Holder) -> bool:
        return (holder.name, holder.boot_id) in self._received_from

    def _request_votes(self, pending_ranges: list[int]) -> None:
        for holder, ranges in self._list_requests(pending_ranges):
            self._last_request_number += 1
            request = _messages.TransferRequestMessage(
                list_revision=self._holders.list_revision,
                request_number=self._last_request_number,
                target_boot_id=holder.boot_id,
                boot_id=self._context.boot_id,
                ranges=tuple(ranges),
            )
            self._context.send(holder.name, request)

    def _list_requests(
        self, pending_ranges: list[int]
    ) -> Iterator[tuple[_holders.Holder, list[int]]]:
        by_holder: dict[_holders.Holder, list[int]] = {}
        for range_number in sorted(pending_ranges):
            for holder in self._holders.get_previous(range_number):
                by_holder.setdefault(holder, []).append(range_number)
        for holder, ranges in by_holder.items():
            is_reachable = holder.name in self._context.reachable
            if is_reachable and not self._has_received(holder):
                yield holder, ranges
