"""Instances, upstreams and callers of a pattern on one clock."""

from __future__ import annotations

from collections.abc import Callable
import random
import zlib

from skylarkfold import affinity
from skylarkfold.measure import _overload_callers
from skylarkfold.measure import _overload_pattern
from skylarkfold.measure import _overload_upstream
from skylarkfold.measure import _overload_world

Outcome = _overload_upstream.Outcome

# As often as the daemon looks at what is due and tells its load.
_TICK_SECONDS = 0.01
_LOAD_SECONDS = 0.2
# Loads of zones, added up by their first delegate, come this late.
_ZONE_LOAD_SECONDS = 0.5
# A word between instances of one zone.
_WORD_SECONDS = 0.001


class Policy:
    """Builds what decides on an instance; the product's is the default.

    :param settings: of the product's decisions.
    """

    def __init__(
        self, settings: affinity.AffinitySettings | None = None
    ) -> None:
        self._settings = settings or affinity.AffinitySettings()

    def build(self, zone: str) -> affinity.AffinityCore:
        """Build the decisions of one instance.

        :param zone: its availability zone.
        :returns: the decisions.
        """
        return affinity.AffinityCore(zone, self._settings)


class Instance:
    """One instance: decisions and what performs them.

    :ivar core: the decisions, None while it is down.
    """

    __slots__ = ('core', 'name', 'zone')

    def __init__(self, name: str, zone: str, core: object) -> None:
        self.name = name
        self.zone = zone
        self.core = core


