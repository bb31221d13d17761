"""Counters and histograms as text, in the format of Prometheus."""

from __future__ import annotations

from collections.abc import Mapping

from skylarkfold import histogram

# What the daemon itself counts, beside the decisions' counters.
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

# Histograms that the daemon fills.
LAG_SECONDS = 'lag_seconds'
STORE_SECONDS = 'store_seconds'

_PREFIX = 'skylarkfold_'


def format_metrics(
    counters: Mapping[str, int],
    gauges: Mapping[str, float],
    histograms: Mapping[str, histogram.Histogram],
) -> bytes:
    """Write all metrics.

    A counter's name up to its last dot names the metric, the rest is its
    label ``reason``.

    :param counters: totals by name.
    :param gauges: present values by name.
    :param histograms: by name.
    :returns: the text.
    """
    lines = []
    known = set()
    for name, total in sorted(counters.items()):
        group, _, reason = name.rpartition('.')
        metric = f'{_PREFIX}{_clean(group or reason)}_total'
        if metric not in known:
            known.add(metric)
            lines.append(f'# TYPE {metric} counter')
        label = f'{{reason="{reason}"}}' if group else ''
        lines.append(f'{metric}{label} {total}')
    for name, value in sorted(gauges.items()):
        metric = _PREFIX + _clean(name)
        lines += [f'# TYPE {metric} gauge', f'{metric} {value:g}']
    for name, taken in sorted(histograms.items()):
        lines += _format_histogram(_PREFIX + _clean(name), taken)
    return '\n'.join((*lines, '')).encode()


def _format_histogram(metric: str, taken: histogram.Histogram) -> list[str]:
    lines = [f'# TYPE {metric} histogram']
    total = 0
    for bound, count in zip(histogram.BOUNDS, taken.counts, strict=False):
        total += count
        lines.append(f'{metric}_bucket{{le="{bound:g}"}} {total}')
    lines += [
        f'{metric}_bucket{{le="+Inf"}} {taken.count}',
        f'{metric}_sum {taken.total:g}',
        f'{metric}_count {taken.count}',
    ]
    return lines


def _clean(name: str) -> str:
    return ''.join(
        each if each.isascii() and each.isalnum() else '_' for each in name
    )
