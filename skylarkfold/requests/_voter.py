"""This instance as a holder: its votes on others' claims."""

from __future__ import annotations

from collections.abc import Callable

from skylarkfold.requests import _context
from skylarkfold.requests import _holders
from skylarkfold.requests import _messages
from skylarkfold.requests import _register

Ballot = _messages.Ballot


class Voter:
    """Answers claims by the register of votes.

    :param context: what the parts of the core share.
    :param register: this instance's votes.
    :param get_holders: gives the newest list of holders, None for none.
    """

    __slots__ = ('_context', '_get_holders', '_register')

    def __init__(
        self,
        context: _context.Context,
        register: _register.Register,
        get_holders: Callable[[], _holders.HolderList | None],
    ) -> None:
        self._context = context
        self._register = register
        self._get_holders = get_holders

    def vote(
        self, now: float, sender: str, claim: _messages.ClaimMessage
    ) -> None:
        """Answer a peer's claim to a key.

        :param now: the time.
        :param sender: the claimant.
        :param claim: the claim.
        """
        if claim.target_boot != self._context.boot:
            return
        claimant = _register.Owner(sender, claim.boot, claim.claim)
        ballot, owner = self._register.vote(
            now, claim.label, claim.key, claimant
        )
        rival = owner if ballot is Ballot.TAKEN else _register.UNKNOWN
        vote = _messages.VoteMessage(
            label=claim.label,
            target_boot=claim.boot,
            claim=claim.claim,
            boot=self._context.boot,
            ballot=ballot,
            owner=rival.name,
            owner_boot=rival.boot,
            owner_claim=rival.claim,
        )
        self._tell_holders(sender, claim.label)
        self._context.send(sender, vote)

    def release(
        self, now: float, sender: str, released: _messages.ReleaseMessage
    ) -> None:
        """Take a vote back at the word of the claim's maker.

        :param now: the time.
        :param sender: the claimant.
        :param released: the claim, and who follows it.
        """
        self._register.take_release(sender, released)

    def _tell_holders(self, sender: str, label: int) -> None:
        holders = self._get_holders()
        if holders is None or holders.label <= label:
            return
        told = _messages.HoldersMessage(
            revision=holders.label,
            version=holders.version,
            value=_holders.write_value(holders.value),
        )
        self._context.send(sender, told)
