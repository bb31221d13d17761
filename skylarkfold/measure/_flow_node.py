"""One instance of a fleet on a virtual clock."""

from __future__ import annotations

from skylarkfold import core as core_module
from skylarkfold.measure import _flow_views
from skylarkfold import member


class Node:
    """One running instance.

    :param own: its own entry as a member.
    :param core: its core.
    :param clock_offset: how far its clock is from the others'.
    """

    __slots__ = ('clock_offset', 'core', 'is_cut_off', 'is_leaving', 'view')

    def __init__(
        self,
        own: member.Member,
        core: core_module.Core,
        clock_offset: float,
    ) -> None:
        self.core = core
        self.view = _flow_views.View(own)
        self.clock_offset = clock_offset
        self.is_leaving = False
        self.is_cut_off = False

    @property
    def name(self) -> str:
        """The instance's name."""
        return self.view.own

    @property
    def own(self) -> member.Member:
        """The instance as it sees itself."""
        return self.view.members[self.name]
