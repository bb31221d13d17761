"""Contact attempts to unknown and unreachable instances."""

from __future__ import annotations

from skylarkfold import member
from skylarkfold.membership import _contacts
from skylarkfold.membership import _own_member
from skylarkfold.membership import _publication
from skylarkfold.membership import _roster
from skylarkfold.membership import _settings

_State = member.MemberState


class Connector:
    """Sends Hello messages to a few candidates at a time, round robin.

    :param settings: the membership's settings.
    :param own_member: this instance's own member update.
    :param roster: the latest update of each member.
    :param contacts: seeds and instances from the platform's list.
    """

    __slots__ = ('_contacts', '_own_member', '_roster', '_settings')

    def __init__(
        self,
        settings: _settings.MembershipSettings,
        own_member: _own_member.OwnMember,
        roster: _roster.Roster,
        contacts: _contacts.Contacts,
    ) -> None:
        self._settings = settings
        self._own_member = own_member
        self._roster = roster
        self._contacts = contacts

    def contact_unknown(self) -> list[object]:
        """Contact unknown instances, those of the own zone first."""
        known_addresses = [
            update.address
            for update in self._roster.list_updates()
            if not _roster.is_gone(update)
        ]
        unknown = self._contacts.list_unknown(
            known_addresses, self._own_member.zone
        )
        unknown = unknown or self._contacts.list_unknown(known_addresses)
        return self._send_hellos(unknown)

    def contact_lost(
        self, publication: _publication.Publication
    ) -> list[object]:
        """Contact dead members and silent zones.

        They may have been partitioned from this instance and still run.

        :param publication: the published membership.
        """
        members = list(publication.membership.members.values())
        lost = [
            each.name
            for each in members
            if each.state is _State.DEAD and each.zone == self._own_member.zone
        ]
        for zone, state in publication.zone_states.items():
            if state is _State.ALIVE or zone == self._own_member.zone:
                continue
            names = [each.name for each in members if each.zone == zone]
            lost += self._contacts.choose_next(sorted(names), 1)
        return self._send_hellos(sorted(lost))

    def _send_hellos(self, candidates: list[str]) -> list[object]:
        chosen = self._contacts.choose_next(
            candidates, self._settings.contacts
        )
        return [self._own_member.send_hello(peer, True) for peer in chosen]
