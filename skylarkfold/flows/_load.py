"""The load of a service's upstreams as known on this instance."""

from __future__ import annotations

import dataclasses

from skylarkfold import event
from skylarkfold.flows import _settings
from skylarkfold import service as service_module

_MINIMUM_SLOW_START_FACTOR = 0.1
_MINIMUM_WEIGHT = 1e-6
# With fewer flows the imbalance is mostly random.
_MINIMUM_FLOWS_PER_UPSTREAM = 50


@dataclasses.dataclass(slots=True)
class _UpstreamLoad:
    """The load of one upstream.

    :param pinned: flows that this instance placed and that did not expire.
    :param reported: flows according to the last report.
    :param reported_at: when the last report arrived.
    :param placed_since: flows that this instance placed since then.
    :param healthy: whether the upstream reported itself healthy.
    :param reachable: whether the upstream answered.
    :param failed_at: when this instance last failed to connect to it.
    :param slow_start_began_at: when its slow start began.
    """

    pinned: int = 0
    reported: int = 0
    reported_at: float | None = None
    placed_since: int = 0
    healthy: bool = True
    reachable: bool = True
    failed_at: float | None = None
    slow_start_began_at: float | None = None


class LoadView:
    """Flows of each upstream: last reported, and placed since.

    All instances that place flows see the same delayed reports. To keep them
    from all filling the same upstream until the next report, each assumes
    that the others have placed as many flows there as it has itself.

    :param settings: the flow settings.
    """

    def __init__(self, settings: _settings.FlowSettings) -> None:
        self._settings = settings
        self._loads: dict[str, _UpstreamLoad] = {}

    def begin_slow_start(self, now: float, name: str) -> None:
        """Begin the slow start of a new upstream.

        :param now: the current time.
        :param name: the upstream's name.
        """
        self._get(name).slow_start_began_at = now

    def count_placed(self, name: str) -> None:
        """Count a flow that this instance placed on an upstream."""
        load = self._get(name)
        load.placed_since += 1
        load.pinned += 1

    def count_expired(self, name: str, count: int) -> None:
        """Subtract flows of this instance that ended or expired."""
        load = self._get(name)
        load.pinned = max(0, load.pinned - count)

    def record_report(self, now: float, report: event.LoadReported) -> bool:
        """Record a load report of an upstream.

        An upstream that reports itself unhealthy gets no new flows but keeps
        those that it has.

        :param now: the current time.
        :param report: the report.
        :returns: whether it is the upstream's first report or its
            reachability has changed.
        """
        load = self._get(report.upstream)
        is_change = (
            load.reported_at is None or load.reachable != report.reachable
        )
        load.reachable = report.reachable
        load.healthy = report.healthy and report.reachable
        load.reported = report.flows
        load.reported_at = now
        load.placed_since = 0
        return is_change

    def record_failure(self, now: float, name: str) -> None:
        """Record that this instance failed to connect to an upstream."""
        self._get(name).failed_at = now

    def is_usable(self, now: float, name: str) -> bool:
        """Return whether new flows may be placed on an upstream.

        :param now: the current time.
        :param name: the upstream's name.
        :returns: False if it was reported unhealthy or unreachable, or failed
            within the last ``unreachable_seconds``.
        """
        load = self._get(name)
        if not load.healthy:
            return False
        if load.failed_at is None:
            return True
        return now - load.failed_at >= self._settings.unreachable_seconds

    def estimate_ratios(
        self,
        now: float,
        upstreams: list[service_module.Upstream],
        owner_count: int,
    ) -> dict[str, float]:
        """Estimate the load of the upstreams that have capacity left.

        :param now: the current time.
        :param upstreams: the upstreams to compare.
        :param owner_count: the number of instances that place flows of this
            service.
        :returns: the number of flows divided by the weight, by upstream
            name; full upstreams are left out.
        """
        are_reports_fresh = all(
            self._is_fresh(now, each) for each in upstreams
        )
        ratios = {}
        for upstream in upstreams:
            if not self.has_capacity(now, upstream, owner_count):
                continue
            load = self._get(upstream.name)
            flows = load.pinned
            if are_reports_fresh:
                flows = load.reported + load.placed_since * owner_count
            weight = max(upstream.weight, _MINIMUM_WEIGHT)
            ratios[upstream.name] = flows / (
                weight * self._compute_slow_start_factor(now, load)
            )
        return ratios

    def has_capacity(
        self, now: float, upstream: service_module.Upstream, owner_count: int
    ) -> bool:
        """Return whether an upstream can take one more flow.

        :param now: the current time.
        :param upstream: the upstream.
        :param owner_count: the number of instances that place flows of this
            service.
        :returns: False only if it is full according to a fresh report.
        """
        if not self._is_fresh(now, upstream):
            return True
        load = self._get(upstream.name)
        flows = load.reported + load.placed_since * owner_count
        return flows < upstream.connections

    def measure_imbalance(
        self, now: float, upstreams: list[service_module.Upstream]
    ) -> float | None:
        """Return the highest load divided by the mean load.

        The load of an upstream is its number of flows divided by its weight.

        :param now: the current time.
        :param upstreams: the upstreams that may take new flows.
        :returns: the ratio, 1.0 for an even load; None if a fresh report is
            missing or there are too few flows to compare.
        """
        if not all(self._is_fresh(now, each) for each in upstreams):
            return None
        weights = sum(each.weight for each in upstreams)
        flows = sum(self._get(each.name).reported for each in upstreams)
        if weights <= 0 or flows < _MINIMUM_FLOWS_PER_UPSTREAM * len(
            upstreams
        ):
            return None
        highest = max(
            self._get(each.name).reported / max(each.weight, _MINIMUM_WEIGHT)
            for each in upstreams
        )
        return highest * weights / flows

    def _is_fresh(self, now: float, upstream: service_module.Upstream) -> bool:
        reported_at = self._get(upstream.name).reported_at
        if reported_at is None:
            return False
        return now - reported_at <= self._settings.load_stale_seconds

    def _compute_slow_start_factor(
        self, now: float, load: _UpstreamLoad
    ) -> float:
        if load.slow_start_began_at is None:
            return 1.0
        elapsed = (
            now - load.slow_start_began_at
        ) / self._settings.cold_ramp_seconds
        return min(1.0, max(_MINIMUM_SLOW_START_FACTOR, elapsed))

    def _get(self, name: str) -> _UpstreamLoad:
        load = self._loads.get(name)
        if load is None:
            load = self._loads[name] = _UpstreamLoad()
        return load
