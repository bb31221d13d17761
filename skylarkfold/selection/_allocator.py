"""The home of a service: grants its slots to the instances."""

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

_FORGET_SECONDS = 5.0
_FLOOR_SHARE = 0.1
_LONE_FAILURES = 2
_MAXIMUM_USES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """A grant and the instance that gets it."""

    holder: str
    grant: _messages.SlotGrant


class SlotBroker:
    """Grants one service's slots, as its home.

    It counts what each instance says that it holds, so that a new home
    knows the slots in use after a moment. Slots are hints: while two
    homes are at work, the upstreams refuse what is too much, and the
    limits follow.

    :param service_name: the service.
    :param settings: limits and times.
    :param has_peers: whether others may hold slots already, of which it
        has to learn first.
    """

    def __init__(
        self,
        service_name: str,
        settings: _settings.SelectionSettings,
        has_peers: bool,
    ) -> None:
        self._settle_seconds = settings.settle_seconds if has_peers else 0.0
        self._number = _messages.number_service(service_name)
        self._settings = settings
        self._pool = _pool.Pool(settings)
        self._names: dict[int, str] = {}
        self._views: dict[str, _instance_record.HolderView] = {}
        self._line = _wait_queue.DemandLine()
        self._scheduler = admission.PriorityScheduler(_FLOOR_SHARE)
        self._granting_from: float | None = None

    @property
    def pool(self) -> _pool.Pool:
        """The upstreams with what all instances have seen of them."""
        return self._pool

    @property
    def is_used(self) -> bool:
        """Tell whether any instance holds or wants a slot."""
        return bool(self._views)

    def begin(self, now: float) -> None:
        """Begin to listen to what others hold, at the first call.

        :param now: the present time.
        """
        if self._granting_from is None:
            self._granting_from = now + self._settle_seconds

    def configure(self, service: service_module.Service) -> None:
        """Take a newer configuration.

        :param service: the service.
        """
        self._pool.configure(service)
        self._names = self._pool.map_numbers()
        self._count_running()

    def handle_demand(
        self, now: float, sender: str, demand: _messages.SlotDemand
    ) -> list[str]:
        """Take what an instance holds and wants.

        :param now: the present time.
        :param sender: the instance.
        :param demand: its statement.
        :returns: the upstreams that were ejected by the outcomes in it.
        """
        self.begin(now)
        view = self._views.get(sender)
        if view is None:
            view = self._views[sender] = _instance_record.HolderView(now)
        before = view.count_slots()
        view.apply(now, demand)
        after = view.count_slots()
        self._charge_reuse(before, after, demand)
        self._shift_running(before, after)
        ejected = [
            self._names[each.upstream]
            for each in demand.outcomes
            if self._judge(now, view, each)
        ]
        self._line.update(sender, view)
        return ejected

    def remove_holder(self, holder: str) -> None:
        """Forget an instance that is gone, and take its slots back.

        :param holder: its name.
        """
        if self._views.pop(holder, None) is not None:
            self._line.remove(holder)
            self._count_running()

    def grant(self, now: float, budget_share: float) -> list[Granted]:
        """Grant all slots that are free and wanted.

        :param now: the present time.
        :param budget_share: how much of the byte budget is left.
        :returns: the grants to send.
        """
        self.begin(now)
        if now < self._granting_from:
            return []
        granted = []
        while len(self._line):
            one = self._grant_one(now, budget_share)
            if one is None:
                break
            granted.append(one)
        return granted

    def list_holders(self) -> list[str]:
        """List the instances that hold or want a slot."""
        return list(self._views)

    def tick(self, now: float) -> list[str]:
        """Forget silent instances and find those to reassure.

        :param now: the present time.
        :returns: instances that wait and have heard nothing lately.
        """
        for holder, view in list(self._views.items()):
            if now - view.heard_at > _FORGET_SECONDS:
                self.remove_holder(holder)
        patience = self._settings.silence_seconds / 3
        reassured = []
        for holder, view in self._views.items():
            waits = any(view.waiting.values())
            if waits and now - view.sent_at >= patience:
                view.sent_at = now
                reassured.append(holder)
        return reassured

    def _count_running(self) -> None:
        counts: dict[int, int] = {}
        for view in self._views.values():
            for number, count in view.count_slots().items():
                counts[number] = counts.get(number, 0) + count
        for number, name in self._names.items():
            self._pool.get(name).running = counts.get(number, 0)

    def _shift_running(
        self, before: dict[int, int], after: dict[int, int]
    ) -> None:
        for number in before.keys() | after.keys():
            record = self._find_record(number)
            if record is not None:
                change = after.get(number, 0) - before.get(number, 0)
                record.running += change

    def _charge_reuse(
        self,
        before: dict[int, int],
        after: dict[int, int],
        demand: _messages.SlotDemand,
    ) -> None:
        """Count requests that ran in a slot which was not given back."""
        ended: dict[int, int] = {}
        for each in demand.outcomes:
            ended[each.upstream] = ended.get(each.upstream, 0) + 1
        for number, count in ended.items():
            released = before.get(number, 0) - after.get(number, 0)
            record = self._find_record(number)
            for _ in range(count - max(0, released)):
                if record is not None:
                    record.charge()

    def _judge(
        self,
        now: float,
        view: _instance_record.HolderView,
        seen: _messages.SeenOutcome,
    ) -> bool:
        name = self._names.get(seen.upstream)
        if name is None:
            return False
        outcome = seen.code.outcome
        if not self._blame(now, view, seen.upstream, outcome):
            return False
        return self._pool.record_outcome(
            now, name, outcome, seen.elapsed_milliseconds / 1000
        )

    def _blame(
        self,
        now: float,
        view: _instance_record.HolderView,
        upstream: int,
        outcome: request.Outcome,
    ) -> bool:
        """Tell whether an outcome speaks about the upstream.

        An instance that alone fails to reach an upstream is kept from it;
        the others go on using it.
        """
        if outcome is request.Outcome.ANSWERED:
            view.failures.pop(upstream, None)
            return True
        if not _upstream_record.is_failure(outcome):
            return True
        failures = view.failures.get(upstream, 0) + 1
        view.failures[upstream] = failures
        if failures >= self._settings.ejection_failures:
            seconds = self._settings.ejection_seconds
            view.blocked_until[upstream] = now + seconds
        return len(self._views) < 2 or failures <= _LONE_FAILURES

    def _grant_one(self, now: float, budget_share: float) -> Granted | None:
        room = self._find_room(now)
        if room.is_empty:
            return None
        waiting = self._line.list_waiting()
        first = self._scheduler.choose(waiting)
        rest = [each for each in waiting if each is not first]
        for priority in [first, *rest]:
            is_alert = priority is request.Priority.ALERT
            for holder in self._line.iterate(priority):
                view = self._views[holder]
                record = room.choose(now, view, is_alert)
                if record is None:
                    continue
                self._scheduler.record_turn(priority, waiting)
                return self._give(now, holder, priority, record, budget_share)
        return None

    def _give(
        self,
        now: float,
        holder: str,
        priority: request.Priority,
        record: _upstream_record.UpstreamRecord,
        budget_share: float,
    ) -> Granted:
        view = self._views[holder]
        view.record_grant(now, record.number, priority)
        view.in_line[priority] -= 1
        self._line.leave(priority, holder)
        self._line.update(holder, view)
        record.record_dispatch()
        uses = self._count_uses(budget_share)
        grant = _messages.SlotGrant(
            self._number, view.sequence, record.number, int(priority), uses
        )
        return Granted(holder, grant)

    def _find_room(self, now: float) -> _candidates.Room:
        """Find the upstreams that may be sent one more request."""
        usable = self._pool.list_usable(now)
        free = [each for each in usable if each.running < each.get_limit(now)]
        if free:
            return _candidates.Room(usable, free=free)
        return _candidates.Room(
            usable,
            extra=self._list_extra(now, usable),
            spare=self._list_spare(now),
        )

    def _list_extra(
        self, now: float, usable: list[_upstream_record.UpstreamRecord]
    ) -> list[_upstream_record.UpstreamRecord]:
        """List upstreams that may keep one request in their own queue.

        It hides the way of a slot back to the home and out again, and is
        worth it only when there is more work than the slots can take.
        What was sent on can't be overtaken any more, so none is sent
        while an alert waits, and alerts go to free slots alone.
        """
        if not self._is_saturated() or self._has_alert():
            return []
        extra = self._settings.pipeline_extra
        return [
            each
            for each in usable
            if not each.has_refused_lately(now)
            and not each.is_ramping
            and each.running < each.upstream.slots + extra
        ]

    def _list_spare(self, now: float) -> list[_upstream_record.UpstreamRecord]:
        """List slow upstreams that are still faster than the line."""
        if not self._pool.has_slow(now):
            return []
        median = self._pool.measure_median(now)
        wait = self._count_wanted() * median / max(1, self._pool.slots)
        return [
            each
            for each in self._pool.list_active()
            if each.is_slow
            and each.is_ejected(now)
            and each.running < each.upstream.slots
            and each.latency_seconds - median <= wait
        ]

    def _count_wanted(self) -> int:
        return sum(sum(each.waiting.values()) for each in self._views.values())

    def _has_alert(self) -> bool:
        return request.Priority.ALERT in self._line.list_waiting()

    def _is_saturated(self) -> bool:
        return len(self._line) > len(self._names)

    def _count_uses(self, budget_share: float) -> int:
        uses = self._settings.slot_uses
        if budget_share >= 0.5:
            return uses
        scarcity = 2.0 ** ((0.5 - budget_share) * 8)
        return min(_MAXIMUM_USES, max(uses, round(scarcity)))

    def _find_record(
        self, number: int
    ) -> _upstream_record.UpstreamRecord | None:
        name = self._names.get(number)
        return None if name is None else self._pool.get(name)
