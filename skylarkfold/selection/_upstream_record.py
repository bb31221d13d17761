"""Observed outcomes of one upstream."""

from __future__ import annotations

from skylarkfold import request
from skylarkfold.selection import _settings
from skylarkfold import service

_LATENCY_WEIGHT = 0.1
_MINIMUM_LATENCY_SECONDS = 1e-6
_MINIMUM_SAMPLES = 8
_PROBATION_SAMPLES = 3
_MAXIMUM_HOLD_FACTOR = 64
_REFUSAL_MEMORY_SECONDS = 10.0
_ANSWER_MEMORY_SECONDS = 5.0
_FAILURES = (
    request.Outcome.BROKEN,
    request.Outcome.TIMED_OUT,
    request.Outcome.UNREACHABLE,
)


def is_failure(outcome: request.Outcome) -> bool:
    """Tell whether an outcome counts as a failure of the upstream.

    :param outcome: how an attempt ended; a refusal is not a failure.
    """
    return outcome in _FAILURES


class UpstreamRecord:
    """Outcomes of one upstream, with its ejection and request limit.

    Reported health is ignored while requests are answered: observed
    answers take precedence over reports.

    :param upstream: its current configuration.
    :param settings: the selection settings.
    :param number: its number in messages.
    :param is_new: whether it was added to a running service and needs a
        slow start.
    :ivar ejected_for_latency: whether the last ejection was for latency
        rather than failures.
    :ivar ejected_until: the end of the last ejection.
    :ivar failures: consecutive failures.
    :ivar is_returning: whether it was ejected and has not been usable
        since.
    :ivar latency_seconds: the smoothed time of an answer.
    :ivar running: requests that run there.
    :ivar work: dispatched requests, each divided by the upstream's slots
        and weight.
    """

    __slots__ = (
        '_answered_at',
        '_ejections',
        '_hold_factor',
        '_lowered_limit',
        '_lowered_until',
        '_refused_at',
        '_reported_difference',
        '_reported_healthy',
        '_samples',
        '_settings',
        '_slow_start_remaining',
        'ejected_for_latency',
        'ejected_until',
        'failures',
        'is_returning',
        'latency_seconds',
        'number',
        'running',
        'upstream',
        'work',
    )

    def __init__(
        self,
        upstream: service.Upstream,
        settings: _settings.SelectionSettings,
        number: int,
        is_new: bool,
    ) -> None:
        self._settings = settings
        self._answered_at: float | None = None
        self._ejections = 0
        self._hold_factor = 1
        self._lowered_limit = 0
        self._lowered_until = 0.0
        self._slow_start_remaining = (
            settings.slow_start_answers if is_new else 0
        )
        self._refused_at: float | None = None
        self._reported_healthy = True
        self._samples = 0
        self.number = number
        self.upstream = upstream
        self.ejected_until = 0.0
        self.failures = 0
        self.is_returning = False
        self.ejected_for_latency = False
        self.latency_seconds = 0.0
        self._reported_difference = 0
        self.running = 0
        self.work = 0.0

    def is_ejected(self, now: float) -> bool:
        """Tell whether it is ejected."""
        return now < self.ejected_until

    def is_suspect(self, now: float) -> bool:
        """Tell whether it reported ill health and has not answered lately."""
        if self._reported_healthy:
            return False
        answered_at = self._answered_at
        if answered_at is None:
            return True
        return now - answered_at > _ANSWER_MEMORY_SECONDS

    @property
    def is_on_probation(self) -> bool:
        """Tell whether it is in the slow start that follows an ejection."""
        return self._ejections > 0 and self._slow_start_remaining > 0

    @property
    def is_measured(self) -> bool:
        """Tell whether enough answers were measured to judge its latency."""
        needed = (
            _PROBATION_SAMPLES if self.is_on_probation else _MINIMUM_SAMPLES
        )
        return self._samples >= needed

    @property
    def is_in_slow_start(self) -> bool:
        """Tell whether it does not get all of its slots yet."""
        return self._slow_start_remaining > 0

    def get_limit(self, now: float) -> int:
        """Return how many requests it may run at the same time.

        :param now: the current time.
        :returns: its slots, or fewer after a refusal or in its slow start.
        """
        limit = self.upstream.slots
        if self._slow_start_remaining:
            ramp = self._settings.slow_start_answers
            done = ramp - self._slow_start_remaining
            limit = max(1, limit * done // ramp)
        if now < self._lowered_until:
            limit = min(limit, self._lowered_limit)
        return limit

    def has_refused_recently(self, now: float) -> bool:
        """Tell whether it refused a request recently.

        :param now: the current time.
        """
        if self._refused_at is None:
            return False
        return now - self._refused_at < _REFUSAL_MEMORY_SECONDS

    def record_dispatch(self) -> None:
        """Record that a request was dispatched to it."""
        self.running += 1
        self.add_work()

    def add_work(self) -> None:
        """Add one request to its work."""
        weight = self.upstream.slots * self.upstream.weight
        self.work += 1.0 / weight if weight > 0 else 1.0

    def record_outcome(
        self, now: float, outcome: request.Outcome, elapsed_seconds: float
    ) -> None:
        """Record the outcome of a request; ``running`` is not changed.

        :param now: the current time.
        :param outcome: how it ended.
        :param elapsed_seconds: the time since its dispatch.
        """
        if outcome is request.Outcome.ANSWERED:
            self._record_answer(now, elapsed_seconds)
        elif outcome is request.Outcome.REFUSED:
            self._lower_limit(now)
        elif outcome in _FAILURES:
            self._record_failure(outcome, elapsed_seconds)

    def record_report(self, healthy: bool, running: int) -> None:
        """Record the health and load that it reported.

        :param healthy: the reported health.
        :param running: the reported number of running requests.
        """
        self._reported_healthy = healthy
        self._reported_difference = running - self.running

    @property
    def estimated_running(self) -> int:
        """The last reported load, adjusted for requests since the report."""
        return max(self.running, self.running + self._reported_difference)

    def eject(self, now: float, for_latency: bool) -> None:
        """Eject it; each ejection in a row lasts longer.

        :param now: the current time.
        :param for_latency: whether the cause is latency, not failures.
        """
        seconds = self._settings.ejection_seconds * 2**self._ejections
        maximum = self._settings.maximum_ejection_seconds
        self.ejected_until = now + min(seconds, maximum)
        self.ejected_for_latency = for_latency
        self.is_returning = True
        self._samples = 0
        self._ejections = min(self._ejections + 1, 16)
        self._slow_start_remaining = self._settings.slow_start_answers
        self.failures = 0

    def _record_answer(self, now: float, elapsed_seconds: float) -> None:
        self._answered_at = now
        self._hold_factor = 1
        self.failures = 0
        self._slow_start_remaining = max(0, self._slow_start_remaining - 1)
        if not self._slow_start_remaining:
            self._ejections = 0
        self._samples += 1
        self._update_latency(max(elapsed_seconds, _MINIMUM_LATENCY_SECONDS))

    def _update_latency(self, elapsed_seconds: float) -> None:
        if self._samples == 1 or not self.latency_seconds:
            self.latency_seconds = elapsed_seconds
            return
        # A geometric mean keeps a single long request from making the
        # upstream look slow.
        weight = max(_LATENCY_WEIGHT, 1 / self._samples)
        self.latency_seconds *= (elapsed_seconds / self.latency_seconds) ** (
            weight
        )

    def _record_failure(
        self, outcome: request.Outcome, elapsed_seconds: float
    ) -> None:
        # A timeout due to a short deadline of the caller does not count
        # as a failure of the upstream.
        is_short_deadline = elapsed_seconds < 2 * self.latency_seconds
        if outcome is request.Outcome.TIMED_OUT and is_short_deadline:
            return
        self.failures += 1

    def _lower_limit(self, now: float) -> None:
        self._refused_at = now
        if now < self._lowered_until:
            self._hold_factor = min(
                2 * self._hold_factor, _MAXIMUM_HOLD_FACTOR
            )
        hold = self._settings.refusal_hold_seconds * self._hold_factor
        self._lowered_limit = min(self.running, self.upstream.slots)
        self._lowered_until = now + hold
