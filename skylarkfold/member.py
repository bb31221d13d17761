"""An instance's view of the members of the system."""

from __future__ import annotations

import dataclasses
import enum

from skylarkfold import endpoint


class MemberState(enum.StrEnum):
    """The state of a member as another instance sees it.

    ``SUSPECT`` members keep the state that they own; only ``DEAD`` and
    ``LEFT`` members lose it.
    """

    JOINING = 'joining'
    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'
    LEFT = 'left'

    @property
    def is_reachable(self) -> bool:
        """Whether a member in this state may still receive messages."""
        return self not in (MemberState.DEAD, MemberState.LEFT)

    @property
    def may_own(self) -> bool:
        """Whether a member in this state may be assigned state to own."""
        return self in (MemberState.ALIVE, MemberState.SUSPECT)


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One instance of the system.

    :param name: the instance's name, from its settings.
    :param zone: its availability zone.
    :param region: its region.
    :param address: the address that accepts streams from peers.
    :param incarnation: a number that increases at each start and with each
        refuted suspicion, and tells processes of the same name apart.
    :param state: its state as seen from here.
    :param revision: the last reported revision of the configuration in
        force there.
    """

    name: str
    zone: str
    region: str
    address: endpoint.Endpoint
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    revision: int = 0

    @property
    def is_reachable(self) -> bool:
        """Whether it may still receive messages."""
        return self.state.is_reachable

    @property
    def may_own(self) -> bool:
        """Whether it may be assigned state to own."""
        return self.state.may_own

    @property
    def capacity(self) -> int:
        """Always 0, so that members are ranked by their hash alone."""
        return 0


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """All members that an instance knows, including itself.

    :param version: a counter of changes, local to this instance.
    :param members: the members by name.
    :param minimum_revision: the lowest known revision of the configuration
        in force on any reachable member.
    :param topology: a counter that changes when a member is added or
        removed or changes its state or incarnation; 0 if not maintained.
    """

    version: int
    members: dict[str, Member]
    minimum_revision: int = 0
    topology: int = 0

    def list_owners(self) -> list[str]:
        """List the members that may own state, sorted by name."""
        return sorted(
            each.name for each in self.members.values() if each.state.may_own
        )


EMPTY = Membership(version=0, members={})
