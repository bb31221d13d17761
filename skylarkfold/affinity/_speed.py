"""Relative speeds of the upstreams of a service.

They are learnt from answers seen here and at peers. For each upstream, the
logarithms of the answer times as multiples of the usual time are bounded and
averaged, with a weight that halves with their age. The difference between this
mean and the median of the service gives its speed, if it is larger than chance
explains.
"""

from __future__ import annotations

import math

from skylarkfold.affinity import _answer_statistics
from skylarkfold.affinity import _directory
from skylarkfold.affinity import _effect
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _upstream_state
from skylarkfold import upstream_load

# Upper bound, as an upstream that fails often seems to be fast.
_MAXIMUM_SPEED = 2.0
# Weight of the prior assumption that an upstream has the usual speed.
_PRIOR_ANSWERS = 4.0
_MINIMUM_ANSWERS = 4.0
# Requests in flight per slot beyond which answer times say little: they are
# dominated by the wait.
_QUEUED_REQUESTS_PER_SLOT = 1.5
_SATURATED_REQUESTS_PER_SLOT = 2.3
# After a start, peers have not reported yet and callers arrive in a burst.
_MINIMUM_OBSERVED_SECONDS = 4.0
# Standard deviations beyond which a difference is significant; as weights
# decay with age, the true deviations are larger by a half.
_DEVIATIONS = 3.5
# Reports at this interval double that limit.
_REPORT_INTERVAL_SCALE_SECONDS = 0.7
# Share of the limit at which a speed is kept, to avoid flapping.
_HYSTERESIS = 0.5
_INITIAL_VARIANCE = 0.25
_MINIMUM_VARIANCE = 0.09
_VARIANCE_GAIN = 1 / 128
# As often as loads are reported, less often for many upstreams, to take less
# than a hundredth of a core.
_REFRESH_SECONDS = 0.2
_REFRESH_SECONDS_EACH = 0.001
_RECORD_SECONDS = 1.0


class _AnswerVariance:
    """Variance of the answer times of a service."""

    __slots__ = ('variance',)

    def __init__(self) -> None:
        self.variance = _INITIAL_VARIANCE

    def add(self, deviation: float) -> None:
        change = deviation * deviation - self.variance
        self.variance += _VARIANCE_GAIN * change

    def compute_limit(
        self, answers: float, report_interval_seconds: float
    ) -> float:
        """Compute the error of a mean that chance explains.

        The longer the interval between reports, the less is known about the
        queues in the meantime.
        """
        variance = max(self.variance, _MINIMUM_VARIANCE)
        chance = _DEVIATIONS * math.sqrt(variance / answers)
        return chance * (
            1 + (report_interval_seconds / _REPORT_INTERVAL_SCALE_SECONDS) ** 2
        )


class _SpeedSample:
    """The recent answer times of one upstream.

    :ivar slowness: the mean logarithm of its relative answer times, without
        the expected wait.
    :ivar uncertainty: factor of the significance limit: the longer the queue,
        the less is known about the waits.
    :ivar is_new: whether it has not been observed for long enough.
    :ivar is_queued: whether its queue hides how fast it is.
    :ivar is_saturated: whether its queue also hides how slow it is.
    """

    __slots__ = (
        'answers',
        'is_new',
        'is_queued',
        'is_saturated',
        'slowness',
        'state',
        'uncertainty',
    )

    def __init__(
        self,
        now: float,
        state: _upstream_state.UpstreamState,
        answers: float,
        slowness: float,
    ) -> None:
        answer_statistics = (
            state.answer_statistics or _answer_statistics.AnswerStatistics(now)
        )
        slots = max(1, state.upstream.slots)
        queueing = math.log(
            _compute_queueing(answer_statistics.mean_in_flight / slots)
        )
        longest = (
            max(answer_statistics.mean_in_flight, state.in_flight) / slots - 1
        )
        self.uncertainty = 1 + math.log(_compute_queueing(max(0.0, longest)))
        self.is_new = (
            now - answer_statistics.started_at < _MINIMUM_OBSERVED_SECONDS
        )
        self.state = state
        self.answers = answers
        self.slowness = slowness - queueing
        self.is_queued = (
            answer_statistics.mean_in_flight
            > _QUEUED_REQUESTS_PER_SLOT * slots
        )
        self.is_saturated = (
            answer_statistics.mean_in_flight
            > _SATURATED_REQUESTS_PER_SLOT * slots
        )


