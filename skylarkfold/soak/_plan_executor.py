"""Execution of a plan's steps on the environment."""

from __future__ import annotations

from collections.abc import Callable
import functools
import re
import signal

from skylarkfold import reactor
from skylarkfold.soak import _environment
from skylarkfold.soak import _plan
from skylarkfold.soak import _session
from skylarkfold.soak import _store_restore
from skylarkfold.standin import packets

_SLOW_STORE_SECONDS = 0.5
_STORE_DELAY_SECONDS = 0.3
_METRICS_TIMEOUT_SECONDS = 0.3
# Shorter than the time in which instances detect that an upstream is gone.
_RESTART_SECONDS = 0.03
# Interval at which invalid entries are rewritten, and their invalid fields.
_FOREIGN_WRITE_SECONDS = 0.3
_INVALID_FIELDS: tuple[dict[str, object], ...] = (
    {'state': 'paused'},
    {'max_concurrency': 2**70},
    {'address': '10.1:80'},
    {'zone': '\ud800'},
    {'born': 'now'},
    {'service': ['desk']},
)
# Parts of entries that are not valid JSON, and how many an entry has at most.
_DAMAGED_PARTS = (
    *(b'{', b'}', b'[', b']', b'"', b':', b',', b'\\', b'1', b'null'),
    *(b'\x00', b'\x9f\xff', b'"state":"ready"', b'9' * 5000, b'[' * 2000),
    *(b'},{"meta":{"name":"', b']', b',"current_rev":99}'),
)
_MAX_DAMAGED_PARTS = 6
# Names before, between and after those of upstreams.
_DAMAGED_NAMES = ('a-1', 'i-0003', 'z-1', 'z-2')
# Extra sessions of the overloading caller at a share of 1, and how many times
# the usual request rate each of them has.
_OVERLOAD_SESSIONS = 30
_OVERLOAD_RATE_FACTOR = 8.0
# Share of packets lost on the way to an affected instance.
_PACKET_LOSS_SHARE = 0.4
# Intervals between two restarts and between two additions of routes beside
# them, and how long such a route lasts.
_RESTART_INTERVAL_SECONDS = 3.0
_ADDITION_INTERVAL_SECONDS = 0.3
_ROUTE_SECONDS = 1.0
# Sessions of each caller on such a route, and their rate.
_ROUTE_SESSIONS = 5
_ROUTE_RATE_FACTOR = 8.0
_VERSION = re.compile(r'^skylarkfold_version (\S+)$', re.MULTILINE)


