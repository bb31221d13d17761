"""The services in force on this instance, each with its table."""

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
    """Services by name and by address, and the newest tables.

    :param settings: the flow settings.
    """

    def __init__(self, settings: _settings.FlowSettings) -> None:
        self.states: dict[str, _state.ServiceState] = {}
        self._settings = settings
        self._names_by_address: dict[endpoint.Endpoint, str] = {}
        # Of each table the newest form, and what the store has of it.
        self._newest_tables: dict[str, _table.BucketTable] = {}
        self._stored_tables: dict[str, _state.StoredTable] = {}
        self._has_configuration = False

    def get(self, name: str) -> _state.ServiceState | None:
        """Find a service by name."""
        return self.states.get(name)

    def find_by_address(
        self, address: endpoint.Endpoint
    ) -> _state.ServiceState | None:
        """Find the service that owns an address.

        :param address: what a caller sent to.
        :returns: the service, or None if no team claims the address.
        """
        name = self._names_by_address.get(address)
        return None if name is None else self.states[name]

    def configure(
        self, now: float, configuration: configuration_module.Configuration
    ) -> list[str]:
        """Put a newer configuration in force.

        :param now: the time.
        :param configuration: all services.
        :returns: names of services that are gone.
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
        stored = self._newest_tables.get(service.name)
        if stored is not None:
            state.apply_table(now, stored, stored.serial)

    def apply_object(
        self, now: float, stored: platform_api.StoredObject
    ) -> _state.ServiceState | None:
        """Take an object of the platform.

        :param now: the time.
        :param known: the object.
        :returns: the service whose table changed, or None.
        :raises DecodeError: if the object is no good table.
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
        """Note what the store has, also where it is no news here."""
        last = self._stored_tables.get(name)
        # A write of this instance whose answer holds no object is the last.
        revision = stored.revision or (last.revision if last else 0)
        if last is not None and revision < last.revision:
            return
        stored_table = _state.StoredTable(revision, version, serial)
        self._stored_tables[name] = stored_table
        state = self.states.get(name)
        if state is not None:
            state.stored_table = stored_table


def parse_service_name(path: str) -> str:
    """Name the service whose table a path holds.

    :param path: an object's path.
    :returns: the service's name, empty for other objects.
    """
    if not path.startswith(_table.PATH_PREFIX):
        return ''
    return path.removeprefix(_table.PATH_PREFIX)
