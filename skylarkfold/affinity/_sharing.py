"""Callers' shares of the services of this instance's routes."""

from __future__ import annotations

from collections.abc import Callable

from skylarkfold.affinity import _admission
from skylarkfold.affinity import _directory
from skylarkfold.affinity import _flow
from skylarkfold.affinity import _packet
from skylarkfold.affinity import _refusal
from skylarkfold.affinity import _route
from skylarkfold.affinity import _standing
from skylarkfold.affinity import _work
from skylarkfold import shares

# How often the upstreams are looked through: thousands of them take a
# millisecond.
_ROOMS_SECONDS = 0.4
# Of the time until an answer is seen, what is work at least.
_LEAST_WORK_SHARE = 0.1


class Sharing:
    """Keeps callers to their shares where a service has too little room.

    :param settings: how.
    :param directory: all upstreams.
    :param admission: knows how long requests take a slot.
    :param refusals: refuses what is beyond a share.
    :param find_route: finds the route of an address.
    :param former: what did so by other settings; what it counted and learnt
        goes on.
    :ivar callers: the shares.
    """

    __slots__ = (
        '_admission',
        '_digests',
        '_directory',
        '_find_route',
        '_next_rooms',
        '_path_times',
        '_refusals',
        '_rooms',
        'callers',
    )

    def __init__(
        self,
        settings: shares.SharesSettings,
        directory: _directory.Directory,
        admission: _admission.Admission,
        refusals: _refusal.Refusals,
        find_route: Callable[[bytes], _route.Route | None],
        former: Sharing | None = None,
    ) -> None:
        if former is None:
            self.callers = shares.CallerShares(settings)
            # How long a first packet and its answer are under way.
            self._path_times: dict[str, _work.WorkTime] = {}
        else:
            self.callers = former.callers
            self.callers.set_settings(settings)
            self._path_times = former._path_times
        self._directory = directory
        self._admission = admission
        self._refusals = refusals
        self._find_route = find_route
        self._digests: dict[str, int] = {}
        self._rooms: dict[int, shares.Capacity] = {}
        self._next_rooms = float('-inf')

    def take_first(
        self,
        now: float,
        packet: _packet.Packet,
        route: _route.Route,
        service: str | None,
        hashed: int,
        version: int,
    ) -> list[object]:
        """Count a new flow, and refuse it if it is beyond its caller's share.

        :param now: the time.
        :param packet: its first packet, no copy.
        :param route: its route.
        :param service: its service; None where the route has none.
        :param hashed: its hash.
        :param version: of the routes.
        :returns: effects of the refusal; none where it is not refused.
        """
        if service is None:
            return []
        seconds = self._estimate(route.address, service)
        if not seconds:
            return []
        digest = self._digest(service)
        caller = _packet.get_caller(packet.flow)
        priority = route.priority
        self.callers.note(now, digest, priority, caller, seconds)
        over = self.callers.check_share(now, digest, priority, caller)
        if over is None or not over.refuses(hashed):
            return []
        return self._refusals.refuse_over_share(
            packet, version, route, service, over
        )

    def note_request(self, now: float, flow: _flow.Flow) -> None:
        """Count a further request on a flow that is open.

        :param now: the time.
        :param flow: the flow.
        """
        address = _packet.get_address(flow.key)
        route = self._find_route(address)
        service = flow.standing.upstream.service
        seconds = self._estimate(address, service)
        if route is not None and seconds:
            digest = self._digest(service)
            caller = _packet.get_caller(flow.key)
            self.callers.note(
                now, digest, route.priority, caller, seconds, is_new=False
            )

    def note_open(self, service: str, seconds: float) -> None:
        """Take how long a flow took to open, which is no work.

        :param service: its service.
        :param seconds: from its first packet to its second.
        """
        known = self._path_times.get(service)
        if known is None:
            known = self._path_times[service] = _work.WorkTime()
        known.note(seconds)

    def refresh(self, now: float, fleet: shares.FleetSize) -> None:
        """Work out the shares and what peers are told.

        :param now: the time; several times a second.
        :param fleet: how many instances there are.
        """
        wanted = self.callers.list_services()
        if now >= self._next_rooms or not wanted <= self._rooms.keys():
            self._next_rooms = now + _ROOMS_SECONDS
            self._rooms = self._measure_rooms(now, wanted)
        self.callers.refresh(now, self._rooms, fleet)

    def _measure_rooms(
        self, now: float, wanted: set[int]
    ) -> dict[int, shares.Capacity]:
        # A service without an upstream has no room to share.
        rooms = {digest: shares.Capacity(0.0) for digest in wanted}
        if not wanted:
            return rooms
        for standing in self._directory:
            room = rooms.get(self._digest(standing.upstream.service))
            if room is not None and _takes_flows(standing):
                room.slots += standing.compute_capacity(now)
                room.busy += standing.waiting
        return rooms

    def _estimate(self, address: bytes, service: str) -> float:
        """Estimate how long a request takes a slot; 0 where nothing says."""
        seconds = self._admission.get_work(address, service)
        path = self._path_times.get(service)
        if path is None:
            return seconds
        return max(_LEAST_WORK_SHARE * seconds, seconds - path.seconds)

    def _digest(self, service: str) -> int:
        digest = self._digests.get(service)
        if digest is None:
            digest = self._digests[service] = shares.hash_service(service)
        return digest


def _takes_flows(standing: _standing.Standing) -> bool:
    return (
        standing.takes_new_flows
        and standing.health == _standing.Health.GOOD
        and not standing.is_evacuated
        and not standing.is_replaced
    )
