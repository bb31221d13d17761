"""Whether the routes that are known here are all that there are."""

from __future__ import annotations

from skylarkfold.affinity import _settings


class RouteFreshness:
    """Remembers when the routes were last known to be the newest.

    One that is not known here may be too new for this instance: only fresh
    knowledge may say that there is none.

    :param settings: how long that counts.
    """

    __slots__ = ('_confirmed_at', '_settings')

    def __init__(self, settings: _settings.AffinitySettings) -> None:
        self._settings = settings
        self._confirmed_at = float('-inf')

    def record(self, now: float) -> None:
        """Note that the routes were the newest a moment ago.

        :param now: when they were.
        """
        self._confirmed_at = max(self._confirmed_at, now)

    def is_fresh(self, now: float) -> bool:
        """Tell whether all routes that there are were known just now.

        :param now: the time.
        :returns: whether they were.
        """
        return now - self._confirmed_at <= self._settings.verdict_seconds
