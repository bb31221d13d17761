"""Checks of the load balancer's promises to callers.

The checks use only what callers and upstreams observed, not what entry
instances report.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
import dataclasses

from skylarkfold.load import _result
from skylarkfold import standin

Records = dict[str, standin.UpstreamRecord]

DRAIN_GRACE_SECONDS = 5.0
SILENT_DATAGRAMS = 6
MAXIMUM_DESCRIBED = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Drain of an upstream.

    :param service: the upstream's service.
    :param upstream: the upstream's name.
    :param time: the time in seconds at which the drain command returned.
    :param undrained: the time in seconds at which the upstream returned to
        service; None if it did not.
    """

    service: str
    upstream: str
    time: float
    undrained: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Observations of a run that the promises are checked against.

    :param results: the results of the callers.
    :param records: the records of the upstreams, by name.
    :param drains: the drains of upstreams.
    :param steady: by service, the upstreams that accepted new work throughout
        the run.
    :param stopped: hosts of instances that were stopped or killed.
    """

    results: _result.CallerResults
    records: Records
    drains: tuple[Drain, ...] = ()
    steady: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    stopped: frozenset[str] = frozenset()

    @property
    def dead(self) -> set[str]:
        """Names of the upstreams that stopped during the run."""
        return {
            name
            for name, record in self.records.items()
            if record.stopped is not None
        }


@dataclasses.dataclass(frozen=True, slots=True)
class Promises:
    """Counts of broken promises and of traffic.

    :param flows: datagram flows.
    :param broken_flows: flows that reached two live upstreams or stopped
        receiving replies.
    :param moved_flows: flows that moved to another upstream because theirs
        stopped.
    :param requests: requests.
    :param wrong_answers: answers that were incomplete or belonged to another
        request.
    :param duplicate_runs: repeated runs of requests that may run only once.
    :param false_not_run: requests that ran but were rejected as not run.
    :param misdelivered: packets delivered to another service or flow.
    :param late_new_work: flows, streams and requests that an upstream received
        after its drain had taken effect.
    :param imbalance: by service, the ratio of maximum to mean flows per
        upstream, over upstreams that accepted new work throughout.
    :param unanswered: requests that ended without a verdict.
    :param streams: TCP streams.
    :param broken_streams: TCP streams that ended early although their instance
        and upstream were running.
    :param cut_streams: TCP streams that ended with their instance or upstream,
        whose kernel holds the connection.
    :param ran: requests with a complete answer.
    :param not_run: requests whose final verdict is not run.
    :param may_have_run: requests whose final verdict is may have run.
    """

    flows: int
    broken_flows: int
    moved_flows: int
    requests: int
    wrong_answers: int
    duplicate_runs: int
    false_not_run: int
    misdelivered: int
    late_new_work: int
    imbalance: dict[str, float]
    unanswered: int
    streams: int
    broken_streams: int
    cut_streams: int
    ran: int
    not_run: int
    may_have_run: int

    @property
    def hold(self) -> bool:
        """Whether all promises held."""
        broken = (
            self.broken_flows,
            self.wrong_answers,
            self.duplicate_runs,
            self.false_not_run,
            self.misdelivered,
            self.late_new_work,
            self.unanswered,
            self.broken_streams,
        )
        return not any(broken)


def judge(evidence: Evidence) -> Promises:
    """Count the broken promises of a run.

    :param evidence: the observations of the run.
    :returns: the counts.
    """
    results = evidence.results
    outcomes = collections.Counter(each.outcome for each in results.requests)
    return Promises(
        flows=len(results.flows),
        broken_flows=len(list_broken_flows(evidence)),
        moved_flows=_count_moved_flows(evidence),
        requests=len(results.requests),
        wrong_answers=_count_wrong_answers(results),
        duplicate_runs=count_duplicate_runs(evidence),
        false_not_run=len(list_false_refusals(evidence)),
        misdelivered=_count_misdelivered(evidence),
        late_new_work=len(list_late_work(evidence)),
        imbalance=_measure_imbalance(evidence),
        unanswered=sum(
            not each.outcome.is_verdict for each in results.requests
        ),
        streams=len(results.streams),
        broken_streams=len(list_broken_streams(evidence)),
        cut_streams=sum(_is_cut(each, evidence) for each in results.streams),
        ran=outcomes[_result.AttemptOutcome.RAN],
        not_run=outcomes[_result.AttemptOutcome.NOT_RUN],
        may_have_run=outcomes[_result.AttemptOutcome.MAY_HAVE_RUN],
    )


def list_broken_flows(evidence: Evidence) -> list[_result.FlowResult]:
    """List the flows that reached two live upstreams or get no replies.

    :param evidence: the observations of the run.
    :returns: the flows.
    """
    reached = _map_upstreams_by_flow(evidence)
    dead = evidence.dead
    return [
        flow
        for flow in evidence.results.flows
        if len(reached[flow.caller] - dead) > 1 or _is_silent(flow)
    ]


def _count_moved_flows(evidence: Evidence) -> int:
    reached = _map_upstreams_by_flow(evidence)
    dead = evidence.dead
    return sum(
        bool(reached[flow.caller] & dead) and bool(reached[flow.caller] - dead)
        for flow in evidence.results.flows
    )


def _is_cut(stream: _result.StreamResult, evidence: Evidence) -> bool:
    ended = stream.target in evidence.stopped
    return bool(stream.broken) and (ended or stream.upstream in evidence.dead)


def list_broken_streams(evidence: Evidence) -> list[_result.StreamResult]:
    """List the streams that ended early although both ends were running.

    :param evidence: the observations of the run.
    :returns: the streams.
    """
    return [
        stream
        for stream in evidence.results.streams
        if stream.broken and not _is_cut(stream, evidence)
    ]


def _map_upstreams_by_flow(evidence: Evidence) -> dict[str, set[str]]:
    """Return the names of the reached upstreams by flow address."""
    reached = collections.defaultdict(set)
    for flow in evidence.results.flows:
        reached[flow.caller].update(flow.upstreams)
    for name, record in evidence.records.items():
        for caller in record.flows:
            reached[caller].add(name)
    return reached


def _is_silent(flow: _result.FlowResult) -> bool:
    if flow.sent < SILENT_DATAGRAMS:
        return False
    interval = _estimate_interval(flow)
    silence = flow.last_sent - flow.last_answered
    return silence > interval * (SILENT_DATAGRAMS - 1)


def _estimate_interval(flow: _result.FlowResult) -> float:
    return (flow.last_sent - flow.first_sent) / (flow.sent - 1)


def _count_wrong_answers(results: _result.CallerResults) -> int:
    return sum(
        attempt.outcome is _result.AttemptOutcome.WRONG
        for request in results.requests
        for attempt in request.attempts
    )


def _map_runs(records: Records) -> dict[str, list[float]]:
    """Return the start times of all runs by request key."""
    runs = collections.defaultdict(list)
    for record in records.values():
        for key, times in record.runs.items():
            runs[key] += times
    return runs


def count_duplicate_runs(evidence: Evidence) -> int:
    """Count the repeated runs of requests that may run only once.

    :param evidence: the observations of the run.
    :returns: the number of such runs.
    """
    runs = _map_runs(evidence.records)
    keys = {
        request.attempts[0].key
        for request in evidence.results.requests
        if not request.repeatable and request.attempts
    }
    return sum(max(0, len(runs[key]) - 1) for key in keys)


def list_false_refusals(
    evidence: Evidence,
) -> list[_result.AttemptResult]:
    """List the attempts that were rejected as not run but did run.

    A run after the caller has retried the request does not count: the retry
    may have caused it.

    :param evidence: the observations of the run.
    :returns: the attempts.
    """
    runs = _map_runs(evidence.records)
    return [
        attempt
        for request in evidence.results.requests
        for attempt in request.attempts
        if attempt.outcome is _result.AttemptOutcome.NOT_RUN
        and _has_run_before_retry(attempt, request, runs[attempt.key])
    ]


def _has_run_before_retry(
    refused: _result.AttemptResult,
    request: _result.RequestResult,
    runs: list[float],
) -> bool:
    retried_at = min(
        (
            each.sent
            for each in request.attempts
            if each.key == refused.key and each.sent >= refused.ended
        ),
        default=float('inf'),
    )
    return any(run < retried_at for run in runs)


def _count_misdelivered(evidence: Evidence) -> int:
    by_upstreams = sum(
        record.misdelivered for record in evidence.records.values()
    )
    by_callers = sum(flow.misdelivered for flow in evidence.results.flows)
    return by_upstreams + by_callers


def list_late_work(evidence: Evidence) -> list[str]:
    """List the work that upstreams received after their drain took effect.

    :param evidence: the observations of the run.
    :returns: keys of requests and caller addresses of flows and streams.
    """
    return [
        subject
        for drain in evidence.drains
        for subject, time in _list_work(evidence.records[drain.upstream])
        if _is_late(drain, time)
    ]


def _is_late(drain: Drain, time: float) -> bool:
    if drain.undrained is not None and time >= drain.undrained:
        return False
    return time > drain.time + DRAIN_GRACE_SECONDS


def _list_work(
    record: standin.UpstreamRecord,
) -> Iterator[tuple[str, float]]:
    for caller, flow in record.flows.items():
        yield caller, flow.first_seen
    for start_times in (record.runs, record.streams):
        for subject, times in start_times.items():
            for time in times:
                yield subject, time


def _measure_imbalance(evidence: Evidence) -> dict[str, float]:
    reached = collections.Counter(
        (flow.service, max(flow.upstreams, key=flow.upstreams.get))
        for flow in evidence.results.flows
        if flow.upstreams
    )
    imbalance = {}
    for service, names in evidence.steady.items():
        counts = [reached[service, name] for name in names]
        if sum(counts):
            mean = sum(counts) / len(counts)
            imbalance[service] = round(max(counts) / mean, 3)
    return imbalance


def describe(evidence: Evidence) -> Iterator[str]:
    """Describe broken promises, at most a few of each kind.

    :param evidence: the observations of the run.
    :returns: lines of text.
    """
    reached = _map_upstreams_by_flow(evidence)
    for flow in list_broken_flows(evidence)[:MAXIMUM_DESCRIBED]:
        names = ', '.join(sorted(reached[flow.caller])) or 'nobody'
        counts = f'{flow.answered} of {flow.sent} answered'
        silence = flow.last_sent - flow.last_answered
        yield (
            f'broken flow {flow.caller} of {flow.service}: reached {names}; '
            f'{counts}, silent for {silence:.1f} s'
        )
    for attempt in list_false_refusals(evidence)[:MAXIMUM_DESCRIBED]:
        yield f'false not-run {attempt.key}: {attempt.code}'
    for subject in list_late_work(evidence)[:MAXIMUM_DESCRIBED]:
        yield f'late new work {subject}'
    yield from _describe_requests(evidence)
    for stream in list_broken_streams(evidence)[:MAXIMUM_DESCRIBED]:
        yield f'broken stream at {stream.target}: {stream.broken}'


def _describe_requests(evidence: Evidence) -> Iterator[str]:
    runs = _map_runs(evidence.records)
    for request in evidence.results.requests:
        key = request.attempts[0].key
        outcomes = ', '.join(
            f'{each.outcome}{f" ({each.code})" if each.code else ""}'
            for each in request.attempts
        )
        if not request.repeatable and len(runs[key]) > 1:
            yield f'duplicate run of {key}: {len(runs[key])} runs; {outcomes}'
        if not request.outcome.is_verdict:
            yield f'unanswered {key}: {outcomes}'
