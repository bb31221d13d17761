"""Rules that refuse or expire requests."""

from __future__ import annotations

from skylarkfold.admission import _results
from skylarkfold.admission import _service_queue
from skylarkfold.admission import _settings


class AdmissionPolicy:
    """Decides which requests may wait.

    A request that is not expected to be answered in time is refused at
    once rather than at its deadline, so that the caller can react early.

    :param settings: the admission settings.
    """

    __slots__ = ('_settings',)

    def __init__(self, settings: _settings.AdmissionSettings) -> None:
        self._settings = settings

    def check_admission(
        self,
        now: float,
        queue: _service_queue.ServiceQueue,
        entry: _results.Queued,
    ) -> _results.RefusalCode | None:
        """Return why a new entry must be refused, if at all.

        :param now: the current time.
        :param queue: the queue of its service.
        :param entry: the entry.
        :returns: the code of the refusal, None if the entry may wait.
        """
        class_queue = queue.class_queues[entry.request.priority]
        if len(class_queue) >= self._settings.class_requests:
            return _results.RefusalCode.QUEUE_FULL
        if (
            class_queue.size_bytes + entry.size_bytes
            > self._settings.class_bytes
        ):
            return _results.RefusalCode.QUEUE_FULL
        wait = queue.estimate_wait(now, entry.request.priority)
        maximum_age = self._settings.get_age_seconds(entry.request.priority)
        maximum_wait = self._settings.wait_share * (entry.deadline - now)
        if wait > min(maximum_age, maximum_wait) or self._misses_deadline(
            now, wait, queue, entry
        ):
            return _results.RefusalCode.DEADLINE
        return None

    def check_waiting(
        self,
        now: float,
        queue: _service_queue.ServiceQueue,
        entry: _results.Queued,
        ahead: int = 0,
    ) -> _results.RefusalCode | None:
        """Return why a waiting entry has to expire, if at all.

        :param now: the current time.
        :param queue: the queue of its service.
        :param entry: the entry.
        :param ahead: the number of entries of its class ahead of it.
        :returns: the code of the refusal, None if it may keep waiting.
        """
        maximum_age = self._settings.get_age_seconds(entry.request.priority)
        if now - entry.offered_at >= maximum_age:
            return _results.RefusalCode.AGED
        class_queue = queue.class_queues[entry.request.priority]
        wait = ahead * class_queue.turn_interval.estimate(now)
        if self._misses_deadline(now, wait, queue, entry):
            return _results.RefusalCode.DEADLINE
        return None

    def clamp_retry(self, wait_seconds: float) -> float:
        """Limit an estimated wait to the bounds of the retry time.

        :param wait_seconds: the estimated wait.
        :returns: the time after which to retry, in seconds.
        """
        minimum = self._settings.minimum_retry_seconds
        maximum = self._settings.maximum_retry_seconds
        return min(max(wait_seconds, minimum), maximum)

    def _misses_deadline(
        self,
        now: float,
        wait: float,
        queue: _service_queue.ServiceQueue,
        entry: _results.Queued,
    ) -> bool:
        deviations = self._settings.deviations
        service_time = queue.service_time.estimate(now, deviations)
        return now + wait + service_time >= entry.deadline
