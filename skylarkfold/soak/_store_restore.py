"""A store that goes away and comes back from an older copy.

Whoever had written to it writes again, each at a moment of its own.
"""

from __future__ import annotations

import collections

from skylarkfold.soak import _environment
from skylarkfold.standin import packets

_COPY_SECONDS = 0.2
_COPIES = 30
# How old the copy is at most.
_MOST_LOST_SECONDS = 5.0
# By when everybody has written again; the platform says two seconds.
REWRITE_SECONDS = 2.0
_LEAST_REWRITE_SECONDS = 0.1
# An entry whose upstream has ended is removed after its silence.
_LAPSE_SECONDS = 3.6


class Returns:
    """Makes copies of the store, and has it come back from one.

    :param world: whose store it is.
    """

    def __init__(self, world: _environment.Environment) -> None:
        self._world = world
        self._copies: collections.deque[tuple[float, packets.StoreCopy]] = (
            collections.deque(maxlen=_COPIES)
        )
        world.loop.call_every(_COPY_SECONDS, self._save)

    def come_back(self, away_seconds: float) -> None:
        """Have the store away for a while, then back from a copy.

        :param away_seconds: how long.
        """
        world = self._world
        hosts = [each.host for each in world.instances]
        fault = world.random.choice(('silent', 'reset', 'busy'))
        world.set_fault(fault, hosts)
        lost = world.random.uniform(0.5, _MOST_LOST_SECONDS)
        wanted = world.loop.now() - lost
        older = [copy for at, copy in self._copies if at <= wanted]
        saved = older[-1] if older else self._copies[0][1]

        def restore() -> None:
            world.store.restore(saved)
            world.set_fault('', hosts)
            self._write_again()

        world.loop.call_later(away_seconds, restore)

    def _save(self) -> None:
        copy = self._world.store.copy()
        self._copies.append((self._world.loop.now(), copy))

    def _write_again(self) -> None:
        world = self._world
        self._soon(world.write_configuration)
        for zone in world.zones:
            self._soon(lambda zone=zone: self._settle_evacuation(zone))
        for upstream in world.upstreams:
            if upstream in world.forgotten or upstream.is_ended:
                world.loop.call_later(
                    _LAPSE_SECONDS,
                    lambda upstream=upstream: self._lapse(upstream),
                )
            else:
                self._soon(lambda upstream=upstream: self._beat(upstream))

    def _soon(self, write) -> None:
        world = self._world
        pause = world.random.uniform(_LEAST_REWRITE_SECONDS, REWRITE_SECONDS)
        world.loop.call_later(pause, write)

    def _settle_evacuation(self, zone: str) -> None:
        store = self._world.store
        if zone in self._world.evacuated:
            store.put('evacuations', zone, {})
        else:
            store.delete('evacuations', zone)

    def _beat(self, upstream: packets.Upstream) -> None:
        if upstream not in self._world.forgotten and not upstream.is_ended:
            self._world.register(upstream)

    def _lapse(self, upstream: packets.Upstream) -> None:
        # A later start may have its name by now.
        is_named = any(
            each.name == upstream.name and not each.is_ended
            for each in self._world.upstreams
        )
        if not is_named:
            self._world.store.delete('servers', upstream.name)
