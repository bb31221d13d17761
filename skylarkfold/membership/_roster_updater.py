"""Takes and makes statements about instances."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from skylarkfold import effect
from skylarkfold import member
from skylarkfold.membership import _effects
from skylarkfold.membership import _failure_detector
from skylarkfold.membership import _gossip
from skylarkfold.membership import _messages
from skylarkfold.membership import _own_member
from skylarkfold.membership import _roster
from skylarkfold import metric

_State = member.MemberState


class Ledger:
    """Changes the roster, and what follows from a change.

    :param own: this instance's identity.
    :param roster: all facts.
    :param gossip: passes facts on.
    :param detector: keeps the time that suspects have left.
    """

    __slots__ = ('_detector', '_gossip', '_own', '_roster', 'is_changed')

    def __init__(
        self,
        own: _own_member.Identity,
        roster: _roster.Roster,
        gossip: _gossip.Gossip,
        detector: _failure_detector.Detector,
    ) -> None:
        self._own = own
        self._roster = roster
        self._gossip = gossip
        self._detector = detector
        self.is_changed = True

    def merge(
        self, facts: Iterable[_messages.MemberUpdate], sender: str, now: float
    ) -> list[object]:
        """Take another instance's facts.

        :param facts: the facts.
        :param sender: who told them.
        :param now: the time in seconds.
        :returns: log lines and counts.
        """
        effects = []
        for fact in facts:
            if fact.name == self._own.name:
                effects += self._answer(fact, now)
            elif not _gossip.is_valid(fact):
                effects.append(effect.CountMetric(metric.MEMBERSHIP_MALFORMED))
            elif self._gossip.trusts(fact, sender):
                self._keep(fact, sender, now)
        return effects

    def take_roster(
        self, answer: _messages.RosterAnswer, sender: str, now: float
    ) -> list[object]:
        """Take all facts of some zones, and tell what is later here.

        :param answer: the facts.
        :param sender: who told them.
        :param now: the time in seconds.
        """
        later = self._gossip.list_later(answer)
        dropped = self._gossip.list_dropped(answer, sender)
        effects = self.merge(answer.facts, sender, now)
        for name in dropped:
            self._roster.drop(name)
            self.is_changed = True
        kept = [fact for fact in later if fact.name not in dropped]
        if kept:
            effects.append(_effects.send_facts(sender, kept))
        return effects

    def declare(
        self, name: str, now: float, **changes: object
    ) -> list[object]:
        """State that an instance is a suspect or dead.

        :param name: the instance.
        :param now: the time in seconds.
        :param changes: the fields of its fact that change.
        """
        known = self._roster.get(name)
        if known is None or _roster.is_gone(known):
            self._detector.clear(name)
            return []
        fact = msgspec.structs.replace(known, **changes)
        self._keep(fact, self._own.name, now)
        state = _State.DEAD if _roster.is_gone(fact) else _State.SUSPECT
        return [
            _effects.record(name, state),
            _effects.send_facts(name, [fact]),
        ]

    def change_own(self, now: float, **changes: object) -> None:
        """Change the own fact.

        :param now: the time in seconds.
        :param changes: the fields that change.
        """
        self._own.change(now, **changes)
        self.is_changed = True

    def _answer(
        self, fact: _messages.MemberUpdate, now: float
    ) -> list[object]:
        decided = self._own.refute(fact, now)
        if not decided:
            return []
        self.is_changed = True
        return [_effects.record(self._own.name, decided)]

    def _keep(
        self, fact: _messages.MemberUpdate, sender: str, now: float
    ) -> None:
        if not self._roster.merge(fact, now):
            return
        self.is_changed = True
        self._gossip.queue(fact, sender)
        is_mate = fact.zone == self._own.zone
        if is_mate and fact.is_suspect and not _roster.is_gone(fact):
            self._detector.suspect(fact.name, fact.incarnation, now)
        else:
            self._detector.clear(fact.name)
