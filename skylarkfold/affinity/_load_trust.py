"""How far reported loads are trusted, given their age.

The loads of peers are known as of their last reports. Between reports, each
instance places flows by the same values: if they place many, all of them
choose the same least loaded upstream.
"""

from __future__ import annotations

from collections.abc import Sequence
import math

from skylarkfold.affinity import _directory
from skylarkfold.affinity import _upstream_state

# Gain of the moving averages of flows here and at peers, which cover about 32
# values.
_COMPARISON_GAIN = 1 / 32
_MINIMUM_FLOWS = 0.05
# Time between computations.
_TRUST_SECONDS = 0.1
_HALF_LIFE_SECONDS = 1.0
_RATE = math.log(2) / _HALF_LIFE_SECONDS
# Trust at or above which the least loaded upstream is chosen.
FULL_TRUST = 2.0


class _PlacementMeter:
    """Rate of placements of one service, decaying with age.

    :ivar trust: the last computed trust.
    :ivar trust_due: when it is computed again.
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
        """Compute the mean ratio of flows at peers to flows here.

        Peers place flows in proportion to those they hold; an instance without
        flows at the moment is assumed to be like the others.
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
    """Computes how far reported loads are trusted.

    :param factor: the trust when as many flows are placed between reports as
        an upstream has requests in flight.
    :param directory: provides the mean interval between reports.
    """

    __slots__ = ('_directory', '_factor', '_meters')

    def __init__(self, factor: float, directory: _directory.Directory) -> None:
        self._factor = factor
        self._directory = directory
        self._meters: dict[str, _PlacementMeter] = {}

    def record_placement(
        self, now: float, states: Sequence[_upstream_state.UpstreamState]
    ) -> float:
        """Record the placement of a flow and return the trust.

        :param now: the time.
        :param states: the upstreams that it may be placed on.
        :returns: how strongly their loads may decide, 0 for not at all; at
            :data:`FULL_TRUST` or above, the least loaded one may be chosen.
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
            # At most half of its slots: the rest may be due to flows that were
            # placed between reports.
            busy = each.busy + each.remote_busy
            work += min(busy, max(1, each.upstream.slots) / 2) + 1
        unreported = meter.per_second * meter.compute_peer_ratio(flows, remote)
        unreported *= self._directory.report_interval_seconds
        if unreported * FULL_TRUST <= self._factor * work:
            return FULL_TRUST
        return self._factor * work / unreported
