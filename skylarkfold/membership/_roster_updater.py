"""Application of member updates to the roster."""

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


class RosterUpdater:
    """Applies updates to the roster, the gossip queue and the detector.

    :param own_member: this instance's own member update.
    :param roster: the latest update of each member.
    :param gossip: the queue of updates for the neighbours.
    :param detector: tracks the refutation deadlines of suspects.
    """

    __slots__ = (
        '_detector',
        '_gossip',
        '_own_member',
        '_roster',
        'is_changed',
    )

    def __init__(
        self,
        own_member: _own_member.OwnMember,
        roster: _roster.Roster,
        gossip: _gossip.GossipQueue,
        detector: _failure_detector.FailureDetector,
    ) -> None:
        self._own_member = own_member
        self._roster = roster
        self._gossip = gossip
        self._detector = detector
        self.is_changed = True

    def merge(
        self,
        updates: Iterable[_messages.MemberUpdate],
        sender: str,
        now: float,
    ) -> list[object]:
        """Merge updates from another instance.

        :param updates: the updates.
        :param sender: the instance that sent them.
        :param now: the time in seconds.
        :returns: log records and metric counts.
        """
        effects = []
        for update in updates:
            if update.name == self._own_member.name:
                effects += self._refute(update, now)
            elif not _gossip.is_valid(update):
                effects.append(effect.CountMetric(metric.MEMBERSHIP_MALFORMED))
            elif self._gossip.accepts(update, sender):
                self._apply(update, sender, now)
        return effects

    def merge_roster(
        self, answer: _messages.RosterAnswer, sender: str, now: float
    ) -> list[object]:
        """Merge a roster and send back the updates that are newer here.

        :param answer: the complete updates of some zones.
        :param sender: the instance that sent them.
        :param now: the time in seconds.
        """
        newer = self._gossip.list_newer(answer)
        removed = self._gossip.list_removed(answer, sender)
        effects = self.merge(answer.updates, sender, now)
        for name in removed:
            self._roster.remove(name)
            self.is_changed = True
        newer_here = [update for update in newer if update.name not in removed]
        if newer_here:
            effects.append(_effects.send_updates(sender, newer_here))
        return effects

    def declare(
        self, name: str, now: float, **changes: object
    ) -> list[object]:
        """Declare an instance suspect or dead, and tell it so.

        :param name: the instance.
        :param now: the time in seconds.
        :param changes: the fields of its update that change.
        """
        known = self._roster.get(name)
        if known is None or _roster.is_gone(known):
            self._detector.clear_suspicion(name)
            return []
        update = msgspec.structs.replace(known, **changes)
        self._apply(update, self._own_member.name, now)
        state = _State.DEAD if _roster.is_gone(update) else _State.SUSPECT
        return [
            _effects.record_decision(name, state),
            _effects.send_updates(name, [update]),
        ]

    def change_own(self, now: float, **changes: object) -> None:
        """Change fields of this instance's own update.

        :param now: the time in seconds.
        :param changes: the fields with their new values.
        """
        self._own_member.change(now, **changes)
        self.is_changed = True

    def _refute(
        self, update: _messages.MemberUpdate, now: float
    ) -> list[object]:
        outcome = self._own_member.refute(update, now)
        if not outcome:
            return []
        self.is_changed = True
        return [_effects.record_decision(self._own_member.name, outcome)]

    def _apply(
        self, update: _messages.MemberUpdate, sender: str, now: float
    ) -> None:
        if not self._roster.merge(update, now):
            return
        self.is_changed = True
        self._gossip.queue(update, sender)
        is_zone_peer = update.zone == self._own_member.zone
        if is_zone_peer and update.is_suspect and not _roster.is_gone(update):
            self._detector.start_suspicion(
                update.name, update.incarnation, now
            )
        else:
            self._detector.clear_suspicion(update.name)
