"""Reports on callers' demand, sent while a service is short of capacity."""

from __future__ import annotations

from skylarkfold.relay import _effect
from skylarkfold.relay import _messages
from skylarkfold.relay import _rate_limiter

_NEVER = float('-inf')
# Share of the byte budget for the neighbours in this zone.
_NEAR_SHARE = 1 / 2
# Seconds of the budget that may be sent at once when a shortage starts.
_BURST_SECONDS = 1.0
# Size of a report without its demands.
_REPORT_BYTES = 10


class CallerReports:
    """Sender and receiver of reports on callers' demand.

    Demands are opaque bytes here; ``shares`` writes and reads them.

    :param zone: this instance's availability zone.
    :param bytes_per_second: the budget for sent reports.
    :param maximum_age_seconds: how long the demand in other zones is passed
        on.
    :ivar is_urgent: whether a shortage has just started, so that the next
        beacons are sent at once.
    """

    __slots__ = (
        '_demand',
        '_far_limiter',
        '_maximum_age_seconds',
        '_near_limiter',
        '_other_zones',
        '_other_zones_at',
        '_sent_other_zones_at',
        '_zone',
        '_zone_demand',
        'is_urgent',
    )

    def __init__(
        self, zone: str, bytes_per_second: float, maximum_age_seconds: float
    ) -> None:
        self._zone = zone
        self._maximum_age_seconds = maximum_age_seconds
        near = _NEAR_SHARE * bytes_per_second
        far = bytes_per_second - near
        self._near_limiter = _rate_limiter.RateLimiter(near, _BURST_SECONDS)
        self._far_limiter = _rate_limiter.RateLimiter(far, _BURST_SECONDS)
        self.is_urgent = False
        self._demand = b''
        self._zone_demand = b''
        self._other_zones = b''
        self._other_zones_at = _NEVER
        # The value of _other_zones_at in the last report to this zone.
        self._sent_other_zones_at = _NEVER

    def put(self, demand: bytes, zone_demand: bytes) -> None:
        """Set the demand to report for this instance and its zone.

        :param demand: the demand counted here; empty where no service is
            short of capacity.
        :param zone_demand: the zone's total demand; empty if there is none.
        """
        self.is_urgent |= bool(demand) and not self._demand
        self._demand = demand
        self._zone_demand = zone_demand

    def put_other_zones(self, at: float, demand: bytes) -> None:
        """Set the total demand in other zones, as reported to this instance.

        :param at: when the latest part of it was reported.
        :param demand: the total demand.
        """
        if at > self._other_zones_at:
            self._set_other_zones(at, demand)

    def _set_other_zones(self, at: float, demand: bytes) -> None:
        self.is_urgent |= not self._other_zones
        self._other_zones, self._other_zones_at = demand, at

    def choose_near(
        self, now: float, hosts: int
    ) -> _messages.CallerReport | None:
        """Return the report to send to the neighbours in this zone.

        :param now: the current time.
        :param hosts: the number of neighbours.
        :returns: the report; None if there is nothing to report or the budget
            is spent.
        """
        age = now - self._other_zones_at
        if self._other_zones and age > self._maximum_age_seconds:
            self._other_zones, self._other_zones_at = b'', _NEVER
        is_new = self._other_zones_at > self._sent_other_zones_at
        other_zones = self._other_zones if is_new else b''
        if not self._demand and not other_zones:
            return None
        age = age if is_new else 0.0
        report = _messages.CallerReport(self._demand, other_zones, age)
        chosen = _limit_report(now, self._near_limiter, report, hosts)
        if chosen is not None:
            self._sent_other_zones_at = self._other_zones_at
        return chosen

    def choose_far(
        self, now: float, hosts: int
    ) -> _messages.CallerReport | None:
        """Return the report to send to the neighbours in other zones.

        :param now: the current time.
        :param hosts: the number of neighbours.
        :returns: the report; None if there is nothing to report or the budget
            is spent.
        """
        if not self._zone_demand:
            return None
        report = _messages.CallerReport(self._zone_demand)
        return _limit_report(now, self._far_limiter, report, hosts)

    def handle_beacon(
        self, now: float, beacon: _messages.Beacon
    ) -> list[object]:
        """Process the report in a peer's beacon.

        :param now: the current time.
        :param beacon: the beacon.
        :returns: the effects to perform.
        """
        report = beacon.callers
        if report is None:
            return []
        if beacon.zone != self._zone:
            demand = report.demand
            return [
                _effect.CallerDemandReported(beacon.zone, True, 0.0, demand)
            ]
        effects: list[object] = []
        if report.demand:
            reported = _effect.CallerDemandReported(
                beacon.name, False, 0.0, report.demand
            )
            effects.append(reported)
        at = now - report.age_seconds
        if report.other_zones and at > self._other_zones_at:
            self._set_other_zones(at, report.other_zones)
            effects.append(
                _effect.CallerDemandReported(
                    '', True, report.age_seconds, report.other_zones
                )
            )
        return effects


def _limit_report(
    now: float,
    limiter: _rate_limiter.RateLimiter,
    report: _messages.CallerReport,
    hosts: int,
) -> _messages.CallerReport | None:
    if not limiter.may_send(now):
        return None
    size = _REPORT_BYTES + len(report.demand) + len(report.other_zones)
    limiter.record_bytes(now, size * hosts)
    return report
