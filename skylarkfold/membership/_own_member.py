"""This instance's own member update."""

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
    """The update about this instance, which only this instance changes.

    :param instance: this instance's settings.
    :param incarnation: higher than that of any earlier process under the
        same name.
    :param roster: the latest update of each member.
    :param gossip: the queue of updates for the neighbours.
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
        """Its state as sent to the other instances."""
        return self.current_update.state

    def change(self, now: float, **changes: object) -> None:
        """Change fields of the own update and queue it for the neighbours.

        :param now: the time in seconds.
        :param changes: fields with their new values.
        """
        previous = self.current_update
        self.current_update = msgspec.structs.replace(previous, **changes)
        self._roster.put(self.current_update, now)
        if _gossip.supersedes(self.current_update, previous):
            self._gossip.queue(self.current_update, self.name)

    def refute(self, received: _messages.MemberUpdate, now: float) -> str:
        """Refute an update that another instance sent about this one.

        If it has a higher incarnation and another address, a newer process
        runs under the same name, and this instance leaves.

        :param received: the update about this instance.
        :param now: the time in seconds.
        :returns: the reason to log, or an empty string if nothing changed.
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
        """Send a Hello message with the own update.

        :param peer: the receiver, a member's name or an address.
        :param wants_answer: whether the receiver is to reply with its own.
        """
        hello = _messages.Hello(self.current_update, wants_answer)
        return effect.SendToPeer(peer, hello)
