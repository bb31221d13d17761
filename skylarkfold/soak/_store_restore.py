"""Outages after which the store is restored from an older copy.

After the restore every writer rewrites its entries after a random delay.
"""

from __future__ import annotations

import collections

from skylarkfold.soak import _environment
from skylarkfold.standin import packets

_COPY_INTERVAL_SECONDS = 0.2
_MAX_COPIES = 30
# Maximum age of the copy that is restored.
_MAX_COPY_AGE_SECONDS = 5.0
# Writers rewrite their entries within this time, which the platform promises.
MAX_REWRITE_SECONDS = 2.0
_MIN_REWRITE_SECONDS = 0.1
# Entries of stopped upstreams are deleted after this time.
_ENTRY_TIMEOUT_SECONDS = 3.6


class StoreRestorer:
    """Restorer that copies the store regularly and restores such a copy.

    :param environment: the environment with the store.
    """

    def __init__(self, environment: _environment.Environment) -> None:
        self._environment = environment
        self._copies: collections.deque[tuple[float, packets.StoreCopy]] = (
            collections.deque(maxlen=_MAX_COPIES)
        )
        environment.loop.call_every(_COPY_INTERVAL_SECONDS, self._copy_store)

    def restore_after_outage(self, outage_seconds: float) -> None:
        """Make the store fail for a while, then restore it from a copy.

        :param outage_seconds: the duration of the outage.
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
        # A restarted upstream may use the name by now.
        is_name_in_use = any(
            each.name == upstream.name and not each.is_ended
            for each in self._environment.upstreams
        )
        if not is_name_in_use:
            self._environment.store.delete('servers', upstream.name)
