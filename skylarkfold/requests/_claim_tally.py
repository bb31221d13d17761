"""Vote count of one claim to a key."""

from __future__ import annotations

import collections

from skylarkfold.requests import _holders
from skylarkfold.requests import _vote_table

HolderId = tuple[str, int]


class ClaimTally:
    """Votes of the key's holders on one claim.

    :param claim_id: the claim.
    :param holders: the list of holders under which the claim is made.
    :param key: the key's digest.
    """

    __slots__ = (
        '_asked',
        '_holder_sets',
        '_votes',
        'claim_id',
        'competing_claims',
        'key',
        'list_revision',
    )

    def __init__(
        self,
        claim_id: _vote_table.ClaimId,
        holders: _holders.HolderList,
        key: bytes,
    ) -> None:
        self.claim_id = claim_id
        self.key = key
        self.list_revision = holders.list_revision
        self.competing_claims: collections.Counter[_vote_table.ClaimId] = (
            collections.Counter()
        )
        self._holder_sets = holders.list_sets(_holders.compute_range(key))
        self._asked: set[_holders.Holder] = set()
        self._votes: dict[HolderId, bool] = {}

    def choose_majority(
        self, own_name: str, reachable: frozenset[str]
    ) -> list[_holders.Holder]:
        """Choose the smallest group of holders whose votes win the claim.

        :param own_name: the claimant's name; preferred, because its own vote
            needs no message.
        :param reachable: names of the instances that are preferred next.
        :returns: a majority of each set of holders, marked as asked.
        """
        chosen: dict[_holders.Holder, None] = {}
        for holder_set in self._holder_sets:
            ranked = sorted(
                holder_set,
                key=lambda each: (
                    each not in chosen,
                    each.name != own_name,
                    each.name not in reachable,
                ),
            )
            chosen.update(
                dict.fromkeys(ranked[: _holders.count_majority(holder_set)])
            )
        return self._mark_asked(list(chosen))

    def choose_unanswered(self) -> list[_holders.Holder]:
        """Choose all holders that have not answered, and mark them asked."""
        holders = dict.fromkeys(
            each for holder_set in self._holder_sets for each in holder_set
        )
        return self._mark_asked(
            [each for each in holders if not self._has_answered(each)]
        )

    @property
    def is_waiting(self) -> bool:
        """Return whether a holder that was asked has not answered."""
        return bool(self.list_unanswered())

    def list_unanswered(self) -> list[_holders.Holder]:
        """List the holders that were asked and have not answered."""
        return [
            each
            for each in sorted(self._asked, key=lambda each: each.name)
            if not self._has_answered(each)
        ]

    def _mark_asked(
        self, asked: list[_holders.Holder]
    ) -> list[_holders.Holder]:
        self._asked.update(asked)
        return asked

    def _has_answered(self, holder: _holders.Holder) -> bool:
        return (holder.name, holder.boot_id) in self._votes

    def record_vote(
        self, holder: HolderId, accepted: bool, competitor: _vote_table.ClaimId
    ) -> None:
        """Record a holder's vote; only its first one counts.

        :param holder: the holder's name and boot ID.
        :param accepted: whether it voted for this claim.
        :param competitor: if not, the claim that has its vote.
        """
        if holder in self._votes:
            return
        self._votes[holder] = accepted
        if not accepted and competitor != _vote_table.UNKNOWN_CLAIM:
            self.competing_claims[competitor] += 1

    @property
    def is_won(self) -> bool:
        """Return whether a majority of each set voted for this claim."""
        return all(
            self._count_votes(holder_set, True)
            >= _holders.count_majority(holder_set)
            for holder_set in self._holder_sets
        )

    @property
    def is_lost(self) -> bool:
        """Return whether the refusals rule out a majority in some set."""
        return any(
            len(holder_set) - self._count_votes(holder_set, False)
            < _holders.count_majority(holder_set)
            for holder_set in self._holder_sets
        )

    def can_win(self, reachable: frozenset[str]) -> bool:
        """Return whether the votes that are outstanding can win the claim.

        :param reachable: names of the instances that may still answer.
        :returns: False if fewer than a majority of some set can accept.
        """
        return all(
            self._count_possible_votes(holder_set, reachable)
            >= _holders.count_majority(holder_set)
            for holder_set in self._holder_sets
        )

    def _count_votes(self, holders: _holders.HolderSet, accepted: bool) -> int:
        return sum(
            self._votes.get((each.name, each.boot_id)) is accepted
            for each in holders
        )

    def _count_possible_votes(
        self, holders: _holders.HolderSet, reachable: frozenset[str]
    ) -> int:
        return sum(
            self._votes.get((each.name, each.boot_id), each.name in reachable)
            for each in holders
        )
