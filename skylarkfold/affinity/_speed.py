"""How fast upstreams of a service are beside one another.

Learnt from answers that pass, here and at the peers: the logarithm of how
long each took as a multiple of the usual time, bounded, summed up with a
weight that halves with its age. One upstream's mean beside the median of its
service's is its speed, once it differs by more than chance explains.
"""

from __future__ import annotations

import math

from skylarkfold.affinity import _directory
from skylarkfold.affinity import _effect
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _speed_evidence
from skylarkfold.affinity import _standing
from skylarkfold import upstream_load

# What one that fails often seems to be, at most, is a fast one.
_MOST_SPEED = 2.0
# Answers that say nothing, which each upstream is taken to have given.
_PRIOR_ANSWERS = 4.0
_LEAST_ANSWERS = 4.0
# Requests by slots beyond which answers say little: what waited is of a
# swing, or more than counts of them.
_QUEUED_SLOTS = 1.5
_HIDDEN_SLOTS = 2.3
# After a start, words of peers are yet to come and callers in a rush.
_LEAST_SECONDS = 4.0
# Deviations of a mean beyond which it is no chance: weights that halve with
# age make the true ones larger by a half.
_DEVIATIONS = 3.5
# Words that come so seldom make that twice as much.
_GAP_SECONDS = 0.7
# Half as much suffices to stay apart, so that none comes and goes.
_STAYING_SHARE = 0.5
_FIRST_VARIANCE = 0.25
_LEAST_VARIANCE = 0.09
_VARIANCE_GAIN = 1 / 128
# As often as loads are told, less often before many upstreams, so that it
# takes less than a hundredth of a core.
_REFRESH_SECONDS = 0.2
_REFRESH_SECONDS_EACH = 0.001
_RECORD_SECONDS = 1.0


class _Spread:
    """How much the answers of a service differ by chance."""

    __slots__ = ('variance',)

    def __init__(self) -> None:
        self.variance = _FIRST_VARIANCE

    def add(self, deviation: float) -> None:
        change = deviation * deviation - self.variance
        self.variance += _VARIANCE_GAIN * change

    def compute_limit(self, answers: float, gap_seconds: float) -> float:
        """Compute how far a mean of so many may be off by chance.

        The older words are, the less is known of what waited meanwhile.
        """
        variance = max(self.variance, _LEAST_VARIANCE)
        chance = _DEVIATIONS * math.sqrt(variance / answers)
        return chance * (1 + (gap_seconds / _GAP_SECONDS) ** 2)


class _Known:
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
        'doubt',
        'is_hidden',
        'is_new',
        'is_queued',
        'slowness',
        'standing',
    )

    def __init__(
        self,
        now: float,
        standing: _standing.Standing,
        answers: float,
        slowness: float,
    ) -> None:
        evidence = standing.evidence or _speed_evidence.SpeedEvidence(now)
        slots = max(1, standing.upstream.slots)
        queueing = math.log(_compute_queueing(evidence.waiting / slots))
        longest = max(evidence.waiting, standing.waiting) / slots - 1
        self.doubt = 1 + math.log(_compute_queueing(max(0.0, longest)))
        self.is_new = now - evidence.begun_at < _LEAST_SECONDS
        self.standing = standing
        self.answers = answers
        self.slowness = slowness - queueing
        self.is_queued = evidence.waiting > _QUEUED_SLOTS * slots
        self.is_hidden = evidence.waiting > _HIDDEN_SLOTS * slots


