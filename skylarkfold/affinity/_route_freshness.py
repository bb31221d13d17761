"""Up to when the known routes are known to be complete."""

from __future__ import annotations

from skylarkfold.affinity import _flow_reset
from skylarkfold.affinity import _settings

_NEVER = float('-inf')
# What peers tell of a confirmation may be late by this much: by a pause that
# is too short to be noticed, at two instances that pass it on.
_REPORT_DELAY_SECONDS = 2.0


class RouteFreshness:
    """Tracks when the routes were last known to be up to date.

    A route that is not known here may be too new for this instance. That it
    does not exist can only be told of a time up to which the routes are known
    to be complete.

    :param settings: how long a confirmation counts.
    """

    __slots__ = ('_confirmed_at', '_proved_at', '_settings')

    def __init__(self, settings: _settings.AffinitySettings) -> None:
        self._settings = settings
        self._confirmed_at = _NEVER
        self._proved_at = _NEVER

    def record(self, now: float) -> None:
        """Record that the routes were up to date at some time.

        :param now: the time, as others tell it: it may be somewhat late.
        """
        self._confirmed_at = max(self._confirmed_at, now)

    def record_proof(self, now: float) -> None:
        """Record that the store has answered this instance itself.

        :param now: a time up to which the known routes are complete.
        """
        self._proved_at = max(self._proved_at, now)

    def is_fresh(self, now: float) -> bool:
        """Return whether the routes were confirmed recently.

        :param now: the time.
        :returns: whether they were.
        """
        return now - self._confirmed_at <= self._settings.verdict_seconds

    @property
    def has_confirmation(self) -> bool:
        """Whether the routes were confirmed at any time."""
        return self._confirmed_at > _NEVER

    def is_complete_since(self, at: float) -> bool:
        """Return whether a route that existed at some time would be known.

        :param at: the time.
        :returns: whether it would, unless it was removed since.
        """
        told_at = self._confirmed_at - _REPORT_DELAY_SECONDS
        return max(self._proved_at, told_at) >= at

    def describe(self, now: float) -> dict[str, object]:
        """Return the ages of both, for the log lines of decisions.

        :param now: the time.
        :returns: milliseconds by name; -1 for never.
        """
        return {
            'confirmed_ms': _flow_reset.to_ms(now - self._confirmed_at),
            'proved_ms': _flow_reset.to_ms(now - self._proved_at),
        }
