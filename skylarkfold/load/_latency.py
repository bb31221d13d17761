"""Latency histograms."""

from __future__ import annotations

import dataclasses

from hdrh import histogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 120_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_SECOND = 1_000_000
MICROSECONDS_PER_MILLISECOND = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class LatencySummary:
    """Latency percentiles of one traffic entry, in milliseconds."""

    count: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    maximum_ms: float


class LatencyRecorder:
    """Recorder with a latency histogram for each traffic entry."""

    def __init__(self) -> None:
        self._histograms: dict[str, histogram.HdrHistogram] = {}

    def record(self, traffic: str, seconds: float) -> None:
        """Record one latency.

        :param traffic: the traffic's name.
        :param seconds: the latency.
        """
        traffic_histogram = self._histograms.get(traffic)
        if traffic_histogram is None:
            traffic_histogram = self._histograms[traffic] = (
                histogram.HdrHistogram(
                    LOWEST_MICROSECONDS,
                    HIGHEST_MICROSECONDS,
                    SIGNIFICANT_DIGITS,
                )
            )
        traffic_histogram.record_value(
            max(1, int(seconds * MICROSECONDS_PER_SECOND))
        )

    def encode(self) -> dict[str, str]:
        """Return all histograms in encoded form, by traffic name."""
        return {
            name: each.encode().decode()
            for name, each in self._histograms.items()
        }


def summarize(encoded: list[str]) -> LatencySummary:
    """Summarize the latencies of several callers.

    :param encoded: their encoded histograms of one traffic entry.
    :returns: the percentiles of the combined histogram.
    """
    total = histogram.HdrHistogram.decode(encoded[0])
    for each in encoded[1:]:
        total.decode_and_add(each)

    def get_percentile(percentile: float) -> float:
        value = total.get_value_at_percentile(percentile)
        return round(value / MICROSECONDS_PER_MILLISECOND, 3)

    return LatencySummary(
        count=total.get_total_count(),
        p50_ms=get_percentile(50),
        p90_ms=get_percentile(90),
        p99_ms=get_percentile(99),
        maximum_ms=round(
            total.get_max_value() / MICROSECONDS_PER_MILLISECOND, 3
        ),
    )
