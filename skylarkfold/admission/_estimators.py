"""Measured service times and rates, and waits foretold from them."""

from __future__ import annotations

_WEIGHT = 0.1
_STALE_SECONDS = 5.0
_LEAST_TURNS = 4.0


class ServiceTime:
    """The mean service time and its mean deviation, smoothed.

    A measurement grows stale: otherwise a spell of slowness would have
    all requests refused, and nothing would be measured again.
    """

    __slots__ = ('_recorded_at', 'deviation_seconds', 'mean_seconds')

    def __init__(self) -> None:
        self.mean_seconds = 0.0
        self.deviation_seconds = 0.0
        self._recorded_at = 0.0

    def record(self, now: float, elapsed_seconds: float) -> None:
        """Take one measured service time.

        :param now: the current time.
        :param elapsed_seconds: from dispatch to the whole answer.
        """
        self._recorded_at = now
        if not self.mean_seconds:
            self.mean_seconds = elapsed_seconds
            self.deviation_seconds = elapsed_seconds / 2
            return
        error = elapsed_seconds - self.mean_seconds
        self.mean_seconds += _WEIGHT * error
        self.deviation_seconds += _WEIGHT * (
            abs(error) - self.deviation_seconds
        )

    def foretell(self, now: float, deviations: float) -> float:
        """Foretell how long the next request may take.

        :param now: the current time.
        :param deviations: mean deviations beyond the mean.
        :returns: seconds; 0 as long as nothing was measured lately.
        """
        if now - self._recorded_at > _STALE_SECONDS:
            return 0.0
        return self.mean_seconds + deviations * self.deviation_seconds


class TurnInterval:
    """The smoothed time between two turns of a class that waits.

    Turns may come in batches, as when several slots are granted at once:
    those of one moment share the time until the next one.
    """

    __slots__ = (
        '_began_at',
        '_counted',
        '_elapsed_seconds',
        '_measured_at',
        '_turns',
    )

    def __init__(self) -> None:
        self._began_at: float | None = None
        self._counted = 0.0
        self._elapsed_seconds = 0.0
        self._measured_at = 0.0
        self._turns = 0

    @property
    def mean_seconds(self) -> float:
        """The smoothed time; 0 as long as too few turns were measured."""
        if self._counted < _LEAST_TURNS:
            return 0.0
        return self._elapsed_seconds / self._counted

    def begin(self, now: float) -> None:
        """Note that the class begins to wait for a turn.

        :param now: the current time.
        """
        if self._began_at is not None:
            return
        if now - self._measured_at > _STALE_SECONDS:
            self._counted = 0.0
            self._elapsed_seconds = 0.0
        self._restart(now)

    def record_turn(self, now: float, waits_on: bool) -> None:
        """Note that a request of the class went.

        :param now: the current time.
        :param waits_on: whether more of the class waits.
        """
        self._turns += 1
        if self._began_at is not None and now > self._began_at:
            self._add(now - self._began_at, self._turns)
            self._measured_at = now
            self._restart(now)
        if not waits_on:
            self.stop()

    def stop(self) -> None:
        """Note that nothing of the class waits any longer."""
        self._began_at = None

    def foretell(self, now: float) -> float:
        """Foretell the time between two turns.

        A turn that is overdue counts at once.

        :param now: the current time.
        :returns: seconds; 0 as long as nothing was measured.
        """
        if self._began_at is None or not self.mean_seconds:
            return self.mean_seconds
        passed = (now - self._began_at) / (self._turns + 1)
        return max(self.mean_seconds, passed)

    def _restart(self, now: float) -> None:
        self._began_at = now
        self._turns = 0

    def _add(self, elapsed_seconds: float, turns: int) -> None:
        kept = 1 - _WEIGHT
        self._elapsed_seconds = kept * self._elapsed_seconds + elapsed_seconds
        self._counted = kept * self._counted + turns
