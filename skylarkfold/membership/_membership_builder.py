"""Turns facts and the silence of zones into a membership."""

from __future__ import annotations

from skylarkfold import endpoint
from skylarkfold import member
from skylarkfold.membership import _messages
from skylarkfold.membership import _roster
from skylarkfold.membership import _settings
from skylarkfold.membership import _zone_revisions
from skylarkfold.membership import _zones

_State = member.MemberState


class View:
    """Builds what the other subsystems see.

    :param own_zone: this instance's zone.
    :param settings: the membership's settings.
    :param roster: all facts.
    :param progress: the revisions in the own zone.
    :param zones: what is known of whole zones.
    """

    __slots__ = (
        '_built',
        '_own_zone',
        '_progress',
        '_roster',
        '_seen',
        '_settings',
        '_topology',
        '_zones',
    )

    def __init__(
        self,
        own_zone: str,
        settings: _settings.MembershipSettings,
        roster: _roster.Roster,
        progress: _zone_revisions.Progress,
        zones: _zones.Zones,
    ) -> None:
        self._own_zone = own_zone
        self._settings = settings
        self._roster = roster
        self._progress = progress
        self._zones = zones
        self._built: dict[
            str, tuple[tuple[object, ...], dict[str, member.Member]]
        ] = {}
        self._seen: tuple[object, ...] = ()
        self._topology = 0

    def judge_zones(self, now: float) -> dict[str, _State]:
        """Judge every zone by its silence.

        :param now: the time in seconds.
        :returns: ``ALIVE``, ``SUSPECT`` or ``DEAD`` for each zone.
        """
        return {
            zone: self._judge_zone(zone, now)
            for zone in self._roster.list_zones()
        }

    def compute_least(self, judged: dict[str, _State]) -> int:
        """Compute the lowest revision in force on any reachable member.

        Members that are joining take no traffic and don't count.

        :param judged: the zones' states.
        :returns: the revision, 0 if it is unknown of any zone.
        """
        taking = self._roster.list_taking()
        revisions = [
            self._get_least(zone)
            for zone, state in judged.items()
            if state is not _State.DEAD and zone in taking
        ]
        return min(revisions, default=0)

    def build(
        self, own: _messages.MemberUpdate, version: int, now: float
    ) -> member.Membership:
        """Build the membership.

        :param own: this instance's fact, as it is to be shown.
        :param version: the membership's version.
        :param now: the time in seconds.
        """
        judged = self.judge_zones(now)
        members: dict[str, member.Member] = {}
        for zone in self._roster.list_all_zones():
            members.update(self._build_zone(zone, judged))
        members[own.name] = self._build_member(own, {})
        return member.Membership(
            version,
            members,
            self.compute_least(judged),
            self._count_topology(own, judged),
        )

    def _count_topology(
        self, own: _messages.MemberUpdate, judged: dict[str, _State]
    ) -> int:
        versions = tuple(
            (zone, self._roster.get_version(zone))
            for zone in self._roster.list_all_zones()
        )
        seen = (own.state, tuple(judged.items()), versions)
        if seen != self._seen:
            self._seen = seen
            self._topology += 1
        return self._topology

    def _build_zone(
        self, zone: str, judged: dict[str, _State]
    ) -> dict[str, member.Member]:
        revised = self._zones.get_least(zone)
        if zone == self._own_zone:
            revised = self._progress.version
        version = self._roster.get_version(zone)
        key = (judged.get(zone), version, revised)
        known = self._built.get(zone)
        if known is not None and known[0] == key:
            return known[1]
        built = {
            fact.name: self._build_member(fact, judged)
            for fact in self._roster.list_zone(zone)
        }
        self._built[zone] = (key, built)
        return built

    def _judge_zone(self, zone: str, now: float) -> _State:
        silence = self._zones.compute_silence(zone, now)
        if silence > self._settings.zone_dead_seconds:
            return _State.DEAD
        if silence > self._settings.zone_suspect_seconds:
            return _State.SUSPECT
        return _State.ALIVE

    def _get_least(self, zone: str) -> int:
        if zone == self._own_zone:
            return self._progress.compute_least()
        return self._zones.get_least(zone)

    def _build_member(
        self,
        fact: _messages.MemberUpdate,
        judged: dict[str, _State],
    ) -> member.Member:
        if fact.zone == self._own_zone:
            revision = self._progress.get(fact.name)
        else:
            revision = max(fact.revision, self._zones.get_least(fact.zone))
        return _build(fact, self._judge_member(fact, judged), revision)

    def _judge_member(
        self,
        fact: _messages.MemberUpdate,
        judged: dict[str, _State],
    ) -> _State:
        zone = judged.get(fact.zone, _State.ALIVE)
        if _roster.is_gone(fact):
            return fact.state
        if zone is _State.DEAD:
            return zone
        is_doubted = fact.is_suspect or zone is _State.SUSPECT
        if is_doubted and fact.state is _State.ALIVE:
            return _State.SUSPECT
        return fact.state


def _build(
    fact: _messages.MemberUpdate, state: _State, revision: int
) -> member.Member:
    return member.Member(
        name=fact.name,
        zone=fact.zone,
        region=fact.region,
        address=endpoint.parse_endpoint(fact.address),
        incarnation=fact.incarnation,
        state=state,
        revision=revision,
    )
