"""Routes from the addresses that callers use to services."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

from skylarkfold.affinity import _warm_up
from skylarkfold import revision as revisions


# More removed addresses than this are not remembered.
_MAXIMUM_REMOVED = 4096


class Route:
    """An address that callers use and the services behind it.

    :param address: the packed address and port.
    :param shares: the services that new flows go to, with their weights.
    :param is_idempotent: whether its requests may run more than once.
    :param priority: routes with smaller numbers are served first.
    :param aim_seconds: the target time until its requests are answered; 0 for
        none.
    :ivar is_preferred: whether other routes of its table have a larger number.
    """

    __slots__ = (
        '_total',
        'address',
        'aim_seconds',
        'is_idempotent',
        'is_preferred',
        'priority',
        'shares',
    )

    def __init__(
        self,
        address: bytes,
        shares: Iterable[tuple[str, int]],
        is_idempotent: bool = False,
        priority: int = 0,
        aim_seconds: float = 0.0,
    ) -> None:
        self.address = address
        self.shares = tuple(each for each in shares if each[1] > 0)
        self.is_idempotent = is_idempotent
        self.priority = priority
        self.aim_seconds = aim_seconds
        self.is_preferred = False
        self._total = sum(weight for _, weight in self.shares)

    def has_service(self, service: str) -> bool:
        """Return whether new flows may go to a service.

        :param service: the service's name.
        :returns: whether it has a weight above 0.
        """
        return any(service == name for name, _ in self.shares)

    def list_services(self, flow_hash: int) -> list[str]:
        """List the services that a new flow may go to, in order of choice.

        :param flow_hash: the flow's hash.
        :returns: first the one that :meth:`choose_service` chooses, then the
            others in turn; services with a weight of 0 are left out.
        """
        first = self.choose_service(flow_hash)
        names = [service for service, _ in self.shares]
        if first is None or len(names) == 1:
            return names
        place = names.index(first)
        return names[place:] + names[:place]

    def choose_service(self, flow_hash: int) -> str | None:
        """Choose the service of a new flow.

        :param flow_hash: the flow's hash, so that every instance chooses the
            same service for all copies of its first packet.
        :returns: the service's name, None if none has a weight above 0.
        """
        if not self._total:
            return None
        rest = flow_hash % self._total
        for service, weight in self.shares:
            if rest < weight:
                return service
            rest -= weight
        return None


class RouteTable:
    """All routes of a version of the configuration.

    :param version: the operators' version number.
    :param routes: the routes.
    :param idle_seconds: flows without a packet for so long may be forgotten.
    :param services: the names of all services; empty if not known.
    :param warm_ups: the warm-up behaviour of upstreams, by service.
    :param revision: the store revision at which it was written.
    """

    __slots__ = (
        '_removed',
        '_routes',
        'idle_seconds',
        'revision',
        'services',
        'version',
        'warm_ups',
    )

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        idle_seconds: float = 15.0,
        services: Iterable[str] = (),
        warm_ups: Mapping[str, _warm_up.WarmUp] | None = None,
        revision: revisions.Revision = revisions.ZERO,
    ) -> None:
        self.version = version
        self.revision = revision
        self.warm_ups = warm_ups or {}
        self.services = frozenset(services)
        self.idle_seconds = idle_seconds
        self._routes = {each.address: each for each in routes}
        # The addresses of former routes, the last removed last.
        self._removed: dict[bytes, None] = {}
        last = max(
            (each.priority for each in self._routes.values()), default=0
        )
        for each in self._routes.values():
            each.is_preferred = each.priority < last

    def __len__(self) -> int:
        return len(self._routes)

    def __contains__(self, address: bytes) -> bool:
        return address in self._routes

    def get(self, address: bytes) -> Route | None:
        """Return the route of an address.

        :param address: the packed address and port.
        :returns: the route, None if there is none.
        """
        return self._routes.get(address)

    def record_removed(self, previous: RouteTable) -> None:
        """Remember which routes there were before this version.

        :param previous: the version that was active before.
        """
        former = [*previous._removed, *previous._routes]
        removed = [each for each in former if each not in self._routes]
        self._removed = dict.fromkeys(removed[-_MAXIMUM_REMOVED:])

    def was_removed(self, address: bytes) -> bool:
        """Return whether an earlier version had a route that is gone.

        :param address: the packed address and port.
        :returns: whether it did.
        """
        return address in self._removed


EMPTY_TABLE = RouteTable(-1, ())
