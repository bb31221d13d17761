"""Claims that were given up before anything ran under them."""

from __future__ import annotations

import collections

from skylarkfold.requests import _settings


class AbandonedClaims:
    """Remembers abandoned claims for as long as a vote may name them.

    :param settings: the request settings.
    """

    def __init__(self, settings: _settings.RequestSettings) -> None:
        self._maximum = settings.maximum_votes
        self._retention_seconds = settings.vote_retention_seconds
        self._expiries: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._expiries)

    def add(self, now: float, claim_number: int) -> None:
        """Remember a claim that was given up.

        :param now: the time.
        :param claim: its number.
        """
        self._expiries[claim_number] = now + self._retention_seconds
        if len(self._expiries) > self._maximum:
            self._expiries.popitem(last=False)

    def has(self, claim_number: int) -> bool:
        """Tell whether a claim is known to have been given up.

        :param claim: its number.
        :returns: False also where it was forgotten.
        """
        return claim_number in self._expiries

    def expire(self, now: float) -> None:
        """Forget what no vote can name any more.

        :param now: the time.
        """
        while self._expiries:
            claim_number = next(iter(self._expiries))
            if self._expiries[claim_number] > now:
                return
            del self._expiries[claim_number]
