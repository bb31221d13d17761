"""Messages of the distribution protocol."""

from __future__ import annotations

import msgspec

from skylarkfold import message


class Item(msgspec.Struct, frozen=True, array_like=True):
    """Object of the store; the value is None if it is deleted."""

    path: str
    version: message.Count
    revision: message.Count
    value: bytes | None


class Position(message.PeerMessage, tag=40):
    """Announcement of the sender's position.

    :param revision: all changes up to this revision are applied there.
    :param age_milliseconds: how long ago the platform confirmed it, as
        far as the sender knows; -1 if never.
    :param digest: digest of the objects at that revision.
    """

    revision: message.Count
    age_milliseconds: message.Milliseconds
    digest: message.Count


class Fetch(message.PeerMessage, tag=41):
    """Request for the objects that the sender lacks.

    :param position: the sender's position.
    :param cursor: the end of the last page, 0 if there was none.
    """

    position: message.Count
    cursor: message.Count


class Delta(message.PeerMessage, tag=42):
    """Page of objects, the answer to a fetch.

    It holds the newest version, as known to the sender, of every object
    whose revision is above ``base`` and at most ``revision``.

    :param base: the revision after which the page begins.
    :param revision: the last revision of the page.
    :param is_snapshot: whether tombstones up to ``floor`` may be missing,
        so that the receiver must delete absent objects after the last page.
    :param is_last: whether the page reaches the sender's position.
    :param floor: tombstones up to this revision may have been dropped.
    :param packed: the objects as compressed :class:`Item` values, sorted by
        revision.
    """

    base: message.Count
    revision: message.Count
    is_snapshot: bool
    is_last: bool
    floor: message.Count
    packed: bytes


class Busy(message.PeerMessage, tag=43):
    """Refusal of a fetch because too many others are pending."""


MESSAGES = Position | Fetch | Delta | Busy
