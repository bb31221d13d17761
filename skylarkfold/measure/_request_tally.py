"""Results of one run of the request measure."""

from __future__ import annotations

import collections
from collections.abc import Iterable
import dataclasses

from hdrh import histogram

from skylarkfold.measure import _request_case
from skylarkfold.measure import _request_fleet
from skylarkfold import request as request_module
from skylarkfold import verdict

_MAXIMUM_MICROSECONDS = 600_000_000
_DIGITS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMeasurement:
    """What one policy did under one load in one scenario.

    Latencies are those of answered requests, from arrival at the instance
    to the answer. The first tenth of the run is left out of latencies and
    imbalance.

    :param policy: how upstreams were chosen.
    :param load: offered work as a share of all slots.
    :param scenario: what was wrong.
    :param goodput_share: answered in time, relative to what was offered
        or, if that is less, to what the upstreams could run.
    :param p50_ms: the median latency.
    :param p99_ms: the 99th percentile.
    :param alert_p99_ms: the same of alerts alone.
    :param p50_ratio: the median relative to the mean service time.
    :param p99_ratio: the 99th percentile relative to it.
    :param alert_p99_ratio: the same of alerts alone.
    :param imbalance: the most requests that a usual upstream ran,
        relative to the mean of the usual ones.
    :param shed_share: requests refused as not run.
    :param shed_p99_ms: how long such a refusal took, 99th percentile.
    :param duplicate_runs: runs of a request beyond its first, of those
        that may not be repeated.
    :param false_not_run: answers ``not run`` to requests that ran.
    :param lost_answers: requests without a final answer.
    :param control_bytes_per_second: messages between instances, sent and
        received by the one with the most.
    """

    policy: str
    load: float
    scenario: str
    goodput_share: float
    p50_ms: float
    p99_ms: float
    alert_p99_ms: float
    p50_ratio: float
    p99_ratio: float
    alert_p99_ratio: float
    imbalance: float
    shed_share: float
    shed_p99_ms: float
    duplicate_runs: int
    false_not_run: int
    lost_answers: int
    control_bytes_per_second: float


class Tally:
    """Compares what callers were told with what upstreams ran.

    :param case: the run.
    :param fleet: its end state.
    :param sent: all requests.
    :param arrivals: when each arrived.
    """

    def __init__(
        self,
        case: _request_case.Case,
        fleet: _request_fleet.Fleet,
        sent: list[request_module.Request],
        arrivals: list[float],
    ) -> None:
        self._case = case
        self._fleet = fleet
        self._sent = sent
        self._arrivals = arrivals
        self._warm = int(len(sent) * _request_fleet.JOIN_SHARE)
        self._runs = collections.Counter(
            number
            for upstream in fleet.upstreams.values()
            for number in upstream.runs
        )

    def summarize(self) -> RequestMeasurement:
        """Sum the run up."""
        case = self._case
        service_ms = case.service_seconds * 1000
        latencies = self._measure_latencies(set(request_module.Priority))
        alerts = self._measure_latencies({request_module.Priority.ALERT})
        p50_ms = _get_percentile(latencies, 50)
        p99_ms = _get_percentile(latencies, 99)
        alert_p99_ms = _get_percentile(alerts, 99)
        most = max(self._fleet.control_bytes.values())
        return RequestMeasurement(
            policy=str(case.policy),
            load=case.load,
            scenario=str(case.scenario),
            goodput_share=round(self._measure_goodput(), 4),
            p50_ms=p50_ms,
            p99_ms=p99_ms,
            alert_p99_ms=alert_p99_ms,
            p50_ratio=round(p50_ms / service_ms, 2),
            p99_ratio=round(p99_ms / service_ms, 2),
            alert_p99_ratio=round(alert_p99_ms / service_ms, 2),
            imbalance=round(self._measure_imbalance(), 3),
            shed_share=round(self._measure_shed(), 4),
            shed_p99_ms=_get_percentile(self._measure_refusals(), 99),
            duplicate_runs=self._count_duplicates(),
            false_not_run=self._count_false(),
            lost_answers=len(self._sent) - len(self._fleet.answers),
            control_bytes_per_second=round(most / case.seconds, 1),
        )

    def _measure_latencies(
        self, priorities: set[request_module.Priority]
    ) -> histogram.HdrHistogram:
        return self._record(
            each.number
            for each in self._sent[self._warm :]
            if each.priority in priorities
            and self._get_verdict(each.number) is verdict.Verdict.RAN
        )

    def _measure_refusals(self) -> histogram.HdrHistogram:
        return self._record(
            each.number
            for each in self._sent[self._warm :]
            if self._get_verdict(each.number) is verdict.Verdict.NOT_RUN
        )

    def _get_verdict(self, number: int) -> verdict.Verdict | None:
        received = self._fleet.answers.get(number)
        return None if received is None else received.answer.verdict

    def _record(self, numbers: Iterable[int]) -> histogram.HdrHistogram:
        recorded = histogram.HdrHistogram(1, _MAXIMUM_MICROSECONDS, _DIGITS)
        for number in numbers:
            taken = self._fleet.answers[number].at - self._arrivals[number]
            recorded.record_value(max(1, round(taken * 1e6)))
        return recorded

    def _measure_goodput(self) -> float:
        """Relate the answers in time to what was possible.

        Only answers between the first tenth and the end of the sending
        count, so that neither the filling nor the emptying of the queues
        flatters or hurts.
        """
        begin = self._arrivals[self._warm]
        end = self._arrivals[-1]
        answered = sum(
            1
            for received in self._fleet.answers.values()
            if begin <= received.at < end
            and received.answer.verdict is verdict.Verdict.RAN
        )
        offered = len(self._sent) - self._warm
        possible = self._case.capacity * (end - begin)
        return answered / min(offered, possible)

    def _measure_imbalance(self) -> float:
        counts = []
        is_plain = self._case.scenario is _request_case.Scenario.PLAIN
        first = 0 if is_plain else 1
        for upstream in list(self._fleet.upstreams.values())[first:]:
            runs = (each for each in upstream.runs if each >= self._warm)
            counts.append(sum(1 for _ in runs))
        return max(counts) / (sum(counts) / len(counts))

    def _measure_shed(self) -> float:
        refused = sum(
            1
            for received in self._fleet.answers.values()
            if received.answer.verdict is verdict.Verdict.NOT_RUN
        )
        return refused / len(self._sent)

    def _count_duplicates(self) -> int:
        return sum(
            self._runs[one.number] - 1
            for one in self._sent
            if not one.idempotent and self._runs[one.number] > 1
        )

    def _count_false(self) -> int:
        return sum(
            1
            for number, received in self._fleet.answers.items()
            if received.answer.verdict is verdict.Verdict.NOT_RUN
            and self._runs[number]
        )


def _get_percentile(
    recorded: histogram.HdrHistogram, percentile: float
) -> float:
    microseconds = recorded.get_value_at_percentile(percentile)
    return round(microseconds / 1000, 1)
