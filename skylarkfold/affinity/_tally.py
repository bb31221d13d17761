"""Names of counters and histograms, and their values."""

from __future__ import annotations

import collections

from skylarkfold import histogram

# Counters; each name is followed by a dot and one of ``Reason``.
OPENED = 'open'
RESET = 'reset'
DROPPED = 'drop'
HELD = 'hold'
# A reason of drops that is not one of ``Reason``.
HELD_TOO_LONG = 'held-too-long'

# Histograms of seconds.
OPEN_SECONDS = 'open_seconds'
ANSWER_SECONDS = 'answer_seconds'
DOUBT_SECONDS = 'doubt_seconds'
# The expected wait of a new flow's request for a slot.
WAIT_SECONDS = 'wait_seconds'
# How long first packets were held for room on this instance's own link.
LINK_WAIT_SECONDS = 'link_wait_seconds'


class Tally:
    """Counters and histograms of an instance.

    :ivar counters: by name.
    :ivar histograms: by name.
    """

    __slots__ = ('counters', 'histograms')

    def __init__(self) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self.histograms = {
            name: histogram.Histogram()
            for name in (
                OPEN_SECONDS,
                ANSWER_SECONDS,
                DOUBT_SECONDS,
                WAIT_SECONDS,
            )
        }

    def add_histogram(self, name: str) -> None:
        """Add a histogram that only some instances have.

        :param name: one of this module's histograms.
        """
        self.histograms[name] = histogram.Histogram()

    def count(self, name: str, reason: str) -> None:
        """Increment a counter.

        :param name: one of this module's counters.
        :param reason: the reason, part of the counter's name.
        """
        self.counters[f'{name}.{reason}'] += 1

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram.

        :param name: one of this module's histograms.
        :param seconds: the duration.
        """
        self.histograms[name].observe(seconds)
