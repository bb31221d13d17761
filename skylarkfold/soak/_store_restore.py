"""A store that goes away and comes back from an older copy.

Whoever had written to it writes again, each at a moment of its own.
"""

from __future__ import annotations

import collections

from skylarkfold.soak import _environment
from skylarkfold.standin import packets

_COPY_INTERVAL_SECONDS = 0.2
_MAX_COPIES = 30
# How old the copy is at most.
_MAX_COPY_AGE_SECONDS = 5.0
# By when everybody has written again; the platform says two seconds.
MAX_REWRITE_SECONDS = 2.0
_MIN_REWRITE_SECONDS = 0.1
# An entry whose upstream has ended is removed after its silence.
_ENTRY_TIMEOUT_SECONDS = 3.6


class StoreRestorer:
    """Makes copies of the store, and has it come back from one.

    :param world: whose store it is.
    """

    def __init__(self, environment: _environment.Environment) -> None:
        self._environment = environment
        self._copies: collections.deque[tuple[float, packets.StoreCopy]] = (
            collections.deque(maxlen=_MAX_COPIES)
        )
        environment.loop.call_every(_COPY_INTERVAL_SECONDS, self._copy_store)

    def restore_after_outage(self, outage_seconds: float) -> None:
        """Have the store away for a while, then back from a copy.

        :param away_seconds: how long.
        """
        environment = self._environment
        hosts = [each.host for each in environment.instances]
        fault = environment.random.choice(('silent', 'reset', 'busy'))
        environment.set_fault(fault, hosts)
        age = environment.random.uniform(0.5, _MAX_COPY_AGE_SECONDS)
        copied_by = environment.loop.now() - age
        older = [copy for at, copy in self._copies if at <= copied_by]
        restored_copy = older[-1] if older else self._copies[0][1]

        def restore() -> None:
            environment.store.restore(restored_copy)
            environment.set_fault('', hosts)
            self._schedule_rewrites()

        environment.loop.call_later(outage_seconds, restore)

    def _copy_store(self) -> None:
        copy = self._environment.store.copy()
        self._copies.append((self._environment.loop.now(), copy))

    def _schedule_rewrites(self) -> None:
        environment = self._environment
        self._call_after_random_delay(environment.write_configuration)
        for zone in environment.zones:
            self._call_after_random_delay(
                lambda zone=zone: self._rewrite_evacuation(zone)
            )
        for upstream in environment.upstreams:
            if upstream in environment.forgotten or upstream.is_ended:
                environment.loop.call_later(
                    _ENTRY_TIMEOUT_SECONDS,
                    lambda upstream=upstream: self._delete_stopped_upstream(
                        upstream
                    ),
                )
            else:
                self._call_after_random_delay(
                    lambda upstream=upstream: self._rewrite_upstream(upstream)
                )

    def _call_after_random_delay(self, write) -> None:
        environment = self._environment
        delay = environment.random.uniform(
            _MIN_REWRITE_SECONDS, MAX_REWRITE_SECONDS
        )
        environment.loop.call_later(delay, write)

    def _rewrite_evacuation(self, zone: str) -> None:
        store = self._environment.store
        if zone in self._environment.evacuated:
            store.put('evacuations', zone, {})
        else:
            store.delete('evacuations', zone)

    def _rewrite_upstream(self, upstream: packets.Upstream) -> None:
        if (
            upstream not in self._environment.forgotten
            and not upstream.is_ended
        ):
            self._environment.register(upstream)

    def _delete_stopped_upstream(self, upstream: packets.Upstream) -> None:
        # A later start may have its name by now.
        is_name_in_use = any(
            each.name == upstream.name and not each.is_ended
            for each in self._environment.upstreams
        )
        if not is_name_in_use:
            self._environment.store.delete('servers', upstream.name)
