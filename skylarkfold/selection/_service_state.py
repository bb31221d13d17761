"""Selection state of one service on this instance."""

from __future__ import annotations

from skylarkfold import event
from skylarkfold.selection import _allocator
from skylarkfold.selection import _coordinator
from skylarkfold.selection import _local_slots
from skylarkfold.selection import _messages
from skylarkfold.selection import _pool
from skylarkfold.selection import _settings
from skylarkfold import service as service_module


class ServiceState:
    """Upstreams, slots and coordinator of one service on this instance.

    :param service_name: the service.
    :param instance_name: the name of this instance.
    :param settings: the selection settings.
    :param coordinator_finder: finds the service's coordinator.
    :ivar pool: the upstreams with the outcomes observed by this instance.
    :ivar local_slots: the slots that this instance holds.
    :ivar allocator: grants the service's slots; None unless this instance
        is the service's coordinator.
    :ivar coordinator_name: the instance that grants the service's slots.
    :ivar owners: the instances that share the service's slots.
    """

    def __init__(
        self,
        service_name: str,
        instance_name: str,
        settings: _settings.SelectionSettings,
        coordinator_finder: _coordinator.CoordinatorFinder,
    ) -> None:
        self._coordinator_finder = coordinator_finder
        self._coordinator: _coordinator.Coordinator | None = None
        self._instance_name = instance_name
        self._service_number = _messages.compute_service_number(service_name)
        self._settings = settings
        self._upstream_names: dict[int, str] = {}
        self.service_name = service_name
        self.pool = _pool.UpstreamPool(settings)
        self.local_slots = _local_slots.LocalSlots(service_name, settings)
        self.allocator: _allocator.SlotAllocator | None = None
        self.coordinator_name = ''
        self.owners: tuple[str, ...] = ()

    @property
    def is_coordinator(self) -> bool:
        """Tell whether this instance is the service's coordinator."""
        return self.allocator is not None

    def configure(
        self, service: service_module.Service, owners: tuple[str, ...]
    ) -> bool:
        """Apply a changed configuration or a changed set of owners.

        :param service: the service.
        :param owners: the instances that share the service's slots.
        :returns: whether the coordinator changed.
        """
        if service is not self.pool.service:
            self._configure_pool(service)
        coordinator_name = self._find_coordinator(owners)
        has_changed = coordinator_name != self.coordinator_name
        if has_changed:
            self._change_coordinator(coordinator_name, len(owners) > 1)
        self.coordinator_name = coordinator_name
        if self.allocator is not None:
            self._configure_allocator(service, owners)
        self.owners = owners
        return has_changed

    def find_idle_slot(self, exclude: frozenset[str]) -> str | None:
        """Find an idle slot of an upstream that accepts new work.

        :param exclude: names of upstreams to skip.
        :returns: the upstream's name, or None.
        """
        allowed = (
            each.upstream.name
            for each in self.pool.list_active()
            if each.upstream.name not in exclude
        )
        return self.local_slots.find_idle(allowed)

    def find_peer(self) -> str | None:
        """Return a peer that may reach the upstreams, None without peers."""
        if not self.is_coordinator:
            return self.coordinator_name
        others = (each for each in self.owners if each != self._instance_name)
        return next(others, None)

    def add_grant(self, now: float, grant: _messages.SlotGrant) -> None:
        """Add a slot that the coordinator granted to this instance.

        :param now: the current time.
        :param grant: the message.
        """
        self.local_slots.record_contact(now)
        name = self._upstream_names.get(grant.upstream)
        if name is not None:
            self.local_slots.add_grant(now, grant, name)

    def record_report(self, report: event.LoadReported) -> None:
        """Record the health and load that an upstream reported.

        :param report: the report.
        """
        pools = [self.pool]
        if self.allocator is not None:
            pools.append(self.allocator.pool)
        for pool in pools:
            record = pool.get(report.upstream)
            if record is not None:
                record.record_report(report.healthy, report.running)

    def _configure_pool(self, service: service_module.Service) -> None:
        self.pool.configure(service)
        self._upstream_names = self.pool.map_numbers()
        self.local_slots.configure(
            {name: number for number, name in self._upstream_names.items()}
        )

    def _find_coordinator(self, owners: tuple[str, ...]) -> str:
        self._coordinator_finder.update_owners(owners)
        self._coordinator = self._coordinator_finder.find(
            self._service_number, self._coordinator
        )
        return (
            self._coordinator.name
            if self._coordinator
            else self._instance_name
        )

    def _change_coordinator(
        self, coordinator_name: str, has_peers: bool
    ) -> None:
        self.local_slots.reset_coordinator()
        self.allocator = None
        if coordinator_name == self._instance_name:
            self.allocator = _allocator.SlotAllocator(
                self.service_name, self._settings, has_peers
            )

    def _configure_allocator(
        self, service: service_module.Service, owners: tuple[str, ...]
    ) -> None:
        for name in self.owners:
            if name not in owners and name != self._instance_name:
                self.allocator.remove_instance(name)
        self.allocator.configure(service)
