"""State of whole zones."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import math

from skylarkfold.membership import _messages


@dataclasses.dataclass(slots=True)
class _ZoneRecord:
    heard_at: float
    minimum_revision: int = 0
    reported_at: float = -math.inf


class Zones:
    """Last contact and lowest revision in force of each zone."""

    __slots__ = ('_zones',)

    def __init__(self) -> None:
        self._zones: dict[str, _ZoneRecord] = {}

    def record_heard(self, zone: str, heard_at: float) -> None:
        """Record that an instance of a zone was heard from.

        :param zone: the zone.
        :param heard_at: the time in seconds.
        """
        record = self._zones.setdefault(zone, _ZoneRecord(heard_at))
        record.heard_at = max(record.heard_at, heard_at)

    def record_minimum_revision(
        self, zone: str, revision: int, now: float
    ) -> None:
        """Record the lowest revision in force in the own zone.

        :param zone: the zone.
        :param revision: the revision.
        :param now: the time in seconds.
        """
        record = self._zones.setdefault(zone, _ZoneRecord(now))
        record.minimum_revision = revision
        record.reported_at = now

    def merge(self, summary: _messages.ZoneSummary, now: float) -> bool:
        """Merge a zone summary unless a newer one is known.

        :param summary: the summary.
        :param now: the time in seconds.
        :returns: whether the zone's lowest revision changed.
        """
        reported_at = now - max(0, summary.age_milliseconds) / 1000
        self.record_heard(summary.zone, reported_at)
        record = self._zones[summary.zone]
        if reported_at <= record.reported_at:
            return False
        record.reported_at = reported_at
        previous, record.minimum_revision = (
            record.minimum_revision,
            summary.minimum_revision,
        )
        return previous != summary.minimum_revision

    def get_minimum_revision(self, zone: str) -> int:
        """Return a zone's lowest revision, 0 if unknown."""
        record = self._zones.get(zone)
        return 0 if record is None else record.minimum_revision

    def compute_silence(self, zone: str, now: float) -> float:
        """Compute the time since a zone was last heard from.

        An unknown zone is recorded as heard from now.

        :param zone: the zone.
        :param now: the time in seconds.
        :returns: the time in seconds.
        """
        return now - self._zones.setdefault(zone, _ZoneRecord(now)).heard_at

    def build_summaries(
        self, zones: Iterable[str], now: float
    ) -> tuple[_messages.ZoneSummary, ...]:
        """Build the summaries of zones for another instance.

        :param zones: the zones.
        :param now: the time in seconds.
        :returns: the summaries of those with a reported revision.
        """
        return tuple(
            _summarize(zone, self._zones[zone], now)
            for zone in zones
            if zone in self._zones
            and self._zones[zone].reported_at > -math.inf
        )

    def reset(self, now: float) -> None:
        """Mark every zone as heard from now, after a pause of this process.

        :param now: the time in seconds.
        """
        for record in self._zones.values():
            record.heard_at = now


def _summarize(
    zone: str, record: _ZoneRecord, now: float
) -> _messages.ZoneSummary:
    age = max(0.0, now - record.reported_at)
    return _messages.ZoneSummary(
        zone, record.minimum_revision, int(age * 1000)
    )
