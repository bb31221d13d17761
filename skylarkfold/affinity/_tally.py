"""Counters and histograms of the decisions; all names are here."""

from __future__ import annotations

import collections

from skylarkfold import histogram

# Counters, each followed by a dot and a reason of ``Reason``.
OPENED = 'open'
RESET = 'reset'
DROPPED = 'drop'
HELD = 'hold'
# The reason of a drop that no decision has.
HELD_TOO_LONG = 'held-too-long'

# Histograms of seconds.
OPEN_SECONDS = 'open_seconds'
ANSWER_SECONDS = 'answer_seconds'
DOUBT_SECONDS = 'doubt_seconds'
# How long the request of a new flow is expected to wait for a slot.
WAIT_SECONDS = 'wait_seconds'
# How long first packets waited for room on the instance's own link.
LINK_WAIT_SECONDS = 'link_wait_seconds'


class Tally:
    """What is counted on an instance.

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
        """Count durations that few instances have.

        :param name: one of this module's histograms.
        """
        self.histograms[name] = histogram.Histogram()

    def count(self, name: str, reason: str) -> None:
        """Count an event.

        :param name: one of this module's counters.
        :param reason: why.
        """
        self.counters[f'{name}.{reason}'] += 1

    def observe(self, name: str, seconds: float) -> None:
        """Count a duration.

        :param name: one of this module's histograms.
        :param seconds: the duration.
        """
        self.histograms[name].observe(seconds)
