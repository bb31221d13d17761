"""The admission queue of an instance."""

from __future__ import annotations

from skylarkfold.admission import _policy
from skylarkfold.admission import _results
from skylarkfold.admission import _service_queue
from skylarkfold.admission import _settings
from skylarkfold import request as request_module

_OVERHEAD_BYTES = 512


def _measure_bytes(request: request_module.Request) -> int:
    headers = sum(len(name) + len(text) for name, text in request.headers)
    return _OVERHEAD_BYTES + len(request.body) + headers


class AdmissionQueue:
    """Requests that wait for an upstream, bounded by count, bytes and age.

    :param settings: the bounds.
    """

    def __init__(self, settings: _settings.AdmissionSettings) -> None:
        self._settings = settings
        self._forecast = _policy.Forecast(settings)
        self._queues: dict[str, _service_queue.ServiceQueue] = {}
        self._services: dict[int, str] = {}
        self._expired: list[_results.Expired] = []
        self._size_bytes = 0

    def offer(
        self, now: float, request: request_module.Request, deadline: float
    ) -> _results.Admitted | _results.Refusal:
        """Take a request, or refuse it at once.

        :param now: the current time.
        :param request: the request; its number must not wait already.
        :param deadline: the time by which its caller wants the answer.
        :returns: whether it waits now.
        """
        queue = self._get_queue(request.service)
        entry = _results.Queued(
            request, deadline, now, _measure_bytes(request)
        )
        code = self._forecast.find_obstacle(now, queue, entry)
        if code is not None:
            return self._refuse(now, queue, request.priority, code)
        evicted = self._make_room(now, entry)
        if evicted is None:
            code = _results.RefusalCode.UNFAIR_SHARE
            return self._refuse(now, queue, request.priority, code)
        self._append(now, queue, entry)
        return _results.Admitted(evicted)

    def take(self, now: float, service_name: str) -> _results.Queued | None:
        """Take the request whose turn it is.

        Entries that can't be answered in time any more are passed over;
        :meth:`expire` returns them.

        :param now: the current time.
        :param service_name: the service that has room.
        :returns: the entry, which waits no longer, or None.
        """
        queue = self._queues.get(service_name)
        while queue is not None and len(queue):
            entry = self._take_turn(now, queue)
            code = self._forecast.find_expiry(now, queue, entry)
            if code is None:
                return entry
            self._expired.append(self._give_up(now, queue, entry, code))
        return None

    def expire(self, now: float) -> list[_results.Expired]:
        """Give up what has waited too long or can't be answered in time.

        :param now: the current time.
        :returns: requests to answer at once: refused, not run.
        """
        waiting = [each for each in self._queues.values() if len(each)]
        for queue in waiting:
            self._expire_queue(now, queue)
        expired, self._expired = self._expired, []
        return expired

    def cancel(self, number: int) -> bool:
        """Forget a request whose caller went away.

        :param number: the request's number.
        :returns: whether it was waiting.
        """
        service_name = self._services.get(number)
        if service_name is None:
            return False
        queue = self._queues[service_name]
        for line in queue.lines.values():
            entry = line.remove(number)
            if entry is not None:
                self._forget(entry)
        return True

    def record_service_time(
        self, now: float, service_name: str, elapsed_seconds: float
    ) -> None:
        """Note how long an answered attempt took.

        :param now: the current time.
        :param service_name: the service.
        :param elapsed_seconds: from its dispatch to the whole answer.
        """
        queue = self._get_queue(service_name)
        queue.service_time.record(now, elapsed_seconds)

    def has_waiting(self, service_name: str) -> bool:
        """Tell whether any request waits for a service."""
        queue = self._queues.get(service_name)
        return queue is not None and len(queue) > 0

    def list_services(self) -> list[str]:
        """List the services that requests wait for, sorted by name."""
        return sorted(name for name, each in self._queues.items() if len(each))

    def count_waiting(self, service_name: str) -> _results.WaitingCounts:
        """Count what waits for a service.

        :param service_name: the service.
        :returns: a count for each class.
        """
        queue = self._queues.get(service_name)
        return _results.WaitingCounts() if queue is None else queue.count()

    def estimate_retry(
        self, now: float, service_name: str, priority: request_module.Priority
    ) -> float:
        """Foretell when a request of a class would be taken.

        :param now: the current time.
        :param service_name: the service.
        :param priority: the class.
        :returns: seconds, within the settings' bounds.
        """
        queue = self._get_queue(service_name)
        return self._forecast.advise(queue.foretell_wait(now, priority))

    def __len__(self) -> int:
        return len(self._services)

    @property
    def size_bytes(self) -> int:
        """The bytes that wait on the instance."""
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
        retry = self._forecast.advise(queue.foretell_wait(now, priority))
        return _results.Refusal(code, retry)

    def _make_room(
        self, now: float, entry: _results.Queued
    ) -> tuple[_results.Expired, ...] | None:
        evicted = []
        while self._is_over_total(entry):
            victim = self._find_victim(entry)
            if victim is None:
                break
            queue = self._queues[victim.request.service]
            self._remove(queue, victim)
            code = _results.RefusalCode.UNFAIR_SHARE
            evicted.append(self._give_up(now, queue, victim, code))
        if self._is_over_total(entry):
            self._expired += evicted
            return None
        return tuple(evicted)

    def _is_over_total(self, entry: _results.Queued) -> bool:
        size_bytes = self._size_bytes + entry.size_bytes
        too_many = len(self) >= self._settings.total_requests
        return too_many or size_bytes > self._settings.total_bytes

    def _find_victim(self, entry: _results.Queued) -> _results.Queued | None:
        """Find an entry of the service that is most over its share."""
        name = max(
            sorted(self._queues),
            key=lambda each: self._measure_share(self._queues[each], 0, 0),
        )
        largest = self._queues[name]
        own = self._measure_share(
            self._get_queue(entry.request.service), 1, entry.size_bytes
        )
        if self._measure_share(largest, 0, 0) <= own:
            return None
        return largest.find_newest_of_lowest()

    def _measure_share(
        self,
        queue: _service_queue.ServiceQueue,
        more_requests: int,
        more_bytes: int,
    ) -> float:
        requests = (len(queue) + more_requests) / self._settings.total_requests
        size_bytes = queue.size_bytes + more_bytes
        return max(requests, size_bytes / self._settings.total_bytes)

    def _append(
        self,
        now: float,
        queue: _service_queue.ServiceQueue,
        entry: _results.Queued,
    ) -> None:
        line = queue.lines[entry.request.priority]
        line.append(entry)
        line.interval.begin(now)
        self._services[entry.request.number] = entry.request.service
        self._size_bytes += entry.size_bytes

    def _remove(
        self, queue: _service_queue.ServiceQueue, entry: _results.Queued
    ) -> None:
        queue.lines[entry.request.priority].remove(entry.request.number)
        self._forget(entry)

    def _forget(self, entry: _results.Queued) -> None:
        del self._services[entry.request.number]
        self._size_bytes -= entry.size_bytes

    def _take_turn(
        self, now: float, queue: _service_queue.ServiceQueue
    ) -> _results.Queued:
        waiting = queue.list_waiting()
        priority = queue.scheduler.choose(waiting)
        queue.scheduler.record_turn(priority, waiting)
        line = queue.lines[priority]
        entry = line.get_first()
        line.interval.record_turn(now, len(line) > 1)
        self._remove(queue, entry)
        return entry

    def _expire_queue(
        self, now: float, queue: _service_queue.ServiceQueue
    ) -> None:
        for line in queue.lines.values():
            ahead = 0
            for entry in line:
                code = self._forecast.find_expiry(now, queue, entry, ahead)
                if code is None:
                    ahead += 1
                    continue
                self._remove(queue, entry)
                given_up = self._give_up(now, queue, entry, code)
                self._expired.append(given_up)

    def _give_up(
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
