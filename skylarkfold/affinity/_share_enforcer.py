"""Enforcement of callers' shares of services."""

from __future__ import annotations

from collections.abc import Callable

from skylarkfold.affinity import _admission
from skylarkfold.affinity import _directory
from skylarkfold.affinity import _flow
from skylarkfold.affinity import _packet
from skylarkfold.affinity import _refusal
from skylarkfold.affinity import _request_time
from skylarkfold.affinity import _route
from skylarkfold.affinity import _upstream_state
from skylarkfold import shares

# Reading thousands of upstreams takes a millisecond.
_CAPACITY_REFRESH_SECONDS = 0.4
# Lower bound of the part of a request's time that is spent in a slot.
_MINIMUM_WORK_SHARE = 0.1


class ShareEnforcer:
    """Limits callers to their shares when a service lacks capacity.

    :param settings: limits and weights of shares.
    :param directory: all upstreams.
    :param admission: provides how long requests occupy a slot.
    :param refusals: refuses flows that exceed a share.
    :param find_route: returns the route of an address.
    :param previous: the enforcer with the previous settings, whose counts are
        kept.
    :ivar callers: the callers' demands and shares.
    """

    __slots__ = (
        '_admission',
        '_capacities',
        '_digests',
        '_directory',
        '_find_route',
        '_next_capacity_refresh',
        '_refusals',
        '_round_trip_times',
        'callers',
    )

    def __init__(
        self,
        settings: shares.SharesSettings,
        directory: _directory.Directory,
        admission: _admission.Admission,
        refusals: _refusal.Refusals,
        find_route: Callable[[bytes], _route.Route | None],
        previous: ShareEnforcer | None = None,
    ) -> None:
        if previous is None:
            self.callers = shares.CallerShares(settings)
            # Round-trip times of first packets, by service.
            self._round_trip_times: dict[str, _request_time.RequestTime] = {}
        else:
            self.callers = previous.callers
            self.callers.set_settings(settings)
            self._round_trip_times = previous._round_trip_times
        self._directory = directory
        self._admission = admission
        self._refusals = refusals
        self._find_route = find_route
        self._digests: dict[str, int] = {}
        self._capacities: dict[int, shares.Capacity] = {}
        self._next_capacity_refresh = float('-inf')

    def check_first_packet(
        self,
        now: float,
        packet: _packet.Packet,
        route: _route.Route,
        service: str | None,
        flow_hash: int,
        version: int,
    ) -> list[object]:
        """Count a new flow, and refuse it if it exceeds its caller's share.

        :param now: the time.
        :param packet: its first packet, not a repeated one.
        :param route: its route.
        :param service: its service; None if the route has none.
        :param flow_hash: its hash.
        :param version: the version of the routes.
        :returns: effects of the refusal; none if it is not refused.
        """
        if service is None:
            return []
        seconds = self._estimate_work(route.address, service)
        if not seconds:
            return []
        digest = self._digest(service)
        caller = _packet.get_caller(packet.flow)
        priority = route.priority
        self.callers.note(now, digest, priority, caller, seconds)
        over_share = self.callers.check_share(now, digest, priority, caller)
        if over_share is None or not over_share.refuses(flow_hash):
            return []
        return self._refusals.refuse_over_share(
            packet, version, route, service, over_share
        )

    def record_request(self, now: float, flow: _flow.Flow) -> None:
        """Count a further request of an open flow.

        :param now: the time.
        :param flow: the flow.
        """
        address = _packet.get_address(flow.key)
        route = self._find_route(address)
        service = flow.state.upstream.service
        seconds = self._estimate_work(address, service)
        if route is not None and seconds:
            digest = self._digest(service)
            caller = _packet.get_caller(flow.key)
            self.callers.note(
                now, digest, route.priority, caller, seconds, is_new=False
            )

    def record_open(self, service: str, seconds: float) -> None:
        """Record how long a flow took to open, which is not spent in a slot.

        :param service: its service.
        :param seconds: the time from its first packet to its second.
        """
        known = self._round_trip_times.get(service)
        if known is None:
            known = self._round_trip_times[service] = (
                _request_time.RequestTime()
            )
        known.record(seconds)

    def refresh(self, now: float, fleet: shares.FleetSize) -> None:
        """Recompute the shares and the report for peers.

        :param now: the time; called several times a second.
        :param fleet: the number of instances.
        """
        digests = self.callers.list_services()
        if (
            now >= self._next_capacity_refresh
            or not digests <= self._capacities.keys()
        ):
            self._next_capacity_refresh = now + _CAPACITY_REFRESH_SECONDS
            self._capacities = self._measure_capacities(now, digests)
        self.callers.refresh(now, self._capacities, fleet)

    def _measure_capacities(
        self, now: float, digests: set[int]
    ) -> dict[int, shares.Capacity]:
        # A service without upstreams has no capacity.
        capacities = {digest: shares.Capacity(0.0) for digest in digests}
        if not digests:
            return capacities
        for state in self._directory:
            capacity = capacities.get(self._digest(state.upstream.service))
            if capacity is not None and _takes_flows(state):
                capacity.slots += state.compute_capacity(now)
                capacity.busy += state.in_flight
        return capacities

    def _estimate_work(self, address: bytes, service: str) -> float:
        """Estimate how long a request occupies a slot; 0 if unknown."""
        seconds = self._admission.get_request_seconds(address, service)
        round_trip = self._round_trip_times.get(service)
        if round_trip is None:
            return seconds
        return max(_MINIMUM_WORK_SHARE * seconds, seconds - round_trip.seconds)

    def _digest(self, service: str) -> int:
        digest = self._digests.get(service)
        if digest is None:
            digest = self._digests[service] = shares.hash_service(service)
        return digest


def _takes_flows(state: _upstream_state.UpstreamState) -> bool:
    return (
        state.takes_new_flows
        and state.health == _upstream_state.Health.GOOD
        and not state.is_evacuated
        and not state.is_replaced
    )
