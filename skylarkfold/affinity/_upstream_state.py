"""Load, health and history of an upstream as seen by this instance."""

from __future__ import annotations

import collections

from skylarkfold.affinity import _answer_statistics
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _upstream
from skylarkfold.affinity import _warm_up_slowness

_NEVER = float('-inf')
# Weight of a new sample in the moving average of early answers, which covers
# about the last sixteen.
_EARLY_ANSWER_GAIN = 1 / 16


class Health:
    """Health of an upstream as seen by this instance."""

    GOOD = 'good'
    SUSPECTED = 'doubted'
    UNREACHABLE = 'out-of-reach'


class UpstreamState:
    """Load, health and history of an upstream as seen by this instance.

    :param upstream: its entry, replaced when it changes.
    :param now: the time.
    :param slowness: how slow upstreams of its service are during warm-up.
    :ivar flows: its flows that this instance carries.
    :ivar remote_flows: its flows that peers carry.
    :ivar busy: requests in flight from flows of this instance.
    :ivar remote_busy: requests in flight from flows of peers, on average
        between their last reports.
    :ivar early_answer_share: share of its recent answers that came much sooner
        than a request takes, as those of failures do.
    :ivar speed: its speed relative to others of its service; 1 unless the
        difference is significant.
    :ivar speed_since: when the speed last changed between usual, slow and
        fast.
    :ivar answer_statistics: recent answer times seen here, None without any.
    :ivar remote_answers: the weight of its recent answers seen by peers.
    :ivar remote_slowness: the sum of their logarithms of relative answer
        times.
    :ivar heard_at: when a packet last showed that it answers.
    :ivar peer_heard_at: when a peer last saw one that did.
    :ivar silent_since: since when it has not answered, while suspected.
    :ivar lapsed_at: when its entry disappeared, None while it exists.
    :ivar last_listed_at: when its entry was last known to exist before that.
    :ivar is_replaced: whether another process has its address.
    :ivar is_superseded: whether its process has restarted: this state is of
        the earlier start, and another state has taken its place.
    :ivar is_evacuated: whether its availability zone gets no new flows.
    :ivar owns_token: whether no older upstream has the same token.
    :ivar health: one of :class:`Health`.
    :ivar probe_failures: consecutive failed probes.
    :ivar probing_since: when the first of them was sent.
    :ivar control_sent_at: when another upstream was last probed as a control.
    :ivar control_name: that upstream's name.
    :ivar pending_outcome: the outcome of its own last probe while the
        control's is not known yet.
    :ivar probe_answered_at: when a probe was last answered.
    :ivar is_confirmed: whether the control answered while it did not.
    :ivar probe_failed_at: when the last probe failed.
    :ivar probe_due: when it may be probed again.
    :ivar is_probing: whether a probe is in flight.
    :ivar deprioritized_until: until when other upstreams are chosen before it.
    :ivar warming_until: until when it is slow after its start.
    :ivar warm_up_expected_until: a lower bound of ``warming_until`` that its
        entry does not shorten.
    :ivar warm_up_openings: when this instance sent it first packets recently
        during its warm-up; None before the first, which saves memory for the
        many that never warm up here.
    """

    __slots__ = (
        '_busy_at',
        '_busy_reported_at',
        '_busy_seconds',
        'answer_statistics',
        'busy',
        'control_name',
        'control_sent_at',
        'deprioritized_until',
        'early_answer_share',
        'flows',
        'health',
        'heard_at',
        'is_confirmed',
        'is_evacuated',
        'is_probing',
        'is_replaced',
        'is_superseded',
        'lapsed_at',
        'last_listed_at',
        'owns_token',
        'peer_heard_at',
        'pending_outcome',
        'probe_answered_at',
        'probe_due',
        'probe_failed_at',
        'probe_failures',
        'probing_since',
        'remote_answers',
        'remote_busy',
        'remote_flows',
        'remote_slowness',
        'silent_since',
        'slowness',
        'speed',
        'speed_since',
        'upstream',
        'warm_up_expected_until',
        'warm_up_openings',
        'warming_until',
    )

    def __init__(
        self,
        upstream: _upstream.Upstream,
        now: float,
        slowness: _warm_up_slowness.WarmUpSlowness | None = None,
    ) -> None:
        self.upstream = upstream
        self.slowness = slowness or _warm_up_slowness.WarmUpSlowness()
        self.flows = 0
        self.remote_flows = 0
        self.busy = 0
        self.remote_busy = 0.0
        self.early_answer_share = 0.0
        self.speed = 1.0
        self.speed_since = now
        self.answer_statistics: _answer_statistics.AnswerStatistics | None = (
            None
        )
        self.remote_answers = 0.0
        self.remote_slowness = 0.0
        self._busy_seconds = 0.0
        self._busy_at = now
        self._busy_reported_at = now
        self.heard_at = _NEVER
        self.peer_heard_at = _NEVER
        self.silent_since = _NEVER
        self.probing_since = _NEVER
        self.probe_answered_at = _NEVER
        self.control_sent_at = _NEVER
        self.control_name = ''
        self.pending_outcome = ''
        self.is_confirmed = False
        self.lapsed_at: float | None = None
        self.last_listed_at = _NEVER
        self.is_replaced = False
        self.is_superseded = False
        self.is_evacuated = False
        self.owns_token = True
        self.health = Health.GOOD
        self.probe_failures = 0
        self.probe_failed_at = _NEVER
        self.probe_due = _NEVER
        self.is_probing = False
        self.deprioritized_until = _NEVER
        self.warm_up_expected_until = _NEVER
        self.warming_until = now + upstream.warm_up_seconds
        self.warm_up_openings: collections.deque[float] | None = None

    def update_entry(self, now: float, upstream: _upstream.Upstream) -> None:
        """Replace the entry by a later version.

        :param now: the time.
        :param upstream: the new entry; its remaining warm-up counts from now.
        """
        self.upstream = upstream
        until = now + upstream.warm_up_seconds
        self.warming_until = max(until, self.warm_up_expected_until)

    def expect_warm_up(self, now: float, seconds: float) -> None:
        """Treat the upstream as warming up before its entry says so.

        :param now: the time.
        :param seconds: the length of the warm-up.
        """
        self.warm_up_expected_until = now + seconds
        self.warming_until = max(
            self.warming_until, self.warm_up_expected_until
        )

    def compute_capacity(self, now: float) -> float:
        """Compute how many requests it can run at once, relative to others.

        :param now: the time.
        :returns: its slots times its speed, fewer during its warm-up.
        """
        slots = max(1, self.upstream.slots) * self.speed
        if now < self.warming_until:
            return slots * self.slowness.share
        return slots

    def record_early_answer(self, is_early: bool) -> None:
        """Record whether an answer came much too early.

        :param is_early: whether it did.
        """
        self.early_answer_share += _EARLY_ANSWER_GAIN * (
            is_early - self.early_answer_share
        )

    def change_busy(self, now: float, change: int) -> None:
        """Change the number of requests in flight.

        :param now: the time.
        :param change: the difference.
        """
        self._busy_seconds += self.busy * (now - self._busy_at)
        self._busy_at = now
        self.busy += change

    def pop_mean_busy(self, now: float) -> float:
        """Return the mean requests in flight since the last call.

        :param now: the time.
        :returns: the mean over that time.
        """
        self.change_busy(now, 0)
        seconds = now - self._busy_reported_at
        busy_seconds, self._busy_seconds = self._busy_seconds, 0.0
        self._busy_reported_at = now
        return busy_seconds / seconds if seconds > 0 else float(self.busy)

    @property
    def in_flight(self) -> float:
        """Requests in flight, here and at peers."""
        return self.busy + self.remote_busy

    @property
    def last_heard(self) -> float:
        """When it was last known to answer, here or at a peer."""
        return max(self.heard_at, self.peer_heard_at)

    @property
    def load(self) -> int:
        """Number of its flows, here and at peers."""
        return self.flows + self.remote_flows

    @property
    def takes_new_flows(self) -> bool:
        """Whether its entry allows new flows."""
        return (
            self.lapsed_at is None
            and self.owns_token
            and not self.upstream.is_draining
        )

    def may_reset(
        self, now: float, settings: _settings.AffinitySettings
    ) -> bool:
        """Return whether its flows may be reset.

        :param now: the time.
        :param settings: how long a failed probe counts.
        :returns: whether another process has its address, or it was found
            unreachable recently. A draining upstream closes its listener first
            and ends its flows itself.
        """
        if self.is_replaced:
            return True
        if self.upstream.is_draining:
            return False
        if self.health != Health.UNREACHABLE or not self.is_confirmed:
            return False
        return now - self.probe_failed_at <= settings.verdict_seconds
