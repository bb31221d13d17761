"""Limit of retries to a share of first attempts."""

from __future__ import annotations

from skylarkfold.requests import _settings


class RetryBudget:
    """Token bucket that each first attempt fills by ``retry_share``.

    :param settings: the request settings.
    """

    __slots__ = ('_burst', '_share', '_tokens')

    def __init__(self, settings: _settings.RequestSettings) -> None:
        self._share = settings.retry_share
        self._burst = settings.retry_burst
        self._tokens = settings.retry_burst

    def earn(self) -> None:
        """Add the tokens for a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def spend(self) -> bool:
        """Take the token for one retry.

        :returns: whether there was one.
        """
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
