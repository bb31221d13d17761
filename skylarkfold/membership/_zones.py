"""What is known of whole zones."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import math

from skylarkfold.membership import _messages


@dataclasses.dataclass(slots=True)
class _Zone:
    heard: float
    minimum_revision: int = 0
    reported: float = -math.inf


class Zones:
    """When each zone was last heard of, and its lowest revision."""

    __slots__ = ('_zones',)

    def __init__(self) -> None:
        self._zones: dict[str, _Zone] = {}

    def note_heard(self, zone: str, heard: float) -> None:
        """Note that an instance of a zone was heard.

        :param zone: the zone.
        :param heard: when, in seconds.
        """
        known = self._zones.setdefault(zone, _Zone(heard))
        known.heard = max(known.heard, heard)

    def note_least(self, zone: str, revision: int, now: float) -> None:
        """Note the lowest revision of the own zone.

        :param zone: the zone.
        :param revision: the revision.
        :param now: the time in seconds.
        """
        known = self._zones.setdefault(zone, _Zone(now))
        known.minimum_revision = revision
        known.reported = now

    def merge(self, summary: _messages.ZoneSummary, now: float) -> bool:
        """Take another instance's summary unless a later one is known.

        :param summary: the summary.
        :param now: the time in seconds.
        :returns: whether the zone's lowest revision changed by it.
        """
        reported = now - max(0, summary.age_milliseconds) / 1000
        self.note_heard(summary.zone, reported)
        known = self._zones[summary.zone]
        if reported <= known.reported:
            return False
        known.reported = reported
        before, known.minimum_revision = (
            known.minimum_revision,
            summary.minimum_revision,
        )
        return before != summary.minimum_revision

    def get_least(self, zone: str) -> int:
        """Find a zone's lowest revision, 0 if it is unknown."""
        known = self._zones.get(zone)
        return 0 if known is None else known.minimum_revision

    def compute_silence(self, zone: str, now: float) -> float:
        """Compute for how long nothing was heard of a zone.

        A zone that is asked about for the first time counts as heard now.

        :param zone: the zone.
        :param now: the time in seconds.
        :returns: seconds.
        """
        return now - self._zones.setdefault(zone, _Zone(now)).heard

    def describe(
        self, zones: Iterable[str], now: float
    ) -> tuple[_messages.ZoneSummary, ...]:
        """Describe zones for another instance.

        :param zones: which.
        :param now: the time in seconds.
        :returns: their summaries.
        """
        return tuple(
            _summarize(zone, self._zones[zone], now)
            for zone in zones
            if zone in self._zones and self._zones[zone].reported > -math.inf
        )

    def restart(self, now: float) -> None:
        """Count every zone as heard now, after a pause of this process.

        :param now: the time in seconds.
        """
        for known in self._zones.values():
            known.heard = now


def _summarize(zone: str, known: _Zone, now: float) -> _messages.ZoneSummary:
    age = max(0.0, now - known.reported)
    return _messages.ZoneSummary(zone, known.minimum_revision, int(age * 1000))
