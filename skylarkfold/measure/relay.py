"""Measures how the store's objects reach instances whose packets have tokens.

Decisions of all instances on a virtual clock, with the bytes of their
beacons and pages, before a store that counts its calls; no sockets. Objects
grow with the fleet as at the full size: 3,800 upstreams and 1,400 routes for
600 instances.
"""

from __future__ import annotations

import dataclasses
import gc
import tracemalloc

from skylarkfold.measure import _relay_fleet
from skylarkfold import relay

_SIZES = (7, 30, 78, 300, 600)
_MOST_ZONES = 11
_INSTANCES_PER_ZONE = 55
_UPSTREAMS_SHARE = 3800 / 600
_ROUTES_SHARE = 1400 / 600
_MEBIBYTE = 1024 * 1024

_START_SECONDS = 6.0
_REST_SECONDS = 10.0
_CHANGE_SECONDS = 5.0
_BURST_CHANGES = 20
_BURST_PAUSE_SECONDS = 0.1
_BURST_SECONDS = 5.0
_RETURN_SECONDS = 5.0
# How often views are looked at after an end, and for how long at most.
_LOOK_SECONDS = 0.1
_MOST_LOOKS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class RelayResult:
    """One size of the fleet in one scenario.

    :param instances: instances.
    :param scenario: ``rest``, ``routes`` (all routes change as one object),
        ``upstreams`` (twenty entries change within two seconds), ``ends``
        (one instance of each zone ends without a word), ``return`` (the
        store comes back from a copy without the last twenty changes) or
        ``zone-cut`` (one zone is cut off from all others and the store).
    :param reach_seconds: until the last instance knew a change, of an end in
        its zone, or all that the store has in its new era; None where
        nothing changed.
    :param bytes_per_second: sent by an instance, on average.
    :param bytes_worst_second: the same for the busiest.
    :param bytes_a_change: sent by an instance for one change beyond what is
        sent at rest; None where nothing changed.
    :param calls_per_second: to the store, by all.
    :param core_share: processor time of an instance's decisions.
    :param core_worst_share: the same for the busiest.
    :param memory_mb: of the objects on one instance; None but at rest.
    """

    instances: int
    scenario: str
    reach_seconds: float | None
    bytes_per_second: float
    bytes_worst_second: float
    bytes_a_change: float | None
    calls_per_second: float
    core_share: float
    core_worst_share: float
    memory_mb: float | None


def measure(
    seed: int = 1, sizes: tuple[int, ...] = _SIZES
) -> list[RelayResult]:
    """Measure all scenarios at all sizes.

    :param seed: nothing is drawn here.
    :param sizes: numbers of instances.
    :returns: one result a size and scenario.
    """
    results = []
    # The collector's passes over the objects of all instances would be
    # charged to the one that happens to decide: up to 3% of a core.
    gc.disable()
    try:
        for size in sizes:
            results += _measure_size(size)
            gc.collect()
    finally:
        gc.enable()
    return results


