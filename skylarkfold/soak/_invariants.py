"""Checks the promises from what callers and upstreams see."""

from __future__ import annotations

import collections

from skylarkfold.standin import packets

# A fault explains what is seen up to so long after its end.
FAULT_AFTERMATH_SECONDS = 4.0
# A drained upstream gets no new flow after so long.
DRAIN_LIMIT_SECONDS = 3.0
# Nor does one of a zone that is evacuated.
EVACUATION_LIMIT_SECONDS = 5.0


class InvariantChecker:
    """Collects events and names broken promises.

    :ivar broken: one line for each broken promise.
    :ivar waiting: requests that have begun in the calm and not ended.
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
        self._allowed_services: dict[tuple[str, int], set[str]] = {}

    def allow(self, address: tuple[str, int], service: str) -> None:
        """Note that a configuration leads an address to a service."""
        self._allowed_services.setdefault(address, set()).add(service)

    def note_fault(self, started: float, ended: float) -> None:
        """Note an unplanned fault with its end."""
        self._faults.append((started, ended))

    def note_return(self, started: float, ended: float) -> None:
        """Note that the store is away, and comes back from an older copy.

        What was in force before it went stays so.

        :param begun: when it went.
        :param ended: when it is back.
        """
        self._store_outages.append((started, ended))

    def note_drain(self, name: str, now: float) -> None:
        """Note that the store has accepted a drain."""
        self._drained_at[name] = now

    def note_evacuation(self, zone: str, now: float | None) -> None:
        """Note that the store has accepted an evacuation, or its end.

        :param zone: the zone.
        :param now: the time; None for the end.
        """
        if now is None:
            self._evacuated_at.pop(zone, None)
        else:
            self._evacuated_at.setdefault(zone, now)

    def note_once(self, request: bytes) -> None:
        """Note a request that may run once at most."""
        self._non_repeatable.add(request)

    def note_run(self, request: bytes) -> None:
        """Note that an upstream runs a request."""
        self._runs[request] += 1
        if request in self._non_repeatable and self._runs[request] > 1:
            self.broken.append(f'{request.hex()} ran twice')

    def note_open(self, upstream: packets.Upstream, now: float) -> None:
        """Note that a new flow has opened at an upstream."""
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
        """Tell whether the store went before what it held was in force."""
        return any(
            started <= since + limit
            and ended + FAULT_AFTERMATH_SECONDS >= since
            for started, ended in self._store_outages
        )

    def note_reset(self, now: float, upstream: packets.Upstream) -> None:
        """Note that an open flow got a reset from an instance."""
        if upstream.is_ended or self._overlaps_fault(now, now):
            return
        self.broken.append(f'a flow of {upstream.name} was reset')

    def begin_calm(self) -> None:
        """Note that what begins from now on must be served.

        What began earlier may have met a fault and still end later.
        """
        self._calm_outcomes = collections.Counter()

    def begin(self, exchange: packets.Exchange) -> None:
        """Note that a request begins."""
        if self._calm_outcomes is not None:
            self.waiting.add(exchange)

    def note_retry(self, exchange: packets.Exchange) -> None:
        """Note that a request has failed and begins once more."""
        self.outcomes['retried'] += 1
        self.waiting.discard(exchange)

    def judge_calm(self, min_answered_share: float) -> list[str]:
        """Judge what has begun in the calm, once it has ended.

        :param least: the share that must be answered.
        :returns: broken promises, one line each.
        """
        counts = collections.Counter(self._calm_outcomes)
        counts['waiting'] += len(self.waiting)
        total = counts.total()
        if total and counts[packets.ANSWERED] >= min_answered_share * total:
            return []
        return [f'of {total} requests in the end: {dict(counts)}']

    def take(self, exchange: packets.Exchange, address: tuple) -> None:
        """Judge the end of a request."""
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
