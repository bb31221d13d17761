"""What this instance says of itself."""

from __future__ import annotations

import msgspec

from skylarkfold import effect
from skylarkfold import instance as instance_module
from skylarkfold import member
from skylarkfold.membership import _gossip
from skylarkfold.membership import _messages
from skylarkfold.membership import _roster

_State = member.MemberState


class OwnMember:
    """This instance's own fact, which nobody else may change.

    :param instance: this instance's identity.
    :param incarnation: higher than that of any earlier process under the
        same name.
    :param roster: all facts.
    :param gossip: passes facts on.
    """

    __slots__ = ('_gossip', '_roster', 'current_update')

    def __init__(
        self,
        instance: instance_module.InstanceSettings,
        incarnation: int,
        roster: _roster.Roster,
        gossip: _gossip.GossipQueue,
    ) -> None:
        self._roster = roster
        self._gossip = gossip
        self.current_update = _messages.MemberUpdate(
            name=instance.name,
            zone=instance.zone,
            region=instance.region,
            address=str(instance.peer_address),
            incarnation=incarnation,
            state=_State.JOINING,
            is_suspect=False,
            revision=0,
        )
        roster.put(self.current_update, 0.0)

    @property
    def name(self) -> str:
        """This instance's name."""
        return self.current_update.name

    @property
    def zone(self) -> str:
        """Its availability zone."""
        return self.current_update.zone

    @property
    def state(self) -> member.MemberState:
        """Its state, as the others are told."""
        return self.current_update.state

    def change(self, now: float, **changes: object) -> None:
        """Change the own fact and tell the neighbours.

        :param now: the time in seconds.
        :param changes: fields with their new values.
        """
        previous = self.current_update
        self.current_update = msgspec.structs.replace(previous, **changes)
        self._roster.put(self.current_update, now)
        if _gossip.supersedes(self.current_update, previous):
            self._gossip.queue(self.current_update, self.name)

    def refute(self, received: _messages.MemberUpdate, now: float) -> str:
        """Answer what others say of this instance.

        A higher incarnation at another address is a later process under
        the same name: this one has been replaced.

        :param told: another instance's fact about this one.
        :param now: the time in seconds.
        :returns: what was decided, empty for nothing.
        """
        current = self.current_update
        if current.state is _State.LEFT or not _gossip.supersedes(
            received, current
        ):
            return ''
        if (
            received.incarnation > current.incarnation
            and received.address != current.address
        ):
            self.change(now, state=_State.LEFT)
            return 'superseded'
        self.change(now, incarnation=received.incarnation + 1)
        return 'refuted'

    def send_hello(self, peer: str, wants_answer: bool) -> effect.SendToPeer:
        """Introduce this instance.

        :param peer: to whom: a member's name or an address.
        :param wants_answer: whether it shall introduce itself too.
        """
        hello = _messages.Hello(self.current_update, wants_answer)
        return effect.SendToPeer(peer, hello)
