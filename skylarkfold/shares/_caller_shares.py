"""The callers' shares on one instance."""

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
# Callers that ask for more than this part of the level are named: neighbours
# must agree on who is above its share, of which each sees a sample. To other
# zones those below the level are as good as their total.
_NEIGHBOUR_NAMING_LEVEL = 0.5
_ZONE_NAMING_LEVEL = 0.8


class Capacity:
    """What a service has.

    :param slots: of its upstreams that take new flows.
    :param busy: requests that they have, as far as is known.
    """

    __slots__ = ('busy', 'slots')

    def __init__(self, slots: float, busy: float = 0.0) -> None:
        self.slots = slots
        self.busy = busy


def hash_service(service: str) -> int:
    """Compute what stands for a service in words.

    :param service: its name.
    :returns: 32 bits.
    """
    return xxhash.xxh32_intdigest(service.encode())


class CallerShares:
    """Counts what callers ask for and tells who asks for too much.

    Services are named by :func:`hash_service`; demand is in slots, as the
    slot seconds that are asked for in a second.

    :param settings: whether and how shares are kept.
    :ivar demand: what neighbours are told; empty where no room is short.
    :ivar zone_demand: what other zones are told.
    :ivar other_zones: the sum of what other zones have said here.
    :ivar other_zones_at: when the last of that was said.
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
        # Slots and requests a second that were counted here, by service.
        self._local_demand: dict[int, tuple[float, float]] = {}
        # Of services that are short of room.
        self._shares: dict[int, dict[int, _kind_shares.KindShares]] = {}
        self._checked: dict[
            tuple[_count.Kind, bytes], _over_share.OverShare | None
        ] = {}
        self.demand = b''
        self.zone_demand = b''
        self.other_zones = b''
        self.other_zones_at = 0.0

    def set_settings(self, settings: _settings.SharesSettings) -> None:
        """Put other weights and caps in force; what was counted stays.

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
        :param priority: of its route.
        :param caller: the caller's packed address.
        :param slot_seconds: how long such a request takes a slot.
        :param is_new: whether it opens a flow.
        """
        kind = (service, priority)
        self._counts.note(now, kind, caller, slot_seconds, is_new)

    def check_share(
        self, now: float, service: int, priority: int, caller: bytes
    ) -> _over_share.OverShare | None:
        """Tell whether a caller is above its share.

        :param now: the time.
        :param service: the service that it wants.
        :param priority: of the route that it uses.
        :param caller: its packed address.
        :returns: the figures; None for one that may have what it wants.
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
        """Take what a peer tells.

        :param now: the time.
        :param source: the neighbour, or the zone whose sum it is; empty for
            all other zones together.
        :param is_zone: which of them.
        :param age_seconds: how long ago it was said.
        :param data: the word.
        :returns: whether it can be true; any other is left out.
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
        """List the services that are asked for, here or at peers."""
        kinds = {*self._counts.list_kinds(), *self._reports.list_kinds()}
        return {service for service, _ in kinds}

    def refresh(
        self,
        now: float,
        capacities: Mapping[int, Capacity],
        fleet: _demand_view.FleetSize,
    ) -> None:
        """Work out the shares and what peers are told.

        :param now: the time; several times a second.
        :param rooms: of the services that are asked for; one that has none
            is not kept to shares.
        :param fleet: how many instances there are.
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
        """List what is known now.

        :returns: values by name: how many callers are counted, services that
            are short of room, and the demand and share, in slots, of the
            caller that asks for most of one of these.
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
        """View what is asked for of services that may be short of room."""
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
        """Tell whether peers must know what is asked for here.

        :param service: the service.
        :param demand: what is known to be asked for in all.
        :param room: what there is.
        """
        if (
            max(demand, capacity.busy)
            >= self._settings.joined_share * capacity.slots
        ):
            return True
        # Before anything is heard, the other instances are taken to be like
        # this one, so far as it has counted enough to tell.
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
        """Choose the callers that a word names, those near their share.

        What the others ask for is told in total.

        :param shares: of all callers.
        :param least: the least demand of one that is named, in levels.
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
