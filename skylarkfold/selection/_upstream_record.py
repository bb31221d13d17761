"""What has been seen first-hand of one upstream."""

from __future__ import annotations

from skylarkfold import request
from skylarkfold.selection import _settings
from skylarkfold import service

_LATENCY_WEIGHT = 0.1
_LEAST_SECONDS = 1e-6
_SAMPLES = 8
_TRIAL_SAMPLES = 3
_MAXIMUM_HOLD_FACTOR = 64
_WARY_SECONDS = 10.0
_TRUSTED_ANSWER_SECONDS = 5.0
_FAILURES = (
    request.Outcome.BROKEN,
    request.Outcome.TIMED_OUT,
    request.Outcome.UNREACHABLE,
)


def is_failure(outcome: request.Outcome) -> bool:
    """Tell whether an outcome may be the upstream's fault.

    :param outcome: how an attempt ended; a refusal is no failure.
    """
    return outcome in _FAILURES


class UpstreamRecord:
    """Outcomes of one upstream and the limits that follow from them.

    Reports of health are heeded only as long as no request was answered
    lately: what was seen counts more than what was said.

    :param upstream: its present configuration.
    :param settings: limits and times.
    :param number: its number in messages.
    :param is_new: whether it joined a service that was running already,
        so that it may be cold.
    """

    __slots__ = (
        '_answered_at',
        '_ejections',
        '_hold_factor',
        '_lowered_limit',
        '_lowered_until',
        '_missing_answers',
        '_refused_at',
        '_reported_healthy',
        '_reported_change',
        '_samples',
        '_settings',
        'ejected_until',
        'failures',
        'is_returning',
        'is_slow',
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
        self._missing_answers = settings.slow_start_answers if is_new else 0
        self._refused_at: float | None = None
        self._reported_healthy = True
        self._samples = 0
        self.number = number
        self.upstream = upstream
        self.ejected_until = 0.0
        self.failures = 0
        self.is_returning = False
        self.is_slow = False
        self.latency_seconds = 0.0
        self._reported_change = 0
        self.running = 0
        self.work = 0.0

    def is_ejected(self, now: float) -> bool:
        """Tell whether it is to get no requests for now."""
        return now < self.ejected_until

    def is_doubtful(self, now: float) -> bool:
        """Tell whether it is said to be ill and nothing speaks for it."""
        if self._reported_healthy:
            return False
        answered_at = self._answered_at
        if answered_at is None:
            return True
        return now - answered_at > _TRUSTED_ANSWER_SECONDS

    @property
    def is_on_trial(self) -> bool:
        """Tell whether it comes back from an ejection and has to prove."""
        return self._ejections > 0 and self._missing_answers > 0

    @property
    def is_measured(self) -> bool:
        """Tell whether its service time is known well enough to judge."""
        needed = _TRIAL_SAMPLES if self.is_on_trial else _SAMPLES
        return self._samples >= needed

    @property
    def is_ramping(self) -> bool:
        """Tell whether it does not get all its slots yet."""
        return self._missing_answers > 0

    def get_limit(self, now: float) -> int:
        """Compute how many requests it may run at the same time.

        :param now: the present time.
        :returns: its slots, or fewer after a refusal or while it is new.
        """
        limit = self.upstream.slots
        if self._missing_answers:
            ramp = self._settings.slow_start_answers
            done = ramp - self._missing_answers
            limit = max(1, limit * done // ramp)
        if now < self._lowered_until:
            limit = min(limit, self._lowered_limit)
        return limit

    def has_refused_lately(self, now: float) -> bool:
        """Tell whether it should not be sent more than its slots.

        :param now: the present time.
        """
        if self._refused_at is None:
            return False
        return now - self._refused_at < _WARY_SECONDS

    def record_dispatch(self) -> None:
        """Note that one more request runs there."""
        self.running += 1
        self.charge()

    def charge(self) -> None:
        """Count one request towards its share."""
        weight = self.upstream.slots * self.upstream.weight
        self.work += 1.0 / weight if weight > 0 else 1.0

    def record_outcome(
        self, now: float, outcome: request.Outcome, elapsed_seconds: float
    ) -> None:
        """Note how a request there ended; ``running`` is not changed.

        :param now: the present time.
        :param outcome: how it ended.
        :param elapsed_seconds: since its dispatch.
        """
        if outcome is request.Outcome.ANSWERED:
            self._record_answer(now, elapsed_seconds)
        elif outcome is request.Outcome.REFUSED:
            self._lower_limit(now)
        elif outcome in _FAILURES:
            self._record_failure(outcome, elapsed_seconds)

    def record_report(self, healthy: bool, running: int) -> None:
        """Note what its endpoints said.

        :param healthy: what the health endpoint said.
        :param running: requests it says that it runs.
        """
        self._reported_healthy = healthy
        self._reported_change = running - self.running

    @property
    def supposed_running(self) -> int:
        """The last report, brought up to date by what was sent since."""
        return max(self.running, self.running + self._reported_change)

    def eject(self, now: float, is_slow: bool) -> None:
        """Stop using it for a while; longer each time in a row.

        :param now: the present time.
        :param is_slow: whether slowness is the cause, not failure.
        """
        seconds = self._settings.ejection_seconds * 2**self._ejections
        maximum = self._settings.maximum_ejection_seconds
        self.ejected_until = now + min(seconds, maximum)
        self.is_slow = is_slow
        self.is_returning = True
        self._samples = 0
        self._ejections = min(self._ejections + 1, 16)
        self._missing_answers = self._settings.slow_start_answers
        self.failures = 0

    def _record_answer(self, now: float, elapsed_seconds: float) -> None:
        self._answered_at = now
        self._hold_factor = 1
        self.failures = 0
        self._missing_answers = max(0, self._missing_answers - 1)
        if not self._missing_answers:
            self._ejections = 0
        self._samples += 1
        self._smooth(max(elapsed_seconds, _LEAST_SECONDS))

    def _smooth(self, elapsed_seconds: float) -> None:
        if self._samples == 1 or not self.latency_seconds:
            self.latency_seconds = elapsed_seconds
            return
        # Smoothing logarithms keeps one long request from looking like a
        # slow upstream.
        weight = max(_LATENCY_WEIGHT, 1 / self._samples)
        self.latency_seconds *= (elapsed_seconds / self.latency_seconds) ** (
            weight
        )

    def _record_failure(
        self, outcome: request.Outcome, elapsed_seconds: float
    ) -> None:
        # A time-out that the caller's short deadline brought about says
        # nothing about the upstream.
        is_short = elapsed_seconds < 2 * self.latency_seconds
        if outcome is request.Outcome.TIMED_OUT and is_short:
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
