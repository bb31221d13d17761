"""What is known of all callers, from counts here and words of peers."""

from __future__ import annotations

from collections.abc import Iterator
import functools
import math

from skylarkfold.shares import _count
from skylarkfold.shares import _report

# Sources remembered of each sort: four neighbours, who change at times, and
# eleven zones at the size that decides. A word takes up to 15 KB when read.
_MAX_SOURCES = 16
# The source of what neighbours pass on of all other zones together.
ALL_OTHER_ZONES = ''
# A caller that was counted k times here may have asked for so many times more
# by chance, in standard deviations; few counts say little.
_DEVIATIONS = 3.0
# A total of so many requests is within a tenth.
_MIN_RELIABLE_REQUESTS = 100.0


class FleetSize:
    """How many instances share the callers' flows.

    :param mates: others of this availability zone.
    :param zones: all availability zones.
    """

    __slots__ = ('mates', 'zones')

    def __init__(self, mates: int, zones: int = 1) -> None:
        self.mates = max(0, mates)
        self.zones = max(1, zones)


class PeerReports:
    """The latest word of each neighbour and of each other zone.

    :param word_seconds: how long a word counts.
    """

    __slots__ = ('_lifetime_seconds', '_mates', '_zones')

    def __init__(self, lifetime_seconds: float) -> None:
        self._lifetime_seconds = lifetime_seconds
        self._mates: dict[str, tuple[float, _report.Report]] = {}
        self._zones: dict[str, tuple[float, _report.Report]] = {}

    def record(
        self, at: float, source: str, is_zone: bool, report: _report.Report
    ) -> None:
        """Take a word in place of the source's earlier one.

        :param at: when it was said.
        :param source: the neighbour or the zone.
        :param is_zone: which of them.
        :param word: what it said.
        """
        reports = self._zones if is_zone else self._mates
        before = reports.get(source)
        if before is None and len(reports) >= _MAX_SOURCES:
            return
        if before is None or at >= before[0]:
            reports[source] = (at, report)

    def expire(self, now: float) -> None:
        """Forget what is too old.

        :param now: the time.
        """
        oldest = now - self._lifetime_seconds
        for reports in (self._mates, self._zones):
            for source, (at, _) in list(reports.items()):
                if at < oldest:
                    del reports[source]

    def list_kinds(self) -> set[_count.Kind]:
        """List the kinds that any word tells of."""
        kinds: set[_count.Kind] = set()
        for reports in (self._mates, self._zones):
            for _, report in reports.values():
                kinds.update(report)
        return kinds

    def list_mates(
        self, kind: _count.Kind
    ) -> Iterator[tuple[float, _report.KindReport]]:
        """List what neighbours say of a kind, each with its time."""
        return _select_kind(self._mates, kind)

    def list_zones(
        self, kind: _count.Kind
    ) -> Iterator[tuple[float, _report.KindReport]]:
        """List what other zones say of a kind, each with its time.

        Who hears them needs not what neighbours pass on of them.
        """
        direct = self.get_direct_zones()
        return _select_kind(direct or self._zones, kind)

    def get_direct_zones(self) -> dict[str, tuple[float, _report.Report]]:
        """List the words of zones that were heard from them."""
        return {
            source: said
            for source, said in self._zones.items()
            if source != ALL_OTHER_ZONES
        }

    def sum_zones(self) -> tuple[float, _report.Report]:
        """Sum up what was heard from other zones, to be passed on.

        :returns: when the last of it was said, and the sum.
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
        # The sum changes with each word: by the oldest, one of few zones would
        # go before a later one of all.
        return max((at for at, _ in direct.values()), default=0.0), total


def _select_kind(
    reports: dict[str, tuple[float, _report.Report]], kind: _count.Kind
) -> Iterator[tuple[float, _report.KindReport]]:
    for at, report in reports.values():
        kind_report = report.get(kind)
        if kind_report is not None:
            yield at, kind_report


class KindView:
    """What all callers ask for of a kind, as far as is known here.

    :param own: counted here.
    :param own_rate: the requests a second of that.
    :param words: of peers.
    :param kind: the kind.
    :param fleet: how many instances there are.
    :param sample_seconds: how many seconds of arrivals a count stands for.
    :ivar near: the mean of this instance and its neighbours.
    :ivar zone: the sum of this availability zone.
    :ivar all: the sum of all zones that are heard.
    :ivar zone_part: which part of all zones this one is.
    :ivar zone_known: how many callers of this zone ask for it.
    :ivar known: the same of all zones that are heard.
    :ivar named: callers that words name, or all where none came: the only
        ones whose demand is known as a whole.
    :ivar said_at: when the oldest word that was used was said; None for none.
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
            # Any mean of samples of the zone's flows is one; that over the
            # neighbours' neighbours is of more of them, but older.
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
        """Tell what a caller asks for.

        :param caller: the caller.
        :returns: slots, no more than what was counted here allows; and how
            many of its requests were sampled.
        """
        slots = self.all.callers.get(caller, 0.0)
        slots = min(
            slots,
            self._compute_plausible_limit(self.own.callers.get(caller, 0.0)),
        )
        reported = self._reported_demand.callers.get(caller, 0.0)
        return slots, self._estimate_sample_count(reported)

    def _estimate_sample_count(self, slots: float) -> float:
        """Tell how many requests a demand was counted from."""
        if not self.mean_seconds:
            return 0.0
        return slots / self.mean_seconds * self._sample_seconds

    def _has_few_samples(self) -> bool:
        """Tell whether too little was sampled for a mean of neighbours."""
        return (
            self._estimate_sample_count(self._reported_demand.total)
            < _MIN_RELIABLE_REQUESTS
        )

    def _compute_plausible_limit(self, own: float) -> float:
        """Compute the most that is likely by what was counted here.

        Routers spread flows over the zone by chance: a word that says far
        more than the sample of this instance allows is none to act on.
        """
        if not self.mean_seconds:
            # Who counted nothing refuses nothing, and passes on what it hears.
            return float('inf')
        sampled = self._estimate_sample_count(own)
        deviation = _DEVIATIONS * math.sqrt(sampled + 1.0)
        most = sampled + _DEVIATIONS + deviation
        rate = most / self._sample_seconds
        return rate * self.mean_seconds * self._instance_count
