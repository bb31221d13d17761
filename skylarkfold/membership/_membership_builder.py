"""Builder of the published membership."""

from __future__ import annotations

from skylarkfold import endpoint
from skylarkfold import member
from skylarkfold.membership import _messages
from skylarkfold.membership import _roster
from skylarkfold.membership import _settings
from skylarkfold.membership import _zone_revisions
from skylarkfold.membership import _zones

_State = member.MemberState


class MembershipBuilder:
    """Builds a membership from the roster and the state of the zones.

    :param own_zone: this instance's zone.
    :param settings: the membership's settings.
    :param roster: the latest update of each member.
    :param zone_revisions: the revisions in force in the own zone.
    :param zones: the state of whole zones.
    """

    __slots__ = (
        '_cached_zones',
        '_own_zone',
        '_roster',
        '_settings',
        '_topology_key',
        '_topology_version',
        '_zone_revisions',
        '_zones',
    )

    def __init__(
        self,
        own_zone: str,
        settings: _settings.MembershipSettings,
        roster: _roster.Roster,
        zone_revisions: _zone_revisions.ZoneRevisions,
        zones: _zones.Zones,
    ) -> None:
        self._own_zone = own_zone
        self._settings = settings
        self._roster = roster
        self._zone_revisions = zone_revisions
        self._zones = zones
        self._cached_zones: dict[
            str, tuple[tuple[object, ...], dict[str, member.Member]]
        ] = {}
        self._topology_key: tuple[object, ...] = ()
        self._topology_version = 0

    def compute_zone_states(self, now: float) -> dict[str, _State]:
        """Compute the state of each zone from the time since it was heard.

        :param now: the time in seconds.
        :returns: ``ALIVE``, ``SUSPECT`` or ``DEAD`` for each zone.
        """
        return {
            zone: self._compute_zone_state(zone, now)
            for zone in self._roster.list_live_zones()
        }

    def compute_minimum_revision(self, zone_states: dict[str, _State]) -> int:
        """Compute the lowest revision in force on any reachable member.

        Joining members don't count, as they take no traffic.

        :param zone_states: the state of each zone.
        :returns: the revision, 0 if that of any zone is unknown.
        """
        serving_zones = self._roster.list_serving_zones()
        revisions = [
            self._get_minimum_revision(zone)
            for zone, state in zone_states.items()
            if state is not _State.DEAD and zone in serving_zones
        ]
        return min(revisions, default=0)

    def build(
        self, own_update: _messages.MemberUpdate, version: int, now: float
    ) -> member.Membership:
        """Build the membership.

        :param own_update: this instance's own update, as published.
        :param version: the membership's version.
        :param now: the time in seconds.
        """
        zone_states = self.compute_zone_states(now)
        members: dict[str, member.Member] = {}
        for zone in self._roster.list_all_zones():
            members.update(self._build_zone(zone, zone_states))
        members[own_update.name] = self._build_member(own_update, {})
        return member.Membership(
            version,
            members,
            self.compute_minimum_revision(zone_states),
            self._update_topology_version(own_update, zone_states),
        )

    def _update_topology_version(
        self,
        own_update: _messages.MemberUpdate,
        zone_states: dict[str, _State],
    ) -> int:
        versions = tuple(
            (zone, self._roster.get_zone_version(zone))
            for zone in self._roster.list_all_zones()
        )
        topology_key = (own_update.state, tuple(zone_states.items()), versions)
        if topology_key != self._topology_key:
            self._topology_key = topology_key
            self._topology_version += 1
        return self._topology_version

    def _build_zone(
        self, zone: str, zone_states: dict[str, _State]
    ) -> dict[str, member.Member]:
        revision_key = self._zones.get_minimum_revision(zone)
        if zone == self._own_zone:
            revision_key = self._zone_revisions.version
        version = self._roster.get_zone_version(zone)
        key = (zone_states.get(zone), version, revision_key)
        cached = self._cached_zones.get(zone)
        if cached is not None and cached[0] == key:
            return cached[1]
        members = {
            update.name: self._build_member(update, zone_states)
            for update in self._roster.list_zone_updates(zone)
        }
        self._cached_zones[zone] = (key, members)
        return members

    def _compute_zone_state(self, zone: str, now: float) -> _State:
        silence = self._zones.compute_silence(zone, now)
        if silence > self._settings.zone_dead_seconds:
            return _State.DEAD
        if silence > self._settings.zone_suspect_seconds:
            return _State.SUSPECT
        return _State.ALIVE

    def _get_minimum_revision(self, zone: str) -> int:
        if zone == self._own_zone:
            return self._zone_revisions.compute_least()
        return self._zones.get_minimum_revision(zone)

    def _build_member(
        self,
        update: _messages.MemberUpdate,
        zone_states: dict[str, _State],
    ) -> member.Member:
        if update.zone == self._own_zone:
            revision = self._zone_revisions.get(update.name)
        else:
            revision = max(
                update.revision, self._zones.get_minimum_revision(update.zone)
            )
        return _create_member(
            update, self._compute_member_state(update, zone_states), revision
        )

    def _compute_member_state(
        self,
        update: _messages.MemberUpdate,
        zone_states: dict[str, _State],
    ) -> _State:
        zone_state = zone_states.get(update.zone, _State.ALIVE)
        if _roster.is_gone(update):
            return update.state
        if zone_state is _State.DEAD:
            return zone_state
        is_suspected = update.is_suspect or zone_state is _State.SUSPECT
        if is_suspected and update.state is _State.ALIVE:
            return _State.SUSPECT
        return update.state


def _create_member(
    update: _messages.MemberUpdate, state: _State, revision: int
) -> member.Member:
    return member.Member(
        name=update.name,
        zone=update.zone,
        region=update.region,
        address=endpoint.parse_endpoint(update.address),
        incarnation=update.incarnation,
        state=state,
        revision=revision,
    )
