"""The published membership and what follows from it for this instance."""

from __future__ import annotations

import msgspec

from skylarkfold import effect
from skylarkfold import member
from skylarkfold.membership import _effects
from skylarkfold.membership import _membership_builder
from skylarkfold.membership import _own_member
from skylarkfold.membership import _readiness
from skylarkfold import overlay

_State = member.MemberState


class Publication:
    """Rebuilds the membership when it has changed.

    :param own: this instance's identity.
    :param view: builds memberships.
    :param readiness: whether this instance may rely on its view.
    """

    __slots__ = (
        '_own',
        '_readiness',
        '_view',
        'judged',
        'membership',
        'neighbours',
        'rank',
    )

    def __init__(
        self,
        own: _own_member.Identity,
        view: _membership_builder.View,
        readiness: _readiness.Readiness,
    ) -> None:
        self._own = own
        self._view = view
        self._readiness = readiness
        self.judged: dict[str, _State] = {}
        self.membership = view.build(own.fact, 0, 0.0)
        self.neighbours: tuple[str, ...] = ()
        self.rank = 0

    def is_outdated(self, now: float) -> bool:
        """Tell whether a zone fell silent, came back or moved on.

        :param now: the time in seconds.
        """
        judged = self._view.judge_zones(now)
        least = self._view.compute_least(judged)
        return (
            judged != self.judged or least != self.membership.minimum_revision
        )

    def publish(self, now: float) -> list[object]:
        """Rebuild and publish the membership.

        :param now: the time in seconds.
        :returns: the membership, and a log line for each zone that
            changed.
        """
        shown = self._own.fact
        if self._readiness.is_learning and shown.state is _State.ALIVE:
            shown = msgspec.structs.replace(shown, state=_State.JOINING)
        before, self.judged = self.judged, self._view.judge_zones(now)
        version = self.membership.version + 1
        topology = self.membership.topology
        self.membership = self._view.build(shown, version, now)
        if self.membership.topology != topology:
            self._place()
        lines = [
            _effects.record(f'zone {zone}', state)
            for zone, state in self.judged.items()
            if before.get(zone, state) is not state
        ]
        return [effect.PublishMembership(self.membership), *lines]

    def _place(self) -> None:
        name = self._own.name
        self.neighbours = overlay.list_neighbours(self.membership, name)
        self.rank = overlay.rank_in_zone(self.membership, name)
