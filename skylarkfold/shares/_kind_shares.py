"""Shares of callers of a service that is short of capacity."""

from __future__ import annotations

from collections.abc import Mapping
import math

from skylarkfold.shares import _demand_view
from skylarkfold.shares import _fill_level
from skylarkfold.shares import _over_share
from skylarkfold.shares import _report
from skylarkfold.shares import _settings

# Least share of a service's slots for each priority. Demand is an estimate, so
# later priorities keep some slots even if the earlier ones seem to fill all;
# requests that don't fit are refused by their estimated response time.
_MIN_PRIORITY_SHARE = 0.1
# Reports of other zones can't be verified here: whatever they say, a zone
# keeps this share of an equal part of the slots.
_MIN_ZONE_SHARE = 0.5
_DAY_SECONDS = 86400.0


class KindShares:
    """The shares of the callers for one kind of requests.

    :param view: the demand for the kind.
    :param available_slots: the slots of the service for the kind.
    :param settings: weights and caps.
    :ivar level: the share of a caller with a weight of one, in slots.
    """

    __slots__ = (
        '_settings',
        'available_slots',
        'level',
        'view',
    )

    def __init__(
        self,
        view: _demand_view.KindView,
        available_slots: float,
        settings: _settings.SharesSettings,
    ) -> None:
        self.view = view
        self.available_slots = available_slots
        self._settings = settings
        requests = self._list_requests(view.all, view.caller_count)
        level = _fill_level.compute_fill_level(available_slots, requests)
        zone_slots = _MIN_ZONE_SHARE * view.zone_part * available_slots
        requests = self._list_requests(view.zone, view.zone_caller_count)
        self.level = max(
            level, _fill_level.compute_fill_level(zone_slots, requests)
        )

    def compute_share(self, caller: bytes) -> float:
        """Compute the share of a caller.

        :param caller: the caller.
        :returns: slots.
        """
        return min(
            self.level * self._get_weight(caller), self._get_cap(caller)
        )

    def check_share(
        self, now: float, caller: bytes, new_flow_share: float
    ) -> _over_share.OverShare | None:
        """Compute which share of a caller's new flows is refused.

        :param now: the time.
        :param caller: the caller.
        :param new_flow_share: the share of its demand that opens flows.
        :returns: the figures; None if it is within its share.
        """
        demand, sampled = self.view.measure(caller)
        share = self.compute_share(caller)
        if sampled <= 0.0 or share >= demand:
            return None
        deviation = self._settings.certainty / math.sqrt(sampled)
        if demand * (1.0 - deviation) <= share:
            return None
        # Requests on open flows can't be refused, so more of the new flows
        # have to be.
        excess = (1.0 - share / demand) / max(new_flow_share, 1e-3)
        oldest_report_at = self.view.oldest_report_at
        age = (
            0.0
            if oldest_report_at is None
            else min(now - oldest_report_at, _DAY_SECONDS)
        )
        return _over_share.OverShare(
            demand, share, self.available_slots, min(1.0, excess), age
        )

    def _get_weight(self, caller: bytes) -> float:
        return self._settings.weights.find(caller) or 1.0

    def _get_cap(self, caller: bytes) -> float:
        cap = self._settings.caps_per_second.find(caller)
        if cap is None:
            return float('inf')
        return cap * self.view.mean_seconds

    def _list_requests(
        self, demand: _report.Demand, caller_count: int
    ) -> list[_fill_level.ShareRequest]:
        named_callers = self.view.named_callers
        requests = []
        unnamed_demand = demand.total
        for caller in named_callers:
            slots = demand.callers.get(caller, 0.0)
            unnamed_demand -= slots
            weight, cap = self._get_weight(caller), self._get_cap(caller)
            requests.append(_fill_level.ShareRequest(slots, weight, cap))
        if unnamed_demand > 0.0:
            # Only the number and total of the unnamed callers are known.
            count = max(1, caller_count - len(named_callers))
            requests.append(
                _fill_level.ShareRequest(
                    unnamed_demand / count, count=float(count)
                )
            )
        return requests


def divide_slots(
    views: Mapping[int, _demand_view.KindView],
    slots: float,
    settings: _settings.SharesSettings,
) -> dict[int, KindShares]:
    """Divide a service's slots in the order of priorities.

    :param views: the demand by priority.
    :param slots: the slots of the service.
    :param settings: the share of slots to fill, weights and caps.
    :returns: the shares, by priority.
    """
    remaining_slots = settings.filled_share * slots
    shares = {}
    for priority in sorted(views):
        view = views[priority]
        available_slots = max(remaining_slots, _MIN_PRIORITY_SHARE * slots)
        shares[priority] = KindShares(view, available_slots, settings)
        remaining_slots = max(0.0, remaining_slots - view.all.total)
    return shares