def _measure_size(size: int) -> list[RelayResult]:
    zones = max(3, min(_MOST_ZONES, size // _INSTANCES_PER_ZONE))
    fleet = _relay_fleet.Fleet(
        tuple(f'zone-{number % zones}' for number in range(size))
    )
    _write_objects(fleet, size)
    fleet.run(_START_SECONDS)

    window = _Window(fleet)
    fleet.run(_REST_SECONDS)
    rest = window.end('rest', memory=_measure_memory(size))

    window = _Window(fleet, rest)
    _write_routes(fleet, size, 2)
    fleet.run(_CHANGE_SECONDS)
    routes = window.end('routes', ('routes', 'main'), 1)

    window = _Window(fleet, rest)
    for number in range(_BURST_CHANGES):
        path = f'i-{number:010x}'
        fleet.write('upstreams', path, _build_entry(2))
        fleet.run(_BURST_PAUSE_SECONDS)
    fleet.run(_BURST_SECONDS)
    burst = window.end('upstreams', ('upstreams', path), _BURST_CHANGES)

    window = _Window(fleet, rest)
    inside = {name for name, zone in fleet.zones.items() if zone == 'zone-1'}
    fleet.cut = lambda one, other: (one in inside) != (other in inside)
    fleet.run(_REST_SECONDS)
    cut = window.end('zone-cut')
    fleet.cut = lambda one, other: False
    fleet.run(_CHANGE_SECONDS)

    saved = fleet.store.copy()
    for number in range(_BURST_CHANGES):
        fleet.write('upstreams', f'i-{number:010x}', _build_entry(3))
    fleet.run(_CHANGE_SECONDS)
    window = _Window(fleet, rest)
    fleet.store.restore(saved)
    reach = _wait_for_era(fleet)
    fleet.run(_RETURN_SECONDS)
    back = window.end('return', reach=reach)

    window = _Window(fleet, rest)
    reach = _end_some(fleet)
    return [rest, routes, burst, cut, back, window.end('ends', reach=reach)]


def _wait_for_era(fleet: _relay_fleet.Fleet) -> float | None:
    """Wait until all instances know the store's era.

    :returns: seconds until then; None if one does not in the end.
    """
    begun = fleet.now
    for _ in range(_MOST_LOOKS):
        fleet.run(_LOOK_SECONDS)
        if all(
            core.get_position(topic).era == fleet.store.era
            for core in fleet.cores.values()
            for topic in fleet.settings.topics
        ):
            return round(fleet.now - begun, 4)
    return None


def _end_some(fleet: _relay_fleet.Fleet) -> float | None:
    """End the last instance of each zone.

    :returns: seconds until no other of its zone takes it to be there; None
        if one still does in the end.
    """
    zones = {zone: name for name, zone in fleet.zones.items()}
    for name in zones.values():
        fleet.end(name)
    begun = fleet.now
    for _ in range(_MOST_LOOKS):
        fleet.run(_LOOK_SECONDS)
        if not any(
            _is_believed(core, zones[fleet.zones[name]])
            for name, core in fleet.cores.items()
        ):
            return round(fleet.now - begun, 4)
    return None


def _is_believed(core: relay.RelayCore, name: str) -> bool:
    peer = core.peers.members.get(name)
    return peer is not None and peer.is_reachable


def _measure_memory(size: int) -> float:
    """Measure what one instance keeps, in MiB."""
    fleet = _relay_fleet.Fleet(('zone-0',))
    tracemalloc.start()
    _write_objects(fleet, size)
    written = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return written / _MEBIBYTE


class _Window:
    """A span of time in which all is counted."""

    def __init__(
        self, fleet: _relay_fleet.Fleet, rest: RelayResult | None = None
    ) -> None:
        self._fleet = fleet
        self._rest = rest
        self._begun = fleet.now
        self._count = len(fleet.cores)
        self._calls = fleet.store.calls.total()
        self._known = len(fleet.changes)
        fleet.sent.clear()
        fleet.spent.clear()

    def end(
        self,
        scenario: str,
        changed: tuple[str, str] | None = None,
        changes: int = 0,
        memory: float | None = None,
        reach: float | None = None,
    ) -> RelayResult:
        """Sum up.

        :param scenario: its name.
        :param changed: topic and path of the last change.
        :param changes: how many there were.
        :param memory: of one instance.
        :param reach: until all knew what happened, where no object changed.
        """
        fleet = self._fleet
        seconds = fleet.now - self._begun
        count = self._count
        sent = sum(fleet.sent.values()) / seconds / count
        extra = None
        if changed is not None:
            reach = self._find_reach(*changed)
            extra = (sent - self._rest.bytes_per_second) * seconds / changes
        return RelayResult(
            instances=count,
            scenario=scenario,
            reach_seconds=reach,
            bytes_per_second=round(sent, 1),
            bytes_worst_second=round(max(fleet.sent.values()) / seconds, 1),
            bytes_a_change=None if extra is None else round(extra, 1),
            calls_per_second=round(
                (fleet.store.calls.total() - self._calls) / seconds, 2
            ),
            core_share=round(sum(fleet.spent.values()) / seconds / count, 5),
            core_worst_share=round(max(fleet.spent.values()) / seconds, 5),
            memory_mb=None if memory is None else round(memory, 3),
        )

    def _find_reach(self, topic: str, path: str) -> float | None:
        """Find how long after the last write the last instance knew it."""
        fleet = self._fleet
        item = fleet.store.objects[topic][path]
        behind = [
            name
            for name, revision in fleet.get_revisions(topic, path).items()
            if revision < item.revision
        ]
        if behind:
            return None
        learnt = [
            at
            for at, _, change in fleet.changes[self._known :]
            if change.topic == topic and path in change.paths
        ]
        written = fleet.written[(topic, path)]
        return round(max(learnt) - written, 4)


def _write_objects(fleet: _relay_fleet.Fleet, size: int) -> None:
    _write_routes(fleet, size, 1)
    for number in range(int(size * _UPSTREAMS_SHARE)):
        fleet.write('upstreams', f'i-{number:010x}', _build_entry(1))


def _write_routes(fleet: _relay_fleet.Fleet, size: int, version: int) -> None:
    routes = [
        {
            'host': f'198.18.{number >> 8}.{number & 255}',
            'port': 443,
            'service': f'service-{number}',
            'timeout_ms': 1000 + version,
            'type': 'idempotent',
            'priority': 2,
            'target_latency_ms': 250,
        }
        for number in range(max(2, int(size * _ROUTES_SHARE)))
    ]
    value = {'version': version, 'routes': routes}
    fleet.write('routes', 'main', value)


def _build_entry(sequence: int) -> dict[str, object]:
    return {
        'service': 'service-1',
        'address': '10.1.64.15:8008',
        'zone': 'zone-1',
        'version': 'v1',
        'max_concurrency': 2,
        'state': 'ready',
        'warmup_left_ms': 0,
        'sequence': sequence,
    }
