"""The services of the current configuration and their tables."""

from __future__ import annotations

import msgspec

from skylarkfold import configuration as configuration_module
from skylarkfold import endpoint
from skylarkfold.flows import _settings
from skylarkfold.flows import _state
from skylarkfold.flows import _table
from skylarkfold import platform_api
from skylarkfold import service as service_module


class ServiceRegistry:
    """Service states by name and address, with the newest known tables.

    :param settings: the flow settings.
    :ivar states: the state of each configured service, by name.
    """

    def __init__(self, settings: _settings.FlowSettings) -> None:
        self.states: dict[str, _state.ServiceState] = {}
        self._settings = settings
        self._names_by_address: dict[endpoint.Endpoint, str] = {}
        # Kept also for services that are not configured here yet.
        self._newest_tables: dict[str, _table.BucketTable] = {}
        self._stored_tables: dict[str, _state.StoredTable] = {}
        self._has_configuration = False

    def get(self, name: str) -> _state.ServiceState | None:
        """Return a service by name, or None."""
        return self.states.get(name)

    def find_by_address(
        self, address: endpoint.Endpoint
    ) -> _state.ServiceState | None:
        """Return the service that listens on an address.

        :param address: the address that a caller sent to.
        :returns: the service, or None if no service has the address.
        """
        name = self._names_by_address.get(address)
        return None if name is None else self.states[name]

    def configure(
        self, now: float, configuration: configuration_module.Configuration
    ) -> list[str]:
        """Apply a newer configuration.

        :param now: the current time.
        :param configuration: the configuration with all services.
        :returns: the names of removed services.
        """
        services = configuration.services
        removed = [name for name in self.states if name not in services]
        for name in removed:
            del self.states[name]
        for service in services.values():
            self._configure_service(now, service)
        self._names_by_address = {
            each.address: name for name, each in services.items()
        }
        self._has_configuration = True
        return removed

    def _configure_service(
        self, now: float, service: service_module.Service
    ) -> None:
        state = self.states.get(service.name)
        if state is not None:
            state.configure(now, service)
            return
        table = _table.build_initial(service, self._settings)
        may_be_stale = not self._has_configuration
        state = _state.ServiceState(
            service, table, self._settings, may_be_stale
        )
        self.states[service.name] = state
        stored_table = self._stored_tables.get(service.name)
        if stored_table is not None:
            state.stored_table = stored_table
        newest = self._newest_tables.get(service.name)
        if newest is not None:
            state.apply_table(now, newest, newest.serial)

    def apply_object(
        self, now: float, stored: platform_api.StoredObject
    ) -> _state.ServiceState | None:
        """Apply a stored object if it is a newer table.

        :param now: the current time.
        :param stored: an object of the platform's store.
        :returns: the service whose table changed, or None.
        :raises DecodeError: if the object is not a valid table.
        """
        name = parse_service_name(stored.path)
        if not name:
            return None
        if stored.value is None:
            self._record_stored(name, stored, 0, 0)
            return None
        table = _table.decode(stored.value)
        if not table.serial:
            table = msgspec.structs.replace(table, serial=stored.version)
        self._record_stored(name, stored, stored.version, table.serial)
        newest = self._newest_tables.get(name)
        if newest is not None and newest.serial >= table.serial:
            return None
        self._newest_tables[name] = table
        state = self.states.get(name)
        if state is None or table.serial <= state.version:
            return None
        state.apply_table(now, table, table.serial)
        return state

    def _record_stored(
        self,
        name: str,
        stored: platform_api.StoredObject,
        version: int,
        serial: int,
    ) -> None:
        """Record which version the store has, even if it is not newer."""
        last = self._stored_tables.get(name)
        # An object built for this instance's own write has revision 0 and
        # counts as the newest.
        revision = stored.revision or (last.revision if last else 0)
        if last is not None and revision < last.revision:
            return
        stored_table = _state.StoredTable(revision, version, serial)
        self._stored_tables[name] = stored_table
        state = self.states.get(name)
        if state is not None:
            state.stored_table = stored_table


def parse_service_name(path: str) -> str:
    """Return the name of the service whose table is stored at a path.

    :param path: the object's path.
    :returns: the service's name, or an empty string if it is no table.
    """
    if not path.startswith(_table.PATH_PREFIX):
        return ''
    return path.removeprefix(_table.PATH_PREFIX)
