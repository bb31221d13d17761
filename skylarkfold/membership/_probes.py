"""Asks others whether they hear an instance, and answers them."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold import effect
from skylarkfold import member
from skylarkfold.membership import _failure_detector
from skylarkfold.membership import _messages
from skylarkfold.membership import _own_member
from skylarkfold.membership import _roster
from skylarkfold.membership import _settings
from skylarkfold import overlay

_HELPERS = 3


class Probes:
    """Indirect probes: silence here may be a broken path only.

    :param settings: the membership's settings.
    :param own: this instance's identity.
    :param roster: all facts.
    :param detector: this instance's own evidence.
    """

    __slots__ = ('_asked', '_detector', '_own', '_roster', '_settings')

    def __init__(
        self,
        settings: _settings.MembershipSettings,
        own: _own_member.Identity,
        roster: _roster.Roster,
        detector: _failure_detector.Detector,
    ) -> None:
        self._settings = settings
        self._own = own
        self._roster = roster
        self._detector = detector
        self._asked: dict[str, set[str]] = {}

    def send(
        self,
        target: str,
        membership: member.Membership,
        neighbours: Iterable[str],
    ) -> list[object]:
        """Ask a silent instance itself and some that watch it too.

        :param target: the silent instance.
        :param membership: all members.
        :param neighbours: this instance's own neighbours.
        """
        watchers = overlay.list_neighbours(membership, target)
        helpers = [name for name in watchers if name != self._own.name]
        helpers += [
            name
            for name in neighbours
            if name != target and name not in helpers
        ]
        request = _messages.ProbeRequest(target)
        return [self._own.introduce(target, True)] + [
            effect.SendToPeer(peer, request) for peer in helpers[:_HELPERS]
        ]

    def take(self, target: str, sender: str, now: float) -> list[object]:
        """Answer at once or ask the target first.

        :param target: the instance that the sender does not hear.
        :param sender: who asks.
        :param now: the time in seconds.
        """
        if target == self._own.name:
            return [_answer(sender, target, 0.0)]
        heard = self._detector.get_heard(target)
        limit = now - self._settings.suspect_seconds / 2
        if heard is not None and heard > limit:
            return [_answer(sender, target, now - heard)]
        if self._roster.get(target) is None:
            return []
        self._asked.setdefault(target, set()).add(sender)
        return [self._own.introduce(target, True)]

    def answer(self, target: str) -> list[object]:
        """Answer those who asked after an instance that is heard now.

        :param target: the instance.
        """
        asked = self._asked.pop(target, ())
        return [_answer(peer, target, 0.0) for peer in sorted(asked)]


def _answer(peer: str, target: str, age: float) -> effect.SendToPeer:
    answer = _messages.ProbeAnswer(target, int(age * 1000))
    return effect.SendToPeer(peer, answer)
