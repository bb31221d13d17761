"""Callers' shares as one instance enforces them."""

from __future__ import annotations

from collections.abc import Mapping
import math

import xxhash

from skylarkfold.shares import _count
from skylarkfold.shares import _demand_view
from skylarkfold.shares import _kind_shares
from skylarkfold.shares import _over_share
from skylarkfold.shares import _report
from skylarkfold.shares import _settings

_MAX_REPORT_BYTES = 4096
# Reports name the callers whose demand exceeds this part of the fill level.
# Neighbours, who each see a sample of a caller's flows, must agree on who is
# above its share; other zones need only the total of those well below it.
_NEIGHBOUR_NAMING_LEVEL = 0.5
_ZONE_NAMING_LEVEL = 0.8


class Capacity:
    """The capacity of a service.

    :param slots: the slots of its upstreams that accept new flows.
    :param busy: the requests known to be open at them.
    """

    __slots__ = ('busy', 'slots')

    def __init__(self, slots: float, busy: float = 0.0) -> None:
        self.slots = slots
        self.busy = busy


def hash_service(service: str) -> int:
    """Compute the digest that stands for a service in reports.

    :param service: its name.
    :returns: 32 bits.
    """
    return xxhash.xxh32_intdigest(service.encode())


class CallerShares:
    """Counts the demand of callers and finds those above their share.

    Services are identified by :func:`hash_service`. Demand is in slots: the
    slot seconds requested per second.

    :param settings: whether and how shares are enforced.
    :ivar demand: the encoded report for neighbours; empty while no service
        is short of capacity.
    :ivar zone_demand: the encoded report for other zones.
    :ivar other_zones: the encoded sum of the reports of other zones.
    :ivar other_zones_at: when the latest of these was made.
    """

    __slots__ = (
        '_checked',
        '_counts',
        '_fleet',
        '_local_demand',
        '_reports',
        '_settings',
        '_shares',
        'demand',
        'other_zones',
        'other_zones_at',
        'zone_demand',
    )

    def __init__(self, settings: _settings.SharesSettings) -> None:
        self._settings = settings
        self._counts = _count.CallerCounts(
            settings.callers, settings.window_seconds
        )
        self._reports = _demand_view.PeerReports(settings.word_seconds)
        self._fleet = _demand_view.FleetSize(0, 1)
        # Slots and requests per second counted here, by service.
        self._local_demand: dict[int, tuple[float, float]] = {}
        # By service that is short of capacity, then by priority.
        self._shares: dict[int, dict[int, _kind_shares.KindShares]] = {}
        self._checked: dict[
            tuple[_count.Kind, bytes], _over_share.OverShare | None
        ] = {}
        self.demand = b''
        self.zone_demand = b''
        self.other_zones = b''
        self.other_zones_at = 0.0

    def set_settings(self, settings: _settings.SharesSettings) -> None:
        """Apply other weights and caps; the counts are kept.

        :param settings: the settings.
        """
        self._settings = settings
        self._checked.clear()

    def note(
        self,
        now: float,
        service: int,
        priority: int,
        caller: bytes,
        slot_seconds: float,
        is_new: bool = True,
    ) -> None:
        """Count a request, whether it is refused or not.

        :param now: the time.
        :param service: its service.
        :param priority: the priority of its route.
        :param caller: the caller's packed address.
        :param slot_seconds: how long such a request occupies a slot.
        :param is_new: whether it opens a flow.
        """
        kind = (service, priority)
        self._counts.note(now, kind, caller, slot_seconds, is_new)

    def check_share(
        self, now: float, service: int, priority: int, caller: bytes
    ) -> _over_share.OverShare | None:
        """Check whether a caller is above its share.

        :param now: the time.
        :param service: the service that it uses.
        :param priority: the priority of the route that it uses.
        :param caller: its packed address.
        :returns: the figures of a refusal; None if it is within its share.
        """
        shares = self._shares.get(service)
        if shares is None or priority not in shares:
            return None
        kind = (service, priority)
        key = (kind, caller)
        if key not in self._checked:
            new_flow_share = self._counts.measure_new_flow_share(kind, caller)
            if len(self._checked) >= self._settings.callers:
                self._checked.clear()
            self._checked[key] = shares[priority].check_share(
                now, caller, new_flow_share
            )
        return self._checked[key]

    def handle_report(
        self,
        now: float,
        source: str,
        is_zone: bool,
        age_seconds: float,
        data: bytes,
    ) -> bool:
        """Record the report of a peer.

        :param now: the time.
        :param source: the neighbour, or the zone whose sum it is; empty for
            the sum of all other zones.
        :param is_zone: whether the source is a zone.
        :param age_seconds: how long ago it was made.
        :param data: the encoded report.
        :returns: whether it is valid; an invalid one is ignored.
        """
        if not 0.0 <= age_seconds or len(data) > _MAX_REPORT_BYTES:
            return False
        report = _report.unpack(data)
        if report is None:
            return False
        if age_seconds <= self._settings.word_seconds:
            self._reports.record(now - age_seconds, source, is_zone, report)
        return True

    def list_services(self) -> set[int]:
        """List the services with demand, here or at peers."""
        kinds = {*self._counts.list_kinds(), *self._reports.list_kinds()}
        return {service for service, _ in kinds}

    def refresh(
        self,
        now: float,
        capacities: Mapping[int, Capacity],
        fleet: _demand_view.FleetSize,
    ) -> None:
        """Compute the shares and the reports for peers.

        To be called several times per second.

        :param now: the time.
        :param capacities: by service with demand; shares of a service without
            an entry are not enforced.
        :param fleet: the number of instances and zones.
        """
        self._counts.expire(now)
        self._reports.expire(now)
        self._local_demand = self._counts.measure_services(now)
        self._fleet = fleet
        self._shares.clear()
        self._checked.clear()
        report: _report.Report = {}
        zone_report: _report.Report = {}
        for service, views in self._list_views(now, capacities).items():
            capacity = capacities[service]
            shares = _kind_shares.divide_slots(
                views, capacity.slots, self._settings
            )
            demand = sum(view.all.total for view in views.values())
            if demand > self._settings.short_share * capacity.slots:
                self._shares[service] = shares
            if self._needs_report(service, demand, capacity):
                self._add_to_reports(service, shares, report, zone_report)
        self.demand = _report.pack(report) if report and fleet.mates else b''
        has_other_zones = fleet.zones > 1
        self.zone_demand = (
            _report.pack(zone_report)
            if zone_report and has_other_zones
            else b''
        )
        self.other_zones_at, zone_sum = self._reports.sum_zones()
        self.other_zones = _report.pack(zone_sum)

    def list_gauges(self) -> dict[str, float]:
        """List the present gauges.

        :returns: values by name: the number of callers that are counted and
            of services that are short of capacity, and the demand and share,
            in slots, of the heaviest caller of such a service.
        """
        demand = share = 0.0
        for shares in self._shares.values():
            for each in shares.values():
                callers = each.view.all.callers
                heaviest = max(callers, key=callers.get, default=None)
                if heaviest is not None and callers[heaviest] > demand:
                    demand = callers[heaviest]
                    share = min(demand, each.compute_share(heaviest))
        return {
            'callers_counted': float(len(self._counts)),
            'services_short': float(len(self._shares)),
            'heaviest_caller_demand_slots': demand,
            'heaviest_caller_share_slots': share,
        }

    def _list_views(
        self, now: float, capacities: Mapping[int, Capacity]
    ) -> dict[int, dict[int, _demand_view.KindView]]:
        """Build the views of demand for services that may be short."""
        reported_kinds = self._reports.list_kinds()
        watched_services = {service for service, _ in reported_kinds}
        for service in self.list_services() - watched_services:
            capacity = capacities.get(service)
            if capacity is not None and self._needs_report(
                service, 0.0, capacity
            ):
                watched_services.add(service)
        kinds = {
            kind
            for kind in reported_kinds.union(self._counts.list_kinds())
            if kind[0] in watched_services and kind[0] in capacities
        }
        callers = self._counts.measure_callers(now, kinds)
        # The variance of a decaying count is that of a window twice as long
        # as its time constant.
        seconds = 2 * self._settings.window_seconds
        views: dict[int, dict[int, _demand_view.KindView]] = {}
        for kind in kinds:
            service, priority = kind
            if capacities[service].slots <= 0.0:
                continue
            slots, rate = self._counts.measure_kind(now, kind)
            own = _report.Demand(slots, callers.get(kind, {}))
            view = _demand_view.KindView(
                own, rate, self._reports, kind, self._fleet, seconds
            )
            views.setdefault(service, {})[priority] = view
        return views

    def _needs_report(
        self, service: int, demand: float, capacity: Capacity
    ) -> bool:
        """Tell whether peers need a report on the demand here.

        :param service: the service.
        :param demand: the known demand of all callers.
        :param capacity: the capacity of the service.
        """
        if (
            max(demand, capacity.busy)
            >= self._settings.joined_share * capacity.slots
        ):
            return True
        # Without reports, the other instances are assumed to have the same
        # demand as this one, less the sampling error of its own count.
        slots, rate = self._local_demand.get(service, (0.0, 0.0))
        if not rate:
            return False
        sampled = rate * 2 * self._settings.window_seconds
        deviation = self._settings.certainty / math.sqrt(sampled)
        min_slots = slots * max(0.0, 1.0 - deviation)
        expected = min_slots * (1 + self._fleet.mates) * self._fleet.zones
        return expected >= self._settings.short_share * capacity.slots

    def _add_to_reports(
        self,
        service: int,
        shares: Mapping[int, _kind_shares.KindShares],
        report: _report.Report,
        zone_report: _report.Report,
    ) -> None:
        for priority, each in shares.items():
            view = each.view
            names = self._choose_named_callers(each, _NEIGHBOUR_NAMING_LEVEL)
            report[(service, priority)] = _report.KindReport(
                len(view.own.callers),
                _filter_callers(view.own, names),
                _filter_callers(view.near, names),
            )
            zone_report[(service, priority)] = _report.KindReport(
                view.zone_caller_count,
                _filter_callers(
                    view.zone,
                    self._choose_named_callers(each, _ZONE_NAMING_LEVEL),
                ),
            )

    def _choose_named_callers(
        self, shares: _kind_shares.KindShares, min_level: float
    ) -> list[bytes]:
        """Choose the callers that a report names: those near their share.

        The demand of the others is reported as a total.

        :param shares: the shares of all callers.
        :param min_level: the demand above which a caller is named, as a part
            of the fill level.
        :returns: the callers, the heaviest first.
        """
        callers = shares.view.all.callers
        level = shares.level
        if level == float('inf'):
            level = shares.available_slots / max(1, len(callers))
        over_threshold = [
            name
            for name, slots in callers.items()
            if slots > min_level * level
        ]
        over_threshold.sort(key=lambda name: (-callers[name], name))
        return over_threshold[
            : min(self._settings.told_callers, _report.MOST_CALLERS)
        ]


def _filter_callers(
    demand: _report.Demand, names: list[bytes]
) -> _report.Demand:
    callers = demand.callers
    return _report.Demand(
        demand.total,
        {each: callers[each] for each in names if each in callers},
    )
