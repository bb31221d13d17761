"""The published membership and this instance's place in the overlay."""

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
    """Publishes the membership when it has changed.

    :param own_member: this instance's own member update.
    :param builder: builds memberships.
    :param readiness: whether this instance is still syncing.
    """

    __slots__ = (
        '_builder',
        '_own_member',
        '_readiness',
        'membership',
        'neighbours',
        'zone_rank',
        'zone_states',
    )

    def __init__(
        self,
        own_member: _own_member.OwnMember,
        builder: _membership_builder.MembershipBuilder,
        readiness: _readiness.Readiness,
    ) -> None:
        self._own_member = own_member
        self._builder = builder
        self._readiness = readiness
        self.zone_states: dict[str, _State] = {}
        self.membership = builder.build(own_member.current_update, 0, 0.0)
        self.neighbours: tuple[str, ...] = ()
        self.zone_rank = 0

    def is_outdated(self, now: float) -> bool:
        """Return whether a zone state or the minimum revision has changed.

        :param now: the time in seconds.
        """
        zone_states = self._builder.compute_zone_states(now)
        minimum_revision = self._builder.compute_minimum_revision(zone_states)
        return (
            zone_states != self.zone_states
            or minimum_revision != self.membership.minimum_revision
        )

    def publish(self, now: float) -> list[object]:
        """Rebuild and publish the membership.

        :param now: the time in seconds.
        :returns: the membership, and a log record for each zone whose
            state changed.
        """
        own_update = self._own_member.current_update
        if self._readiness.is_syncing and own_update.state is _State.ALIVE:
            own_update = msgspec.structs.replace(
                own_update, state=_State.JOINING
            )
        previous_states, self.zone_states = (
            self.zone_states,
            self._builder.compute_zone_states(now),
        )
        version = self.membership.version + 1
        topology = self.membership.topology
        self.membership = self._builder.build(own_update, version, now)
        if self.membership.topology != topology:
            self._update_overlay()
        decisions = [
            _effects.record_decision(f'zone {zone}', state)
            for zone, state in self.zone_states.items()
            if previous_states.get(zone, state) is not state
        ]
        return [effect.PublishMembership(self.membership), *decisions]

    def _update_overlay(self) -> None:
        name = self._own_member.name
        self.neighbours = overlay.list_neighbours(self.membership, name)
        self.zone_rank = overlay.rank_in_zone(self.membership, name)
