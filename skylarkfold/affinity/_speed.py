"""How fast upstreams of a service are beside one another.

Learnt from answers that pass, here and at the peers: the logarithm of how
long each took as a multiple of the usual time, bounded, summed up with a
weight that halves with its age. One upstream's mean beside the median of its
service's is its speed, once it differs by more than chance explains.
"""

from __future__ import annotations

import math

from skylarkfold.affinity import _answer_statistics
from skylarkfold.affinity import _directory
from skylarkfold.affinity import _effect
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _upstream_state
from skylarkfold import upstream_load

# What one that fails often seems to be, at most, is a fast one.
_MAXIMUM_SPEED = 2.0
# Answers that say nothing, which each upstream is taken to have given.
_PRIOR_ANSWERS = 4.0
_MINIMUM_ANSWERS = 4.0
# Requests by slots beyond which answers say little: what waited is of a
# swing, or more than counts of them.
_QUEUED_REQUESTS_PER_SLOT = 1.5
_SATURATED_REQUESTS_PER_SLOT = 2.3
# After a start, words of peers are yet to come and callers in a rush.
_MINIMUM_OBSERVED_SECONDS = 4.0
# Deviations of a mean beyond which it is no chance: weights that halve with
# age make the true ones larger by a half.
_DEVIATIONS = 3.5
# Words that come so seldom make that twice as much.
_REPORT_INTERVAL_SCALE_SECONDS = 0.7
# Half as much suffices to stay apart, so that none comes and goes.
_HYSTERESIS = 0.5
_INITIAL_VARIANCE = 0.25
_MINIMUM_VARIANCE = 0.09
_VARIANCE_GAIN = 1 / 128
# As often as loads are told, less often before many upstreams, so that it
# takes less than a hundredth of a core.
_REFRESH_SECONDS = 0.2
_REFRESH_SECONDS_EACH = 0.001
_RECORD_SECONDS = 1.0


class _AnswerVariance:
    """How much the answers of a service differ by chance."""

    __slots__ = ('variance',)

    def __init__(self) -> None:
        self.variance = _INITIAL_VARIANCE

    def add(self, deviation: float) -> None:
        change = deviation * deviation - self.variance
        self.variance += _VARIANCE_GAIN * change

    def compute_limit(
        self, answers: float, report_interval_seconds: float
    ) -> float:
        """Compute how far a mean of so many may be off by chance.

        The older words are, the less is known of what waited meanwhile.
        """
        variance = max(self.variance, _MINIMUM_VARIANCE)
        chance = _DEVIATIONS * math.sqrt(variance / answers)
        return chance * (
            1 + (report_interval_seconds / _REPORT_INTERVAL_SCALE_SECONDS) ** 2
        )


class _SpeedSample:
    """What is known of one upstream.

    :ivar slowness: the mean of its answers' logarithms, without their wait.
    :ivar doubt: how much further it must be off to count: the longer a queue,
        the less is known of what waited.
    :ivar is_new: whether it was not seen for long enough.
    :ivar is_queued: whether its queue hides how fast it is.
    :ivar is_hidden: whether it hides how slow it is, too.
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
    """Learns the speeds of all upstreams and keeps them in their standings.

    :param settings: from which difference on one counts.
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
        """Take an answer.

        :param now: the time.
        :param standing: the upstream that gave it.
        :param times: how long it took, with its wait for a slot, as a
            multiple of what such requests take.
        """
        if ratio <= 0.0:
            return
        least, most = (
            -upstream_load.MAXIMUM_FASTNESS,
            upstream_load.MAXIMUM_SLOWNESS,
        )
        logarithm = min(max(math.log(ratio), least), most)
        if state.answer_statistics is None:
            state.answer_statistics = _answer_statistics.AnswerStatistics(now)
        state.answer_statistics.add(now, logarithm)
        service = state.upstream.service
        answer_variance = self._variances.get(service)
        if answer_variance is None:
            answer_variance = self._variances[service] = _AnswerVariance()
        answer_variance.add(logarithm + math.log(state.speed))

    def refresh(self, now: float) -> list[object]:
        """Compute all speeds anew.

        :param now: the time.
        :returns: records of upstreams that became faster or slower.
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
        sample: list[_SpeedSample] = []
        effects: list[object] = []
        for each in states:
            answers, slowness = _combine_answers(now, each)
            if answers >= _MINIMUM_ANSWERS:
                sample.append(
                    _SpeedSample(now, each, answers, slowness / answers)
                )
            elif each.speed != 1.0:
                effects += _set_speed(now, each, 1.0)
        means = [each.slowness for each in sample if not each.is_saturated]
        if not means:
            return effects
        median = _find_median(means)
        answer_variance = self._variances.get(service) or _AnswerVariance()
        for each in sample:
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
        # A queue hides how fast it is, not how slow.
        return min(speed, before) if sample.is_queued else speed


def _combine_answers(
    now: float, state: _upstream_state.UpstreamState
) -> tuple[float, float]:
    """Sum up what is known here and at the peers."""
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
    # The standard library's costs more memory than all of this module.
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2


def _compute_queueing(filled: float) -> float:
    """Compute how many times longer answers take by waiting for a slot.

    From the requests that an upstream has on average while answers come:
    who sends them can't know how many there are at each. Exact for two slots
    and work of any length, close for others.

    :param filled: the requests by slots.
    :returns: the times.
    """
    return (1 + math.sqrt(1 + 4 * filled * filled)) / 2


def _set_speed(
    now: float, state: _upstream_state.UpstreamState, speed: float
) -> list[object]:
    """Set a speed, and say so where the upstream changes sides."""
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
