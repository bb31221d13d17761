"""What instances are told of callers, where a service is short of room."""

from __future__ import annotations

from skylarkfold.relay import _effect
from skylarkfold.relay import _messages
from skylarkfold.relay import _pace

_NEVER = float('-inf')
# Of the bytes, what goes to the neighbours of this zone.
_NEAR_SHARE = 1 / 2
# What may be told at once when a shortage begins, in seconds of the bytes.
_BURST_SECONDS = 1.0
# What a report takes beside its words.
_REPORT_BYTES = 10


class CallerWords:
    """Passes on what is counted here and what other zones say.

    :param zone: this instance's availability zone.
    :param bytes_per_second: what it may cost.
    :param word_seconds: how long a word of other zones is passed on.
    :ivar is_urgent: whether a shortage has just begun, which is told at once.
    """

    __slots__ = (
        '_elsewhere',
        '_elsewhere_at',
        '_far_pace',
        '_near_pace',
        '_told_at',
        '_word',
        '_word_seconds',
        '_zone',
        '_zone_word',
        'is_urgent',
    )

    def __init__(
        self, zone: str, bytes_per_second: float, word_seconds: float
    ) -> None:
        self._zone = zone
        self._word_seconds = word_seconds
        near = _NEAR_SHARE * bytes_per_second
        far = bytes_per_second - near
        self._near_pace = _pace.Pace(near, _BURST_SECONDS)
        self._far_pace = _pace.Pace(far, _BURST_SECONDS)
        self.is_urgent = False
        self._word = b''
        self._zone_word = b''
        self._elsewhere = b''
        self._elsewhere_at = _NEVER
        # When what neighbours were last told of other zones was said.
        self._told_at = _NEVER

    def put(self, word: bytes, zone_word: bytes) -> None:
        """Take what is to be told of this instance and its zone.

        :param word: what is counted here; empty where no room is short.
        :param zone_word: the zone's sum; empty for nothing.
        """
        self.is_urgent |= bool(word) and not self._word
        self._word = word
        self._zone_word = zone_word

    def put_other_zones(self, at: float, word: bytes) -> None:
        """Take the sum of the other zones, heard from them here.

        :param at: when the last of it was said.
        :param word: the sum.
        """
        if at > self._elsewhere_at:
            self._pass_on(at, word)

    def _pass_on(self, at: float, word: bytes) -> None:
        self.is_urgent |= not self._elsewhere
        self._elsewhere, self._elsewhere_at = word, at

    def choose_near(
        self, now: float, hosts: int
    ) -> _messages.CallerReport | None:
        """Choose what goes to the neighbours of this zone now.

        :param now: the time.
        :param hosts: how many they are.
        :returns: the report; None for nothing.
        """
        age = now - self._elsewhere_at
        if self._elsewhere and age > self._word_seconds:
            self._elsewhere, self._elsewhere_at = b'', _NEVER
        is_new = self._elsewhere_at > self._told_at
        elsewhere = self._elsewhere if is_new else b''
        if not self._word and not elsewhere:
            return None
        age = age if is_new else 0.0
        report = _messages.CallerReport(self._word, elsewhere, age)
        chosen = _spend(now, self._near_pace, report, hosts)
        if chosen is not None:
            self._told_at = self._elsewhere_at
        return chosen

    def choose_far(
        self, now: float, hosts: int
    ) -> _messages.CallerReport | None:
        """Choose what goes to the neighbours in other zones now.

        :param now: the time.
        :param hosts: how many they are.
        :returns: the report; None for nothing.
        """
        if not self._zone_word:
            return None
        report = _messages.CallerReport(self._zone_word)
        return _spend(now, self._far_pace, report, hosts)

    def take(self, now: float, beacon: _messages.Beacon) -> list[object]:
        """Take what a peer tells.

        :param now: the time.
        :param beacon: its beacon.
        :returns: effects.
        """
        report = beacon.callers
        if report is None:
            return []
        if beacon.zone != self._zone:
            word = report.demand
            return [_effect.CallerDemandReported(beacon.zone, True, 0.0, word)]
        effects: list[object] = []
        if report.demand:
            told = _effect.CallerDemandReported(
                beacon.name, False, 0.0, report.demand
            )
            effects.append(told)
        at = now - report.age_seconds
        if report.other_zones and at > self._elsewhere_at:
            self._pass_on(at, report.other_zones)
            effects.append(
                _effect.CallerDemandReported(
                    '', True, report.age_seconds, report.other_zones
                )
            )
        return effects


def _spend(
    now: float, pace: _pace.Pace, report: _messages.CallerReport, hosts: int
) -> _messages.CallerReport | None:
    if not pace.is_due(now):
        return None
    size = _REPORT_BYTES + len(report.demand) + len(report.other_zones)
    pace.note_bytes(now, size * hosts)
    return report
