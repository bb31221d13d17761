"""What one instance has been told of the configuration and its peers."""

from __future__ import annotations

import dataclasses

from skylarkfold import configuration as configuration_module
from skylarkfold import event
from skylarkfold import member
from skylarkfold import platform_api
from skylarkfold import service as service_module


@dataclasses.dataclass(slots=True)
class Published:
    """All that was ever accepted, by revision.

    :param services: the services in force.
    :param services_revision: the revision at which they were accepted.
    :param objects: the newest version of each object of the system's own.
    :param revision: the last revision.
    """

    services: dict[str, service_module.Service] = dataclasses.field(
        default_factory=dict
    )
    services_revision: int = 0
    objects: dict[str, platform_api.StoredObject] = dataclasses.field(
        default_factory=dict
    )
    revision: int = 0


class View:
    """One instance's position in what was published, and its members.

    :param own: the instance itself.
    """

    __slots__ = ('_version', 'members', 'own', 'peers_revision', 'position')

    def __init__(self, own: member.Member) -> None:
        self.own = own.name
        self.position = 0
        self.members = {own.name: own}
        self.peers_revision: dict[str, int] = {}
        self._version = 0

    def catch_up(self, published: Published) -> list[object]:
        """Take in all that was published since the last time.

        :param published: what there is.
        :returns: events for the core, objects first.
        """
        if published.revision <= self.position:
            return []
        since = self.position
        self.position = published.revision
        events: list[object] = [
            event.ObjectChanged(each)
            for each in published.objects.values()
            if each.revision > since
        ]
        events.append(
            event.ConfigurationChanged(
                configuration_module.Configuration(
                    published.revision, published.services
                )
            )
        )
        events.append(event.RevisionReached(published.revision))
        return events

    def learn(self, news: member.Member) -> list[object]:
        """Take in news of a member, unless it is old.

        :param news: the member as it is seen now.
        :returns: events for the core.
        """
        known = self.members.get(news.name)
        if known is not None and _date(known) >= _date(news):
            return []
        self.members[news.name] = news
        return [self.report()]

    def hear_revisions(self, revisions: dict[str, int]) -> list[object]:
        """Take in how far the reachable peers are.

        :param revisions: the positions of those that were heard.
        :returns: events for the core.
        """
        least = self._find_least_revision()
        self.peers_revision.update(revisions)
        if self._find_least_revision() == least:
            return []
        return [self.report()]

    def report(self) -> event.MembershipChanged:
        """Say how the members are seen here now."""
        self._version += 1
        members = {
            name: dataclasses.replace(each, revision=self._get_revision(name))
            for name, each in sorted(self.members.items())
        }
        return event.MembershipChanged(
            member.Membership(
                self._version, members, self._find_least_revision()
            )
        )

    def _get_revision(self, name: str) -> int:
        if name == self.own:
            return self.position
        return self.peers_revision.get(name, 0)

    def _find_least_revision(self) -> int:
        return min(
            self._get_revision(each.name)
            for each in self.members.values()
            if each.state.is_reachable
        )


def _date(seen: member.Member) -> tuple[int, int]:
    """Order news of one member: a process's states follow each other."""
    states = list(member.MemberState)
    return (seen.incarnation, states.index(seen.state))
