"""Client side of the vote on keys: makes, renews and abandons claims."""

from __future__ import annotations

from collections.abc import Callable

from skylarkfold.requests import _abandoned_claims
from skylarkfold.requests import _claim_tally
from skylarkfold.requests import _context
from skylarkfold.requests import _holders
from skylarkfold.requests import _key_record
from skylarkfold.requests import _messages
from skylarkfold.requests import _vote_table

VoteStatus = _messages.VoteStatus
ClaimId = _vote_table.ClaimId

_UNRESPONSIVE_SECONDS = 5.0


class ClaimClient:
    """Client that asks holders for their votes on this instance's claims.

    An abandoned claim is never resumed: no request runs under its number
    afterwards.

    :param context: shared identity, settings and effects of the core.
    :param vote_table: this instance's votes as a holder.
    :param get_holders: returns the newest list of holders, or None.
    """

    def __init__(
        self,
        context: _context.Context,
        vote_table: _vote_table.VoteTable,
        get_holders: Callable[[], _holders.HolderList | None],
    ) -> None:
        self._context = context
        self._settings = context.settings
        self._vote_table = vote_table
        self._get_holders = get_holders
        self._abandoned_claims = _abandoned_claims.AbandonedClaims(
            context.settings
        )
        self._by_claim_number: dict[int, _key_record.KeyRecord] = {}
        self._claim_count = 0
        self._unresponsive_until: dict[str, float] = {}

    @property
    def is_ready(self) -> bool:
        """Return whether a list of holders is known."""
        return self._get_holders() is not None

    def claim(self, now: float, record: _key_record.KeyRecord) -> None:
        """Make a new claim to a key.

        :param now: the current time.
        :param record: the key's record.
        """
        self._claim_count += 1
        number = self._context.draw(f'claim|{self._claim_count}')
        record.last_claim_number = number
        self._by_claim_number[number] = record
        self._submit(now, record)

    def renew(self, now: float, record: _key_record.KeyRecord) -> bool:
        """Submit an undecided claim again under a newer list of holders.

        :param now: the current time.
        :param record: the key's record.
        :returns: whether there was a claim under an older list.
        """
        tally = record.tally
        if (
            tally is None
            or tally.list_revision >= self._get_holders().list_revision
        ):
            return False
        self._submit(now, record)
        return True

    def ask_remaining(self, now: float, record: _key_record.KeyRecord) -> None:
        """Ask all holders of a key that have not answered yet.

        :param now: the current time.
        :param record: the key's record.
        """
        for holder in record.tally.list_unanswered():
            self.mark_unresponsive(now, holder.name)
        self._ask(now, record, record.tally.choose_unanswered())

    def mark_unresponsive(self, now: float, name: str) -> None:
        """Prefer other holders to an unresponsive one for some seconds.

        :param now: the current time.
        :param name: the holder that did not answer or lost its connection.
        """
        self._unresponsive_until[name] = now + _UNRESPONSIVE_SECONDS

    def _ask(
        self,
        now: float,
        record: _key_record.KeyRecord,
        chosen: list[_holders.Holder],
    ) -> None:
        record.retry_at = now + self._settings.claim_retry_seconds
        tally = record.tally
        for holder in chosen:
            if holder.name == self._context.name:
                self._ask_self(now, record, holder)
                continue
            message = _messages.ClaimMessage(
                list_revision=tally.list_revision,
                target_boot_id=holder.boot_id,
                key=record.key,
                boot_id=self._context.boot_id,
                claim_number=record.last_claim_number,
            )
            self._context.send(holder.name, message)

    def record_vote(
        self, sender: str, vote: _messages.VoteMessage
    ) -> _key_record.KeyRecord | None:
        """Record a holder's vote on a claim.

        :param sender: the holder's name.
        :param vote: its vote.
        :returns: the record of the key, or None if the claim is decided or
            was renewed under another list since.
        """
        self._unresponsive_until.pop(sender, None)
        record = self._by_claim_number.get(vote.claim_number)
        if vote.target_boot_id != self._context.boot_id or record is None:
            return None
        if record.tally.list_revision != vote.list_revision:
            return None
        competitor = ClaimId(
            vote.competitor,
            vote.competitor_boot_id,
            vote.competitor_claim_number,
        )
        _record_vote(record, (sender, vote.boot_id), vote.status, competitor)
        return record

    def stop_counting(self, record: _key_record.KeyRecord) -> None:
        """Stop counting votes for a claim.

        :param record: the key's record.
        """
        self._by_claim_number.pop(record.last_claim_number, None)
        record.tally = None

    def abandon(self, now: float, record: _key_record.KeyRecord) -> None:
        """Abandon a claim under which no request ran, whether won or not.

        :param now: the current time.
        :param record: the key's record.
        """
        if not record.last_claim_number:
            return
        self._abandoned_claims.add(now, record.last_claim_number)
        self.release(record.key, record.last_claim_number)
        self.stop_counting(record)
        record.last_claim_number = 0

    def has_abandoned(self, claim_number: int) -> bool:
        """Return whether a claim is known to be abandoned.

        :param claim_number: the claim's number.
        :returns: False also if the entry has expired.
        """
        return self._abandoned_claims.contains(claim_number)

    def release(
        self,
        key: bytes,
        claim_number: int,
        successor: _holders.Holder | None = None,
    ) -> None:
        """Tell the holders to delete their votes for a claim or move them.

        :param key: the key's digest.
        :param claim_number: the claim that has their votes.
        :param successor: the holder to which the votes move; None to delete
            them.
        """
        holders = self._get_holders()
        if holders is None:
            return
        release = _messages.ReleaseMessage(
            key=key,
            boot_id=self._context.boot_id,
            claim_number=claim_number,
            successor=successor.name if successor else '',
            successor_boot_id=successor.boot_id if successor else 0,
        )
        sets = holders.list_sets(_holders.compute_range(key))
        for name in dict.fromkeys(
            each.name for holder_set in sets for each in holder_set
        ):
            if name == self._context.name:
                self._vote_table.apply_release(name, release)
            else:
                self._context.send(name, release)

    def expire(self, now: float) -> None:
        """Drop expired abandoned claims and marks of unresponsive holders.

        :param now: the current time.
        """
        self._abandoned_claims.expire(now)
        for name, until in list(self._unresponsive_until.items()):
            if until <= now:
                del self._unresponsive_until[name]

    def _submit(self, now: float, record: _key_record.KeyRecord) -> None:
        claim_id = self._make_claim_id(record.last_claim_number)
        tally = _claim_tally.ClaimTally(
            claim_id, self._get_holders(), record.key
        )
        record.tally = tally
        chosen = tally.choose_majority(
            self._context.name, self._list_responsive(now)
        )
        self._ask(now, record, chosen)

    def _list_responsive(self, now: float) -> frozenset[str]:
        unresponsive = {
            name
            for name, until in self._unresponsive_until.items()
            if until > now
        }
        return self._context.reachable - unresponsive

    def _ask_self(
        self,
        now: float,
        record: _key_record.KeyRecord,
        holder: _holders.Holder,
    ) -> None:
        if holder.boot_id != self._context.boot_id:
            return
        tally = record.tally
        status, competitor = self._vote_table.vote(
            now, tally.list_revision, record.key, tally.claim_id
        )
        _record_vote(record, (holder.name, holder.boot_id), status, competitor)

    def _make_claim_id(self, claim_number: int) -> ClaimId:
        return ClaimId(self._context.name, self._context.boot_id, claim_number)


def _record_vote(
    record: _key_record.KeyRecord,
    holder: _claim_tally.HolderId,
    status: VoteStatus,
    competitor: ClaimId,
) -> None:
    if status is not VoteStatus.STALE:
        record.tally.record_vote(
            holder, status is VoteStatus.ACCEPTED, competitor
        )
