"""Test environment: instances and stand-ins on loopback."""

from __future__ import annotations

import itertools
import pathlib
import random
import signal
import socket
import time

from skylarkfold import reactor
from skylarkfold.soak import _instance
from skylarkfold.soak import _invariants
from skylarkfold.standin import packets

# Time until a request without an answer fails.
DEADLINE_SECONDS = 2.0

_PORT_COUNT = 10
# Below the ephemeral ports of Linux.
_PORT_RANGE = (12000, 32000)
_DRAIN_SECONDS = 4.0
# Interval of the check whether all requests have ended.
_POLL_SECONDS = 0.05

SERVICES = ('desk', 'vault')
# Virtual address, service, and whether its requests may be repeated.
ROUTES = (
    (('198.51.100.1', 443), 'desk', True),
    (('198.51.100.1', 444), 'desk', False),
    (('198.51.100.2', 443), 'vault', True),
)
PROBE_ADDRESS = ('198.51.100.9', 443)
# The host of routes that are added and dropped while they are used.
_ADDED_HOST = '198.51.100.7'
_FIRST_ADDED_PORT = 1000


class Environment:
    """Instances, store, upstreams, callers and routers of a run.

    :param folder: the folder for settings and logs.
    :param seed: the seed of random choices.
    :param zones: the number of instances by zone.
    :param upstreams: the number of upstreams of each service in each zone.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        seed: int,
        zones: dict[str, int],
        upstreams: int = 2,
    ) -> None:
        self.loop = reactor.Loop()
        self.judge = _invariants.InvariantChecker()
        self.random = random.Random(seed)
        self.store = packets.ObjectStore()
        self.instances: list[_instance.Instance] = []
        self.upstreams: list[packets.Upstream] = []
        # Upstreams whose store entries were deleted.
        self.forgotten: set[packets.Upstream] = set()
        self.callers: list[packets.Caller] = []
        self.routes = ROUTES
        self.version = 0
        self.has_probe_route = False
        # Addresses of added routes that are in force.
        self._added: list[tuple[str, int]] = []
        self._added_ports = itertools.count(_FIRST_ADDED_PORT)
        # Zones that are evacuated.
        self.evacuated: set[str] = set()
        # No new request begins, but open requests may be retried.
        self.is_ending = False
        self.is_over = False
        self._upstream_numbers = itertools.count(1)
        self._request_numbers = itertools.count(1)
        self._port_reservation, self._base_port = _reserve_ports()
        self._faults_by_host: dict[str, str] = {}
        self.server = packets.StoreServer(
            self.loop, ('127.0.0.1', 0), self.store
        )
        self.server.fault = lambda host: self._faults_by_host.get(host, '')
        # Relays between instances and the store, by instance host.
        self.store_relays: dict[str, packets.FaultyRelay] = {}
        self.fabric = packets.Fabric(self.loop, random.Random(seed))
        self._folder = folder
        for number, (zone, count) in enumerate(zones.items()):
            self._build_zone(number + 1, zone, count, upstreams)

    @property
    def zones(self) -> list[str]:
        """Names of all availability zones, sorted."""
        return sorted({each.zone for each in self.instances})

    def start(self) -> None:
        """Write the first configuration and start all instances."""
        self.configure()
        seeds = [each.host for each in self.instances[:3]]
        for instance in self.instances:
            relay = packets.FaultyRelay(
                self.loop, instance.host, self.server.address
            )
            self.store_relays[instance.host] = relay
            instance.configure(
                self._base_port, seeds, relay.address, self.zones
            )
            self.fabric.add(
                instance.name,
                instance.zone,
                (instance.host, self._base_port),
                (instance.host, self._base_port + 1),
            )
            instance.start()

    def configure(self) -> None:
        """Write a configuration with a higher version."""
        self.version += self.random.randint(1, 5)
        self.write_configuration()

    def write_configuration(self) -> None:
        """Write the configuration under the current version."""
        routes = [*ROUTES]
        if self.has_probe_route:
            routes.append((PROBE_ADDRESS, 'desk', True))
        # Requests on them may run once only, so that a reset loses them.
        routes += [(address, 'desk', False) for address in self._added]
        for address, service, _ in routes:
            self.judge.allow(address, service)
        self.store.put(
            'config',
            'main',
            {
                'version': self.version,
                'routes': [
                    {
                        'name': f'r-{number}',
                        'host': address[0],
                        'path_prefix': f'/{address[1]}/',
                        'type': (
                            'idempotent' if may_repeat else 'non_idempotent'
                        ),
                        'priority': number,
                        'service': service,
                        'timeout_ms': 1000 + self.version,
                    }
                    for number, (address, service, may_repeat) in enumerate(
                        routes
                    )
                ],
                'services': [],
                'limits': {'idle_timeout_ms': 15000},
            },
        )

    def add_route(self) -> tuple[str, int]:
        """Add a route and return its address."""
        address = (_ADDED_HOST, next(self._added_ports))
        self._added.append(address)
        self.configure()
        return address

    def drop_route(self, address: tuple[str, int]) -> None:
        """Drop an added route; its flows may be reset from now on."""
        self._added.remove(address)
        self.judge.note_dropped(address)
        self.configure()

    def add_upstream(
        self, service: str, zone: str, address: tuple[str, int] | None = None
    ) -> packets.Upstream:
        """Start an upstream and register it.

        :param service: the upstream's service.
        :param zone: its zone.
        :param address: its address; a new one if None.
        :returns: the upstream.
        """
        number = next(self._upstream_numbers)
        if address is None:
            address = (f'127.2.0.{number}', self._base_port)
        upstream = packets.Upstream(
            self.loop,
            f'i-{number:04x}{self.random.getrandbits(24):06x}',
            service,
            zone,
            address,
            self._base_port,
        )
        self._track_upstream(upstream)
        self.register(upstream)
        return upstream

    def restart_upstream(self, former: packets.Upstream) -> packets.Upstream:
        """Restart a stopped upstream under its name and address.

        The upstream is not registered.

        :param former: the stopped upstream.
        :returns: the restarted upstream.
        """
        upstream = packets.Upstream(
            self.loop,
            former.name,
            former.service,
            former.zone,
            former.address,
            self._base_port,
            born=int(time.time() * 1000),
        )
        self._track_upstream(upstream)
        return upstream

    def _track_upstream(self, upstream: packets.Upstream) -> None:
        upstream.ran = lambda _, request: self.judge.note_run(request)
        upstream.was_opened = lambda each: self.judge.note_open(
            each, self.loop.now()
        )
        self.upstreams.append(upstream)

    def register(self, upstream: packets.Upstream) -> None:
        """Write an upstream's entry to the store."""
        self.forgotten.discard(upstream)
        self.store.put('servers', upstream.name, upstream.describe())

    def forget(self, upstream: packets.Upstream) -> None:
        """Delete an upstream's entry from the store."""
        self.forgotten.add(upstream)
        self.store.delete('servers', upstream.name)

    def drain(self, upstream: packets.Upstream) -> None:
        """Drain an upstream and stop it after a delay."""
        upstream.is_draining = True
        self.register(upstream)
        self.judge.note_drain(upstream.name, self.loop.now())
        self.loop.call_later(
            _DRAIN_SECONDS, lambda: self._stop_drained(upstream)
        )

    def evacuate(self, zone: str, seconds: float) -> None:
        """Evacuate a zone for a while, so that it gets no new flow.

        :param zone: the zone.
        :param seconds: the duration of the evacuation.
        """
        self.evacuated.add(zone)
        self.store.put('evacuations', zone, {})
        self.judge.note_evacuation(zone, self.loop.now())
        self.loop.call_later(seconds, lambda: self._end_evacuation(zone))

    def _end_evacuation(self, zone: str) -> None:
        self.evacuated.discard(zone)
        self.judge.note_evacuation(zone, None)
        self.store.delete('evacuations', zone)

    def list_upstreams(self, service: str = '') -> list[packets.Upstream]:
        """List the running upstreams that are not draining."""
        return [
            each
            for each in self.upstreams
            if not each.is_ended
            and not each.is_draining
            and service in ('', each.service)
        ]

    def set_fault(self, fault: str, hosts: list[str]) -> None:
        """Set the fault that the store shows to some instances.

        :param fault: a fault of the stand-in; empty for none.
        :param hosts: the hosts of the instances.
        """
        for host in hosts:
            if fault:
                self._faults_by_host[host] = fault
            else:
                self._faults_by_host.pop(host, None)

    def name_request(self) -> bytes:
        """Return a unique request."""
        return next(self._request_numbers).to_bytes(8, 'big')

    def find_upstream(self, token: int) -> packets.Upstream | None:
        """Return the first upstream that a flow's token identifies."""
        matches = self._list_by_token(token)
        return matches[0] if matches else None

    def find_holder(self, flow: packets.Flow) -> packets.Upstream | None:
        """Return the upstream that holds a flow.

        :param flow: the flow.
        :returns: the upstream; None if the token does not identify exactly
            one upstream and none of the candidates holds the flow.
        """
        matches = self._list_by_token(flow.upstream_echo)
        if len(matches) == 1:
            return matches[0]
        for each in matches:
            if each.holds(flow.source, flow.address):
                return each
        return None

    def _list_by_token(self, token: int) -> list[packets.Upstream]:
        return [
            each
            for each in self.upstreams
            if int(each.name[2:], 16) & 0xFFFFFFFF == token
        ]

    def finish(self) -> None:
        """Begin no more requests and stop once the open ones have ended."""
        self.is_ending = True
        self._stop_when_idle(self.loop.now() + DEADLINE_SECONDS)

    def _stop_when_idle(self, deadline: float) -> None:
        if not self.judge.waiting or self.loop.now() >= deadline:
            self.loop.stop()
            return
        self.loop.call_later(
            _POLL_SECONDS, lambda: self._stop_when_idle(deadline)
        )

    def end(self) -> None:
        """Stop all processes and stand-ins and release the ports."""
        self.is_over = True
        for instance in self.instances:
            instance.end()
        for upstream in self.upstreams:
            upstream.end()
            upstream.release()
        for caller in self.callers:
            caller.close()
        self.fabric.close()
        for relay in self.store_relays.values():
            relay.close()
        self.server.close()
        self._port_reservation.close()
        self.loop.close()

    def _stop_drained(self, upstream: packets.Upstream) -> None:
        self.forget(upstream)
        self.loop.call_later(0.3, upstream.end)

    def _build_zone(
        self, number: int, zone: str, count: int, upstreams: int
    ) -> None:
        for index in range(count):
            self.instances.append(
                _instance.Instance(
                    self.loop,
                    self._folder,
                    f'entry-{zone}-{index}',
                    zone,
                    f'127.1.{number}.{index + 1}',
                )
            )
        for service in SERVICES:
            for _ in range(upstreams):
                self.add_upstream(service, zone)
        caller = packets.Caller(
            self.loop,
            f'127.3.{number}.1',
            self._base_port,
            lambda source, address, data: self.fabric.send(
                zone, source, address, data
            ),
        )
        caller.zone = zone
        self.callers.append(caller)

    def kill_all(self) -> None:
        """Kill all instances at once."""
        for instance in self.instances:
            instance.send(signal.SIGKILL)


def _reserve_ports() -> tuple[socket.socket, int]:
    """Reserve a range of ports that no other run on this machine uses.

    All runs share the same hosts. Ephemeral ports are excluded, since an
    outgoing connection to the store might take the port of an instance that
    is being restarted.

    :returns: the socket that holds the reservation, and the first port.
    """
    generator = random.Random()
    while True:
        base_port = generator.randrange(*_PORT_RANGE, _PORT_COUNT)
        reservation = socket.socket()
        try:
            reservation.bind(('127.0.0.1', base_port))
        except OSError:
            # Another run has reserved the range.
            reservation.close()
            continue
        return reservation, base_port
