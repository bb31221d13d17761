"""Estimators of service times and of the time between turns."""

from __future__ import annotations

_SMOOTHING_WEIGHT = 0.1
_STALE_SECONDS = 5.0
_MINIMUM_TURNS = 4.0


class ServiceTimeEstimator:
    """Smoothed mean and mean deviation of a service's answer times.

    Measurements expire: otherwise, after a slow period, all requests could
    be refused, so that nothing would be measured again.
    """

    __slots__ = ('_recorded_at', 'deviation_seconds', 'mean_seconds')

    def __init__(self) -> None:
        self.mean_seconds = 0.0
        self.deviation_seconds = 0.0
        self._recorded_at = 0.0

    def record(self, now: float, elapsed_seconds: float) -> None:
        """Record a measured service time.

        :param now: the current time.
        :param elapsed_seconds: the time from dispatch to the whole answer.
        """
        self._recorded_at = now
        if not self.mean_seconds:
            self.mean_seconds = elapsed_seconds
            self.deviation_seconds = elapsed_seconds / 2
            return
        error = elapsed_seconds - self.mean_seconds
        self.mean_seconds += _SMOOTHING_WEIGHT * error
        self.deviation_seconds += _SMOOTHING_WEIGHT * (
            abs(error) - self.deviation_seconds
        )

    def estimate(self, now: float, deviations: float) -> float:
        """Estimate the service time of the next request.

        :param now: the current time.
        :param deviations: mean deviations to add to the mean.
        :returns: the time in seconds; 0 if nothing was measured recently.
        """
        if now - self._recorded_at > _STALE_SECONDS:
            return 0.0
        return self.mean_seconds + deviations * self.deviation_seconds


class TurnIntervalEstimator:
    """Smoothed time between two turns of a class with waiting requests.

    A turn is the removal of a request in order to dispatch it. Turns come
    in batches when several slots are granted at once; the turns of a batch
    share the time until the next one.
    """

    __slots__ = (
        '_interval_began_at',
        '_measured_at',
        '_turns',
        '_weighted_seconds',
        '_weighted_turns',
    )

    def __init__(self) -> None:
        self._interval_began_at: float | None = None
        self._weighted_turns = 0.0
        self._weighted_seconds = 0.0
        self._measured_at = 0.0
        self._turns = 0

    @property
    def mean_seconds(self) -> float:
        """The smoothed time; 0 while too few turns were measured."""
        if self._weighted_turns < _MINIMUM_TURNS:
            return 0.0
        return self._weighted_seconds / self._weighted_turns

    def start_waiting(self, now: float) -> None:
        """Record that requests of the class are waiting.

        :param now: the current time.
        """
        if self._interval_began_at is not None:
            return
        if now - self._measured_at > _STALE_SECONDS:
            self._weighted_turns = 0.0
            self._weighted_seconds = 0.0
        self._restart_interval(now)

    def record_turn(self, now: float, has_waiting: bool) -> None:
        """Record a turn of the class.

        :param now: the current time.
        :param has_waiting: whether more requests of the class wait.
        """
        self._turns += 1
        if (
            self._interval_began_at is not None
            and now > self._interval_began_at
        ):
            self._record_interval(now - self._interval_began_at, self._turns)
            self._measured_at = now
            self._restart_interval(now)
        if not has_waiting:
            self.stop_waiting()

    def stop_waiting(self) -> None:
        """Record that no request of the class waits any longer."""
        self._interval_began_at = None

    def estimate(self, now: float) -> float:
        """Estimate the time between two turns.

        If the next turn is overdue, the time since the last one counts.

        :param now: the current time.
        :returns: the time in seconds; 0 while too little was measured.
        """
        if self._interval_began_at is None or not self.mean_seconds:
            return self.mean_seconds
        elapsed = (now - self._interval_began_at) / (self._turns + 1)
        return max(self.mean_seconds, elapsed)

    def _restart_interval(self, now: float) -> None:
        self._interval_began_at = now
        self._turns = 0

    def _record_interval(self, elapsed_seconds: float, turns: int) -> None:
        decay = 1 - _SMOOTHING_WEIGHT
        self._weighted_seconds = (
            decay * self._weighted_seconds + elapsed_seconds
        )
        self._weighted_turns = decay * self._weighted_turns + turns
