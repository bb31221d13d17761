"""Scenarios: a deployment with its traffic, actions and faults."""

from __future__ import annotations

import itertools
import pathlib
from typing import Any

import json5
import msgspec

from skylarkfold import errors
from skylarkfold.load import _action
from skylarkfold.load import _traffic
from skylarkfold import standin

MAXIMUM_SECONDS = 600.0
MAXIMUM_INSTANCES = 16
MAXIMUM_RATE_PER_SECOND = 5000.0
MAXIMUM_FLOWS = 20_000


class ServiceShape(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Service and its upstreams.

    :param upstreams: the initial number of upstreams.
    :param slots: the number of concurrent requests per upstream.
    :param connections: the number of concurrent flows per upstream.
    :param preference: ``continuity`` or ``balance``.
    :param flow_idle_seconds: the idle time after which a flow has ended.
    :param is_marked: whether the service's settings contain the prefix of the
        first datagram of a flow.
    :param behaviour: the behaviour of the upstreams.
    """

    upstreams: int
    slots: int = 2
    connections: int = 2000
    preference: str = 'continuity'
    flow_idle_seconds: float = 60.0
    is_marked: bool = False
    behaviour: standin.Behaviour = standin.Behaviour()

    @property
    def first_datagram(self) -> str:
        """Prefix of a flow's first datagram in hexadecimal; empty for none."""
        return standin.FIRST_DATAGRAM.hex() if self.is_marked else ''


class Scenario(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Input of a run of the load tool.

    :param name: the name in reports.
    :param region: the region's name.
    :param zones: the availability zones; instances and upstreams are
        assigned to them round-robin.
    :param instances: the number of entry instances.
    :param team: the team that owns the services.
    :param services: the services by name.
    :param traffic: the traffic that callers generate.
    :param actions: the operations and faults of every run.
    :param faults: optional actions by name; a run adds those that are
        selected.
    :param duration_seconds: the duration of the traffic.
    :param settle_seconds: the time from the end of the traffic to the checks.
    :param seed: the seed of all random choices.
    :param entry: additional settings of every entry instance.
    """

    name: str
    region: str
    zones: list[str]
    services: dict[str, ServiceShape]
    traffic: list[_traffic.AnyTraffic]
    instances: int = 3
    team: str = 'desk'
    actions: list[_action.AnyAction] = []
    faults: dict[str, list[_action.AnyAction]] = {}
    duration_seconds: float = 20.0
    settle_seconds: float = 0.5
    seed: int = 1
    entry: dict[str, Any] = {}


def read_scenario(path: str) -> Scenario:
    """Read a scenario from a file in JSON with comments.

    :param path: the path of the file.
    :returns: the scenario.
    :raises SettingsError: if the file can't be read, is invalid or exceeds
        the limits of the load tool.
    """
    try:
        fields = json5.loads(pathlib.Path(path).read_text())
        scenario = msgspec.convert(fields, Scenario)
    except (OSError, ValueError) as error:
        raise errors.SettingsError(str(error), source=path) from error
    check_limits(scenario, path)
    return scenario


def add_faults(scenario: Scenario, names: tuple[str, ...]) -> Scenario:
    """Add named faults to the actions of a scenario.

    :param scenario: the scenario.
    :param names: the names of the faults to add.
    :returns: the changed scenario, with the faults in its name.
    :raises SettingsError: if the scenario has no such fault.
    """
    actions = list(scenario.actions)
    for name in names:
        if name not in scenario.faults:
            known = ', '.join(sorted(scenario.faults)) or 'none'
            reason = f'unknown fault {name!r}; known faults: {known}'
            raise errors.SettingsError(reason, scenario.name, '$.faults')
        actions += scenario.faults[name]
    return msgspec.structs.replace(
        scenario, name='+'.join((scenario.name, *names)), actions=actions
    )


def list_combinations(scenario: Scenario) -> list[tuple[str, ...]]:
    """List all combinations of at most two faults."""
    names = sorted(scenario.faults)
    return [
        combination
        for count in (0, 1, 2)
        for combination in itertools.combinations(names, count)
    ]


def check_limits(scenario: Scenario, source: str) -> None:
    """Check a scenario's limits and the services of its traffic.

    :param scenario: the scenario.
    :param source: the source of the scenario, for messages.
    :raises SettingsError: if a limit is exceeded or a service is unknown.
    """
    checks = (
        (scenario.duration_seconds, MAXIMUM_SECONDS, 'duration_seconds'),
        (scenario.instances, MAXIMUM_INSTANCES, 'instances'),
        (_sum_rates(scenario), MAXIMUM_RATE_PER_SECOND, 'traffic'),
        (_sum_flows(scenario), MAXIMUM_FLOWS, 'traffic'),
    )
    for value, limit, field in checks:
        if value > limit:
            reason = f'{value:g} exceeds the limit of {limit:g}'
            raise errors.SettingsError(reason, source, f'$.{field}')
    for index, traffic in enumerate(scenario.traffic):
        if traffic.service not in scenario.services:
            path = f'$.traffic[{index}].service'
            reason = f'unknown service {traffic.service}'
            raise errors.SettingsError(reason, source, path)


def _sum_rates(scenario: Scenario) -> float:
    return sum(
        each.rate_per_second
        for each in scenario.traffic
        if isinstance(each, _traffic.Requests)
    )


def _sum_flows(scenario: Scenario) -> int:
    flows = sum(
        each.flows
        for each in scenario.traffic
        if isinstance(each, _traffic.Datagrams)
    )
    return flows + sum(
        each.streams
        for each in scenario.traffic
        if isinstance(each, _traffic.Streams)
    )
