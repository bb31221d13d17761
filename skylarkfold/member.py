"""Instances of the system as one of them sees the others."""

from __future__ import annotations

import dataclasses
import enum

from skylarkfold import endpoint


class MemberState(enum.StrEnum):
    """How an instance is seen.

    ``SUSPECT`` members still own what they owned: only ``DEAD`` and
    ``LEFT`` ones lose it.
    """

    JOINING = 'joining'
    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'
    LEFT = 'left'

    @property
    def is_reachable(self) -> bool:
        """Tell whether messages to such a member are worth sending."""
        return self not in (MemberState.DEAD, MemberState.LEFT)

    @property
    def may_own(self) -> bool:
        """Tell whether such a member may be given new state to hold."""
        return self in (MemberState.ALIVE, MemberState.SUSPECT)


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One instance of the system.

    :param name: the instance's name, from its settings.
    :param zone: its availability zone.
    :param region: its region.
    :param address: where it takes peers' streams.
    :param incarnation: rises at each start and each refuted suspicion;
        two processes under one name differ in it.
    :param state: how it is seen.
    :param revision: the configuration revision in force there, as last
        reported.
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
        """Tell whether messages to it are worth sending."""
        return self.state.is_reachable

    @property
    def may_own(self) -> bool:
        """Tell whether it may be given new state to hold."""
        return self.state.may_own

    @property
    def capacity(self) -> int:
        """Members are told apart by their hash alone."""
        return 0


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """All members that an instance knows, itself included.

    :param version: rises with each change on this instance only.
    :param members: by name.
    :param minimum_revision: the lowest configuration revision in force on
        any reachable member, as far as it is known here.
    :param topology: changes when a member comes, goes or changes its
        state or incarnation; 0 where nobody counts it.
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