class PlanExecutor:
    """Executor of a plan's steps.

    :param environment: the environment that the steps change.
    """

    def __init__(self, environment: _environment.Environment) -> None:
        self._environment = environment
        self._store_restorer = _store_restore.StoreRestorer(environment)
        self._handlers: dict[str, Callable[[_plan.Step], object]] = {
            'kill': self._kill,
            'freeze': self._freeze,
            'kill-all': lambda step: environment.kill_all(),
            'store-silent': lambda step: self._set_store_fault(step, 'silent'),
            'store-busy': lambda step: self._set_store_fault(step, 'busy'),
            'store-many': lambda step: self._set_store_fault(step, 'many'),
            'store-reset': lambda step: self._set_store_fault(step, 'reset'),
            'store-slow': self._slow_store,
            'store-forgets': lambda step: environment.store.forget(),
            'store-delayed': lambda step: self._degrade_relays(
                step, 'delay_seconds', _STORE_DELAY_SECONDS, 0.0
            ),
            'store-one-way': lambda step: self._degrade_relays(
                step, 'is_one_way', True, False
            ),
            'connections-silent': self._silence_connections,
            'connections-reset': self._reset_connections,
            'upstream-crash': lambda step: self._crash_upstream(step, False),
            'upstream-dark': lambda step: self._crash_upstream(step, True),
            'upstream-reused': self._reuse_address,
            'term': self._terminate,
            'hangup': self._reload_settings,
            'tear-settings': self._truncate_settings,
            'drain': self._drain_upstream,
            'add-upstream': self._add_upstream,
            'change-timeouts': lambda step: environment.configure(),
            'add-route': lambda step: self._set_probe_route(True),
            'remove-route': lambda step: self._set_probe_route(False),
            'storm': self._reconfigure_in_burst,
            'upstream-restarted': lambda step: self._restart_upstream(
                step, 0.0
            ),
            'upstream-restarted-late': lambda step: self._restart_upstream(
                step, step.seconds
            ),
            'entries-foreign': self._write_invalid_entries,
            'entries-damaged': self._write_damaged_entries,
            'start-beside-damage': self._start_beside_damage,
            'zone-evacuated': self._evacuate_zones,
            'evacuations-foreign': self._write_invalid_evacuations,
            'caller-presses': self._overload,
            'link-loses': self._lose_packets,
            'routes-beside-restarts': self._change_routes_beside_restarts,
            'store-returns': lambda step: (
                self._store_restorer.restore_after_outage(step.seconds)
            ),
        }

    def perform(self, step: _plan.Step) -> None:
        """Perform one step."""
        now = self._environment.loop.now()
        if step.kind in _plan.UNPLANNED + _plan.ENDINGS:
            self._environment.judge.note_fault(now, now + step.seconds)
        if step.kind in _plan.STORE_RESTORES:
            self._environment.judge.note_return(now, now + step.seconds)
        self._handlers[step.kind](step)

    def request_versions(self) -> None:
        """Request every instance's configuration version and check it."""
        for instance in self._environment.instances:
            client = reactor.HttpClient(
                self._environment.loop, instance.metrics_address
            )
            client.request(
                'GET',
                '/metrics',
                b'',
                _METRICS_TIMEOUT_SECONDS,
                functools.partial(self._check_version, instance.name),
            )

    def _check_version(self, name: str, reply: reactor.Reply) -> None:
        match = _VERSION.search(reply.body.decode())
        version = int(float(match[1])) if match else None
        if version != self._environment.version:
            self._environment.judge.broken.append(
                f'{name} has version {version} in force in the end, not '
                f'{self._environment.version} (status {reply.status})'
            )

    def _sample(self, items: list, share: float) -> list:
        count = max(1, round(share * len(items))) if items else 0
        return self._environment.random.sample(items, count)

    def _kill(self, step: _plan.Step) -> None:
        for instance in self._sample(self._environment.instances, step.share):
            instance.send(signal.SIGKILL)

    def _freeze(self, step: _plan.Step) -> None:
        for instance in self._sample(self._environment.instances, step.share):
            instance.send(signal.SIGSTOP)
            self._environment.loop.call_later(
                step.seconds,
                lambda instance=instance: instance.send(signal.SIGCONT),
            )

    def _terminate(self, step: _plan.Step) -> None:
        # Only one at a time: five instances tolerate no second planned stop.
        (instance,) = self._sample(self._environment.instances[:4], 0.01)
        instance.send(signal.SIGTERM)

    def _overload(self, step: _plan.Step) -> None:
        environment = self._environment
        caller = environment.random.choice(environment.callers)
        until = environment.loop.now() + step.seconds
        for _ in range(round(step.share * _OVERLOAD_SESSIONS)):
            _session.Session(
                environment, caller, until, _OVERLOAD_RATE_FACTOR
            ).begin()

    def _lose_packets(self, step: _plan.Step) -> None:
        fabric = self._environment.fabric
        for instance in self._sample(self._environment.instances, step.share):
            fabric.set_loss(instance.name, _PACKET_LOSS_SHARE)
            self._environment.loop.call_later(
                step.seconds,
                functools.partial(fabric.set_loss, instance.name, 0.0),
            )

    def _reload_settings(self, step: _plan.Step) -> None:
        for instance in self._sample(self._environment.instances, step.share):
            instance.send(signal.SIGHUP)

    def _truncate_settings(self, step: _plan.Step) -> None:
        for instance in self._sample(self._environment.instances, step.share):
            instance.truncate_settings(0.3)
            instance.send(signal.SIGHUP)

    def _set_store_fault(self, step: _plan.Step, fault: str) -> None:
        chosen = self._sample(self._environment.instances, step.share)
        hosts = [instance.host for instance in chosen]
        self._environment.set_fault(fault, hosts)
        self._environment.loop.call_later(
            step.seconds, lambda: self._environment.set_fault('', hosts)
        )

    def _sample_relays(self, step: _plan.Step) -> list[packets.FaultyRelay]:
        chosen = self._sample(self._environment.instances, step.share)
        return [
            self._environment.store_relays[instance.host]
            for instance in chosen
        ]

    def _degrade_relays(
        self, step: _plan.Step, name: str, degraded: object, normal: object
    ) -> None:
        for relay in self._sample_relays(step):
            setattr(relay, name, degraded)
            self._environment.loop.call_later(
                step.seconds, functools.partial(setattr, relay, name, normal)
            )

    def _silence_connections(self, step: _plan.Step) -> None:
        for relay in self._sample_relays(step):
            relay.silence()

    def _reset_connections(self, step: _plan.Step) -> None:
        for relay in self._sample_relays(step):
            relay.reset()

    def _slow_store(self, step: _plan.Step) -> None:
        server = self._environment.server
        server.delay_seconds = _SLOW_STORE_SECONDS
        self._environment.loop.call_later(
            step.seconds, lambda: setattr(server, 'delay_seconds', 0.004)
        )

    def _crash_upstream(self, step: _plan.Step, is_silent: bool) -> None:
        upstream = self._choose_redundant_upstream()
        if upstream is None:
            return
        if is_silent:
            upstream.fall_silent()
        else:
            upstream.end()
        self._environment.loop.call_later(
            3.6, lambda: self._environment.forget(upstream)
        )

    def _restart_upstream(
        self, step: _plan.Step, registration_delay: float
    ) -> None:
        """Restart an upstream under its name and register it after a delay."""
        upstream = self._choose_redundant_upstream()
        if upstream is None:
            return
        upstream.end()
        environment = self._environment

        def start_successor() -> None:
            successor = environment.restart_upstream(upstream)
            environment.loop.call_later(
                registration_delay, lambda: environment.register(successor)
            )

        environment.loop.call_later(_RESTART_SECONDS, start_successor)

    def _write_invalid_entries(self, step: _plan.Step) -> None:
        """Rewrite invalid upstream entries periodically, then delete them."""
        store = self._environment.store
        entry = self._environment.random.choice(
            self._environment.upstreams
        ).describe()
        names = [
            f'x-{number:x}' for number in range(1, len(_INVALID_FIELDS) + 1)
        ]
        sequences = range(int(step.seconds / _FOREIGN_WRITE_SECONDS) + 1)

        def write_entries(sequence: int) -> None:
            for name, invalid_fields in zip(
                names, _INVALID_FIELDS, strict=True
            ):
                store.put(
                    'servers',
                    name,
                    {**entry, 'sequence': sequence, **invalid_fields},
                )

        def delete_entries() -> None:
            for name in names:
                store.delete('servers', name)

        for sequence in sequences:
            self._environment.loop.call_later(
                sequence * _FOREIGN_WRITE_SECONDS,
                functools.partial(write_entries, sequence),
            )
        self._environment.loop.call_later(
            step.seconds + _FOREIGN_WRITE_SECONDS, delete_entries
        )

    def _write_damaged_entries(self, step: _plan.Step) -> None:
        """Rewrite entries that are not valid JSON, then delete them."""
        store = self._environment.store
        draw = self._environment.random

        def write_entries() -> None:
            for name in _DAMAGED_NAMES:
                count = draw.randint(0, _MAX_DAMAGED_PARTS)
                value = b''.join(draw.choices(_DAMAGED_PARTS, k=count))
                store.put('servers', name, value)
                store.put('evacuations', name, value)

        def delete_entries() -> None:
            for name in _DAMAGED_NAMES:
                store.delete('servers', name)
                store.delete('evacuations', name)

        write_entries()
        for number in range(1, int(step.seconds / _FOREIGN_WRITE_SECONDS)):
            self._environment.loop.call_later(
                number * _FOREIGN_WRITE_SECONDS, write_entries
            )
        self._environment.loop.call_later(step.seconds, delete_entries)

    def _start_beside_damage(self, step: _plan.Step) -> None:
        self._write_damaged_entries(step)
        self._environment.kill_all()

    def _evacuate_zones(self, step: _plan.Step) -> None:
        for zone in self._sample(self._environment.zones, step.share):
            self._environment.evacuate(zone, step.seconds)

    def _write_invalid_evacuations(self, step: _plan.Step) -> None:
        """Write evacuation entries that are invalid or name no zone."""
        store = self._environment.store
        store.put('evacuations', 'nowhere', {})
        for zone in self._environment.zones:
            if not store.has('evacuations', zone):
                store.put('evacuations', zone, 'no map')

    def _reuse_address(self, step: _plan.Step) -> None:
        upstream = self._choose_redundant_upstream()
        if upstream is None:
            return
        upstream.end()
        others = [
            each for each in _environment.SERVICES if each != upstream.service
        ]

        def take_address() -> None:
            self._environment.forget(upstream)
            self._environment.add_upstream(
                others[0], upstream.zone, upstream.address
            )

        self._environment.loop.call_later(2.0, take_address)

    def _drain_upstream(self, step: _plan.Step) -> None:
        upstream = self._choose_redundant_upstream()
        if upstream is not None:
            self._environment.drain(upstream)

    def _choose_redundant_upstream(self) -> packets.Upstream | None:
        """Choose an upstream of a service that has more than two."""
        candidates = [
            each
            for each in self._environment.list_upstreams()
            if len(self._environment.list_upstreams(each.service)) > 2
        ]
        return (
            self._environment.random.choice(candidates) if candidates else None
        )

    def _add_upstream(self, step: _plan.Step) -> None:
        self._environment.add_upstream(
            self._environment.random.choice(_environment.SERVICES),
            self._environment.random.choice(self._environment.zones),
        )

    def _set_probe_route(self, has_route: bool) -> None:
        self._environment.has_probe_route = has_route
        self._environment.configure()

    def _change_routes_beside_restarts(self, step: _plan.Step) -> None:
        environment = self._environment
        for number in range(int(step.seconds / _ADDITION_INTERVAL_SECONDS)):
            environment.loop.call_later(
                number * _ADDITION_INTERVAL_SECONDS, self._use_new_route
            )
        for number in range(
            max(1, int(step.seconds / _RESTART_INTERVAL_SECONDS))
        ):
            environment.loop.call_later(
                number * _RESTART_INTERVAL_SECONDS,
                lambda: self._terminate(step),
            )

    def _use_new_route(self) -> None:
        """Add a route, open flows on it at once, and drop it in use."""
        environment = self._environment
        address = environment.add_route()
        until = environment.loop.now() + _ROUTE_SECONDS
        for caller in environment.callers:
            for _ in range(_ROUTE_SESSIONS):
                _session.Session(
                    environment, caller, until, _ROUTE_RATE_FACTOR, address
                ).begin()
        environment.loop.call_later(
            _ROUTE_SECONDS, lambda: environment.drop_route(address)
        )

    def _reconfigure_in_burst(self, step: _plan.Step) -> None:
        for number in range(10):
            self._environment.loop.call_later(
                0.06 * number, self._environment.configure
            )
