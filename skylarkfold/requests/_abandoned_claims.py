"""Claims that were abandoned before a request ran under them."""

from __future__ import annotations

import collections

from skylarkfold.requests import _settings


class AbandonedClaims:
    """Numbers of abandoned claims, kept as long as a vote may name them.

    :param settings: the request settings.
    """

    def __init__(self, settings: _settings.RequestSettings) -> None:
        self._maximum_entries = settings.maximum_votes
        self._retention_seconds = settings.vote_retention_seconds
        self._expiries: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._expiries)

    def add(self, now: float, claim_number: int) -> None:
        """Add an abandoned claim; at the limit the oldest one is dropped.

        :param now: the current time.
        :param claim_number: the claim's number.
        """
        self._expiries[claim_number] = now + self._retention_seconds
        if len(self._expiries) > self._maximum_entries:
            self._expiries.popitem(last=False)

    def contains(self, claim_number: int) -> bool:
        """Return whether a claim is known to be abandoned.

        :param claim_number: the claim's number.
        :returns: False also if the entry has expired or was dropped.
        """
        return claim_number in self._expiries

    def expire(self, now: float) -> None:
        """Drop entries older than the retention time of votes.

        :param now: the current time.
        """
        while self._expiries:
            claim_number = next(iter(self._expiries))
            if self._expiries[claim_number] > now:
                return
            del self._expiries[claim_number]
