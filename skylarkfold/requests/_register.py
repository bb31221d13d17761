"""A holder's votes: for each key, the one claim that it voted for."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
from typing import NamedTuple

from skylarkfold.requests import _holders
from skylarkfold.requests import _messages
from skylarkfold.requests import _settings


class Owner(NamedTuple):
    """A claim to a key.

    :param name: the instance that claims it.
    :param boot: the process under that name.
    :param claim: the claim's number, unique in the system.
    """

    name: str
    boot: int
    claim: int


Ballot = _messages.Ballot
UNKNOWN = Owner('', 0, 0)


@dataclasses.dataclass(slots=True)
class _Record:
    owner: Owner
    touched: float


class Register:
    """Remembers which claim to each key got this holder's vote.

    :param settings: the request settings.
    """

    def __init__(self, settings: _settings.RequestSettings) -> None:
        self._maximum = settings.maximum_votes
        self._retention_seconds = settings.vote_retention_seconds
        self._records: collections.OrderedDict[bytes, _Record] = (
            collections.OrderedDict()
        )
        self._is_closed = False
        self.floor = 0

    def __len__(self) -> int:
        return len(self._records)

    def vote(
        self, now: float, label: int, key: bytes, owner: Owner
    ) -> tuple[Ballot, Owner]:
        """Answer a claim.

        :param now: the time.
        :param label: the list under which it is made.
        :param key: the key's digest.
        :param owner: the claim.
        :returns: the ballot, and the claim that holds the vote.
        """
        if label < self.floor or self._is_closed:
            return Ballot.STALE, UNKNOWN
        self.floor = label
        record = self._records.get(key)
        if record is not None:
            record.touched = now
            self._records.move_to_end(key)
            if record.owner == owner:
                return Ballot.ACCEPTED, owner
            return Ballot.TAKEN, record.owner
        if len(self._records) >= self._maximum:
            return Ballot.FULL, UNKNOWN
        self._records[key] = _Record(owner, now)
        return Ballot.ACCEPTED, owner

    def seal(self, label: int) -> None:
        """Refuse claims that are made under a list before this one.

        :param label: the list's label.
        """
        self.floor = max(self.floor, label)

    def close(self) -> None:
        """Never vote again: others have been told that this process left."""
        self._is_closed = True

    def release(
        self, key: bytes, owner: Owner, successor: Owner | None
    ) -> None:
        """Take a vote back, or move it, at the word of its owner.

        :param key: the key's digest.
        :param owner: the claim that its claimant gave up.
        :param successor: the claim that follows it, None for none.
        """
        record = self._records.get(key)
        if record is None or record.owner != owner:
            return
        if successor is None:
            del self._records[key]
        else:
            record.owner = successor

    def take_release(
        self, claimant: str, released: _messages.ReleaseMessage
    ) -> None:
        """Take a vote back, or move it, at the word of its claimant.

        :param claimant: the instance that made the claim.
        :param released: the claim, and who follows it.
        """
        owner = Owner(claimant, released.boot, released.claim)
        successor = None
        if released.successor:
            successor = Owner(
                released.successor, released.successor_boot, released.claim
            )
        self.release(released.key, owner, successor)

    def list_votes(
        self, ranges: frozenset[int]
    ) -> Iterator[tuple[bytes, Owner]]:
        """List the votes in some ranges of keys.

        :param ranges: the ranges.
        :returns: keys with the claim that got the vote.
        """
        for key, record in self._records.items():
            if _holders.find_range(key) in ranges:
                yield key, record.owner

    def adopt(self, now: float, votes: Iterable[tuple[bytes, Owner]]) -> None:
        """Take over another holder's votes.

        Where the two differ either may have been decided, so the key's
        owner counts as unknown. No limit applies: a vote that is left out
        could let a request run twice.

        :param now: the time.
        :param votes: keys with the claim that got the vote.
        """
        for key, owner in votes:
            record = self._records.get(key)
            if record is None:
                self._records[key] = _Record(owner, now)
            elif record.owner != owner:
                record.owner = UNKNOWN

    def expire(self, now: float) -> None:
        """Forget votes on keys that nobody may send again.

        :param now: the time.
        """
        oldest = now - self._retention_seconds
        while self._records:
            key = next(iter(self._records))
            if self._records[key].touched > oldest:
                return
            del self._records[key]
