"""Measures an instance's state and work at the full configuration.

Memory is what tracemalloc counts; times are processor times of the
decision cores alone, on this machine.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import gc
import json
import time
import tracemalloc

from skylarkfold import assembly
from skylarkfold import configuration as configuration_module
from skylarkfold import edge
from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold import event
from skylarkfold import flows
from skylarkfold import instance as instance_module
from skylarkfold import member
from skylarkfold import platform_api
from skylarkfold import settings as settings_module
from skylarkfold import teams

REGIONS = 3
ZONES = 11
MEBIBYTE = 1024 * 1024
TICKS = 200
CHANGES = 10
SETTLE_SECONDS = 120.0


TICK_SECONDS = edge.EdgeSettings().tick_seconds


@dataclasses.dataclass(frozen=True, slots=True)
class SizeResult:
    """State and work at one size.

    :param services: services, one address each.
    :param upstreams: upstreams of all services.
    :param members: instances.
    :param settings_bytes: all teams' subtrees.
    :param table_bytes: all bucket tables, encoded.
    :param bytes_per_table: one table, encoded.
    :param configuration_mb: the built configuration.
    :param flow_core_mb: the flow core with all tables, without flows.
    :param build_seconds: building the configuration from nothing.
    :param change_seconds: one team's change, built and taken by the flow
        core.
    :param table_seconds: one table taken by the flow core.
    :param member_seconds: one member's loss taken by the flow core.
    :param tick_share: the share of a core that the flow core's ticks take
        at rest, as often as the daemon makes them.
    """

    services: int
    upstreams: int
    members: int
    settings_bytes: int
    table_bytes: int
    bytes_per_table: float
    configuration_mb: float
    flow_core_mb: float
    build_seconds: float
    change_seconds: float
    table_seconds: float
    member_seconds: float
    tick_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Size:
    services: int
    upstreams: int
    members: int
    teams: int


SIZES = (
    _Size(services=2, upstreams=10, members=8, teams=1),
    _Size(services=140, upstreams=380, members=60, teams=10),
    _Size(services=1400, upstreams=3800, members=600, teams=40),
)


def _make_member(number: int) -> member.Member:
    zone = number % ZONES
    return member.Member(
        name=f'entry-{number}',
        zone=f'zone-{zone}',
        region=f'region-{zone % REGIONS}',
        address=endpoint.Endpoint(f'10.1.{number // 250}.{number % 250}', 1),
    )


def _make_membership(count: int, version: int = 1) -> member.Membership:
    members = map(_make_member, range(count))
    return member.Membership(version, {each.name: each for each in members})


def _make_service(number: int, size: _Size) -> dict[str, object]:
    first = number * size.upstreams // size.services
    last = (number + 1) * size.upstreams // size.services
    upstreams = {
        f'service-{number}-{each}': {
            'address': f'10.9.{each // 250}.{each % 250}:9000',
            'request_port': 9001,
            'zone': f'zone-{each % ZONES}',
        }
        for each in range(first, last)
    }
    return {
        'address': f'10.8.{number // 250}.{number % 250}:7000',
        'request_port': 7001,
        'upstreams': upstreams,
    }


def _make_subtrees(size: _Size) -> dict[str, bytes]:
    """Make all teams' settings texts by team."""
    services: dict[str, dict[str, object]] = {}
    for number in range(size.services):
        team = services.setdefault(f'team-{number % size.teams}', {})
        team[f'service-{number}'] = _make_service(number, size)
    return {
        team: json.dumps({'services': each}).encode()
        for team, each in services.items()
    }


def _list_objects(size: _Size) -> list[platform_api.StoredObject]:
    """List the objects that hold the configuration."""
    written: list[tuple[str, bytes]] = []
    for team, text in _make_subtrees(size).items():
        path = teams.build_subtree_path(team)
        written.append((path, text))
        read = settings_module.read_team_settings(text, path, team)
        for service in read.services.values():
            for claimed in teams.list_claim_paths(service):
                claim = teams.Claim(claimed, team, version=1)
                written.append((claimed, teams.encode_claim(claim)))
    return [
        platform_api.StoredObject(path, 1, revision, value)
        for revision, (path, value) in enumerate(written, 1)
    ]


def _build(
    core: assembly.ConfigurationCore,
    objects: list[platform_api.StoredObject],
    revision: int,
) -> configuration_module.Configuration:
    for each in objects:
        core.handle(0.0, event.ObjectChanged(each))
    built = core.handle(0.0, event.RevisionReached(revision))
    return built[0].configuration


def _make_flow_core() -> flows.FlowCore:
    own = _make_member(0)
    instance = instance_module.InstanceSettings(
        own.name, own.zone, own.region, own.address
    )
    return flows.FlowCore(instance, flows.FlowSettings())


