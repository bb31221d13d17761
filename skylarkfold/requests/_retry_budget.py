"""The budget that bounds retries to a share of first attempts."""

from __future__ import annotations

from skylarkfold.requests import _settings


class RetryBudget:
    """Earns a share of a retry with each first attempt.

    :param settings: the request settings.
    """

    __slots__ = ('_burst', '_share', '_tokens')

    def __init__(self, settings: _settings.RequestSettings) -> None:
        self._share = settings.retry_share
        self._burst = settings.retry_burst
        self._tokens = settings.retry_burst

    def earn(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def spend(self) -> bool:
        """Take one retry.

        :returns: whether the budget allowed it.
        """
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
