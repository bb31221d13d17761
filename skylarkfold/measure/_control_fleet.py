"""Instances that exchange real messages on a virtual clock.

Each instance is a :class:`skylarkfold.node.Node` with its membership and
its distribution. Every message passes the codec; the network between them
delays and loses messages and can be cut.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import functools
import heapq
import itertools
import random
import time

from skylarkfold import codec
from skylarkfold import distribution
from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold import event
from skylarkfold import instance as instance_module
from skylarkfold.measure import _control_platform
from skylarkfold import member
from skylarkfold import membership
from skylarkfold import node as node_module
from skylarkfold import platform_api

TICK_SECONDS = 0.25
# TCP and IP headers with timestamps (52), a TLS record (22) and a share of
# the acknowledgements (26) for all messages to one peer of one moment.
FRAME_BYTES = 100
DELAY_WITHIN_SECONDS = 0.0005
DELAY_BETWEEN_SECONDS = 0.0015
MESSAGES = membership.MESSAGES | distribution.MESSAGES

_State = member.MemberState


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """A zone in its region."""

    zone: str
    region: str


class Host:
    """One instance and what is observed of it."""

    __slots__ = (
        'applied',
        'decoder',
        'distribution',
        'is_paused',
        'membership',
        'name',
        'node',
        'reached',
        'received_bytes',
        'reverts',
        'sent_bytes',
        'settings',
        'spent_nanoseconds',
    )

    def __init__(
        self,
        settings: instance_module.InstanceSettings,
        membership_settings: membership.MembershipSettings,
        distribution_settings: distribution.DistributionSettings,
        incarnation: int,
        seed: int,
    ) -> None:
        self.name = settings.name
        self.settings = settings
        self.membership = membership.MembershipCore(
            settings, membership_settings, incarnation, seed
        )
        self.distribution = distribution.DistributionCore(
            settings, distribution_settings, seed
        )
        self.node = node_module.Node(
            [
                node_module.CoreBinding(
                    self.membership,
                    node_module.list_message_types(membership.MESSAGES),
                    membership.FIRST_CALL_NUMBER,
                ),
                node_module.CoreBinding(
                    self.distribution,
                    node_module.list_message_types(distribution.MESSAGES),
                    distribution.FIRST_CALL_NUMBER,
                ),
                node_module.CoreBinding(self),
            ]
        )
        self.decoder = codec.StreamDecoder(MESSAGES)
        self.is_paused = False
        self.applied: dict[str, platform_api.StoredObject] = {}
        self.reached: list[tuple[float, int]] = []
        self.reverts = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.spent_nanoseconds = 0

    def handle(self, now: float, received: object) -> list[object]:
        """Take what a subsystem of the instance would take."""
        if isinstance(received, event.ObjectChanged):
            self._apply(received.stored)
        elif isinstance(received, event.RevisionReached):
            self.reached.append((now, received.revision))
        return []

    def _apply(self, changed: platform_api.StoredObject) -> None:
        known = self.applied.get(changed.path)
        if known is not None and changed.revision <= known.revision:
            self.reverts += 1
        self.applied[changed.path] = changed


class Fleet:
    """All instances, the network and the platform.

    :param seed: decides delays, losses and the instances' jitter.
    :param platform: the platform.
    :param loss: the share of messages that the network loses.
    """

    def __init__(
        self,
        seed: int,
        platform: _control_platform.Platform,
        loss: float = 0.0,
        membership_settings: membership.MembershipSettings | None = None,
        distribution_settings: (
            distribution.DistributionSettings | None
        ) = None,
    ) -> None:
        self.now = 0.0
        self.platform = platform
        self.loss = loss
        self.hosts: dict[str, Host] = {}
        self.cut_zones: set[str] = set()
        self.cut_hosts: set[str] = set()
        self.cut_pairs: set[frozenset[str]] = set()
        self.attempts = 0
        self.observe: Callable[[Host, object], None] = _ignore
        self._membership_settings = (
            membership_settings or membership.MembershipSettings()
        )
        self._distribution_settings = (
            distribution_settings or distribution.DistributionSettings()
        )
        self._random = random.Random(seed)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._ports = itertools.count(1)
        self._streams: set[tuple[str, str]] = set()
        self._addresses: dict[str, str] = {}
        self._schedule(0.0, self._tick_platform)

    def start(self, name: str, place: Place, incarnation: int = 1) -> Host:
        """Start an instance that knows nothing.

        :param name: its name.
        :param place: where it runs.
        :param incarnation: higher than that of an earlier one.
        :returns: the instance.
        """
        port = next(self._ports)
        host_number, port = divmod(port, 60000)
        address = endpoint.Endpoint(f'10.0.0.{host_number + 1}', port + 1)
        settings = instance_module.InstanceSettings(
            name, place.zone, place.region, address
        )
        started = Host(
            settings,
            self._membership_settings,
            self._distribution_settings,
            incarnation,
            self._random.getrandbits(32),
        )
        self.hosts[name] = started
        self._addresses[str(address)] = name
        phase = self._random.uniform(0, TICK_SECONDS)
        self._schedule(self.now + phase, self._tick, started)
        return started

    def kill(self, name: str, is_told: bool = False) -> None:
        """End an instance without a word.

        :param name: the instance.
        :param is_told: whether its peers see their streams end.
        """
        del self.hosts[name]
        for pair in [each for each in self._streams if name in each]:
            self._streams.discard(pair)
            peer = pair[0] if pair[1] == name else pair[1]
            if is_told and peer in self.hosts:
                lost = event.PeerLost(name)
                self._feed(self.hosts[peer], lost)

    def tell(self, name: str, received: object) -> None:
        """Let an instance take an event unless it is paused.

        :param name: the instance.
        :param received: the event.
        """
        self._feed_alive(self.hosts[name], received)

    def list_instances(self) -> tuple[platform_api.ListedInstance, ...]:
        """List the running instances as the platform would."""
        return tuple(
            platform_api.ListedInstance(
                each.name,
                each.settings.zone,
                each.settings.region,
                str(each.settings.peer_address),
            )
            for each in self.hosts.values()
        )

    def run(self, seconds: float) -> None:
        """Let time pass.

        :param seconds: how much.
        """
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, act = heapq.heappop(self._queue)
            act()
        self.now = end

    def call_at(self, when: float, act: Callable[[], None]) -> None:
        """Let something happen at a time.

        :param when: the time in seconds.
        :param act: what happens.
        """
        self._schedule(when, act)

    def is_connected(self, one: str, other: str) -> bool:
        """Tell whether the network lets two instances talk."""
        if one in self.cut_hosts or other in self.cut_hosts:
            return False
        if frozenset((one, other)) in self.cut_pairs:
            return False
        zones = {
            self.hosts[one].settings.zone,
            self.hosts[other].settings.zone,
        }
        return len(zones) == 1 or not zones & self.cut_zones

    def _schedule(
        self, when: float, act: Callable[..., None], *arguments: object
    ) -> None:
        bound = functools.partial(act, *arguments) if arguments else act
        heapq.heappush(self._queue, (when, next(self._numbers), bound))

    def _tick_platform(self) -> None:
        self.platform.tick(self.now)
        self._schedule(self.now + TICK_SECONDS, self._tick_platform)

    def _tick(self, host: Host) -> None:
        if self.hosts.get(host.name) is not host:
            return
        self._schedule(self.now + TICK_SECONDS, self._tick, host)
        if not host.is_paused:
            self._feed(host, event.Tick())

    def _feed(self, host: Host, received: object) -> None:
        began = time.thread_time_ns()
        effects = host.node.handle(self.now, received)
        host.spent_nanoseconds += time.thread_time_ns() - began
        self._perform(host, effects)

    def _perform(self, host: Host, effects: list[object]) -> None:
        frames: dict[str, bytearray] = {}
        for produced in effects:
            if isinstance(produced, effect.SendToPeer):
                began = time.thread_time_ns()
                data = codec.encode(produced.message)
                host.spent_nanoseconds += time.thread_time_ns() - began
                frames.setdefault(produced.peer, bytearray()).extend(data)
            elif isinstance(produced, effect.CallPlatform):
                self._call(host, produced)
            self.observe(host, produced)
        for peer, data in frames.items():
            self._send(host, peer, bytes(data))

    def _send(self, host: Host, peer: str, data: bytes) -> None:
        name = self._addresses.get(peer, peer)
        host.sent_bytes += len(data) + FRAME_BYTES
        target = self.hosts.get(name)
        if target is None or not self.is_connected(host.name, name):
            return
        if self._random.random() < self.loss:
            return
        self._connect(host, target)
        is_near = host.settings.zone == target.settings.zone
        delay = DELAY_WITHIN_SECONDS if is_near else DELAY_BETWEEN_SECONDS
        self._schedule(
            self.now + delay, self._deliver, host.name, target, data
        )

    def _connect(self, host: Host, target: Host) -> None:
        pair = (min(host.name, target.name), max(host.name, target.name))
        if pair in self._streams:
            return
        self._streams.add(pair)
        for one, other in ((host, target), (target, host)):
            connected = event.PeerConnected(other.name)
            self._schedule(self.now, self._feed_alive, one, connected)

    def _feed_alive(self, host: Host, received: object) -> None:
        if self.hosts.get(host.name) is host and not host.is_paused:
            self._feed(host, received)

    def _deliver(self, sender: str, host: Host, data: bytes) -> None:
        if self.hosts.get(host.name) is not host:
            return
        host.received_bytes += len(data) + FRAME_BYTES
        if host.is_paused:
            return
        began = time.thread_time_ns()
        messages = list(host.decoder.feed(data))
        host.spent_nanoseconds += time.thread_time_ns() - began
        for message in messages:
            self._feed(host, event.PeerMessageReceived(sender, message))

    def _call(self, host: Host, wanted: effect.CallPlatform) -> None:
        self.attempts += 1
        is_cut = host.settings.zone in self.cut_zones
        call = _Call(self, host, wanted.call)
        self._schedule(
            self.now + wanted.timeout_seconds, call.take, _NO_ANSWER
        )
        if not is_cut and host.name not in self.cut_hosts:
            self.platform.call(self.now, wanted.request, call.take_at)


class _Call:
    """A platform call that ends once, by its answer or its timeout."""

    __slots__ = ('_fleet', '_host', '_is_ended', '_number')

    def __init__(self, fleet: Fleet, host: Host, number: int) -> None:
        self._fleet = fleet
        self._host = host
        self._number = number
        self._is_ended = False

    def take_at(
        self, when: float, answer: platform_api.PlatformAnswer
    ) -> None:
        if self._host.settings.zone not in self._fleet.cut_zones:
            self._fleet._schedule(when, self.take, answer)

    def take(self, answer: platform_api.PlatformAnswer) -> None:
        if self._is_ended:
            return
        self._is_ended = True
        answered = event.PlatformAnswered(self._number, answer)
        self._fleet._feed_alive(self._host, answered)


_NO_ANSWER = platform_api.PlatformAnswer(platform_api.PlatformStatus.UNKNOWN)


def _ignore(host: Host, produced: object) -> None:
    """Observe nothing."""
