"""Messages of the membership between instances."""

from __future__ import annotations

import msgspec

from skylarkfold import member
from skylarkfold import message


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What is said of one instance; a later fact replaces an earlier one.

    :param name: the instance's name.
    :param zone: its availability zone.
    :param region: its region.
    :param address: where it takes peers' streams, ``host:port``.
    :param incarnation: only the instance itself raises it.
    :param state: every state but suspect.
    :param is_suspect: whether another instance suspects it.
    :param revision: the revision in force there when the fact was made.
    """

    name: str
    zone: str
    region: str
    address: str
    incarnation: message.Count
    state: member.MemberState
    is_suspect: bool
    revision: message.Count


class ZoneSummary(msgspec.Struct, frozen=True, array_like=True):
    """What other zones are told of a zone.

    :param zone: the zone.
    :param minimum_revision: the lowest revision in force there.
    :param age_milliseconds: how long ago an instance of it said so.
    """

    zone: str
    minimum_revision: message.Count
    age_milliseconds: message.Milliseconds


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """The revisions in force on all members of the sender's zone.

    :param digest: identifies the zone's members, in a fixed order.
    :param highest: the highest revision among them.
    :param lags: for each member one byte, how far it is behind that; 255
        for further or unknown.
    """

    digest: message.Count
    highest: message.Count
    lags: bytes


class ZoneDigest(msgspec.Struct, frozen=True, array_like=True):
    """Identifies what is known of a zone's members."""

    zone: str
    digest: message.Count


class Hello(message.PeerMessage, tag=60):
    """Who the sender is.

    :param fact: the sender's own fact.
    :param wants_answer: whether the receiver shall introduce itself.
    """

    fact: MemberUpdate
    wants_answer: bool


class Heartbeat(message.PeerMessage, tag=61):
    """The sender is alive.

    :param incarnation: its incarnation.
    :param revision: the revision in force there.
    :param is_chosen: whether the receiver is a neighbour of the sender
        in the sender's overlay, and is to send heartbeats too.
    :param digest: identifies what the sender knows of all members.
    :param progress: of the sender's zone, to members of the same zone.
    :param zones: of other zones; left out of most heartbeats.
    """

    incarnation: message.Count
    revision: message.Count
    is_chosen: bool
    digest: message.Count
    progress: Progress | None = None
    zones: tuple[ZoneSummary, ...] = ()


class Gossip(message.PeerMessage, tag=62):
    """Facts that are new to the sender."""

    facts: tuple[MemberUpdate, ...]


class RosterRequest(message.PeerMessage, tag=63):
    """Asks for the facts of all zones of which the digests differ."""

    zones: tuple[ZoneDigest, ...]


class RosterAnswer(message.PeerMessage, tag=64):
    """All facts of some zones.

    :param zones: the zones that are covered whole.
    :param facts: their facts.
    """

    zones: tuple[str, ...]
    updates: tuple[MemberUpdate, ...]


class ProbeRequest(message.PeerMessage, tag=65):
    """Asks whether the receiver hears an instance."""

    target: str


class ProbeAnswer(message.PeerMessage, tag=66):
    """An instance was heard.

    :param target: the instance.
    :param age_milliseconds: how long ago.
    """

    target: str
    age_milliseconds: message.Milliseconds


MESSAGES = (
    Hello
    | Heartbeat
    | Gossip
    | RosterRequest
    | RosterAnswer
    | ProbeRequest
    | ProbeAnswer
)
