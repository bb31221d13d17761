"""One of the other instances."""

from __future__ import annotations

import xxhash

from skylarkfold.relay import _messages
from skylarkfold import upstream_load

_NEVER = float('-inf')


class Peer:
    """One instance.

    :ivar capacity: the more of it, the sooner it is given duties.
    :ivar digest: what stands for its name in short messages.
    :ivar heard_at: when a beacon of it last came, here or at others.
    :ivar met_at: when a beacon of it last came here.
    :ivar near_since: when it became a neighbour; None for one that is none.
    :ivar back_at: when it was first heard after a silence.
    :ivar positions: what it last said to know, by topic.
    :ivar loads: what it last said to carry, by incarnation of the upstream.
    :ivar is_reachable: whether it was heard lately.
    :ivar lost_at: when it had last been heard when it was found silent.
    :ivar told_at: when it was last told of others.
    """

    __slots__ = (
        'back_at',
        'capacity',
        'digest',
        'heard_at',
        'host',
        'is_leaving',
        'is_reachable',
        'loads',
        'lost_at',
        'met_at',
        'name',
        'near_since',
        'positions',
        'told_at',
        'zone',
    )

    def __init__(self, name: str, zone: str, host: str, capacity: int) -> None:
        self.name = name
        self.zone = zone
        self.host = host
        self.capacity = capacity
        self.digest = xxhash.xxh32_intdigest(name.encode())
        self.heard_at = _NEVER
        self.met_at = _NEVER
        self.near_since: float | None = None
        self.back_at = _NEVER
        self.positions: tuple[_messages.Position, ...] = ()
        self.loads: dict[int, upstream_load.UpstreamLoad] = {}
        self.is_leaving = False
        self.is_reachable = True
        self.lost_at = _NEVER
        self.told_at = _NEVER

    @property
    def may_own(self) -> bool:
        """Whether it may be given duties.

        One that is not ready yet soon is; what others hear of it through
        third ones would be out of date.
        """
        return self.is_reachable and not self.is_leaving
