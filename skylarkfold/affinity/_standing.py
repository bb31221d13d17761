"""What an instance knows of one upstream besides its entry."""

from __future__ import annotations

import collections

from skylarkfold.affinity import _settings
from skylarkfold.affinity import _slowness
from skylarkfold.affinity import _speed_evidence
from skylarkfold.affinity import _upstream

_NEVER = float('-inf')
# What one answer more counts in the share of those that came too soon: the
# last sixteen are most of it.
_HASTE_GAIN = 1 / 16


class Health:
    """How an upstream is seen from this instance."""

    GOOD = 'good'
    DOUBTED = 'doubted'
    OUT_OF_REACH = 'out-of-reach'


class Standing:
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
        '_busy_area',
        '_busy_at',
        '_busy_told_at',
        'alive_at',
        'avoided_until',
        'busy',
        'compared_at',
        'control',
        'evidence',
        'failed_at',
        'failures',
        'flows',
        'has_token',
        'hasty_share',
        'health',
        'heard_at',
        'heard_elsewhere_at',
        'is_evacuated',
        'is_former',
        'is_probing',
        'is_proven',
        'is_replaced',
        'lapsed_at',
        'openings',
        'outcome',
        'present_at',
        'probe_due',
        'probed_at',
        'remote_answers',
        'remote_busy',
        'remote_flows',
        'remote_slowness',
        'settled_at',
        'silent_since',
        'slowness',
        'speed',
        'speed_since',
        'upstream',
        'warming_until',
    )

    def __init__(
        self,
        upstream: _upstream.Upstream,
        now: float,
        slowness: _slowness.Slowness | None = None,
    ) -> None:
        self.upstream = upstream
        self.slowness = slowness or _slowness.Slowness()
        self.flows = 0
        self.remote_flows = 0
        self.busy = 0
        self.remote_busy = 0.0
        self.hasty_share = 0.0
        self.speed = 1.0
        self.speed_since = now
        self.evidence: _speed_evidence.SpeedEvidence | None = None
        self.remote_answers = 0.0
        self.remote_slowness = 0.0
        self._busy_area = 0.0
        self._busy_at = now
        self._busy_told_at = now
        self.heard_at = _NEVER
        self.heard_elsewhere_at = _NEVER
        self.silent_since = _NEVER
        self.probed_at = _NEVER
        self.alive_at = _NEVER
        self.compared_at = _NEVER
        self.control = ''
        self.outcome = ''
        self.is_proven = False
        self.lapsed_at: float | None = None
        self.present_at = _NEVER
        self.is_replaced = False
        self.is_former = False
        self.is_evacuated = False
        self.has_token = True
        self.health = Health.GOOD
        self.failures = 0
        self.failed_at = _NEVER
        self.probe_due = _NEVER
        self.is_probing = False
        self.avoided_until = _NEVER
        self.settled_at = _NEVER
        self.warming_until = now + upstream.warm_up_seconds
        self.openings: collections.deque[float] | None = None

    def take_entry(self, now: float, upstream: _upstream.Upstream) -> None:
        """Take a later form of its entry.

        :param now: the time.
        :param upstream: what it says; with it how much longer it warms up,
            which may begin anew.
        """
        self.upstream = upstream
        until = now + upstream.warm_up_seconds
        self.warming_until = max(until, self.settled_at)

    def expect_warm_up(self, now: float, seconds: float) -> None:
        """Take that it is idle and may be slow, before its entry says so.

        :param now: the time.
        :param seconds: for how long.
        """
        self.settled_at = now + seconds
        self.warming_until = max(self.warming_until, self.settled_at)

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

    def note_haste(self, is_hasty: bool) -> None:
        """Take whether an answer came much too soon.

        :param is_hasty: whether it did.
        """
        self.hasty_share += _HASTE_GAIN * (is_hasty - self.hasty_share)

    def change_busy(self, now: float, change: int) -> None:
        """Count requests that come or go.

        :param now: the time.
        :param change: how many more there are.
        """
        self._busy_area += self.busy * (now - self._busy_at)
        self._busy_at = now
        self.busy += change

    def take_mean_busy(self, now: float) -> float:
        """Compute how many requests it had since this was last asked.

        :param now: the time.
        :returns: the mean over that time.
        """
        self.change_busy(now, 0)
        seconds = now - self._busy_told_at
        area, self._busy_area = self._busy_area, 0.0
        self._busy_told_at = now
        return area / seconds if seconds > 0 else float(self.busy)

    @property
    def waiting(self) -> float:
        """Requests that it has, as far as is known here."""
        return self.busy + self.remote_busy

    @property
    def last_heard(self) -> float:
        """When it was last known to answer, here or at a peer."""
        return max(self.heard_at, self.heard_elsewhere_at)

    @property
    def load(self) -> int:
        """Flows that it holds, as far as is known here."""
        return self.flows + self.remote_flows

    @property
    def takes_new_flows(self) -> bool:
        """Whether its entry allows new flows."""
        return (
            self.lapsed_at is None
            and self.has_token
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
        if self.health != Health.OUT_OF_REACH or not self.is_proven:
            return False
        return now - self.failed_at <= settings.verdict_seconds