class Fleet:
    """A pattern in play.

    :param pattern: the pattern.
    :param policy: what decides.
    :param requests: what callers ask.
    :param seed: of what upstreams draw.
    :ivar cut_zone: the zone that is cut off; empty for none.
    """

    def __init__(
        self,
        pattern: _overload_pattern.Pattern,
        policy: Policy,
        requests: list[_overload_callers.Request],
        seed: int,
    ) -> None:
        self.clock = _overload_world.Clock()
        self.upstreams: list[_overload_upstream.ModelUpstream] = []
        self.requests = requests
        self.callers = _overload_callers.Callers(
            self.clock, pattern, self._receive
        )
        self._pattern = pattern
        self._policy = policy
        self._draw = random.Random(f'upstreams {seed}')
        self.cut_zone = ''
        self._performers: dict[type, Callable[[Instance, object], None]] = {
            affinity.Forward: self._forward,
            affinity.Reset: self._reset,
            affinity.QueryPeers: self._ask_peers,
            affinity.NotifyPeers: self._tell_peers,
            affinity.Probe: self._probe,
        }
        zones = _overload_pattern.ZONES
        for number, slots in enumerate(pattern.slots):
            added = self.add_upstream(zones[number % len(zones)], slots)
            if pattern.speeds:
                added.speed = pattern.speeds[number]
        self.instances = [
            Instance(f'entry-{number}', zones[number % len(zones)], None)
            for number in range(pattern.instances)
        ]
        self.start_all()
        self.callers.expect(requests)
        self.clock.call(0.0, self._tick)
        self.clock.call(0.0, self._tell_loads)

    def run(self, seconds: float) -> None:
        """Play.

        :param seconds: until this time.
        """
        self.clock.run(seconds)

    def start_all(self) -> None:
        """Start all instances, which know nothing of earlier flows."""
        self._start(self.instances)

    def stop_zone(self, zone: str) -> None:
        """End the instances of a zone.

        :param zone: the zone.
        """
        for each in self.instances:
            if each.zone == zone:
                each.core = None

    def start_zone(self, zone: str) -> None:
        """Start the instances of a zone anew.

        :param zone: the zone.
        """
        self._start([each for each in self.instances if each.zone == zone])

    def evacuate(self, zones: tuple[str, ...]) -> None:
        """Have all instances take which zones are evacuated.

        :param zones: all of them.
        """
        if not hasattr(affinity, 'Evacuations'):
            # An earlier version, which is measured beside this one.
            return
        evacuations = affinity.Evacuations(dict.fromkeys(zones, 1))
        now = self.clock.now
        for each in self._list_up():
            effects = each.core.set_evacuations(now, evacuations)
            self._perform(each, effects)

    def _start(self, instances: list[Instance]) -> None:
        for each in instances:
            each.core = self._policy.build(each.zone)
            routes = [
                affinity.Route(
                    kind.address,
                    ((_overload_pattern.SERVICE, 1),),
                    kind.is_idempotent,
                    kind.priority,
                    kind.aim_seconds,
                )
                for kind in self._pattern.kinds
            ]
            table = affinity.RouteTable(1, routes)
            each.core.set_routes(self.clock.now, table)
        self.tell_upstreams()

    def add_upstream(
        self, zone: str, slots: int
    ) -> _overload_upstream.ModelUpstream:
        """Add an upstream, of which instances have yet to hear.

        :param zone: its availability zone.
        :param slots: its slots.
        :returns: the upstream.
        """
        number = len(self.upstreams) + 1
        upstream = _overload_upstream.ModelUpstream(
            f'i-{number:010x}',
            number,
            zone,
            slots,
            self.clock,
            self._draw,
            self._answer,
        )
        self.upstreams.append(upstream)
        return upstream

    def tell_upstreams(self) -> None:
        """Have all instances take the list of upstreams."""
        entries = [
            affinity.Upstream(
                each.name,
                each.number,
                _overload_pattern.SERVICE,
                (f'10.0.0.{each.number}', 8080),
                each.zone,
                each.slots,
                each.is_draining,
                each.cold_left_seconds,
                each.number,
            )
            for each in self.upstreams
            if not each.is_gone
        ]
        for instance in self._list_up():
            now = self.clock.now
            self._perform(instance, instance.core.set_upstreams(now, entries))

    def _list_up(self) -> list[Instance]:
        return [each for each in self.instances if each.core is not None]

    def _receive(
        self, flow: _overload_callers.CallerFlow, packet: affinity.Packet
    ) -> None:
        seconds = _overload_world.CALLER_SECONDS
        self.clock.call(seconds, self._decide, flow, packet)

    def _decide(
        self, flow: _overload_callers.CallerFlow, packet: affinity.Packet
    ) -> None:
        up = self._list_up()
        # Routers use other zones' instances where a zone has none.
        near = [each for each in up if each.zone == flow.zone] or up
        if not near:
            return
        instance = near[zlib.crc32(flow.key) % len(near)]
        now = self.clock.now
        self._perform(instance, instance.core.handle_packet(now, packet))

    def _perform(self, instance: Instance, effects: list[object]) -> None:
        for each in effects:
            perform = self._performers.get(type(each))
            if perform is not None:
                perform(instance, each)

    def _reaches(self, zone: str, other: str) -> bool:
        return zone == other or self.cut_zone not in (zone, other)

    def _forward(self, instance: Instance, wanted: affinity.Forward) -> None:
        upstream = self.upstreams[wanted.upstream.number - 1]
        if not self._reaches(instance.zone, upstream.zone):
            return
        seconds = _overload_world.FAR_SECONDS
        if upstream.zone == instance.zone:
            seconds = _overload_world.NEAR_SECONDS
        self.clock.call(seconds, self._deliver, upstream, wanted.data)

    def _deliver(
        self,
        upstream: _overload_upstream.ModelUpstream,
        payload: _overload_world.Payload,
    ) -> None:
        if upstream.is_gone:
            return
        seconds = _overload_world.CALLER_SECONDS
        if payload.is_first:
            upstream.opened += 1
            opened = self.callers.take_opened
            self.clock.call(seconds, opened, payload.flow, upstream)
        elif payload.request is not None:
            upstream.take(payload.flow, payload.request)

    def _answer(
        self,
        upstream: _overload_upstream.ModelUpstream,
        flow: _overload_callers.CallerFlow,
        request: _overload_callers.Request,
        outcome: str,
    ) -> None:
        self.clock.call(
            _overload_world.CALLER_SECONDS,
            self.callers.handle_answer,
            flow,
            request,
            outcome,
            upstream.is_draining,
        )

    def _reset(self, instance: Instance, wanted: affinity.Reset) -> None:
        flow = self.callers.find(wanted.flow)
        seconds = _overload_world.CALLER_SECONDS
        self.clock.call(seconds, self.callers.take_reset, flow)

    def _list_mates(self, instance: Instance) -> list[Instance]:
        return [
            each
            for each in self._list_up()
            if each.zone == instance.zone and each is not instance
        ]

    def _ask_peers(
        self, instance: Instance, wanted: affinity.QueryPeers
    ) -> None:
        incarnations = (wanted.upstream.incarnation,)
        for mate in self._list_mates(instance):
            heard = mate.core.list_last_seen(self.clock.now, incarnations)
            self.clock.call(_WORD_SECONDS, self._take_heard, instance, heard)

    def _take_heard(self, instance: Instance, heard: dict) -> None:
        if instance.core is not None:
            instance.core.handle_last_seen(self.clock.now, heard)

    def _tell_peers(
        self, instance: Instance, wanted: affinity.NotifyPeers
    ) -> None:
        for mate in self._list_mates(instance):
            effects = mate.core.handle_unreachable(
                self.clock.now, (wanted.upstream.incarnation,)
            )
            self._perform(mate, effects)

    def _probe(self, instance: Instance, wanted: affinity.Probe) -> None:
        upstream = self.upstreams[wanted.upstream.number - 1]
        is_there = self._reaches(instance.zone, upstream.zone)
        outcome = affinity.ProbeOutcome.ALIVE
        seconds = 2 * _overload_world.FAR_SECONDS
        if not is_there:
            outcome = affinity.ProbeOutcome.SILENT
            seconds = wanted.timeout_seconds
        elif upstream.is_gone:
            outcome = affinity.ProbeOutcome.REFUSED
        self.clock.call(
            seconds, self._take_probe, instance, upstream.name, outcome
        )

    def _take_probe(self, instance: Instance, name: str, outcome: str) -> None:
        if instance.core is not None:
            now = self.clock.now
            effects = instance.core.handle_probe_result(now, name, outcome)
            self._perform(instance, effects)

    def _tick(self) -> None:
        now = self.clock.now
        for each in self._list_up():
            each.core.note_confirmed(now)
            self._perform(each, each.core.tick(now))
        self.clock.call(_TICK_SECONDS, self._tick)

    def _tell_loads(self) -> None:
        by_zone: dict[str, dict[int, int]] = {}
        for each in self._list_up():
            load = _list_load(each.core, self.clock.now)
            for mate in self._list_mates(each):
                self._pass_load(_WORD_SECONDS, mate, each.name, load)
            total = by_zone.setdefault(each.zone, {})
            for start, value in load.items():
                total[start] = _add_loads(value, total.get(start))
        for zone, load in by_zone.items():
            for each in self._list_up():
                is_other = each.zone != zone
                if is_other and self._reaches(zone, each.zone):
                    self._pass_load(_ZONE_LOAD_SECONDS, each, zone, load)
        self.clock.call(_LOAD_SECONDS, self._tell_loads)

    def _pass_load(
        self, seconds: float, instance: Instance, source: str, load: dict
    ) -> None:
        self.clock.call(seconds, self._take_load, instance, source, load)

    def _take_load(self, instance: Instance, source: str, load: dict) -> None:
        if instance.core is not None:
            instance.core.handle_load(self.clock.now, source, load)


def _add_loads(one: object, other: object) -> object:
    if other is None:
        return one
    return one + other if isinstance(one, int) else one.add(other)


def _list_load(core: affinity.AffinityCore, now: float) -> dict[int, int]:
    # Earlier versions, which are measured beside this one, tell flows.
    if hasattr(core, 'list_loads'):
        return core.list_loads(now)
    return core.list_flows()
