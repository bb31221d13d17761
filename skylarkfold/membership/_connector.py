"""Introduces this instance to unknown and lost ones."""

from __future__ import annotations

from skylarkfold import member
from skylarkfold.membership import _contacts
from skylarkfold.membership import _own_member
from skylarkfold.membership import _publication
from skylarkfold.membership import _roster
from skylarkfold.membership import _settings

_State = member.MemberState


class Connector:
    """A few introductions at a time, in turn.

    :param settings: the membership's settings.
    :param own: this instance's identity.
    :param roster: all facts.
    :param contacts: seeds and listed instances.
    """

    __slots__ = ('_contacts', '_own', '_roster', '_settings')

    def __init__(
        self,
        settings: _settings.MembershipSettings,
        own: _own_member.Identity,
        roster: _roster.Roster,
        contacts: _contacts.Contacts,
    ) -> None:
        self._settings = settings
        self._own = own
        self._roster = roster
        self._contacts = contacts

    def meet(self) -> list[object]:
        """Approach unknown instances, those of the own zone first."""
        known = [
            fact.address
            for fact in self._roster.list_facts()
            if not _roster.is_gone(fact)
        ]
        unknown = self._contacts.list_unknown(known, self._own.zone)
        unknown = unknown or self._contacts.list_unknown(known)
        return self._introduce(unknown)

    def reconnect(self, publication: _publication.Publication) -> list[object]:
        """Approach lost instances: they may only have been cut off.

        :param publication: how the members are seen.
        """
        members = list(publication.membership.members.values())
        lost = [
            each.name
            for each in members
            if each.state is _State.DEAD and each.zone == self._own.zone
        ]
        for zone, state in publication.judged.items():
            if state is _State.ALIVE or zone == self._own.zone:
                continue
            names = [each.name for each in members if each.zone == zone]
            lost += self._contacts.choose(sorted(names), 1)
        return self._introduce(sorted(lost))

    def _introduce(self, candidates: list[str]) -> list[object]:
        chosen = self._contacts.choose(candidates, self._settings.contacts)
        return [self._own.introduce(peer, True) for peer in chosen]
