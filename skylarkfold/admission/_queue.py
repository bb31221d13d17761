"""The admission queue of this instance."""

from __future__ import annotations

from skylarkfold.admission import _policy
from skylarkfold.admission import _results
from skylarkfold.admission import _service_queue
from skylarkfold.admission import _settings
from skylarkfold import request as request_module

_OVERHEAD_BYTES = 512


def _compute_size_bytes(request: request_module.Request) -> int:
    headers = sum(len(name) + len(text) for name, text in request.headers)
    return _OVERHEAD_BYTES + len(request.body) + headers


class AdmissionQueue:
    """Requests that wait for an upstream, bounded by count, bytes and age.

    :param settings: the admission settings.
    """

    def __init__(self, settings: _settings.AdmissionSettings) -> None:
        self._settings = settings
        self._policy = _policy.AdmissionPolicy(settings)
        self._queues: dict[str, _service_queue.ServiceQueue] = {}
        self._service_names: dict[int, str] = {}
        self._expired: list[_results.Expired] = []
        self._size_bytes = 0

    def offer(
        self, now: float, request: request_module.Request, deadline: float
    ) -> _results.Admitted | _results.Refusal:
        """Queue a request or refuse it.

        :param now: the current time.
        :param request: the request; its number must not be queued already.
        :param deadline: the time by which the caller needs the answer.
        :returns: whether it was queued.
        """
        queue = self._get_queue(request.service)
        entry = _results.Queued(
            request, deadline, now, _compute_size_bytes(request)
        )
        code = self._policy.check_admission(now, queue, entry)
        if code is not None:
            return self._refuse(now, queue, request.priority, code)
        evicted = self._evict_for(now, entry)
        if evicted is None:
            code = _results.RefusalCode.UNFAIR_SHARE
            return self._refuse(now, queue, request.priority, code)
        self._append(now, queue, entry)
        return _results.Admitted(evicted)

    def take(self, now: float, service_name: str) -> _results.Queued | None:
        """Remove and return the next request of a service.

        Entries that can no longer be answered in time are skipped; the
        next :meth:`expire` returns them.

        :param now: the current time.
        :param service_name: the service.
        :returns: the entry, or None if none is left.
        """
        queue = self._queues.get(service_name)
        while queue is not None and len(queue):
            entry = self._dequeue_next(now, queue)
            code = self._policy.check_waiting(now, queue, entry)
            if code is None:
                return entry
            self._expired.append(self._build_expired(now, queue, entry, code))
        return None

    def expire(self, now: float) -> list[_results.Expired]:
        """Remove requests that waited too long or would miss their deadline.

        :param now: the current time.
        :returns: the removed requests, to be answered as refused and not
            run.
        """
        waiting = [each for each in self._queues.values() if len(each)]
        for queue in waiting:
            self._expire_queue(now, queue)
        expired, self._expired = self._expired, []
        return expired

    def cancel(self, number: int) -> bool:
        """Remove a request whose caller disconnected.

        :param number: the number of the request.
        :returns: whether it was queued.
        """
        service_name = self._service_names.get(number)
        if service_name is None:
            return False
        queue = self._queues[service_name]
        for class_queue in queue.class_queues.values():
            entry = class_queue.remove(number)
            if entry is not None:
                self._untrack(entry)
        return True

    def record_service_time(
        self, now: float, service_name: str, elapsed_seconds: float
    ) -> None:
        """Record the service time of an answered attempt.

        :param now: the current time.
        :param service_name: the service.
        :param elapsed_seconds: the time from dispatch to the whole answer.
        """
        queue = self._get_queue(service_name)
        queue.service_time.record(now, elapsed_seconds)

    def has_waiting(self, service_name: str) -> bool:
        """Tell whether any request waits for a service."""
        queue = self._queues.get(service_name)
        return queue is not None and len(queue) > 0

    def list_services(self) -> list[str]:
        """List the services with waiting requests, sorted by name."""
        return sorted(name for name, each in self._queues.items() if len(each))

    def count_waiting(self, service_name: str) -> _results.WaitingCounts:
        """Count the waiting requests of a service.

        :param service_name: the service.
        :returns: the count of each class.
        """
        queue = self._queues.get(service_name)
        return _results.WaitingCounts() if queue is None else queue.count()

    def estimate_retry(
        self, now: float, service_name: str, priority: request_module.Priority
    ) -> float:
        """Estimate when a new request of a class would be dispatched.

        :param now: the current time.
        :param service_name: the service.
        :param priority: the class.
        :returns: the time in seconds, within the bounds of the settings.
        """
        queue = self._get_queue(service_name)
        return self._policy.clamp_retry(queue.estimate_wait(now, priority))

    def __len__(self) -> int:
        return len(self._service_names)

    @property
    def size_bytes(self) -> int:
        """The size of all waiting requests."""
        return self._size_bytes

    def _get_queue(self, service_name: str) -> _service_queue.ServiceQueue:
        queue = self._queues.get(service_name)
        if queue is None:
            queue = _service_queue.ServiceQueue(self._settings.floor_share)
            self._queues[service_name] = queue
        return queue

    def _refuse(
        self,
        now: float,
        queue: _service_queue.ServiceQueue,
        priority: request_module.Priority,
        code: _results.RefusalCode,
    ) -> _results.Refusal:
        retry = self._policy.clamp_retry(queue.estimate_wait(now, priority))
        return _results.Refusal(code, retry)

    def _evict_for(
        self, now: float, entry: _results.Queued
    ) -> tuple[_results.Expired, ...] | None:
        evicted = []
        while self._exceeds_totals(entry):
            victim = self._find_victim(entry)
            if victim is None:
                break
            queue = self._queues[victim.request.service]
            self._remove(queue, victim)
            code = _results.RefusalCode.UNFAIR_SHARE
            evicted.append(self._build_expired(now, queue, victim, code))
        if self._exceeds_totals(entry):
            self._expired += evicted
            return None
        return tuple(evicted)

    def _exceeds_totals(self, entry: _results.Queued) -> bool:
        size_bytes = self._size_bytes + entry.size_bytes
        has_too_many = len(self) >= self._settings.total_requests
        return has_too_many or size_bytes > self._settings.total_bytes

    def _find_victim(self, entry: _results.Queued) -> _results.Queued | None:
        """Find an entry to evict, of the service with the largest share.

        :returns: the entry, None if the new entry's service would have a
            share at least as large.
        """
        name = max(
            sorted(self._queues),
            key=lambda each: self._compute_share(self._queues[each], 0, 0),
        )
        largest = self._queues[name]
        own = self._compute_share(
            self._get_queue(entry.request.service), 1, entry.size_bytes
        )
        if self._compute_share(largest, 0, 0) <= own:
            return None
        return largest.find_eviction_candidate()

    def _compute_share(
        self,
        queue: _service_queue.ServiceQueue,
        extra_requests: int,
        extra_bytes: int,
    ) -> float:
        request_share = (
            len(queue) + extra_requests
        ) / self._settings.total_requests
        size_bytes = queue.size_bytes + extra_bytes
        return max(request_share, size_bytes / self._settings.total_bytes)

    def _append(
        self,
        now: float,
        queue: _service_queue.ServiceQueue,
        entry: _results.Queued,
    ) -> None:
        class_queue = queue.class_queues[entry.request.priority]
        class_queue.append(entry)
        class_queue.turn_interval.start_waiting(now)
        self._service_names[entry.request.number] = entry.request.service
        self._size_bytes += entry.size_bytes

    def _remove(
        self, queue: _service_queue.ServiceQueue, entry: _results.Queued
    ) -> None:
        queue.class_queues[entry.request.priority].remove(entry.request.number)
        self._untrack(entry)

    def _untrack(self, entry: _results.Queued) -> None:
        del self._service_names[entry.request.number]
        self._size_bytes -= entry.size_bytes

    def _dequeue_next(
        self, now: float, queue: _service_queue.ServiceQueue
    ) -> _results.Queued:
        waiting = queue.list_waiting()
        priority = queue.scheduler.choose(waiting)
        queue.scheduler.record_turn(priority, waiting)
        class_queue = queue.class_queues[priority]
        entry = class_queue.get_oldest()
        class_queue.turn_interval.record_turn(now, len(class_queue) > 1)
        self._remove(queue, entry)
        return entry

    def _expire_queue(
        self, now: float, queue: _service_queue.ServiceQueue
    ) -> None:
        for class_queue in queue.class_queues.values():
            ahead = 0
            for entry in class_queue:
                code = self._policy.check_waiting(now, queue, entry, ahead)
                if code is None:
                    ahead += 1
                    continue
                self._remove(queue, entry)
                expired = self._build_expired(now, queue, entry, code)
                self._expired.append(expired)

    def _build_expired(
        self,
        now: float,
        queue: _service_queue.ServiceQueue,
        entry: _results.Queued,
        code: _results.RefusalCode,
    ) -> _results.Expired:
        refusal = self._refuse(now, queue, entry.request.priority, code)
        return _results.Expired(
            entry.request, code, refusal.retry_after_seconds
        )
