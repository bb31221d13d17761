"""A holder's votes: for each key, the one claim that it accepted."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
from typing import NamedTuple

from skylarkfold.requests import _holders
from skylarkfold.requests import _messages
from skylarkfold.requests import _settings


class ClaimId(NamedTuple):
    """Identity of a claim to a key.

    :param name: the name of the claimant's instance.
    :param boot_id: the boot ID of the claimant's process.
    :param number: the claim's number, unique in the system.
    """

    name: str
    boot_id: int
    number: int


VoteStatus = _messages.VoteStatus
UNKNOWN_CLAIM = ClaimId('', 0, 0)


@dataclasses.dataclass(slots=True)
class _Vote:
    claim_id: ClaimId
    last_asked_at: float


class VoteTable:
    """Table of the claims that have this holder's vote, by key.

    :param settings: the request settings.
    """

    def __init__(self, settings: _settings.RequestSettings) -> None:
        self._maximum_votes = settings.maximum_votes
        self._retention_seconds = settings.vote_retention_seconds
        self._votes: collections.OrderedDict[bytes, _Vote] = (
            collections.OrderedDict()
        )
        self._is_closed = False
        self.minimum_revision = 0

    def __len__(self) -> int:
        return len(self._votes)

    def vote(
        self, now: float, list_revision: int, key: bytes, claim_id: ClaimId
    ) -> tuple[VoteStatus, ClaimId]:
        """Vote on a claim.

        :param now: the current time.
        :param list_revision: the list under which the claim is made.
        :param key: the key's digest.
        :param claim_id: the claim.
        :returns: the result, and the claim that has the vote.
        """
        if list_revision < self.minimum_revision or self._is_closed:
            return VoteStatus.STALE, UNKNOWN_CLAIM
        self.minimum_revision = list_revision
        vote = self._votes.get(key)
        if vote is not None:
            vote.last_asked_at = now
            self._votes.move_to_end(key)
            if vote.claim_id == claim_id:
                return VoteStatus.ACCEPTED, claim_id
            return VoteStatus.TAKEN, vote.claim_id
        if len(self._votes) >= self._maximum_votes:
            return VoteStatus.FULL, UNKNOWN_CLAIM
        self._votes[key] = _Vote(claim_id, now)
        return VoteStatus.ACCEPTED, claim_id

    def fence(self, list_revision: int) -> None:
        """Refuse claims that are made under older lists from now on.

        :param list_revision: the revision of the oldest list to accept.
        """
        self.minimum_revision = max(self.minimum_revision, list_revision)

    def close(self) -> None:
        """Refuse all claims, since others count this process as gone."""
        self._is_closed = True

    def release(
        self, key: bytes, claim_id: ClaimId, successor: ClaimId | None
    ) -> None:
        """Delete the vote for a claim or move it to another claim.

        :param key: the key's digest.
        :param claim_id: the claim that its claimant released.
        :param successor: the claim that gets the vote, None to delete it.
        """
        vote = self._votes.get(key)
        if vote is None or vote.claim_id != claim_id:
            return
        if successor is None:
            del self._votes[key]
        else:
            vote.claim_id = successor

    def apply_release(
        self, claimant: str, release: _messages.ReleaseMessage
    ) -> None:
        """Apply a release message of a claimant.

        :param claimant: the name of the claimant's instance.
        :param release: the claim and its successor, if any.
        """
        claim_id = ClaimId(claimant, release.boot_id, release.claim_number)
        successor = None
        if release.successor:
            successor = ClaimId(
                release.successor,
                release.successor_boot_id,
                release.claim_number,
            )
        self.release(release.key, claim_id, successor)

    def list_votes(
        self, ranges: frozenset[int]
    ) -> Iterator[tuple[bytes, ClaimId]]:
        """List the votes in some ranges of keys.

        :param ranges: the ranges.
        :returns: keys with the claim that has the vote.
        """
        for key, vote in self._votes.items():
            if _holders.compute_range(key) in ranges:
                yield key, vote.claim_id

    def merge(
        self, now: float, votes: Iterable[tuple[bytes, ClaimId]]
    ) -> None:
        """Merge another holder's votes into this table.

        If two votes on a key differ, either claim may have won, so the claim
        becomes unknown. ``maximum_votes`` does not apply: an omitted vote
        could let a request run twice.

        :param now: the current time.
        :param votes: keys with the claim that has the vote.
        """
        for key, claim_id in votes:
            vote = self._votes.get(key)
            if vote is None:
                self._votes[key] = _Vote(claim_id, now)
            elif vote.claim_id != claim_id:
                vote.claim_id = UNKNOWN_CLAIM

    def expire(self, now: float) -> None:
        """Delete votes older than the retention time.

        :param now: the current time.
        """
        oldest = now - self._retention_seconds
        while self._votes:
            key = next(iter(self._votes))
            if self._votes[key].last_asked_at > oldest:
                return
            del self._votes[key]
