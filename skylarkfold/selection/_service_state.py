"""One service's part in the exchange of slots, on one instance."""

from __future__ import annotations

from skylarkfold import event
from skylarkfold.selection import _allocator
from skylarkfold.selection import _coordinator
from skylarkfold.selection import _local_slots
from skylarkfold.selection import _messages
from skylarkfold.selection import _pool
from skylarkfold.selection import _settings
from skylarkfold import service as service_module


class ServiceShare:
    """What an instance has seen and holds of one service.

    :param service_name: the service.
    :param instance_name: this instance.
    :param settings: limits and times.
    :param finder: finds the home.
    """

    def __init__(
        self,
        service_name: str,
        instance_name: str,
        settings: _settings.SelectionSettings,
        finder: _coordinator.HomeFinder,
    ) -> None:
        self._finder = finder
        self._found: _coordinator.Home | None = None
        self._instance_name = instance_name
        self._number = _messages.number_service(service_name)
        self._settings = settings
        self._names: dict[int, str] = {}
        self.service_name = service_name
        self.pool = _pool.Pool(settings)
        self.holder = _local_slots.SlotHolder(service_name, settings)
        self.broker: _allocator.SlotBroker | None = None
        self.home = ''
        self.owners: tuple[str, ...] = ()

    @property
    def is_home(self) -> bool:
        """Tell whether this instance is the service's home."""
        return self.broker is not None

    def configure(
        self, service: service_module.Service, owners: tuple[str, ...]
    ) -> bool:
        """Take a newer configuration or newer members.

        :param service: the service.
        :param owners: the members that may own state.
        :returns: whether the home is another one now.
        """
        if service is not self.pool.service:
            self._configure_pool(service)
        home = self._find_home(owners)
        has_moved = home != self.home
        if has_moved:
            self._move_home(home, len(owners) > 1)
        self.home = home
        if self.broker is not None:
            self._configure_broker(service, owners)
        self.owners = owners
        return has_moved

    def find_slot(self, exclude: frozenset[str]) -> str | None:
        """Find an unused slot of an upstream that takes new work.

        :param exclude: names that must not be chosen.
        :returns: the upstream's name, or None.
        """
        allowed = (
            each.upstream.name
            for each in self.pool.list_active()
            if each.upstream.name not in exclude
        )
        return self.holder.find_idle(allowed)

    def find_peer(self) -> str | None:
        """Find a peer that may reach what this instance can't."""
        if not self.is_home:
            return self.home
        others = (each for each in self.owners if each != self._instance_name)
        return next(others, None)

    def take_grant(self, now: float, grant: _messages.SlotGrant) -> None:
        """Take a grant of the home.

        :param now: the present time.
        :param grant: the message.
        """
        self.holder.hear(now)
        name = self._names.get(grant.upstream)
        if name is not None:
            self.holder.take_grant(now, grant, name)

    def record_report(self, report: event.LoadReported) -> None:
        """Note what an upstream's endpoints said.

        :param report: the report.
        """
        pools = [self.pool]
        if self.broker is not None:
            pools.append(self.broker.pool)
        for pool in pools:
            record = pool.get(report.upstream)
            if record is not None:
                record.record_report(report.healthy, report.running)

    def _configure_pool(self, service: service_module.Service) -> None:
        self.pool.configure(service)
        self._names = self.pool.map_numbers()
        self.holder.configure(
            {name: number for number, name in self._names.items()}
        )

    def _find_home(self, owners: tuple[str, ...]) -> str:
        self._finder.follow(owners)
        self._found = self._finder.find(self._number, self._found)
        return self._found.name if self._found else self._instance_name

    def _move_home(self, home: str, has_peers: bool) -> None:
        self.holder.begin()
        self.broker = None
        if home == self._instance_name:
            self.broker = _allocator.SlotBroker(
                self.service_name, self._settings, has_peers
            )

    def _configure_broker(
        self, service: service_module.Service, owners: tuple[str, ...]
    ) -> None:
        for name in self.owners:
            if name not in owners and name != self._instance_name:
                self.broker.remove_holder(name)
        self.broker.configure(service)
