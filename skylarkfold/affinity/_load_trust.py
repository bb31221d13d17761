"""How much is placed that an instance has not heard of yet.

What peers carry is known as of their last words. In between each of them
places flows by the same words: where they place many, all that choose the
least loaded upstream choose the same one.
"""

from __future__ import annotations

from collections.abc import Sequence
import math

from skylarkfold.affinity import _directory
from skylarkfold.affinity import _upstream_state

# Of how many flows there are here and at peers, the last 32 values count.
_COMPARISON_GAIN = 1 / 32
_MINIMUM_FLOWS = 0.05
# How long what was computed holds.
_TRUST_SECONDS = 0.1
_HALF_LIFE_SECONDS = 1.0
_RATE = math.log(2) / _HALF_LIFE_SECONDS
# Beyond this the least loaded one is best.
FULL_TRUST = 2.0


class _PlacementMeter:
    """Counts of late of one service, halved with their age.

    :ivar trust: what was computed last.
    :ivar trust_due: when it is due again.
    """

    __slots__ = (
        '_at',
        '_comparisons',
        '_count',
        '_own',
        '_remote',
        'trust',
        'trust_due',
    )

    def __init__(self, now: float) -> None:
        self._at = now
        self._count = 0.0
        self._comparisons = 0
        self._own = 0.0
        self._remote = 0.0
        self.trust = FULL_TRUST
        self.trust_due = now

    def count(self, now: float) -> None:
        self._count *= 0.5 ** ((now - self._at) / _HALF_LIFE_SECONDS)
        self._count += 1.0
        self._at = now

    def compute_peer_ratio(self, own: int, remote: int) -> float:
        """Compute how many times as many flows peers have, on average.

        They place flows as they hold them; one that has none now is an
        instance like others.
        """
        self._comparisons += 1
        gain = max(1 / self._comparisons, _COMPARISON_GAIN)
        self._own += gain * (own - self._own)
        self._remote += gain * (remote - self._remote)
        return self._remote / max(self._own, _MINIMUM_FLOWS)

    @property
    def per_second(self) -> float:
        return self._count * _RATE


class LoadTrust:
    """Tells how far the loads of upstreams may be trusted.

    :param factor: how strongly they decide when as many flows are placed
        unseen as an upstream has requests at a time.
    :param directory: knows how often words come.
    """

    __slots__ = ('_directory', '_factor', '_meters')

    def __init__(self, factor: float, directory: _directory.Directory) -> None:
        self._factor = factor
        self._directory = directory
        self._meters: dict[str, _PlacementMeter] = {}

    def record_placement(
        self, now: float, states: Sequence[_upstream_state.UpstreamState]
    ) -> float:
        """Take that a flow is placed.

        :param now: the time.
        :param standings: upstreams of its service, as they may be chosen.
        :returns: how strongly their loads may decide, 0 for not at all;
            from :data:`FULL_TRUST` on the least loaded one may be chosen.
        """
        service = states[0].upstream.service
        meter = self._meters.get(service)
        if meter is None:
            meter = self._meters[service] = _PlacementMeter(now)
        meter.count(now)
        if now >= meter.trust_due:
            meter.trust_due = now + _TRUST_SECONDS
            meter.trust = self._compute_trust(meter, states)
        return meter.trust

    def _compute_trust(
        self,
        meter: _PlacementMeter,
        states: Sequence[_upstream_state.UpstreamState],
    ) -> float:
        flows = remote = 0
        work = 0.0
        for each in states:
            flows += each.flows
            remote += each.remote_flows
            # Not more than half of its slots: what is beyond may be of flows
            # that were placed unseen.
            busy = each.busy + each.remote_busy
            work += min(busy, max(1, each.upstream.slots) / 2) + 1
        unreported = meter.per_second * meter.compute_peer_ratio(flows, remote)
        unreported *= self._directory.report_interval_seconds
        if unreported * FULL_TRUST <= self._factor * work:
            return FULL_TRUST
        return self._factor * work / unreported
