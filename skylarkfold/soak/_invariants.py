"""Checks of the invariants against what callers and upstreams observe."""

from __future__ import annotations

import collections

from skylarkfold.standin import packets

# Violations within this time after a fault are attributed to the fault.
FAULT_AFTERMATH_SECONDS = 4.0
# A drained upstream must get no new flow after this time.
DRAIN_LIMIT_SECONDS = 3.0
# An upstream of an evacuated zone must get no new flow after this time.
EVACUATION_LIMIT_SECONDS = 5.0


class InvariantChecker:
    """Checker that collects events and records violated invariants.

    The final phase without new faults is called calm.

    :ivar broken: one line for each violation.
    :ivar waiting: requests that began in the calm phase and have not ended.
    """

    def __init__(self) -> None:
        self.broken: list[str] = []
        self.waiting: set[packets.Exchange] = set()
        self._calm_outcomes: collections.Counter[str] | None = None
        self.outcomes: collections.Counter[str] = collections.Counter()
        self._runs: collections.Counter[bytes] = collections.Counter()
        self._non_repeatable: set[bytes] = set()
        self._drained_at: dict[str, float] = {}
        self._evacuated_at: dict[str, float] = {}
        self._faults: list[tuple[float, float]] = []
        self._store_outages: list[tuple[float, float]] = []
        # Addresses whose routes have been dropped.
        self._dropped: set[tuple[str, int]] = set()
        self._allowed_services: dict[tuple[str, int], set[str]] = {}

    def allow(self, address: tuple[str, int], service: str) -> None:
        """Record that a configuration routes an address to a service."""
        self._allowed_services.setdefault(address, set()).add(service)

    def note_dropped(self, address: tuple[str, int]) -> None:
        """Record that a configuration drops the route of an address."""
        self._dropped.add(address)

    def is_dropped(self, address: tuple[str, int]) -> bool:
        """Return whether the route of an address has been dropped."""
        return address in self._dropped

    def note_fault(self, started: float, ended: float) -> None:
        """Record the start and end of an unplanned fault."""
        self._faults.append((started, ended))

    def note_return(self, started: float, ended: float) -> None:
        """Record an outage after which the store is restored from a copy.

        Settings applied before the outage remain in force.

        :param started: the start of the outage.
        :param ended: the end of the outage.
        """
        self._store_outages.append((started, ended))

    def note_drain(self, name: str, now: float) -> None:
        """Record that the store has accepted a drain."""
        self._drained_at[name] = now

    def note_evacuation(self, zone: str, now: float | None) -> None:
        """Record that the store has accepted an evacuation or its end.

        :param zone: the zone.
        :param now: the start time; None if the evacuation ends.
        """
        if now is None:
            self._evacuated_at.pop(zone, None)
        else:
            self._evacuated_at.setdefault(zone, now)

    def note_once(self, request: bytes) -> None:
        """Record a request that may run at most once."""
        self._non_repeatable.add(request)

    def note_run(self, request: bytes) -> None:
        """Record that an upstream runs a request."""
        self._runs[request] += 1
        if request in self._non_repeatable and self._runs[request] > 1:
            self.broken.append(f'{request.hex()} ran twice')

    def note_open(self, upstream: packets.Upstream, now: float) -> None:
        """Check a new flow against the upstream's drain and evacuation."""
        drained_at = self._drained_at.get(upstream.name)
        if self._exceeds_limit(drained_at, now, DRAIN_LIMIT_SECONDS):
            self.broken.append(
                f'{upstream.name} got a flow {now - drained_at:.1f} s after'
                ' its drain'
            )
        evacuated_at = self._evacuated_at.get(upstream.zone)
        if self._exceeds_limit(evacuated_at, now, EVACUATION_LIMIT_SECONDS):
            self.broken.append(
                f'{upstream.name} got a flow {now - evacuated_at:.1f} s after'
                ' its zone was evacuated'
            )

    def _exceeds_limit(
        self, since: float | None, now: float, limit: float
    ) -> bool:
        if since is None or self._overlaps_fault(since, now):
            return False
        if self._overlaps_store_outage(since, limit):
            return False
        return now - since > limit

    def _overlaps_store_outage(self, since: float, limit: float) -> bool:
        """Return whether an outage may have lost an entry before its limit."""
        return any(
            started <= since + limit
            and ended + FAULT_AFTERMATH_SECONDS >= since
            for started, ended in self._store_outages
        )

    def note_reset(self, now: float, upstream: packets.Upstream) -> None:
        """Record the reset of an open flow unless a fault explains it."""
        if upstream.is_ended or self._overlaps_fault(now, now):
            return
        self.broken.append(f'a flow of {upstream.name} was reset')

    def begin_calm(self) -> None:
        """Start the calm phase, whose requests must be answered.

        Requests that began earlier do not count: a fault may have affected
        them.
        """
        self._calm_outcomes = collections.Counter()

    def begin(self, exchange: packets.Exchange) -> None:
        """Record that a request begins."""
        if self._calm_outcomes is not None:
            self.waiting.add(exchange)

    def note_retry(self, exchange: packets.Exchange) -> None:
        """Record that a request has failed and is retried."""
        self.outcomes['retried'] += 1
        self.waiting.discard(exchange)

    def judge_calm(self, min_answered_share: float) -> list[str]:
        """Check the requests of the calm phase at the end of the run.

        :param min_answered_share: the share that must be answered.
        :returns: violations, one line each.
        """
        counts = collections.Counter(self._calm_outcomes)
        counts['waiting'] += len(self.waiting)
        total = counts.total()
        if total and counts[packets.ANSWERED] >= min_answered_share * total:
            return []
        return [f'of {total} requests in the end: {dict(counts)}']

    def take(self, exchange: packets.Exchange, address: tuple) -> None:
        """Record the outcome of a request and check its answer."""
        self.outcomes[exchange.outcome] += 1
        if exchange in self.waiting:
            self.waiting.remove(exchange)
            self._calm_outcomes[exchange.outcome] += 1
        if exchange.outcome != 'answered':
            return
        if exchange.answer not in self._allowed_services[address]:
            self.broken.append(f'{exchange.answer} answered for {address}')
        if not self._runs[exchange.request]:
            self.broken.append('an answer to what did not run')

    def _overlaps_fault(self, since: float, now: float) -> bool:
        return any(
            started <= now and ended + FAULT_AFTERMATH_SECONDS >= since
            for started, ended in self._faults
        )
