"""What changes and what fails in the course of a run."""

from __future__ import annotations

import dataclasses

from collections.abc import Callable

from skylarkfold import endpoint
from skylarkfold.measure import _flow_fleet
from skylarkfold.measure import _flow_workload
from skylarkfold import service as service_module

SERVICE = 'press-desk'
ADDRESS = endpoint.Endpoint('10.0.0.1', 7000)
OPENING_SECONDS = 10.0
BASELINES = ('modulo', 'rendezvous', 'rendezvous-table')


@dataclasses.dataclass(frozen=True, slots=True)
class SiteSettings:
    """The sizes of a site.

    :param preference: of the service.
    :param instances: how many instances it begins with.
    :param upstreams: how many upstreams it begins with.
    :param connections: how many flows an upstream may hold.
    :param idle_seconds: when a flow has ended.
    """

    preference: service_module.Preference
    instances: int = 8
    upstreams: int = 7
    connections: int = 2000
    idle_seconds: float = 20.0


class Site:
    """A fleet before one service, and the operators' acts upon it.

    :param fleet: the instances.
    :param settings: the sizes.
    """

    def __init__(
        self, fleet: _flow_fleet.Fleet, settings: SiteSettings
    ) -> None:
        self.fleet = fleet
        self.left_at: dict[str, float] = {}
        self._settings = settings
        self._upstreams: dict[str, service_module.Upstream] = {}

    @property
    def upstreams(self) -> list[service_module.Upstream]:
        """The upstreams as they are configured now."""
        return [each for _, each in sorted(self._upstreams.items())]

    def open(self) -> None:
        """Start the instances with the first upstreams."""
        for number in range(1, self._settings.upstreams + 1):
            self._add(number)
        self._apply()
        for number in range(1, self._settings.instances + 1):
            self.fleet.start(f'entry-{number}')
        self.fleet.advance(OPENING_SECONDS)

    def arrive(self, number: int) -> None:
        """Add an upstream.

        :param number: its number.
        """
        self._add(number)
        self._apply()

    def drain(self, number: int) -> None:
        """Let an upstream take no new flow.

        :param number: its number.
        """
        self.left_at[_name(number)] = self.fleet.now
        self._change(number, state=service_module.UpstreamState.DRAINING)

    def return_to_service(self, number: int) -> None:
        """Let an upstream take new flows again.

        :param number: its number.
        """
        self.left_at.pop(_name(number), None)
        self._change(number, state=service_module.UpstreamState.ACTIVE)

    def weigh(self, number: int, weight: float) -> None:
        """Change an upstream's weight.

        :param number: its number.
        :param weight: the new one.
        """
        self._change(number, weight=weight)

    def lose_upstream(self, number: int) -> None:
        """Let an upstream die.

        :param number: its number.
        """
        self.fleet.lose_upstream(SERVICE, _name(number))
        self.left_at[_name(number)] = self.fleet.now

    def _add(self, number: int) -> None:
        self._upstreams[_name(number)] = service_module.Upstream(
            _name(number),
            endpoint.Endpoint(f'10.0.1.{number}', 9000),
            'hall-a',
            connections=self._settings.connections,
        )

    def _change(self, number: int, **changes: object) -> None:
        name = _name(number)
        changed = dataclasses.replace(self._upstreams[name], **changes)
        self._upstreams[name] = changed
        self._apply()

    def _apply(self) -> None:
        service = service_module.Service(
            SERVICE,
            'desk',
            ADDRESS,
            tuple(self.upstreams),
            preference=self._settings.preference,
            flow_idle_seconds=self._settings.idle_seconds,
        )
        self.fleet.configure([service])


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A workload and what happens during it.

    :param name: what the results call it.
    :param is_planned: whether all that happens is planned.
    :param workload: what callers send.
    :param acts: what is done at which second of the workload.
    :param settled_seconds: from when on the balance is judged.
    :param connections: how many flows an upstream may hold.
    :param rivals: names of the rules that run it besides this design.
    """

    name: str
    is_planned: bool
    workload: _flow_workload.WorkloadSettings
    acts: tuple[tuple[float, Callable[[Site], None]], ...]
    settled_seconds: float
    connections: int = 2000
    rivals: tuple[str, ...] = BASELINES


def _name(number: int) -> str:
    return f'{SERVICE}-{number}'


PLANNED_ACTS: tuple[tuple[float, Callable[[Site], None]], ...] = (
    (15.0, lambda site: site.drain(1)),
    (16.0, lambda site: site.weigh(2, 0.5)),
    (17.5, lambda site: site.arrive(8)),
    (25.0, lambda site: site.fleet.stop('entry-1')),
    (25.5, lambda site: site.fleet.start('entry-9')),
    (26.0, lambda site: site.fleet.stop('entry-2')),
    (26.5, lambda site: site.fleet.start('entry-10')),
    (30.0, lambda site: site.drain(3)),
    (31.0, lambda site: site.fleet.stop('entry-3')),
    (36.0, lambda site: site.fleet.start('entry-3')),
    (40.0, lambda site: site.return_to_service(1)),
    (41.0, lambda site: site.weigh(2, 1.0)),
    (45.0, lambda site: site.return_to_service(3)),
)
"""Drains, an arrival, weights and replaced instances, overlapping."""

UNPLANNED_ACTS: tuple[tuple[float, Callable[[Site], None]], ...] = (
    (15.0, lambda site: site.drain(1)),
    (18.0, lambda site: site.fleet.kill('entry-1')),
    (25.0, lambda site: site.fleet.start('entry-9')),
    (30.0, lambda site: site.lose_upstream(2)),
    (33.0, lambda site: site.fleet.kill('entry-2')),
    (33.2, lambda site: site.fleet.start('entry-2')),
    (40.0, lambda site: site.return_to_service(1)),
    (42.0, lambda site: site.fleet.kill('entry-4')),
    (42.0, lambda site: site.fleet.kill('entry-5')),
)
"""Deaths of instances, one at a time and two together, and an upstream's,
in the course of planned changes."""

LONG_LIVED_ACTS: tuple[tuple[float, Callable[[Site], None]], ...] = (
    (10.0, lambda site: site.arrive(8)),
)

RATE_ACTS: tuple[tuple[float, Callable[[Site], None]], ...] = (
    (1.0, lambda site: site.drain(1)),
    (3.0, lambda site: site.fleet.stop('entry-1')),
    (3.5, lambda site: site.fleet.start('entry-9')),
)

PLACING_ACTS: tuple[tuple[float, Callable[[Site], None]], ...] = (
    (5.0, lambda site: site.drain(1)),
    (10.0, lambda site: site.arrive(8)),
    (15.0, lambda site: site.weigh(2, 0.5)),
    (25.0, lambda site: site.return_to_service(1)),
)

_LOW_RATE = 60.0

SCENARIOS = (
    Scenario(
        'planned',
        True,
        _flow_workload.WorkloadSettings(),
        PLANNED_ACTS,
        80.0,
    ),
    Scenario(
        'unplanned',
        False,
        _flow_workload.WorkloadSettings(),
        UNPLANNED_ACTS,
        80.0,
    ),
    Scenario(
        'long-lived',
        True,
        _flow_workload.WorkloadSettings(
            duration_seconds=60.0,
            arrival_seconds=40.0,
            new_flows_per_second=160.0,
            long_lived_share=1.0,
            packet_gap_seconds=4.0,
        ),
        LONG_LIVED_ACTS,
        45.0,
    ),
    Scenario(
        'planned-unmarked',
        True,
        _flow_workload.WorkloadSettings(
            new_flows_per_second=_LOW_RATE, is_marked=False
        ),
        PLANNED_ACTS,
        80.0,
        rivals=(),
    ),
    Scenario(
        'planned-reordered',
        True,
        _flow_workload.WorkloadSettings(
            new_flows_per_second=_LOW_RATE,
            early_share=0.2,
            doubled_share=0.02,
            reordered_share=0.2,
        ),
        PLANNED_ACTS,
        80.0,
        rivals=(),
    ),
    Scenario(
        'placing',
        True,
        _flow_workload.WorkloadSettings(
            duration_seconds=40.0,
            arrival_seconds=40.0,
            new_flows_per_second=110.0,
            early_share=0.2,
            doubled_share=0.02,
            reordered_share=0.2,
        ),
        PLACING_ACTS,
        35.0,
        rivals=('receiver-places', 'home-places'),
    ),
    Scenario(
        'rate',
        True,
        _flow_workload.WorkloadSettings(
            duration_seconds=10.0,
            arrival_seconds=10.0,
            new_flows_per_second=3000.0,
        ),
        RATE_ACTS,
        8.0,
        connections=20000,
        rivals=(),
    ),
)
