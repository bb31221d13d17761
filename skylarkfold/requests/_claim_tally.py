"""The tally of one claim to a key."""

from __future__ import annotations

import collections

from skylarkfold.requests import _holders
from skylarkfold.requests import _vote_table

HolderId = tuple[str, int]


class ClaimTally:
    """Counts votes until the claim is won or lost.

    :param owner: the claim itself.
    :param holders: the list under which it is made.
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
        """Choose just enough holders to win, to be asked first.

        :param own_name: the claimant's name; its own vote costs nothing.
        :param reachable: names of the instances that may answer.
        :returns: a majority of each set.
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
        """Choose all that have not answered, asked before or not."""
        every = dict.fromkeys(
            each for holder_set in self._holder_sets for each in holder_set
        )
        return self._mark_asked(
            [each for each in every if not self._has_answered(each)]
        )

    @property
    def is_waiting(self) -> bool:
        """Tell whether any that was asked has not answered."""
        return bool(self.list_unanswered())

    def list_unanswered(self) -> list[_holders.Holder]:
        """List those that were asked and have not answered."""
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
        """Count a holder's answer.

        :param holder: its name and boot.
        :param accepted: whether it voted for this claim.
        :param rival: the claim that holds its vote where it did not.
        """
        if holder in self._votes:
            return
        self._votes[holder] = accepted
        if not accepted and competitor != _vote_table.UNKNOWN_CLAIM:
            self.competing_claims[competitor] += 1

    @property
    def is_won(self) -> bool:
        """Tell whether a majority of each set voted for this claim."""
        return all(
            self._count_votes(holder_set, True)
            >= _holders.count_majority(holder_set)
            for holder_set in self._holder_sets
        )

    @property
    def is_lost(self) -> bool:
        """Tell whether refusals make a majority impossible."""
        return any(
            len(holder_set) - self._count_votes(holder_set, False)
            < _holders.count_majority(holder_set)
            for holder_set in self._holder_sets
        )

    def can_win(self, reachable: frozenset[str]) -> bool:
        """Tell whether those that may still answer could make it won.

        :param reachable: names of the instances that may answer.
        :returns: False where too few holders are left.
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
