"""Result of a run as a text table."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses

from skylarkfold.load import _run

WIDTH = 52

_ROWS = (
    ('flows', 'flows of datagrams held'),
    ('broken_flows', 'flows that reached two upstreams or fell silent'),
    ('moved_flows', 'flows that left an upstream when it died'),
    ('streams', 'TCP streams held'),
    ('broken_streams', 'TCP streams that ended early'),
    ('cut_streams', 'TCP streams whose instance or upstream ended'),
    ('requests', 'requests'),
    ('ran', 'requests answered whole'),
    ('not_run', 'requests refused in the end as not run'),
    ('may_have_run', 'requests whose end nobody can know'),
    ('unanswered', 'requests without answer or verdict'),
    ('wrong_answers', "answers that were not the caller's own"),
    ('duplicate_runs', 'second runs of what may not be repeated'),
    ('false_not_run', 'refusals as not run of what did run'),
    ('misdelivered', 'packets that another service or flow got'),
    ('late_new_work', 'new work 5 s or more after a drain'),
)


def format_table(result: _run.RunResult) -> Iterator[str]:
    """Format the result of a run.

    :param result: the result.
    :returns: the lines of the table.
    """
    counts = dataclasses.asdict(result.promises)
    for field, meaning in _ROWS:
        yield f'{meaning:{WIDTH}} {counts[field]:>9}'
    for service, value in result.promises.imbalance.items():
        label = f'peak over mean of flows, {service}'
        yield f'{label:{WIDTH}} {value:>9}'
    for name, latency in result.latencies.items():
        label = f'latency of {name}: p50 and p99, ms'
        yield f'{label:{WIDTH}} {latency.p50_ms:>9.1f} {latency.p99_ms:>9.1f}'
    yield from result.details
    yield from result.failures
    verdict = 'all promises held' if result.passed else 'NOT ALL HELD'
    yield f'{result.scenario}: {verdict} ({result.seconds} s)'
