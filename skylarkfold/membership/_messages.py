"""Messages of the membership protocol."""

from __future__ import annotations

import msgspec

from skylarkfold import member
from skylarkfold import message


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """State of one instance; a newer update replaces an older one.

    :param name: the instance's name.
    :param zone: its availability zone.
    :param region: its region.
    :param address: where it accepts streams of peers, ``host:port``.
    :param incarnation: raised by the instance itself only.
    :param state: any state but suspect.
    :param is_suspect: whether another instance suspects it.
    :param revision: the revision in force there when the update was made.
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
    """Summary of a zone for instances of other zones.

    :param zone: the zone.
    :param minimum_revision: the lowest revision in force there.
    :param age_milliseconds: how long ago an instance of the zone reported it.
    """

    zone: str
    minimum_revision: message.Count
    age_milliseconds: message.Milliseconds


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """Revisions in force on all members of the sender's zone.

    :param digest: digest of the zone's members.
    :param highest: the highest revision among them.
    :param lags: one byte for each member, sorted by name: how far it is
        behind the highest revision; 255 if further or unknown.
    """

    digest: message.Count
    highest: message.Count
    lags: bytes


class ZoneDigest(msgspec.Struct, frozen=True, array_like=True):
    """Digest of the known members of a zone."""

    zone: str
    digest: message.Count


class Hello(message.PeerMessage, tag=60):
    """Introduction of the sender.

    :param fact: the sender's own update.
    :param wants_answer: whether the receiver is to reply with its own.
    """

    fact: MemberUpdate
    wants_answer: bool


class Heartbeat(message.PeerMessage, tag=61):
    """Sign of life of the sender.

    :param incarnation: the sender's incarnation.
    :param revision: the revision in force on the sender.
    :param is_chosen: whether the receiver is a neighbour of the sender
        in the sender's overlay, and is to send heartbeats in return.
    :param digest: digest of all members that the sender knows.
    :param progress: revisions in the sender's zone; only in full
        heartbeats to members of that zone.
    :param zones: summaries of all zones in full heartbeats; in others of
        the sender's zone at most.
    """

    incarnation: message.Count
    revision: message.Count
    is_chosen: bool
    digest: message.Count
    progress: Progress | None = None
    zones: tuple[ZoneSummary, ...] = ()


class Gossip(message.PeerMessage, tag=62):
    """Updates that are new to the sender."""

    facts: tuple[MemberUpdate, ...]


class RosterRequest(message.PeerMessage, tag=63):
    """Request for the updates of all zones whose digests differ."""

    zones: tuple[ZoneDigest, ...]


class RosterAnswer(message.PeerMessage, tag=64):
    """Complete updates of some zones.

    :param zones: the zones.
    :param updates: the updates of all of their members.
    """

    zones: tuple[str, ...]
    updates: tuple[MemberUpdate, ...]


class ProbeRequest(message.PeerMessage, tag=65):
    """Request to probe an instance on the sender's behalf."""

    target: str


class ProbeAnswer(message.PeerMessage, tag=66):
    """Report that a probed instance was heard from.

    :param target: the probed instance.
    :param age_milliseconds: how long ago it was heard from.
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
