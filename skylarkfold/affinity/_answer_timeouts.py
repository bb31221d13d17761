"""How long the answers of a service take."""

from __future__ import annotations

from skylarkfold.affinity import _settings

# The gains of RFC 6298: an eighth and a quarter of each new value, and
# four deviations above the mean.
_MEAN_GAIN = 1 / 8
_DEVIATION_GAIN = 1 / 4
_DEVIATIONS = 4


class AnswerTimeouts:
    """Learns for each service when a silent request is worth a doubt.

    :param settings: the least and the longest patience.
    """

    __slots__ = ('_estimates', '_settings')

    def __init__(self, settings: _settings.AffinitySettings) -> None:
        self._settings = settings
        self._estimates: dict[str, tuple[float, float]] = {}

    def record(self, service: str, seconds: float) -> None:
        """Learn from a request that was answered.

        :param service: the service's name.
        :param seconds: how long its caller waited.
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
        """Tell how long a request may wait without a doubt.

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
