"""The scenarios of ``measure control``."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import gc
import json
import pathlib
import resource

from skylarkfold import effect
from skylarkfold.measure import _control_fleet
from skylarkfold.measure import _control_platform
from skylarkfold.measure import _control_result
from skylarkfold import member
from skylarkfold import membership

_TEAMS = 20
_UPSTREAMS = 70
_REGIONS = 3
_START_SECONDS = 16.0
_SETTLE_SECONDS = 15.0
_BURST_CHANGES = 20
_BURST_SECONDS = 1.0
_CHANGES_PER_SECOND = 1200 / 86400
_KILLED = 3
_LOSS = 0.01
_KILL_SECONDS = 14.0
_MEGABYTE = 1024 * 1024
_State = member.MemberState


class Trial:
    """One fleet that goes through all scenarios.

    :param seed: decides delays, losses and jitter.
    :param nodes: how many instances.
    :param zones: in how many zones.
    :param delay_seconds: the platform's delay.
    """

    def __init__(
        self, seed: int, nodes: int, zones: int, delay_seconds: float
    ) -> None:
        self._platform = _control_platform.Platform(delay_seconds, seed)
        settings = membership.MembershipSettings(
            seeds=('10.0.0.1:2', '10.0.0.1:3', '10.0.0.1:4')
        )
        self._fleet = _control_fleet.Fleet(
            seed, self._platform, membership_settings=settings
        )
        self._fleet.observe = self._observe
        self._nodes = nodes
        self._places = [
            _control_fleet.Place(f'zone-{zone}', f'region-{zone % _REGIONS}')
            for zone in range(zones)
        ]
        self._memory_mb = 0.0
        self._rest: _control_result.ControlResult | None = None
        self._false_deaths = 0
        self._deaths: list[tuple[float, str]] = []
        self._seen_dead: dict[str, set[str]] = {}
        self._known: dict[str, list[tuple[float, int]]] = {}
        self._changes = 0

    def start(self) -> None:
        """Start all instances at once with nothing, and let them settle."""
        for _ in range(_TEAMS):
            self._write()
        before = _measure_memory()
        for number in range(self._nodes):
            place = self._places[number % len(self._places)]
            self._fleet.start(f'entry-{number:03d}', place)
        self._platform.instances = self._fleet.list_instances()
        with _collect_nothing():
            self._fleet.run(_START_SECONDS)
        used = _measure_memory() - before
        self._memory_mb = round(used / _MEGABYTE / self._nodes, 3)

    def rest(self, seconds: float) -> _control_result.ControlResult:
        """Change nothing."""
        result = self._watch('rest', seconds)
        self._rest = result
        return result

    def change_daily(self, seconds: float) -> _control_result.ControlResult:
        """Change once, and work out 1,200 changes a day from it.

        Bytes and processor time are those at rest and what one change
        adds, times its rate.
        """
        revision, began = self._write(), self._fleet.now
        result = self._watch('1200-changes-a-day', seconds)
        self._add_propagation(result, [(began, revision)])
        for field in ('bytes_per_node_second', 'core_share'):
            at_rest = getattr(self._rest, field)
            added = max(0.0, getattr(result, field) - at_rest) * seconds
            value = at_rest + added * _CHANGES_PER_SECOND
            setattr(result, field, _round(value))
        result.bytes_worst_node_second = None
        result.core_worst_share = None
        return result

    def change_burst(self, seconds: float) -> _control_result.ControlResult:
        """Change 20 times within a second."""
        written = []
        for number in range(_BURST_CHANGES):
            when = number * _BURST_SECONDS / _BURST_CHANGES
            self._fleet.call_at(
                self._fleet.now + when, lambda: self._note_write(written)
            )
        result = self._watch('burst-of-20', seconds)
        self._add_propagation(result, written)
        return result

    def lose_messages(self, seconds: float) -> _control_result.ControlResult:
        """Lose 1% of the messages, and change once."""
        self._fleet.loss = _LOSS
        revision, began = self._write(), self._fleet.now
        result = self._watch('loss-1-percent', seconds)
        self._add_propagation(result, [(began, revision)])
        self._fleet.loss = 0.0
        return result

    def stop_platform(self, seconds: float) -> _control_result.ControlResult:
        """Stop the platform; start an instance; change when it is back."""
        self._platform.stop()
        newcomer = self._fleet.start('newcomer', self._places[0])
        result = self._watch('platform-down', seconds)
        if not newcomer.distribution.is_ready:
            result.lagging += 1
        self._platform.start()
        revision, began = self._write(), self._fleet.now
        self._fleet.run(_SETTLE_SECONDS)
        self._add_propagation(result, [(began, revision)])
        return result

    def cut_zone(self, seconds: float) -> _control_result.ControlResult:
        """Cut one zone off, change, and mend it."""
        zone = self._places[0].zone
        self._fleet.cut_zones.add(zone)
        revision, began = self._write(), self._fleet.now
        result = self._watch('zone-cut', seconds)
        outside = self._list_reached(revision, began, except_zone=zone)
        self._fleet.cut_zones.discard(zone)
        mended = self._fleet.now
        self._fleet.run(_SETTLE_SECONDS)
        everywhere = self._list_reached(revision, mended)
        values = outside + [max(0.0, each) for each in everywhere]
        self._set_propagation(result, values)
        result.false_deaths += self._take_false_deaths()
        result.lagging += self._nodes_behind(revision)
        return result

    def kill_instances(self) -> _control_result.ControlResult:
        """End three instances without a word."""
        names = [f'entry-{number:03d}' for number in range(1, 1 + _KILLED)]
        began = self._fleet.now
        for name in names:
            self._fleet.kill(name)
        self._deaths.clear()
        result = self._watch('kill-3', _KILL_SECONDS)
        delays = [when - began for when, name in self._deaths if name in names]
        percentile = _control_result.compute_percentile
        result.detection_p99_s = percentile(delays, 99)
        result.detection_max_s = percentile(delays, 100)
        missing = len(self._fleet.hosts) * len(names) - len(delays)
        result.lagging += missing
        return result

    def _watch(
        self, scenario: str, seconds: float
    ) -> _control_result.ControlResult:
        hosts = list(self._fleet.hosts.values())
        for host in hosts:
            host.sent_bytes = host.received_bytes = 0
            host.spent_nanoseconds = 0
        attempts = self._fleet.attempts
        self._take_false_deaths()
        with _collect_nothing():
            self._fleet.run(seconds)
        sizes = [
            (host.sent_bytes + host.received_bytes) / seconds for host in hosts
        ]
        shares = [host.spent_nanoseconds / 1e9 / seconds for host in hosts]
        reads = (self._fleet.attempts - attempts) / seconds
        return _control_result.ControlResult(
            nodes=self._nodes,
            scenario=scenario,
            virtual_seconds=seconds,
            bytes_per_node_second=_round(sum(sizes) / len(sizes)),
            bytes_worst_node_second=_round(max(sizes)),
            core_share=_round(sum(shares) / len(shares)),
            core_worst_share=_round(max(shares)),
            memory_mb=self._memory_mb,
            platform_reads_per_second=_round(reads),
            false_deaths=self._take_false_deaths(),
            reverts=sum(host.reverts for host in hosts),
        )

    def _write(self) -> int:
        team = f'team-{self._changes % _TEAMS}'
        self._changes += 1
        value = _build_subtree(team, self._changes)
        path = f'/teams/{team}/settings'
        written = self._platform.write(self._fleet.now, path, value)
        return written.revision

    def _note_write(self, written: list[tuple[float, int]]) -> None:
        written.append((self._fleet.now, self._write()))

    def _add_propagation(
        self,
        result: _control_result.ControlResult,
        written: list[tuple[float, int]],
    ) -> None:
        values = []
        known = []
        for began, revision in written:
            values += self._list_reached(revision, began)
            known += self._list_known(revision, began)
        self._set_propagation(result, values)
        if len(known) == len(written) * len(self._fleet.hosts):
            result.known_everywhere_max_s = _round(max(known))
        result.lagging += self._nodes_behind(written[-1][1])

    def _set_propagation(
        self, result: _control_result.ControlResult, values: list[float]
    ) -> None:
        percentile = _control_result.compute_percentile
        result.propagation_p99_s = percentile(values, 99)
        result.propagation_max_s = percentile(values, 100)

    def _list_reached(
        self, revision: int, began: float, except_zone: str = ''
    ) -> list[float]:
        hosts = self._fleet.hosts.values()
        chosen = (host for host in hosts if host.settings.zone != except_zone)
        moments = (_find_first(host.reached, revision) for host in chosen)
        return [when - began for when in moments if when is not None]

    def _list_known(self, revision: int, began: float) -> list[float]:
        moments = (
            _find_first(self._known.get(name, []), revision)
            for name in self._fleet.hosts
        )
        return [when - began for when in moments if when is not None]

    def _nodes_behind(self, revision: int) -> int:
        return sum(
            host.distribution.revision < revision
            for host in self._fleet.hosts.values()
        )

    def _take_false_deaths(self) -> int:
        count, self._false_deaths = self._false_deaths, 0
        return count

    def _observe(self, host: _control_fleet.Host, produced: object) -> None:
        if not isinstance(produced, effect.PublishMembership):
            return
        seen = produced.membership
        known = self._known.setdefault(host.name, [])
        known.append((self._fleet.now, seen.minimum_revision))
        dead = {
            name
            for name, each in seen.members.items()
            if each.state is _State.DEAD
        }
        for name in dead - self._seen_dead.get(host.name, set()):
            self._deaths.append((self._fleet.now, name))
            self._false_deaths += name in self._fleet.hosts
        self._seen_dead[host.name] = dead


def _build_subtree(team: str, change: int) -> bytes:
    """Build a team's settings, about 11 KB of JSON."""
    upstreams = {
        f'{team}-{number}': {
            'address': f'10.{change % 250}.{number}.{number * 7 % 250}:9000',
            'request_port': 9001,
            'zone': f'zone-{number % 3}',
            'slots': 2,
            'connections': 2000,
            'weight': 1.0 + (change * number % 10) / 10,
            'state': 'active',
        }
        for number in range(_UPSTREAMS)
    }
    service = {
        'address': f'10.255.0.{change % 250}:7000',
        'request_port': 7001,
        'preference': 'continuity',
        'flow_idle_seconds': 60,
        'upstreams': upstreams,
    }
    return json.dumps({'services': {team: service}}).encode()


def _find_first(
    moments: list[tuple[float, int]], revision: int
) -> float | None:
    for when, reached in moments:
        if reached >= revision:
            return when
    return None


def _round(value: float) -> float:
    return round(value, 5)


def _measure_memory() -> int:
    pages = int(pathlib.Path('/proc/self/statm').read_text().split()[1])
    return pages * resource.getpagesize()


@contextlib.contextmanager
def _collect_nothing() -> Iterator[None]:
    """Keep the collector, which sees all instances, out of one's share."""
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
        gc.collect()
        gc.freeze()