def _list_tables(
    configuration: configuration_module.Configuration,
) -> list[platform_api.StoredObject]:
    """Let an instance that is alone propose all tables."""
    core = _make_flow_core()
    core.handle(0.0, event.MembershipChanged(_make_membership(1)))
    produced = core.handle(0.0, event.ConfigurationChanged(configuration))
    now = 0.0
    while now < SETTLE_SECONDS and not _list_writes(produced, configuration):
        now += TICK_SECONDS
        produced = produced + core.handle(now, event.Tick())
    return [
        platform_api.StoredObject(each.path, 1, number, each.value)
        for number, each in enumerate(_list_writes(produced, configuration), 1)
    ]


def _list_writes(
    produced: list[object], configuration: configuration_module.Configuration
) -> list[platform_api.WriteObject]:
    """List the tables' writes, once there is one for each service."""
    writes = {
        each.write.path: each.write
        for each in produced
        if isinstance(each, effect.RequestWrite)
    }
    if len(writes) < len(configuration.services):
        return []
    return list(writes.values())


def _fill(
    configuration: configuration_module.Configuration,
    tables: list[platform_api.StoredObject],
    members: int,
) -> flows.FlowCore:
    core = _make_flow_core()
    core.handle(0.0, event.MembershipChanged(_make_membership(members)))
    core.handle(0.0, event.ConfigurationChanged(configuration))
    for table in tables:
        core.handle(0.0, event.ObjectChanged(table))
    return core


def _time(act: Callable[[], object], count: int = 1) -> float:
    gc.collect()
    began = time.process_time()
    for _ in range(count):
        act()
    return (time.process_time() - began) / count


def _weigh(make: Callable[[], object]) -> float:
    """Weigh what a function makes, in MiB."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    made = make()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del made
    return (after - before) / MEBIBYTE


def _time_ticks(core: flows.FlowCore) -> float:
    now = SETTLE_SECONDS

    def tick() -> None:
        nonlocal now
        now += TICK_SECONDS
        core.handle(now, event.Tick())

    return _time(tick, TICKS) / TICK_SECONDS


def _time_change(
    core: assembly.ConfigurationCore,
    flow_core: flows.FlowCore,
    objects: list[platform_api.StoredObject],
) -> float:
    revision = len(objects)
    subtree = objects[0]

    def change() -> None:
        nonlocal revision
        revision += 1
        changed = dataclasses.replace(
            subtree, version=revision, revision=revision
        )
        built = _build(core, [changed], revision)
        flow_core.handle(0.0, event.ConfigurationChanged(built))

    return _time(change, CHANGES)


def _time_tables(
    core: flows.FlowCore, tables: list[platform_api.StoredObject]
) -> float:
    newer = iter(
        [
            dataclasses.replace(each, version=each.version + 1)
            for each in tables[:CHANGES]
        ]
    )
    count = min(CHANGES, len(tables))
    return _time(
        lambda: core.handle(0.0, event.ObjectChanged(next(newer))), count
    )


def _time_loss(core: flows.FlowCore, members: int) -> float:
    fewer = _make_membership(members - 1, version=2)
    return _time(lambda: core.handle(0.0, event.MembershipChanged(fewer)))


def _measure_size(size: _Size) -> SizeResult:
    objects = _list_objects(size)
    core = assembly.ConfigurationCore()
    build_seconds = _time(lambda: _build(core, objects, len(objects)))
    configuration = _build(assembly.ConfigurationCore(), objects, len(objects))
    tables = _list_tables(configuration)
    flow_core = _fill(configuration, tables, size.members)
    table_bytes = sum(len(each.value) for each in tables)
    return SizeResult(
        services=size.services,
        upstreams=size.upstreams,
        members=size.members,
        settings_bytes=sum(map(len, _make_subtrees(size).values())),
        table_bytes=table_bytes,
        bytes_per_table=round(table_bytes / len(tables), 1),
        configuration_mb=round(
            _weigh(
                lambda: _build(
                    assembly.ConfigurationCore(), objects, len(objects)
                )
            ),
            2,
        ),
        flow_core_mb=round(
            _weigh(lambda: _fill(configuration, tables, size.members)), 2
        ),
        build_seconds=round(build_seconds, 4),
        tick_share=round(_time_ticks(flow_core), 5),
        change_seconds=round(_time_change(core, flow_core, objects), 5),
        table_seconds=round(_time_tables(flow_core, tables), 5),
        member_seconds=round(_time_loss(flow_core, size.members), 5),
    )


def measure(seed: int = 1, largest: int = 1400) -> list[SizeResult]:
    """Measure state and work at several sizes of the configuration.

    :param seed: unused: nothing here is drawn at random.
    :param largest: the most services.
    :returns: a result for each size.
    """
    return [_measure_size(each) for each in SIZES if each.services <= largest]
