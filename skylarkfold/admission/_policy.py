"""Whether a request can be answered in time, as far as is foreseen."""

from __future__ import annotations

from skylarkfold.admission import _results
from skylarkfold.admission import _service_queue
from skylarkfold.admission import _settings


class Forecast:
    """Judges requests by measured service times and turns.

    What can't be answered in time is refused as soon as that is foreseen,
    not when its deadline is near: its caller can do something else.

    :param settings: the margins.
    """

    __slots__ = ('_settings',)

    def __init__(self, settings: _settings.AdmissionSettings) -> None:
        self._settings = settings

    def find_obstacle(
        self,
        now: float,
        queue: _service_queue.ServiceQueue,
        entry: _results.Queued,
    ) -> _results.RefusalCode | None:
        """Find what speaks against taking a new entry.

        :param now: the current time.
        :param queue: its service's queue.
        :param entry: the entry.
        :returns: the code of a refusal, None if it may wait.
        """
        line = queue.lines[entry.request.priority]
        if len(line) >= self._settings.class_requests:
            return _results.RefusalCode.QUEUE_FULL
        if line.size_bytes + entry.size_bytes > self._settings.class_bytes:
            return _results.RefusalCode.QUEUE_FULL
        wait = queue.foretell_wait(now, entry.request.priority)
        age = self._settings.get_age_seconds(entry.request.priority)
        bound = self._settings.wait_share * (entry.deadline - now)
        if wait > min(age, bound) or self._is_late(now, wait, queue, entry):
            return _results.RefusalCode.DEADLINE
        return None

    def find_expiry(
        self,
        now: float,
        queue: _service_queue.ServiceQueue,
        entry: _results.Queued,
        ahead: int = 0,
    ) -> _results.RefusalCode | None:
        """Find whether an entry that waits has to be given up.

        :param now: the current time.
        :param queue: its service's queue.
        :param entry: the entry.
        :param ahead: how many of its class go before it.
        :returns: the code of a refusal, None if it may wait on.
        """
        age_seconds = self._settings.get_age_seconds(entry.request.priority)
        if now - entry.offered_at >= age_seconds:
            return _results.RefusalCode.AGED
        line = queue.lines[entry.request.priority]
        wait = ahead * line.interval.foretell(now)
        if self._is_late(now, wait, queue, entry):
            return _results.RefusalCode.DEADLINE
        return None

    def advise(self, wait_seconds: float) -> float:
        """Turn a foretold wait into advice to a refused caller.

        :param wait_seconds: the foretold wait.
        :returns: when to come back, in seconds.
        """
        least = self._settings.minimum_retry_seconds
        most = self._settings.maximum_retry_seconds
        return min(max(wait_seconds, least), most)

    def _is_late(
        self,
        now: float,
        wait: float,
        queue: _service_queue.ServiceQueue,
        entry: _results.Queued,
    ) -> bool:
        deviations = self._settings.deviations
        service_time = queue.service_time.foretell(now, deviations)
        return now + wait + service_time >= entry.deadline
