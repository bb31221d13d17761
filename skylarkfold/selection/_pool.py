"""The upstreams of one service and the ejection of outliers."""

from __future__ import annotations

from collections.abc import Iterator
import math
import statistics

from skylarkfold import request
from skylarkfold.selection import _messages
from skylarkfold.selection import _settings
from skylarkfold.selection import _upstream_record
from skylarkfold import service as service_module

_MINIMUM_MEASURED_UPSTREAMS = 3


class UpstreamPool:
    """Records of a service's upstreams; ejects failing and slow ones.

    :param settings: the selection settings.
    :ivar service: the configuration, None until it is set.
    :ivar slots: the slots of all upstreams that accept new work.
    """

    __slots__ = ('_active', '_records', '_settings', 'service', 'slots')

    def __init__(self, settings: _settings.SelectionSettings) -> None:
        self._settings = settings
        self._records: dict[str, _upstream_record.UpstreamRecord] = {}
        self._active: list[_upstream_record.UpstreamRecord] = []
        self.service: service_module.Service | None = None
        self.slots = 0

    def configure(self, service: service_module.Service) -> None:
        """Apply a changed configuration; records of upstreams are kept.

        :param service: the service.
        """
        is_reconfigured = self.service is not None
        self.service = service
        minimum_work = min(
            (each.work for each in self._records.values()), default=0
        )
        numbers = _messages.assign_upstream_numbers(
            each.name for each in service.upstreams
        )
        records = {}
        for upstream in service.upstreams:
            record = self._records.get(upstream.name)
            if record is None:
                number = numbers[upstream.name]
                record = _upstream_record.UpstreamRecord(
                    upstream, self._settings, number, is_reconfigured
                )
                record.work = minimum_work
            record.upstream = upstream
            record.number = numbers[upstream.name]
            records[upstream.name] = record
        self._records = records
        self._active = [
            each for each in records.values() if each.upstream.takes_new_work
        ]
        self.slots = sum(each.upstream.slots for each in self._active)

    def map_numbers(self) -> dict[int, str]:
        """Map the numbers of all upstreams to their names."""
        return {each.number: each.upstream.name for each in self}

    def get(
        self, upstream_name: str
    ) -> _upstream_record.UpstreamRecord | None:
        """Return the record of an upstream.

        :param upstream_name: the upstream.
        :returns: its record, None if it is not configured.
        """
        return self._records.get(upstream_name)

    def __iter__(self) -> Iterator[_upstream_record.UpstreamRecord]:
        return iter(self._records.values())

    def list_active(self) -> list[_upstream_record.UpstreamRecord]:
        """List the upstreams that accept new work; do not modify the list."""
        return self._active

    def list_usable(self, now: float) -> list[_upstream_record.UpstreamRecord]:
        """List upstreams that accept work and are not ejected or suspect.

        Suspect ones are left out only within the cap on ejections.

        :param now: the current time.
        :returns: at least one upstream, unless none accepts new work.
        """
        usable = [each for each in self._active if not each.is_ejected(now)]
        self._raise_returning_work(usable)
        suspect = [each for each in usable if each.is_suspect(now)]
        if not suspect:
            return usable
        ejected_count = len(self._active) - len(usable)
        excludable_count = max(0, self._count_ejectable() - ejected_count)
        excluded = suspect[:excludable_count]
        return [each for each in usable if each not in excluded]

    def record_outcome(
        self,
        now: float,
        upstream_name: str,
        outcome: request.Outcome,
        elapsed_seconds: float,
    ) -> bool:
        """Record the outcome of a request, and eject its upstream if due.

        :param now: the current time.
        :param upstream_name: the upstream that it was sent to.
        :param outcome: how it ended.
        :param elapsed_seconds: the time since its dispatch.
        :returns: whether the upstream was ejected for it.
        """
        record = self._records.get(upstream_name)
        if record is None:
            return False
        record.record_outcome(now, outcome, elapsed_seconds)
        is_failing = record.failures >= self._get_failure_limit(record)
        is_slow = outcome is request.Outcome.ANSWERED and self._is_slow(
            now, record
        )
        if not (is_failing or is_slow) or record.is_ejected(now):
            return False
        if not self._may_eject(now, record):
            return False
        record.eject(now, is_slow and not is_failing)
        return True

    def is_unreachable(self, now: float) -> bool:
        """Tell whether recent requests to all upstreams failed.

        :param now: the current time.
        """
        failure_limit = self._settings.ejection_failures
        return all(
            each.failures >= failure_limit
            or (each.is_ejected(now) and not each.ejected_for_latency)
            for each in self._active
        )

    def has_latency_ejections(self, now: float) -> bool:
        """Tell whether any upstream is ejected for its latency.

        :param now: the current time.
        """
        return any(
            each.ejected_for_latency and each.is_ejected(now)
            for each in self._active
        )

    def compute_median_latency(self, now: float) -> float:
        """Compute the median latency of the upstreams not ejected.

        :param now: the current time.
        :returns: the median in seconds, 0 if nothing was measured.
        """
        latencies = [
            each.latency_seconds
            for each in self._active
            if each.latency_seconds and not each.is_ejected(now)
        ]
        return statistics.median(latencies) if latencies else 0.0

    def _raise_returning_work(
        self, usable: list[_upstream_record.UpstreamRecord]
    ) -> None:
        """Raise the work of upstreams that return from an ejection.

        Otherwise they would get a burst of requests to catch up.
        """
        for record in usable:
            if record.is_returning:
                record.is_returning = False
                others = [each.work for each in usable if each is not record]
                record.work = max(record.work, min(others, default=0.0))

    def _get_failure_limit(
        self, record: _upstream_record.UpstreamRecord
    ) -> int:
        return (
            1 if record.is_on_probation else self._settings.ejection_failures
        )

    def _is_slow(
        self, now: float, record: _upstream_record.UpstreamRecord
    ) -> bool:
        if self._settings.policy is not _settings.Policy.SLOTS:
            return False
        measured = [each for each in self._active if each.is_measured]
        if (
            not record.is_measured
            or len(measured) < _MINIMUM_MEASURED_UPSTREAMS
        ):
            return False
        median = self.compute_median_latency(now)
        return record.latency_seconds > self._settings.slow_factor * median

    def _may_eject(
        self, now: float, candidate: _upstream_record.UpstreamRecord
    ) -> bool:
        ejected = sum(
            1
            for each in self._active
            if each is not candidate and each.is_ejected(now)
        )
        return ejected < self._count_ejectable()

    def _count_ejectable(self) -> int:
        share = self._settings.maximum_ejected_share
        count = math.floor(share * len(self._active))
        if share > 0:
            count = max(1, count)
        return min(count, len(self._active) - 1)
