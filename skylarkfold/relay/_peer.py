"""An instance as the relay knows it."""

from __future__ import annotations

import xxhash

from skylarkfold.relay import _messages
from skylarkfold import upstream_load

_NEVER = float('-inf')


class Peer:
    """An instance of the fleet.

    :param name: its name.
    :param zone: its availability zone.
    :param host: its address.
    :param capacity: its spare capacity, by which instances are ranked.
    :ivar digest: a hash that stands for its name in compact messages.
    :ivar last_heard_at: when its last beacon arrived, here or elsewhere.
    :ivar last_beacon_at: when its last beacon arrived here.
    :ivar neighbour_since: when it became a neighbour; None if it isn't one.
    :ivar reachable_since: when its first beacon after a silence arrived.
    :ivar positions: the positions in its last beacon, one for each topic.
    :ivar loads: its last reported loads, by incarnation of the upstream.
    :ivar is_leaving: whether it is shutting down.
    :ivar is_reachable: whether it was heard lately.
    :ivar last_heard_before_loss: the value of ``last_heard_at`` when it was
        found unreachable.
    :ivar introduced_at: when it was last sent the instances near to it.
    """

    __slots__ = (
        'capacity',
        'digest',
        'host',
        'introduced_at',
        'is_leaving',
        'is_reachable',
        'last_beacon_at',
        'last_heard_at',
        'last_heard_before_loss',
        'loads',
        'name',
        'neighbour_since',
        'positions',
        'reachable_since',
        'zone',
    )

    def __init__(self, name: str, zone: str, host: str, capacity: int) -> None:
        self.name = name
        self.zone = zone
        self.host = host
        self.capacity = capacity
        self.digest = xxhash.xxh32_intdigest(name.encode())
        self.last_heard_at = _NEVER
        self.last_beacon_at = _NEVER
        self.neighbour_since: float | None = None
        self.reachable_since = _NEVER
        self.positions: tuple[_messages.Position, ...] = ()
        self.loads: dict[int, upstream_load.UpstreamLoad] = {}
        self.is_leaving = False
        self.is_reachable = True
        self.last_heard_before_loss = _NEVER
        self.introduced_at = _NEVER

    @property
    def may_own(self) -> bool:
        """Whether it may be a watcher or a delegate.

        Its readiness doesn't matter: it is ready soon after its start, and
        news of that through third instances would be out of date.
        """
        return self.is_reachable and not self.is_leaving
