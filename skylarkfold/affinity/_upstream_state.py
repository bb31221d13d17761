"""What an instance knows of one upstream besides its entry."""

from __future__ import annotations

import collections

from skylarkfold.affinity import _answer_statistics
from skylarkfold.affinity import _settings
from skylarkfold.affinity import _upstream
from skylarkfold.affinity import _warm_up_slowness

_NEVER = float('-inf')
# What one answer more counts in the share of those that came too soon: the
# last sixteen are most of it.
_EARLY_ANSWER_GAIN = 1 / 16


class Health:
    """How an upstream is seen from this instance."""

    GOOD = 'good'
    SUSPECTED = 'doubted'
    UNREACHABLE = 'out-of-reach'


class UpstreamState:
    """One upstream with its load and health, as seen from here.

    :param upstream: its entry, replaced as it changes.
    :param now: the time.
    :param slowness: of its service's upstreams while they warm up.
    :ivar flows: flows of it that this instance carries.
    :ivar remote_flows: flows of it that peers carry.
    :ivar busy: requests that it has from flows of this instance.
    :ivar remote_busy: the same at peers, on average of late.
    :ivar hasty_share: share of its answers of late that came much sooner
        than work takes, as failures do.
    :ivar speed: how fast it works beside others of its service; 1 unless it
        differs by more than chance.
    :ivar speed_since: since when it is slower, faster or as usual.
    :ivar evidence: what its answers here said of that of late, None where
        there were none.
    :ivar remote_answers: the weight of its answers at peers of late.
    :ivar remote_slowness: what they said, added up.
    :ivar heard_at: when a packet last proved that it answers.
    :ivar heard_elsewhere_at: the same at a peer.
    :ivar silent_since: since when it did not answer, while in doubt.
    :ivar lapsed_at: when its entry disappeared, None while it is there.
    :ivar present_at: when it was last known to be there before that.
    :ivar is_replaced: whether another process has its address.
    :ivar is_former: whether its process has started again: what is known
        here is of the start before, and another standing has its place.
    :ivar is_evacuated: whether its availability zone takes no new flow.
    :ivar has_token: whether no older upstream has the same token.
    :ivar health: one of :class:`Health`.
    :ivar failures: probes in a row that failed.
    :ivar probed_at: when the first of them began.
    :ivar compared_at: when another upstream was probed beside it.
    :ivar control: that upstream's name.
    :ivar outcome: how its own last probe ended, while that of the other
        one goes on.
    :ivar alive_at: when a probe was last answered.
    :ivar is_proven: whether that other one answered while it did not.
    :ivar failed_at: when the last probe failed.
    :ivar probe_due: when it may be probed again.
    :ivar is_probing: whether a probe is under way.
    :ivar avoided_until: until when others go before it.
    :ivar warming_until: until when it is slow from its start.
    :ivar settled_at: until when it is taken to be so in any case.
    :ivar openings: when it was sent first packets meanwhile, of late; None
        before the first, as almost all of thousands never warm up here.
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
        """Take a later form of its entry.

        :param now: the time.
        :param upstream: what it says; with it how much longer it warms up,
            which may begin anew.
        """
        self.upstream = upstream
        until = now + upstream.warm_up_seconds
        self.warming_until = max(until, self.warm_up_expected_until)

    def expect_warm_up(self, now: float, seconds: float) -> None:
        """Take that it is idle and may be slow, before its entry says so.

        :param now: the time.
        :param seconds: for how long.
        """
        self.warm_up_expected_until = now + seconds
        self.warming_until = max(
            self.warming_until, self.warm_up_expected_until
        )

    def compute_capacity(self, now: float) -> float:
        """Compute how much work it takes relative to others.

        :param now: the time.
        :returns: its slots by its speed, fewer while it is slow from its
            start.
        """
        slots = max(1, self.upstream.slots) * self.speed
        if now < self.warming_until:
            return slots * self.slowness.share
        return slots

    def record_early_answer(self, is_early: bool) -> None:
        """Take whether an answer came much too soon.

        :param is_hasty: whether it did.
        """
        self.early_answer_share += _EARLY_ANSWER_GAIN * (
            is_early - self.early_answer_share
        )

    def change_busy(self, now: float, change: int) -> None:
        """Count requests that come or go.

        :param now: the time.
        :param change: how many more there are.
        """
        self._busy_seconds += self.busy * (now - self._busy_at)
        self._busy_at = now
        self.busy += change

    def pop_mean_busy(self, now: float) -> float:
        """Compute how many requests it had since this was last asked.

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
        """Requests that it has, as far as is known here."""
        return self.busy + self.remote_busy

    @property
    def last_heard(self) -> float:
        """When it was last known to answer, here or at a peer."""
        return max(self.heard_at, self.peer_heard_at)

    @property
    def load(self) -> int:
        """Flows that it holds, as far as is known here."""
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
        """Tell whether its flows have ended for all that can be known.

        :param now: the time.
        :param settings: how long a failed probe counts.
        :returns: whether another process has its address, or it is out
            of reach and was found so just now. One that leaves as planned
            closes its listener first and ends its flows itself.
        """
        if self.is_replaced:
            return True
        if self.upstream.is_draining:
            return False
        if self.health != Health.UNREACHABLE or not self.is_confirmed:
            return False
        return now - self.probe_failed_at <= settings.verdict_seconds
