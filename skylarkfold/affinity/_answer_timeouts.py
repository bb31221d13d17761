"""Adaptive timeouts of the answers of each service."""

from __future__ import annotations

from skylarkfold.affinity import _settings

# The gains of RFC 6298 for mean and deviation; the timeout is four deviations
# above the mean.
_MEAN_GAIN = 1 / 8
_DEVIATION_GAIN = 1 / 4
_DEVIATIONS = 4


class AnswerTimeouts:
    """Learns for each service after how long a silence is suspicious.

    :param settings: the bounds of the timeout.
    """

    __slots__ = ('_estimates', '_settings')

    def __init__(self, settings: _settings.AffinitySettings) -> None:
        self._settings = settings
        self._estimates: dict[str, tuple[float, float]] = {}

    def record(self, service: str, seconds: float) -> None:
        """Record how long a request waited for its answer.

        :param service: the service's name.
        :param seconds: the time until the answer.
        """
        known = self._estimates.get(service)
        if known is None:
            self._estimates[service] = (seconds, seconds / 2)
            return
        mean, deviation = known
        deviation += _DEVIATION_GAIN * (abs(seconds - mean) - deviation)
        mean += _MEAN_GAIN * (seconds - mean)
        self._estimates[service] = (mean, deviation)

    def get(self, service: str) -> float:
        """Return how long a request may wait before its upstream is suspected.

        :param service: the service's name.
        :returns: seconds.
        """
        settings = self._settings
        known = self._estimates.get(service)
        if known is None:
            return settings.answer_patience_seconds
        mean, deviation = known
        wanted = mean + _DEVIATIONS * deviation
        return min(
            max(wanted, settings.answer_patience_seconds),
            settings.longest_patience_seconds,
        )
