"""Monitoring of the neighbours in the own zone."""

from __future__ import annotations

from skylarkfold import member
from skylarkfold.membership import _failure_detector
from skylarkfold.membership import _own_member
from skylarkfold.membership import _probes
from skylarkfold.membership import _publication
from skylarkfold.membership import _roster
from skylarkfold.membership import _roster_updater


class NeighbourMonitor:
    """Probes silent neighbours and declares them suspect, then dead.

    :param own_member: this instance's own member update.
    :param roster: the latest update of each member.
    :param detector: the failure detector.
    :param probes: sends indirect probes.
    :param updater: applies the declarations to the roster.
    :param publication: the published membership and its neighbours.
    """

    __slots__ = (
        '_detector',
        '_own_member',
        '_probes',
        '_publication',
        '_roster',
        '_updater',
    )

    def __init__(
        self,
        own_member: _own_member.OwnMember,
        roster: _roster.Roster,
        detector: _failure_detector.FailureDetector,
        probes: _probes.IndirectProbes,
        updater: _roster_updater.RosterUpdater,
        publication: _publication.Publication,
    ) -> None:
        self._own_member = own_member
        self._roster = roster
        self._detector = detector
        self._probes = probes
        self._updater = updater
        self._publication = publication

    def check(self, now: float) -> list[object]:
        """Probe silent neighbours and declare those that failed.

        While this instance is isolated, it declares nobody suspect or
        dead.

        :param now: the time in seconds.
        :returns: effects.
        """
        monitored = self._list_monitored()
        effects: list[object] = []
        for target in self._detector.start_probes(monitored, now):
            effects += self._probes.send(
                target,
                self._publication.membership,
                self._publication.neighbours,
            )
        failed = self._detector.pop_failed_probes(now)
        expired = self._detector.list_expired_suspicions(now)
        if self._detector.is_isolated(now):
            self._detector.extend_suspicions(now)
            return effects
        for name in failed:
            effects += self._updater.declare(name, now, is_suspect=True)
        for name in expired:
            effects += self._updater.declare(
                name, now, state=member.MemberState.DEAD
            )
        return effects

    def has_zone_peers(self) -> bool:
        """Return whether the own zone has other live members."""
        return any(
            update.zone == self._own_member.zone
            and update.name != self._own_member.name
            and not _roster.is_gone(update)
            for update in self._roster.list_updates()
        )

    def _list_monitored(self) -> list[str]:
        return [
            name
            for name in self._publication.neighbours
            if (update := self._roster.get(name)) is not None
            and update.zone == self._own_member.zone
        ]
