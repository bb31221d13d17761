"""Views of the demand of all callers, from local counts and peer reports."""

from __future__ import annotations

from collections.abc import Iterator
import functools
import math

from skylarkfold.shares import _count
from skylarkfold.shares import _report

# Limit for neighbours (four, who change at times) and for zones (eleven in the
# largest deployment). A decoded report takes up to 15 KB.
_MAX_SOURCES = 16
# Source of the sum of all other zones, as neighbours pass it on.
ALL_OTHER_ZONES = ''
# Standard deviations of the sampling error that a plausible demand may differ
# from the local count.
_DEVIATIONS = 3.0
# Number of sampled requests from which on a total is accurate to a tenth.
_MIN_RELIABLE_REQUESTS = 100.0


class FleetSize:
    """The number of instances and zones that share the callers' flows.

    :param mates: the other instances of this availability zone.
    :param zones: the number of all availability zones.
    """

    __slots__ = ('mates', 'zones')

    def __init__(self, mates: int, zones: int = 1) -> None:
        self.mates = max(0, mates)
        self.zones = max(1, zones)


class PeerReports:
    """The latest report of each neighbour and of each other zone.

    :param lifetime_seconds: how long a report is used.
    """

    __slots__ = ('_lifetime_seconds', '_mates', '_zones')

    def __init__(self, lifetime_seconds: float) -> None:
        self._lifetime_seconds = lifetime_seconds
        self._mates: dict[str, tuple[float, _report.Report]] = {}
        self._zones: dict[str, tuple[float, _report.Report]] = {}

    def record(
        self, at: float, source: str, is_zone: bool, report: _report.Report
    ) -> None:
        """Record a report, which replaces an earlier one of its source.

        :param at: when it was made.
        :param source: the neighbour or the zone.
        :param is_zone: whether the source is a zone.
        :param report: the report.
        """
        reports = self._zones if is_zone else self._mates
        before = reports.get(source)
        if before is None and len(reports) >= _MAX_SOURCES:
            return
        if before is None or at >= before[0]:
            reports[source] = (at, report)

    def expire(self, now: float) -> None:
        """Drop reports that are too old.

        :param now: the time.
        """
        oldest = now - self._lifetime_seconds
        for reports in (self._mates, self._zones):
            for source, (at, _) in list(reports.items()):
                if at < oldest:
                    del reports[source]

    def list_kinds(self) -> set[_count.Kind]:
        """List the kinds in any report."""
        kinds: set[_count.Kind] = set()
        for reports in (self._mates, self._zones):
            for _, report in reports.values():
                kinds.update(report)
        return kinds

    def list_mates(
        self, kind: _count.Kind
    ) -> Iterator[tuple[float, _report.KindReport]]:
        """List the reports of neighbours on a kind, each with its time."""
        return _select_kind(self._mates, kind)

    def list_zones(
        self, kind: _count.Kind
    ) -> Iterator[tuple[float, _report.KindReport]]:
        """List the reports of other zones on a kind, each with its time.

        The sum that neighbours pass on is used only if no report was received
        from a zone itself.
        """
        direct = self.get_direct_zones()
        return _select_kind(direct or self._zones, kind)

    def get_direct_zones(self) -> dict[str, tuple[float, _report.Report]]:
        """Return the reports that were received from the zones themselves."""
        return {
            source: entry
            for source, entry in self._zones.items()
            if source != ALL_OTHER_ZONES
        }

    def sum_zones(self) -> tuple[float, _report.Report]:
        """Sum the reports of other zones, to pass them on to neighbours.

        :returns: the time of the latest report, and the sum.
        """
        direct = self.get_direct_zones()
        total: _report.Report = {}
        for _, report in direct.values():
            for kind, kind_report in report.items():
                before = total.get(kind)
                if before is None:
                    total[kind] = kind_report
                    continue
                own = _report.add(before.own, kind_report.own)
                total[kind] = _report.KindReport(
                    before.caller_count + kind_report.caller_count, own
                )
        # Sums are ordered by their latest report: by the oldest one, a sum of
        # few zones could replace a later sum of all.
        return max((at for at, _ in direct.values()), default=0.0), total


def _select_kind(
    reports: dict[str, tuple[float, _report.Report]], kind: _count.Kind
) -> Iterator[tuple[float, _report.KindReport]]:
    for at, report in reports.values():
        kind_report = report.get(kind)
        if kind_report is not None:
            yield at, kind_report