class Speeds:
    """Learns the speeds of all upstreams and keeps them in their standings.

    :param settings: from which difference on one counts.
    :param directory: all upstreams.
    """

    __slots__ = ('_directory', '_refresh_due', '_settings', '_spreads')

    def __init__(
        self,
        settings: _settings.AffinitySettings,
        directory: _directory.Directory,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._refresh_due = float('-inf')
        self._spreads: dict[str, _Spread] = {}

    def note(
        self, now: float, standing: _standing.Standing, times: float
    ) -> None:
        """Take an answer.

        :param now: the time.
        :param standing: the upstream that gave it.
        :param times: how long it took, with its wait for a slot, as a
            multiple of what such requests take.
        """
        if times <= 0.0:
            return
        least, most = (
            -upstream_load.MAXIMUM_FASTNESS,
            upstream_load.MAXIMUM_SLOWNESS,
        )
        logarithm = min(max(math.log(times), least), most)
        if standing.evidence is None:
            standing.evidence = _speed_evidence.SpeedEvidence(now)
        standing.evidence.add(now, logarithm)
        service = standing.upstream.service
        spread = self._spreads.get(service)
        if spread is None:
            spread = self._spreads[service] = _Spread()
        spread.add(logarithm + math.log(standing.speed))

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
            standings = [
                each
                for each in self._directory.list_service(service)
                if each.evidence is not None
                or each.remote_answers
                or each.speed != 1.0
            ]
            count += len(standings)
            if standings:
                effects += self._refresh_service(now, service, standings)
        pause = max(_REFRESH_SECONDS, count * _REFRESH_SECONDS_EACH)
        self._refresh_due = now + pause
        return effects

    def _refresh_service(
        self, now: float, service: str, standings: list[_standing.Standing]
    ) -> list[object]:
        known: list[_Known] = []
        effects: list[object] = []
        for each in standings:
            answers, slowness = _sum_up(now, each)
            if answers >= _LEAST_ANSWERS:
                known.append(_Known(now, each, answers, slowness / answers))
            elif each.speed != 1.0:
                effects += _set_speed(now, each, 1.0)
        told = [each.slowness for each in known if not each.is_hidden]
        if not told:
            return effects
        usual = _find_median(told)
        spread = self._spreads.get(service) or _Spread()
        for each in known:
            speed = self._compute_speed(each, usual, spread)
            effects += _set_speed(now, each.standing, speed)
        return effects

    def _compute_speed(
        self, known: _Known, usual: float, spread: _Spread
    ) -> float:
        before = known.standing.speed
        slowness = known.slowness - usual
        gap_seconds = self._directory.gap_seconds
        limit = spread.compute_limit(known.answers, gap_seconds)
        limit *= known.doubt
        limit = max(limit, math.log1p(self._settings.speed_tolerance))
        if before != 1.0:
            limit *= _STAYING_SHARE
        speed = 1.0
        if abs(slowness) > limit and not known.is_new:
            trusted = known.answers / (known.answers + _PRIOR_ANSWERS)
            speed = min(math.exp(-slowness * trusted), _MOST_SPEED)
        # A queue hides how fast it is, not how slow.
        return min(speed, before) if known.is_queued else speed


def _sum_up(now: float, standing: _standing.Standing) -> tuple[float, float]:
    """Sum up what is known here and at the peers."""
    own = standing.evidence
    if own is None:
        own = standing.evidence = _speed_evidence.SpeedEvidence(now)
    own.fade(now)
    own.note_waiting(now, standing.waiting)
    answers = own.answers + standing.remote_answers
    if answers < upstream_load.MINIMUM_ANSWERS:
        standing.evidence = None
    return answers, own.slowness + standing.remote_slowness


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
    now: float, standing: _standing.Standing, speed: float
) -> list[object]:
    """Set a speed, and say so where the upstream changes sides."""
    before, standing.speed = standing.speed, speed
    if (before > 1.0) == (speed > 1.0) and (before < 1.0) == (speed < 1.0):
        return []
    lasted = now - standing.speed_since
    standing.speed_since = now
    if lasted < _RECORD_SECONDS:
        return []
    own = standing.evidence
    reason = _effect.Reason.USUAL
    if speed != 1.0:
        reason = _effect.Reason.FAST if speed > 1.0 else _effect.Reason.SLOW
    details = {
        'service': standing.upstream.service,
        'speed': round(speed, 2),
        'before': round(before, 2),
        'own_answers': round(own.answers, 1) if own is not None else 0.0,
        'peers_answers': round(standing.remote_answers, 1),
        'waiting': round(standing.waiting, 1),
    }
    if before != 1.0:
        details['lasted_ms'] = round(lasted * 1000)
    name = standing.upstream.name
    return [
        _effect.RecordDecision('speed', reason, upstream=name, details=details)
    ]
