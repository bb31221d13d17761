"""Allocation of a service's slots to instances by its coordinator."""

from __future__ import annotations

import dataclasses

from skylarkfold import admission
from skylarkfold import request
from skylarkfold.selection import _candidates
from skylarkfold.selection import _instance_record
from skylarkfold.selection import _messages
from skylarkfold.selection import _pool
from skylarkfold.selection import _settings
from skylarkfold.selection import _upstream_record
from skylarkfold.selection import _wait_queue
from skylarkfold import service as service_module

_INSTANCE_TIMEOUT_SECONDS = 5.0
_FLOOR_SHARE = 0.1
_MAXIMUM_COUNTED_FAILURES = 2
_MAXIMUM_USES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class AddressedGrant:
    """A grant and the instance to send it to."""

    instance_name: str
    grant: _messages.SlotGrant


class SlotAllocator:
    """Grants one service's slots to the instances, on its coordinator.

    Each instance reports the slots that it holds, so that a new
    coordinator learns which slots are in use before it grants any. Slots
    are advisory: while two coordinators are active, upstreams refuse
    excess requests, which lowers their limits.

    :param service_name: the service.
    :param settings: the selection settings.
    :param has_peers: whether other instances may already hold slots, so
        that their reports have to be awaited first.
    """

    def __init__(
        self,
        service_name: str,
        settings: _settings.SelectionSettings,
        has_peers: bool,
    ) -> None:
        self._settle_seconds = settings.settle_seconds if has_peers else 0.0
        self._service_number = _messages.compute_service_number(service_name)
        self._settings = settings
        self._pool = _pool.UpstreamPool(settings)
        self._upstream_names: dict[int, str] = {}
        self._instances: dict[str, _instance_record.InstanceRecord] = {}
        self._queue = _wait_queue.SlotWaitQueue()
        self._scheduler = admission.PriorityScheduler(_FLOOR_SHARE)
        self._settled_at: float | None = None

    @property
    def pool(self) -> _pool.UpstreamPool:
        """The upstreams with the outcomes reported by all instances."""
        return self._pool

    @property
    def has_instances(self) -> bool:
        """Tell whether any instance holds a slot or waits for one."""
        return bool(self._instances)

    def start_settling(self, now: float) -> None:
        """Start the wait for reports of held slots; later calls do nothing.

        :param now: the current time.
        """
        if self._settled_at is None:
            self._settled_at = now + self._settle_seconds

    def configure(self, service: service_module.Service) -> None:
        """Apply a changed configuration.

        :param service: the service.
        """
        self._pool.configure(service)
        self._upstream_names = self._pool.map_numbers()
        self._recount_running()

    def handle_demand(
        self, now: float, sender: str, demand: _messages.SlotDemand
    ) -> list[str]:
        """Record the slots that an instance holds and waits for.

        :param now: the current time.
        :param sender: the name of the instance.
        :param demand: its message.
        :returns: the upstreams that were ejected for the outcomes in it.
        """
        self.start_settling(now)
        instance = self._instances.get(sender)
        if instance is None:
            instance = self._instances[sender] = (
                _instance_record.InstanceRecord(now)
            )
        before = instance.count_slots()
        instance.apply(now, demand)
        after = instance.count_slots()
        self._add_reuse_work(before, after, demand)
        self._update_running(before, after)
        ejected = [
            self._upstream_names[each.upstream]
            for each in demand.outcomes
            if self._record_outcome(now, instance, each)
        ]
        self._queue.update(sender, instance)
        return ejected

    def remove_instance(self, instance_name: str) -> None:
        """Remove an instance and reclaim its slots.

        :param instance_name: the name of the instance.
        """
        if self._instances.pop(instance_name, None) is not None:
            self._queue.remove(instance_name)
            self._recount_running()

    def grant(
        self, now: float, budget_fraction: float
    ) -> list[AddressedGrant]:
        """Grant as many free slots as instances wait for.

        :param now: the current time.
        :param budget_fraction: the fraction of the byte budget that is
            left.
        :returns: the grants to send.
        """
        self.start_settling(now)
        if now < self._settled_at:
            return []
        grants = []
        while len(self._queue):
            grant = self._grant_next(now, budget_fraction)
            if grant is None:
                break
            grants.append(grant)
        return grants

    def list_instances(self) -> list[str]:
        """List the instances that hold a slot or wait for one."""
        return list(self._instances)

    def tick(self, now: float) -> list[str]:
        """Remove silent instances and find those that need a keepalive.

        :param now: the current time.
        :returns: waiting instances that were sent nothing recently.
        """
        for instance_name, instance in list(self._instances.items()):
            if now - instance.heard_at > _INSTANCE_TIMEOUT_SECONDS:
                self.remove_instance(instance_name)
        interval = self._settings.silence_seconds / 3
        due = []
        for instance_name, instance in self._instances.items():
            is_waiting = any(instance.waiting.values())
            if is_waiting and now - instance.sent_at >= interval:
                instance.sent_at = now
                due.append(instance_name)
        return due

    def _recount_running(self) -> None:
        counts: dict[int, int] = {}
        for instance in self._instances.values():
            for number, count in instance.count_slots().items():
                counts[number] = counts.get(number, 0) + count
        for number, name in self._upstream_names.items():
            self._pool.get(name).running = counts.get(number, 0)

    def _update_running(
        self, before: dict[int, int], after: dict[int, int]
    ) -> None:
        for number in before.keys() | after.keys():
            record = self._find_record(number)
            if record is not None:
                change = after.get(number, 0) - before.get(number, 0)
                record.running += change

    def _add_reuse_work(
        self,
        before: dict[int, int],
        after: dict[int, int],
        demand: _messages.SlotDemand,
    ) -> None:
        """Add the work of requests that reused a slot without a new grant."""
        ended: dict[int, int] = {}
        for each in demand.outcomes:
            ended[each.upstream] = ended.get(each.upstream, 0) + 1
        for number, count in ended.items():
            released = before.get(number, 0) - after.get(number, 0)
            record = self._find_record(number)
            for _ in range(count - max(0, released)):
                if record is not None:
                    record.add_work()

    def _record_outcome(
        self,
        now: float,
        instance: _instance_record.InstanceRecord,
        attempt: _messages.AttemptOutcome,
    ) -> bool:
        name = self._upstream_names.get(attempt.upstream)
        if name is None:
            return False
        outcome = attempt.code.outcome
        if not self._is_attributable(now, instance, attempt.upstream, outcome):
            return False
        return self._pool.record_outcome(
            now, name, outcome, attempt.elapsed_milliseconds / 1000
        )

    def _is_attributable(
        self,
        now: float,
        instance: _instance_record.InstanceRecord,
        upstream: int,
        outcome: request.Outcome,
    ) -> bool:
        """Tell whether an outcome counts for or against the upstream.

        Repeated failures of one instance count only for that instance: it
        is blocked from the upstream, which stays in use by the others.
        """
        if outcome is request.Outcome.ANSWERED:
            instance.failures.pop(upstream, None)
            return True
        if not _upstream_record.is_failure(outcome):
            return True
        failures = instance.failures.get(upstream, 0) + 1
        instance.failures[upstream] = failures
        if failures >= self._settings.ejection_failures:
            seconds = self._settings.ejection_seconds
            instance.blocked_until[upstream] = now + seconds
        return (
            len(self._instances) < 2 or failures <= _MAXIMUM_COUNTED_FAILURES
        )

    def _grant_next(
        self, now: float, budget_fraction: float
    ) -> AddressedGrant | None:
        candidates = self._find_candidates(now)
        if candidates.is_empty:
            return None
        waiting = self._queue.list_waiting()
        first = self._scheduler.choose(waiting)
        rest = [each for each in waiting if each is not first]
        for priority in [first, *rest]:
            is_alert = priority is request.Priority.ALERT
            for instance_name in self._queue.iterate_instances(priority):
                instance = self._instances[instance_name]
                record = candidates.choose(now, instance, is_alert)
                if record is None:
                    continue
                self._scheduler.record_turn(priority, waiting)
                return self._issue_grant(
                    now, instance_name, priority, record, budget_fraction
                )
        return None

    def _issue_grant(
        self,
        now: float,
        instance_name: str,
        priority: request.Priority,
        record: _upstream_record.UpstreamRecord,
        budget_fraction: float,
    ) -> AddressedGrant:
        instance = self._instances[instance_name]
        instance.record_grant(now, record.number, priority)
        instance.queued[priority] -= 1
        self._queue.remove_first(priority, instance_name)
        self._queue.update(instance_name, instance)
        record.record_dispatch()
        uses = self._compute_uses(budget_fraction)
        grant = _messages.SlotGrant(
            self._service_number,
            instance.sequence,
            record.number,
            int(priority),
            uses,
        )
        return AddressedGrant(instance_name, grant)

    def _find_candidates(self, now: float) -> _candidates.CandidateSet:
        """Find the upstreams that can take one more request."""
        usable = self._pool.list_usable(now)
        free = [each for each in usable if each.running < each.get_limit(now)]
        if free:
            return _candidates.CandidateSet(usable, free=free)
        return _candidates.CandidateSet(
            usable,
            pipelined=self._list_pipelinable(now, usable),
            slow=self._list_slow(now),
        )

    def _list_pipelinable(
        self, now: float, usable: list[_upstream_record.UpstreamRecord]
    ) -> list[_upstream_record.UpstreamRecord]:
        """List upstreams that may queue a request beyond their slots.

        This hides the round trip of a slot through the coordinator, which
        pays off only while more requests wait than the slots can take. An
        alert can't overtake a request that was already sent, so the list
        is empty while an alert waits, and alerts use free slots only.
        """
        if not self._is_saturated() or self._has_waiting_alert():
            return []
        extra = self._settings.pipeline_extra
        return [
            each
            for each in usable
            if not each.has_refused_recently(now)
            and not each.is_in_slow_start
            and each.running < each.upstream.slots + extra
        ]

    def _list_slow(self, now: float) -> list[_upstream_record.UpstreamRecord]:
        """List ejected slow upstreams that would answer before the queue."""
        if not self._pool.has_latency_ejections(now):
            return []
        median = self._pool.compute_median_latency(now)
        wait = self._count_waiting() * median / max(1, self._pool.slots)
        return [
            each
            for each in self._pool.list_active()
            if each.ejected_for_latency
            and each.is_ejected(now)
            and each.running < each.upstream.slots
            and each.latency_seconds - median <= wait
        ]

    def _count_waiting(self) -> int:
        return sum(
            sum(each.waiting.values()) for each in self._instances.values()
        )

    def _has_waiting_alert(self) -> bool:
        return request.Priority.ALERT in self._queue.list_waiting()

    def _is_saturated(self) -> bool:
        return len(self._queue) > len(self._upstream_names)

    def _compute_uses(self, budget_fraction: float) -> int:
        uses = self._settings.slot_uses
        if budget_fraction >= 0.5:
            return uses
        scarcity = 2.0 ** ((0.5 - budget_fraction) * 8)
        return min(_MAXIMUM_USES, max(uses, round(scarcity)))

    def _find_record(
        self, number: int
    ) -> _upstream_record.UpstreamRecord | None:
        name = self._upstream_names.get(number)
        return None if name is None else self._pool.get(name)