class KindView:
    """The demand of all callers for a kind, as far as is known here.

    :param own: the demand counted here.
    :param own_rate: the requests per second of this demand.
    :param reports: the reports of peers.
    :param kind: the kind.
    :param fleet: the number of instances and zones.
    :param sample_seconds: the seconds of arrivals that a count represents.
    :ivar near: the mean demand of this instance and its neighbours.
    :ivar zone: the estimated demand in this availability zone.
    :ivar all: the demand in all zones with a report.
    :ivar mean_seconds: the mean slot seconds of a request.
    :ivar zone_part: one divided by the number of zones.
    :ivar zone_caller_count: the number of callers known in this zone.
    :ivar caller_count: the number of callers in all zones with a report.
    :ivar named_callers: the callers whose demand is known over all instances:
        those named in reports, and all counted here if no neighbour has
        sent a report.
    :ivar oldest_report_at: the time of the oldest report that was used; None
        without reports.
    """

    __slots__ = (
        '_instance_count',
        '_reported_demand',
        '_sample_seconds',
        'all',
        'caller_count',
        'mean_seconds',
        'named_callers',
        'near',
        'oldest_report_at',
        'own',
        'zone',
        'zone_caller_count',
        'zone_part',
    )

    def __init__(
        self,
        own: _report.Demand,
        own_rate: float,
        reports: PeerReports,
        kind: _count.Kind,
        fleet: FleetSize,
        sample_seconds: float,
    ) -> None:
        self._sample_seconds = sample_seconds
        mates = list(reports.list_mates(kind))
        zones = list(reports.list_zones(kind))
        times = [at for at, _ in (*mates, *zones)]
        self.oldest_report_at = min(times) if times else None
        self.own = own
        self.mean_seconds = own.total / own_rate if own_rate else 0.0
        self._instance_count = 1 + fleet.mates
        self.zone_part = 1.0 / fleet.zones
        reported = [kind_report.own for _, kind_report in mates]
        self._reported_demand = functools.reduce(_report.add, reported, own)
        self.near = mean = _report.average(own, reported)
        if len(mates) < fleet.mates and mates and self._has_few_samples():
            # The means of neighbours cover more instances, whose counts are
            # samples of the zone's flows, but are older.
            near = (kind_report.near for _, kind_report in mates)
            mean = _report.average(self.near, near)
        zone = _report.scale(mean, self._instance_count)
        most = self._compute_plausible_limit(own.total)
        if zone.total > most:
            zone = _report.scale(zone, most / zone.total)
        self.zone = self.all = zone
        kind_reports = [kind_report for _, kind_report in (*mates, *zones)]
        self.named_callers = set(own.callers) if not mates else set()
        for each in kind_reports:
            self.named_callers.update(each.own.callers)
        caller_counts = [
            len(own.callers),
            *(kind_report.caller_count for _, kind_report in mates),
        ]
        self.zone_caller_count = self.caller_count = max(caller_counts)
        for _, kind_report in zones:
            self.all = _report.add(self.all, kind_report.own)
            self.caller_count += kind_report.caller_count

    def measure(self, caller: bytes) -> tuple[float, float]:
        """Return the demand of a caller.

        :param caller: the caller.
        :returns: slots, at most what is plausible by the local count; and the
            number of its requests that were sampled.
        """
        slots = self.all.callers.get(caller, 0.0)
        slots = min(
            slots,
            self._compute_plausible_limit(self.own.callers.get(caller, 0.0)),
        )
        reported = self._reported_demand.callers.get(caller, 0.0)
        return slots, self._estimate_sample_count(reported)

    def _estimate_sample_count(self, slots: float) -> float:
        """Estimate from how many requests a demand was counted."""
        if not self.mean_seconds:
            return 0.0
        return slots / self.mean_seconds * self._sample_seconds

    def _has_few_samples(self) -> bool:
        """Tell whether the samples of neighbours are too few for a mean."""
        return (
            self._estimate_sample_count(self._reported_demand.total)
            < _MIN_RELIABLE_REQUESTS
        )

    def _compute_plausible_limit(self, own: float) -> float:
        """Compute the largest demand that is plausible by the local count.

        Routers spread flows at random over the zone, so a report far above
        the sample of this instance must be wrong.
        """
        if not self.mean_seconds:
            # Without own counts nothing is refused, and reports are passed
            # on unchanged.
            return float('inf')
        sampled = self._estimate_sample_count(own)
        deviation = _DEVIATIONS * math.sqrt(sampled + 1.0)
        most = sampled + _DEVIATIONS + deviation
        rate = most / self._sample_seconds
        return rate * self.mean_seconds * self._instance_count
