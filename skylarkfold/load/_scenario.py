"""Scenarios: a deployment, its traffic and what happens to it."""

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
    """A service and its upstreams.

    :param upstreams: how many it has at first.
    :param slots: requests that each runs at the same time.
    :param connections: flows that each holds at the same time.
    :param preference: ``continuity`` or ``balance``.
    :param flow_idle_seconds: after which a flow counts as ended.
    :param is_marked: whether the service is told how the datagram that
        begins a flow starts.
    :param behaviour: how the upstreams behave.
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
        """The mark as settings have it, in hexadecimal digits."""
        return standin.FIRST_DATAGRAM.hex() if self.is_marked else ''


class Scenario(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """All that a run of the load tool is told.

    :param name: what reports call it.
    :param region: the region's name.
    :param zones: the availability zones; instances and upstreams are
        spread over them in turn.
    :param instances: how many entry instances.
    :param team: the team whose subtree holds the services.
    :param services: by name.
    :param traffic: what callers do.
    :param actions: what operators do and what fails, and when.
    :param faults: further actions by name, of which a run adds the ones
        that it is asked for.
    :param duration_seconds: how long the traffic lasts.
    :param settle_seconds: from the traffic's end to the judging.
    :param seed: of all random choices.
    :param entry: further settings of every entry instance.
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

    :param path: the file.
    :returns: the scenario.
    :raises SettingsError: if it can't be read, is invalid or asks for
        more than the bounds of the load tool.
    """
    try:
        fields = json5.loads(pathlib.Path(path).read_text())
        scenario = msgspec.convert(fields, Scenario)
    except (OSError, ValueError) as error:
        raise errors.SettingsError(str(error), source=path) from error
    check_limits(scenario, path)
    return scenario


def add_faults(scenario: Scenario, names: tuple[str, ...]) -> Scenario:
    """Add faults to what happens in a scenario.

    :param scenario: the scenario.
    :param names: which of its faults.
    :returns: the changed scenario, named after them.
    :raises SettingsError: if it has no such fault.
    """
    actions = list(scenario.actions)
    for name in names:
        if name not in scenario.faults:
            known = ', '.join(sorted(scenario.faults)) or 'none'
            reason = f'no fault {name!r}; there are {known}'
            raise errors.SettingsError(reason, scenario.name, '$.faults')
        actions += scenario.faults[name]
    return msgspec.structs.replace(
        scenario, name='+'.join((scenario.name, *names)), actions=actions
    )


def list_combinations(scenario: Scenario) -> list[tuple[str, ...]]:
    """List no fault, each alone, and all pairs."""
    names = sorted(scenario.faults)
    return [
        combination
        for count in (0, 1, 2)
        for combination in itertools.combinations(names, count)
    ]


def check_limits(scenario: Scenario, source: str) -> None:
    """Refuse a scenario that asks for too much or names what is not there.

    :param scenario: the scenario.
    :param source: where it comes from, for messages.
    :raises SettingsError: if it is out of bounds.
    """
    checks = (
        (scenario.duration_seconds, MAXIMUM_SECONDS, 'duration_seconds'),
        (scenario.instances, MAXIMUM_INSTANCES, 'instances'),
        (_sum_rates(scenario), MAXIMUM_RATE_PER_SECOND, 'traffic'),
        (_sum_flows(scenario), MAXIMUM_FLOWS, 'traffic'),
    )
    for value, limit, field in checks:
        if value > limit:
            reason = f'{value:g} is over the bound of {limit:g}'
            raise errors.SettingsError(reason, source, f'$.{field}')
    for index, traffic in enumerate(scenario.traffic):
        if traffic.service not in scenario.services:
            path = f'$.traffic[{index}].service'
            reason = f'no service {traffic.service}'
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
