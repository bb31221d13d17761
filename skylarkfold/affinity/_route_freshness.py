"""Whether the known routes are known to be up to date."""

from __future__ import annotations

from skylarkfold.affinity import _settings


class RouteFreshness:
    """Tracks when the routes were last known to be up to date.

    A route that is not known here may be too new for this instance: only fresh
    knowledge can tell that it does not exist.

    :param settings: how long a confirmation counts.
    """

    __slots__ = ('_confirmed_at', '_settings')

    def __init__(self, settings: _settings.AffinitySettings) -> None:
        self._settings = settings
        self._confirmed_at = float('-inf')

    def record(self, now: float) -> None:
        """Record that the routes were up to date at some time.

        :param now: the time.
        """
        self._confirmed_at = max(self._confirmed_at, now)

    def is_fresh(self, now: float) -> bool:
        """Return whether the routes were confirmed recently.

        :param now: the time.
        :returns: whether they were.
        """
        return now - self._confirmed_at <= self._settings.verdict_seconds
