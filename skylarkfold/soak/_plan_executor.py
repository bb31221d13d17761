"""What the steps of a plan do to the world."""

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

_SLOW_SECONDS = 0.5
_DELAY_SECONDS = 0.3
_ASK_SECONDS = 0.3
# One that is started again at once is back before anyone doubts it.
_RESTART_SECONDS = 0.03
# How often another writer changes what it left, and what is wrong with it.
_BEAT_SECONDS = 0.3
_FOREIGN: tuple[dict[str, object], ...] = (
    {'state': 'paused'},
    {'max_concurrency': 2**70},
    {'address': '10.1:80'},
    {'zone': '\ud800'},
    {'born': 'now'},
    {'service': ['desk']},
)
# One caller beside the others: sessions, how much oftener each asks.
_PRESSING_SESSIONS = 30
_PRESSING_HURRY = 8.0
# Of the packets to an instance whose link is full.
_LOSS_SHARE = 0.4
_VERSION = re.compile(r'^skylarkfold_version (\S+)$', re.MULTILINE)


class Director:
    """Performs the steps of a plan.

    :param world: what they happen to.
    """

    def __init__(self, world: _environment.Environment) -> None:
        self._world = world
        self._returns = _store_restore.Returns(world)
        self._steps: dict[str, Callable[[_plan.Step], object]] = {
            'kill': self._kill,
            'freeze': self._freeze,
            'kill-all': lambda step: world.kill_all(),
            'store-silent': lambda step: self._fault(step, 'silent'),
            'store-busy': lambda step: self._fault(step, 'busy'),
            'store-many': lambda step: self._fault(step, 'many'),
            'store-reset': lambda step: self._fault(step, 'reset'),
            'store-slow': self._slow,
            'store-forgets': lambda step: world.store.forget(),
            'store-delayed': lambda step: self._harm(
                step, 'delay_seconds', _DELAY_SECONDS, 0.0
            ),
            'store-one-way': lambda step: self._harm(
                step, 'is_one_way', True, False
            ),
            'connections-silent': self._silence,
            'connections-reset': self._break,
            'upstream-crash': lambda step: self._crash(step, False),
            'upstream-dark': lambda step: self._crash(step, True),
            'upstream-reused': self._reuse,
            'term': self._term,
            'hangup': self._hangup,
            'tear-settings': self._tear,
            'drain': self._drain,
            'add-upstream': self._add,
            'change-timeouts': lambda step: world.configure(),
            'add-route': lambda step: self._route(True),
            'remove-route': lambda step: self._route(False),
            'storm': self._storm,
            'upstream-restarted': lambda step: self._restart(step, 0.0),
            'upstream-restarted-late': lambda step: self._restart(
                step, step.seconds
            ),
            'entries-foreign': self._write_foreign,
            'zone-evacuated': self._evacuate,
            'evacuations-foreign': self._write_foreign_evacuations,
            'caller-presses': self._press,
            'link-loses': self._lose,
            'store-returns': lambda step: self._returns.come_back(
                step.seconds
            ),
        }

    def perform(self, step: _plan.Step) -> None:
        """Perform one step."""
        now = self._world.loop.now()
        if step.kind in _plan.UNPLANNED:
            self._world.judge.note_fault(now, now + step.seconds)
        if step.kind in _plan.RETURNS:
            self._world.judge.note_return(now, now + step.seconds)
        self._steps[step.kind](step)

    def ask_versions(self) -> None:
        """Ask all instances which version they have in force."""
        for instance in self._world.instances:
            client = reactor.HttpClient(
                self._world.loop, instance.metrics_address
            )
            client.request(
                'GET',
                '/metrics',
                b'',
                _ASK_SECONDS,
                functools.partial(self._judge_version, instance.name),
            )

    def _judge_version(self, name: str, reply: reactor.Reply) -> None:
        found = _VERSION.search(reply.body.decode())
        version = int(float(found[1])) if found else None
        if version != self._world.version:
            self._world.judge.broken.append(
                f'{name} has version {version} in force in the end, not '
                f'{self._world.version} (status {reply.status})'
            )

    def _choose(self, items: list, share: float) -> list:
        count = max(1, round(share * len(items))) if items else 0
        return self._world.random.sample(items, count)

    def _kill(self, step: _plan.Step) -> None:
        for instance in self._choose(self._world.instances, step.share):
            instance.send(signal.SIGKILL)

    def _freeze(self, step: _plan.Step) -> None:
        for instance in self._choose(self._world.instances, step.share):
            instance.send(signal.SIGSTOP)
            self._world.loop.call_later(
                step.seconds,
                lambda instance=instance: instance.send(signal.SIGCONT),
            )

    def _term(self, step: _plan.Step) -> None:
        # One at a time: a fleet of five has no more to spare.
        (instance,) = self._choose(self._world.instances[:4], 0.01)
        instance.send(signal.SIGTERM)

    def _press(self, step: _plan.Step) -> None:
        world = self._world
        caller = world.random.choice(world.callers)
        until = world.loop.now() + step.seconds
        for _ in range(round(step.share * _PRESSING_SESSIONS)):
            _session.Session(world, caller, until, _PRESSING_HURRY).begin()

    def _lose(self, step: _plan.Step) -> None:
        fabric = self._world.fabric
        for instance in self._choose(self._world.instances, step.share):
            fabric.set_loss(instance.name, _LOSS_SHARE)
            self._world.loop.call_later(
                step.seconds,
                functools.partial(fabric.set_loss, instance.name, 0.0),
            )

    def _hangup(self, step: _plan.Step) -> None:
        for instance in self._choose(self._world.instances, step.share):
            instance.send(signal.SIGHUP)

    def _tear(self, step: _plan.Step) -> None:
        for instance in self._choose(self._world.instances, step.share):
            instance.tear_settings(0.3)
            instance.send(signal.SIGHUP)

    def _fault(self, step: _plan.Step, fault: str) -> None:
        chosen = self._choose(self._world.instances, step.share)
        hosts = [instance.host for instance in chosen]
        self._world.set_fault(fault, hosts)
        self._world.loop.call_later(
            step.seconds, lambda: self._world.set_fault('', hosts)
        )

    def _choose_relays(self, step: _plan.Step) -> list[packets.FaultyRelay]:
        chosen = self._choose(self._world.instances, step.share)
        return [self._world.store_relays[instance.host] for instance in chosen]

    def _harm(
        self, step: _plan.Step, name: str, harmed: object, whole: object
    ) -> None:
        for relay in self._choose_relays(step):
            setattr(relay, name, harmed)
            self._world.loop.call_later(
                step.seconds, functools.partial(setattr, relay, name, whole)
            )

    def _silence(self, step: _plan.Step) -> None:
        for relay in self._choose_relays(step):
            relay.silence()

    def _break(self, step: _plan.Step) -> None:
        for relay in self._choose_relays(step):
            relay.reset()

    def _slow(self, step: _plan.Step) -> None:
        server = self._world.server
        server.delay_seconds = _SLOW_SECONDS
        self._world.loop.call_later(
            step.seconds, lambda: setattr(server, 'delay_seconds', 0.004)
        )

    def _crash(self, step: _plan.Step, is_dark: bool) -> None:
        victim = self._choose_spare()
        if victim is None:
            return
        if is_dark:
            victim.fall_silent()
        else:
            victim.end()
        self._world.loop.call_later(3.6, lambda: self._world.forget(victim))

    def _restart(self, step: _plan.Step, unheard_seconds: float) -> None:
        """Have one start again under its name, unheard of for a while."""
        victim = self._choose_spare()
        if victim is None:
            return
        victim.end()
        world = self._world

        def start() -> None:
            upstream = world.restart_upstream(victim)
            world.loop.call_later(
                unheard_seconds, lambda: world.register(upstream)
            )

        world.loop.call_later(_RESTART_SECONDS, start)

    def _write_foreign(self, step: _plan.Step) -> None:
        """Have another writer leave entries that change all the time."""
        store = self._world.store
        entry = self._world.random.choice(self._world.upstreams).describe()
        names = [f'x-{number:x}' for number in range(1, len(_FOREIGN) + 1)]
        beats = range(int(step.seconds / _BEAT_SECONDS) + 1)

        def write(beat: int) -> None:
            for name, odd in zip(names, _FOREIGN, strict=True):
                store.put('servers', name, {**entry, 'sequence': beat, **odd})

        def clean() -> None:
            for name in names:
                store.delete('servers', name)

        for beat in beats:
            self._world.loop.call_later(
                beat * _BEAT_SECONDS, functools.partial(write, beat)
            )
        self._world.loop.call_later(step.seconds + _BEAT_SECONDS, clean)

    def _evacuate(self, step: _plan.Step) -> None:
        for zone in self._choose(self._world.zones, step.share):
            self._world.evacuate(zone, step.seconds)

    def _write_foreign_evacuations(self, step: _plan.Step) -> None:
        """Have another writer leave entries that evacuate nothing."""
        store = self._world.store
        store.put('evacuations', 'nowhere', {})
        for zone in self._world.zones:
            if not store.has('evacuations', zone):
                store.put('evacuations', zone, 'no map')

    def _reuse(self, step: _plan.Step) -> None:
        victim = self._choose_spare()
        if victim is None:
            return
        victim.end()
        others = [
            each for each in _environment.SERVICES if each != victim.service
        ]

        def take_address() -> None:
            self._world.forget(victim)
            self._world.add_upstream(others[0], victim.zone, victim.address)

        self._world.loop.call_later(2.0, take_address)

    def _drain(self, step: _plan.Step) -> None:
        victim = self._choose_spare()
        if victim is not None:
            self._world.drain(victim)

    def _choose_spare(self) -> packets.Upstream | None:
        """Choose an upstream whose service can do without it."""
        candidates = [
            each
            for each in self._world.list_upstreams()
            if len(self._world.list_upstreams(each.service)) > 2
        ]
        return self._world.random.choice(candidates) if candidates else None

    def _add(self, step: _plan.Step) -> None:
        self._world.add_upstream(
            self._world.random.choice(_environment.SERVICES),
            self._world.random.choice(self._world.zones),
        )

    def _route(self, has_route: bool) -> None:
        self._world.has_probe_route = has_route
        self._world.configure()

    def _storm(self, step: _plan.Step) -> None:
        for number in range(10):
            self._world.loop.call_later(0.06 * number, self._world.configure)
