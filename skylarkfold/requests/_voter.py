"""Server side of the vote on keys: answers other instances' claims."""

from __future__ import annotations

from collections.abc import Callable

from skylarkfold.requests import _context
from skylarkfold.requests import _holders
from skylarkfold.requests import _messages
from skylarkfold.requests import _vote_table

VoteStatus = _messages.VoteStatus


class Voter:
    """Handler of the messages that this instance gets as a holder.

    :param context: shared identity, settings and effects of the core.
    :param vote_table: this instance's votes.
    :param get_holders: returns the newest list of holders, or None.
    """

    __slots__ = ('_context', '_get_holders', '_vote_table')

    def __init__(
        self,
        context: _context.Context,
        vote_table: _vote_table.VoteTable,
        get_holders: Callable[[], _holders.HolderList | None],
    ) -> None:
        self._context = context
        self._vote_table = vote_table
        self._get_holders = get_holders

    def handle_claim(
        self, now: float, sender: str, message: _messages.ClaimMessage
    ) -> None:
        """Vote on a peer's claim to a key.

        :param now: the current time.
        :param sender: the claimant's name.
        :param message: the claim.
        """
        if message.target_boot_id != self._context.boot_id:
            return
        claim_id = _vote_table.ClaimId(
            sender, message.boot_id, message.claim_number
        )
        status, holder_claim_id = self._vote_table.vote(
            now, message.list_revision, message.key, claim_id
        )
        competitor = (
            holder_claim_id
            if status is VoteStatus.TAKEN
            else _vote_table.UNKNOWN_CLAIM
        )
        vote = _messages.VoteMessage(
            list_revision=message.list_revision,
            target_boot_id=message.boot_id,
            claim_number=message.claim_number,
            boot_id=self._context.boot_id,
            status=status,
            competitor=competitor.name,
            competitor_boot_id=competitor.boot_id,
            competitor_claim_number=competitor.number,
        )
        self._send_newer_list(sender, message.list_revision)
        self._context.send(sender, vote)

    def handle_release(
        self, now: float, sender: str, release: _messages.ReleaseMessage
    ) -> None:
        """Delete or move a vote because its claimant released it.

        :param now: the current time.
        :param sender: the claimant's name.
        :param release: the claim and its successor, if any.
        """
        self._vote_table.apply_release(sender, release)

    def _send_newer_list(self, sender: str, list_revision: int) -> None:
        holders = self._get_holders()
        if holders is None or holders.list_revision <= list_revision:
            return
        message = _messages.HoldersMessage(
            revision=holders.list_revision,
            version=holders.version,
            value=_holders.encode_value(holders.value),
        )
        self._context.send(sender, message)
