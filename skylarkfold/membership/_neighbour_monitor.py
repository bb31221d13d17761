"""The watch that the members of a zone keep on each other."""

from __future__ import annotations

from skylarkfold import member
from skylarkfold.membership import _failure_detector
from skylarkfold.membership import _own_member
from skylarkfold.membership import _probes
from skylarkfold.membership import _publication
from skylarkfold.membership import _roster
from skylarkfold.membership import _roster_updater


class Watch:
    """Finds silent neighbours and takes them for suspect, then for dead.

    :param own: this instance.
    :param roster: what is known of every instance.
    :param detector: the evidence.
    :param probes: asks others for theirs.
    :param ledger: declares.
    :param publication: who the neighbours are.
    """

    __slots__ = (
        '_detector',
        '_ledger',
        '_publication',
        '_own',
        '_probes',
        '_roster',
    )

    def __init__(
        self,
        own: _own_member.Identity,
        roster: _roster.Roster,
        detector: _failure_detector.Detector,
        probes: _probes.Probes,
        ledger: _roster_updater.Ledger,
        publication: _publication.Publication,
    ) -> None:
        self._own = own
        self._roster = roster
        self._detector = detector
        self._probes = probes
        self._ledger = ledger
        self._publication = publication

    def judge(self, now: float) -> list[object]:
        """Ask after the silent, and declare those that nobody heard.

        An instance that hears nobody declares nobody.

        :param now: the time in seconds.
        :returns: effects.
        """
        watched = self._list_watched()
        effects: list[object] = []
        for target in self._detector.find_silent(watched, now):
            effects += self._probes.send(
                target,
                self._publication.membership,
                self._publication.neighbours,
            )
        unanswered = self._detector.list_unanswered(now)
        overdue = self._detector.list_overdue(now)
        if self._detector.is_isolated(now):
            self._detector.hold(now)
            return effects
        for name in unanswered:
            effects += self._ledger.declare(name, now, is_suspect=True)
        for name in overdue:
            effects += self._ledger.declare(
                name, now, state=member.MemberState.DEAD
            )
        return effects

    def has_mates(self) -> bool:
        """Tell whether the own zone has other members."""
        return any(
            fact.zone == self._own.zone
            and fact.name != self._own.name
            and not _roster.is_gone(fact)
            for fact in self._roster.list_facts()
        )

    def _list_watched(self) -> list[str]:
        return [
            name
            for name in self._publication.neighbours
            if (fact := self._roster.get(name)) is not None
            and fact.zone == self._own.zone
        ]
