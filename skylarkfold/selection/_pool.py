"""The upstreams of one service with what has been seen of them."""

from __future__ import annotations

from collections.abc import Iterator
import math
import statistics

from skylarkfold import request
from skylarkfold.selection import _messages
from skylarkfold.selection import _settings
from skylarkfold.selection import _upstream_record
from skylarkfold import service as service_module

_MINIMUM_COMPARED = 3


class Pool:
    """Records of a service's upstreams, and the ejection of outliers.

    :param settings: limits and times.
    """

    __slots__ = ('_active', '_records', '_settings', 'service', 'slots')

    def __init__(self, settings: _settings.SelectionSettings) -> None:
        self._settings = settings
        self._records: dict[str, _upstream_record.UpstreamRecord] = {}
        self._active: list[_upstream_record.UpstreamRecord] = []
        self.service: service_module.Service | None = None
        self.slots = 0

    def configure(self, service: service_module.Service) -> None:
        """Take a newer configuration, keeping what was seen.

        :param service: the service.
        """
        is_running = self.service is not None
        self.service = service
        least = min((each.work for each in self._records.values()), default=0)
        numbers = _messages.number_upstreams(
            each.name for each in service.upstreams
        )
        records = {}
        for upstream in service.upstreams:
            record = self._records.get(upstream.name)
            if record is None:
                number = numbers[upstream.name]
                record = _upstream_record.UpstreamRecord(
                    upstream, self._settings, number, is_running
                )
                record.work = least
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
        """Look up a record.

        :param upstream_name: the upstream.
        :returns: its record, None once it was removed.
        """
        return self._records.get(upstream_name)

    def __iter__(self) -> Iterator[_upstream_record.UpstreamRecord]:
        return iter(self._records.values())

    def list_active(self) -> list[_upstream_record.UpstreamRecord]:
        """List the upstreams that take new work; not to be changed."""
        return self._active

    def list_usable(self, now: float) -> list[_upstream_record.UpstreamRecord]:
        """List those that take new work and are neither out nor doubtful.

        Doubtful ones are left out only within the cap on ejections.

        :param now: the present time.
        :returns: at least one, unless none takes new work.
        """
        usable = [each for each in self._active if not each.is_ejected(now)]
        self._let_return(usable)
        doubtful = [each for each in usable if each.is_doubtful(now)]
        if not doubtful:
            return usable
        out = len(self._active) - len(usable)
        allowed = max(0, self._count_ejectable() - out)
        left_out = doubtful[:allowed]
        return [each for each in usable if each not in left_out]

    def record_outcome(
        self,
        now: float,
        upstream_name: str,
        outcome: request.Outcome,
        elapsed_seconds: float,
    ) -> bool:
        """Note how a request ended and eject its upstream if it has to be.

        :param now: the present time.
        :param upstream_name: where it was sent.
        :param outcome: how it ended.
        :param elapsed_seconds: since its dispatch.
        :returns: whether the upstream was ejected by this.
        """
        record = self._records.get(upstream_name)
        if record is None:
            return False
        record.record_outcome(now, outcome, elapsed_seconds)
        is_failing = record.failures >= self._get_tolerated(record)
        is_slow = outcome is request.Outcome.ANSWERED and self._is_slow(
            now, record
        )
        if not (is_failing or is_slow) or record.is_ejected(now):
            return False
        if not self._may_eject(now, record):
            return False
        record.eject(now, is_slow and not is_failing)
        return True

    def is_out_of_reach(self, now: float) -> bool:
        """Tell whether requests to every upstream have failed lately.

        :param now: the present time.
        """
        tolerated = self._settings.ejection_failures
        return all(
            each.failures >= tolerated
            or (each.is_ejected(now) and not each.is_slow)
            for each in self._active
        )

    def has_slow(self, now: float) -> bool:
        """Tell whether an upstream is out for slowness.

        :param now: the present time.
        """
        return any(
            each.is_slow and each.is_ejected(now) for each in self._active
        )

    def measure_median(self, now: float) -> float:
        """Measure the median service time of the usable upstreams.

        :param now: the present time.
        :returns: seconds, 0 as long as nothing was measured.
        """
        latencies = [
            each.latency_seconds
            for each in self._active
            if each.latency_seconds and not each.is_ejected(now)
        ]
        return statistics.median(latencies) if latencies else 0.0

    def _let_return(
        self, usable: list[_upstream_record.UpstreamRecord]
    ) -> None:
        """Keep an upstream that comes back from catching up on its share."""
        for record in usable:
            if record.is_returning:
                record.is_returning = False
                others = [each.work for each in usable if each is not record]
                record.work = max(record.work, min(others, default=0.0))

    def _get_tolerated(self, record: _upstream_record.UpstreamRecord) -> int:
        return 1 if record.is_on_trial else self._settings.ejection_failures

    def _is_slow(
        self, now: float, record: _upstream_record.UpstreamRecord
    ) -> bool:
        if self._settings.policy is not _settings.Policy.SLOTS:
            return False
        measured = [each for each in self._active if each.is_measured]
        if not record.is_measured or len(measured) < _MINIMUM_COMPARED:
            return False
        median = self.measure_median(now)
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