class SpeedEstimator:
    """Learns the speeds of all upstreams and sets them in their states.

    :param settings: the smallest difference that counts.
    :param directory: all upstreams.
    """

    __slots__ = ('_directory', '_refresh_due', '_settings', '_variances')

    def __init__(
        self,
        settings: _settings.AffinitySettings,
        directory: _directory.Directory,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._refresh_due = float('-inf')
        self._variances: dict[str, _AnswerVariance] = {}

    def record(
        self, now: float, state: _upstream_state.UpstreamState, ratio: float
    ) -> None:
        """Record the time of an answer.

        :param now: the time.
        :param state: the upstream that answered.
        :param ratio: the time with its wait for a slot, as a multiple of the
            usual time of such requests.
        """
        if ratio <= 0.0:
            return
        lower, upper = (
            -upstream_load.MAXIMUM_FASTNESS,
            upstream_load.MAXIMUM_SLOWNESS,
        )
        logarithm = min(max(math.log(ratio), lower), upper)
        if state.answer_statistics is None:
            state.answer_statistics = _answer_statistics.AnswerStatistics(now)
        state.answer_statistics.add(now, logarithm)
        service = state.upstream.service
        answer_variance = self._variances.get(service)
        if answer_variance is None:
            answer_variance = self._variances[service] = _AnswerVariance()
        answer_variance.add(logarithm + math.log(state.speed))

    def refresh(self, now: float) -> list[object]:
        """Recompute all speeds.

        :param now: the time.
        :returns: records of upstreams whose speed changed.
        """
        if now < self._refresh_due:
            return []
        count = 0
        effects: list[object] = []
        for service in self._directory.list_services():
            states = [
                each
                for each in self._directory.list_states(service)
                if each.answer_statistics is not None
                or each.remote_answers
                or each.speed != 1.0
            ]
            count += len(states)
            if states:
                effects += self._refresh_service(now, service, states)
        pause = max(_REFRESH_SECONDS, count * _REFRESH_SECONDS_EACH)
        self._refresh_due = now + pause
        return effects

    def _refresh_service(
        self,
        now: float,
        service: str,
        states: list[_upstream_state.UpstreamState],
    ) -> list[object]:
        samples: list[_SpeedSample] = []
        effects: list[object] = []
        for each in states:
            answers, slowness = _combine_answers(now, each)
            if answers >= _MINIMUM_ANSWERS:
                samples.append(
                    _SpeedSample(now, each, answers, slowness / answers)
                )
            elif each.speed != 1.0:
                effects += _set_speed(now, each, 1.0)
        means = [each.slowness for each in samples if not each.is_saturated]
        if not means:
            return effects
        median = _find_median(means)
        answer_variance = self._variances.get(service) or _AnswerVariance()
        for each in samples:
            speed = self._compute_speed(each, median, answer_variance)
            effects += _set_speed(now, each.state, speed)
        return effects

    def _compute_speed(
        self,
        sample: _SpeedSample,
        median: float,
        answer_variance: _AnswerVariance,
    ) -> float:
        before = sample.state.speed
        slowness = sample.slowness - median
        report_interval_seconds = self._directory.report_interval_seconds
        limit = answer_variance.compute_limit(
            sample.answers, report_interval_seconds
        )
        limit *= sample.uncertainty
        limit = max(limit, math.log1p(self._settings.speed_tolerance))
        if before != 1.0:
            limit *= _HYSTERESIS
        speed = 1.0
        if abs(slowness) > limit and not sample.is_new:
            confidence = sample.answers / (sample.answers + _PRIOR_ANSWERS)
            speed = min(math.exp(-slowness * confidence), _MAXIMUM_SPEED)
        # A queue hides how fast an upstream is, but not how slow.
        return min(speed, before) if sample.is_queued else speed


def _combine_answers(
    now: float, state: _upstream_state.UpstreamState
) -> tuple[float, float]:
    """Add the answers seen here to those reported by peers."""
    own = state.answer_statistics
    if own is None:
        own = state.answer_statistics = _answer_statistics.AnswerStatistics(
            now
        )
    own.decay(now)
    own.record_in_flight(now, state.in_flight)
    answers = own.answers + state.remote_answers
    if answers < upstream_load.MINIMUM_ANSWERS:
        state.answer_statistics = None
    return answers, own.slowness + state.remote_slowness


def _find_median(values: list[float]) -> float:
    # The statistics module uses more memory than this whole module.
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2


def _compute_queueing(filled: float) -> float:
    """Compute the factor by which waiting for a slot lengthens answers.

    It depends on the mean requests in flight at the upstream during the
    answers, since senders do not know the number at each moment. The formula
    is exact for two slots and any distribution of request lengths, and close
    for others.

    :param filled: the requests in flight per slot.
    :returns: the factor.
    """
    return (1 + math.sqrt(1 + 4 * filled * filled)) / 2


def _set_speed(
    now: float, state: _upstream_state.UpstreamState, speed: float
) -> list[object]:
    """Set a speed, and record a change between usual, slow and fast."""
    before, state.speed = state.speed, speed
    if (before > 1.0) == (speed > 1.0) and (before < 1.0) == (speed < 1.0):
        return []
    lasted = now - state.speed_since
    state.speed_since = now
    if lasted < _RECORD_SECONDS:
        return []
    own = state.answer_statistics
    reason = _effect.Reason.USUAL
    if speed != 1.0:
        reason = _effect.Reason.FAST if speed > 1.0 else _effect.Reason.SLOW
    details = {
        'service': state.upstream.service,
        'speed': round(speed, 2),
        'before': round(before, 2),
        'own_answers': round(own.answers, 1) if own is not None else 0.0,
        'peers_answers': round(state.remote_answers, 1),
        'waiting': round(state.in_flight, 1),
    }
    if before != 1.0:
        details['lasted_ms'] = round(lasted * 1000)
    name = state.upstream.name
    return [
        _effect.RecordDecision('speed', reason, upstream=name, details=details)
    ]
