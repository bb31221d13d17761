"""Metrics in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Mapping

from skylarkfold import histogram

# Names of the daemon's counters; the affinity core has its own.
BEACON_MALFORMED = 'beacon.malformed'
CALLERS_MALFORMED = 'callers.malformed'
FETCH_MALFORMED = 'fetch.malformed'
PACKET_MALFORMED = 'packet.malformed'
PAGE_MALFORMED = 'page.malformed'
PEERS_ASKED = 'peers.asked'
PROBE = 'probe'
RELAY = 'relay'
SEND_FAILED = 'send'
STORE_CALLS = 'store.calls'
STORE_ANSWERS = 'store'
LINES_LEFT_OUT = 'lines.left-out'

# Names of the daemon's histograms.
LAG_SECONDS = 'lag_seconds'
STORE_SECONDS = 'store_seconds'

_PREFIX = 'skylarkfold_'


def format_metrics(
    counters: Mapping[str, int],
    gauges: Mapping[str, float],
    histograms: Mapping[str, histogram.Histogram],
) -> bytes:
    """Format all metrics.

    The part of a counter's name before the last dot is the name of the metric,
    the part after it the value of its label ``reason``.

    :param counters: totals by name.
    :param gauges: current values by name.
    :param histograms: histograms by name.
    :returns: the text.
    """
    lines = []
    declared = set()
    for name, total in sorted(counters.items()):
        group, _, reason = name.rpartition('.')
        metric = f'{_PREFIX}{_sanitize(group or reason)}_total'
        if metric not in declared:
            declared.add(metric)
            lines.append(f'# TYPE {metric} counter')
        label = f'{{reason="{reason}"}}' if group else ''
        lines.append(f'{metric}{label} {total}')
    for name, value in sorted(gauges.items()):
        metric = _PREFIX + _sanitize(name)
        lines += [f'# TYPE {metric} gauge', f'{metric} {value:g}']
    for name, observed in sorted(histograms.items()):
        lines += _format_histogram(_PREFIX + _sanitize(name), observed)
    return '\n'.join((*lines, '')).encode()


def _format_histogram(metric: str, observed: histogram.Histogram) -> list[str]:
    lines = [f'# TYPE {metric} histogram']
    total = 0
    for bound, count in zip(histogram.BOUNDS, observed.counts, strict=False):
        total += count
        lines.append(f'{metric}_bucket{{le="{bound:g}"}} {total}')
    lines += [
        f'{metric}_bucket{{le="+Inf"}} {observed.count}',
        f'{metric}_sum {observed.total:g}',
        f'{metric}_count {observed.count}',
    ]
    return lines


def _sanitize(name: str) -> str:
    return ''.join(
        each if each.isascii() and each.isalnum() else '_' for each in name
    )
