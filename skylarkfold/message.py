"""The base class of all messages between instances.

Each subsystem defines its own messages; :mod:`skylarkfold.codec` encodes
them all. Tags are unique: flows use 1 to 19, requests 20 to 39, configuration
40 to 59 and membership 60 to 79.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

# Bounds that prevent overflow in arithmetic on a peer's numbers; a message
# with a number out of range is malformed.
Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]
Milliseconds = Annotated[int, msgspec.Meta(ge=-1, le=1 << 40)]


class PeerMessage(msgspec.Struct, frozen=True, array_like=True):
    """A message from one instance to another.

    A subclass defines its tag: ``class Ping(PeerMessage, tag=60)``.
    """
