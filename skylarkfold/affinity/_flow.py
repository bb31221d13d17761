"""The flows that this instance has carried lately."""

from __future__ import annotations

from collections.abc import Iterator

from skylarkfold.affinity import _standing

# Sequence numbers wrap around at this.
_MODULUS = 1 << 32
_HALF = 1 << 31


class Flow:
    """One flow, from its first packet here.

    Nothing depends on remembering it: it is what makes loads, waits and
    failures visible, and is rebuilt from any later packet.

    :param key: the packed flow.
    :param standing: its upstream.
    :param now: the time.
    :ivar is_open: whether the caller has answered its upstream.
    :ivar begun_at: when its first packet came here.
    :ivar placed_at: when its first packet was last sent to an upstream.
    :ivar seen_at: when its last packet came.
    :ivar waiting_since: when the caller sent a request that nothing has
        answered yet, None where none waits.
    :ivar doubted_wait: the ``waiting_since`` of the last wait that was
        logged as a doubt.
    :ivar sent: the number after the caller's last byte.
    :ivar acknowledged: the caller's highest acknowledgement.
    :ivar first: its first packet, kept until it is open.
    :ivar tried: names of the upstreams that got its first packet.
    :ivar is_idempotent: whether its requests may run more than once.
    :ivar is_routed: whether its route was known while it was carried here.
    :ivar is_counted: whether it counts for its upstream's load.
    :ivar is_busy: whether its upstream has a request of it.
    :ivar ahead: requests that its upstream had when it got the last one.
    :ivar is_closed: whether its caller has ended it.
    """

    __slots__ = (
        'acknowledged',
        'ahead',
        'begun_at',
        'doubted_wait',
        'first',
        'is_busy',
        'is_closed',
        'is_counted',
        'is_idempotent',
        'is_open',
        'is_routed',
        'key',
        'placed_at',
        'seen_at',
        'sent',
        'standing',
        'tried',
        'waiting_since',
    )

    def __init__(
        self, key: bytes, standing: _standing.Standing, now: float
    ) -> None:
        self.key = key
        self.standing = standing
        self.begun_at = now
        self.placed_at = now
        self.seen_at = now
        self.is_open = False
        self.is_closed = False
        self.is_counted = False
        self.is_busy = False
        self.ahead = 0
        self.is_idempotent = False
        self.is_routed = False
        self.waiting_since: float | None = None
        self.doubted_wait: float | None = None
        self.sent: int | None = None
        self.acknowledged = 0
        self.first = b''
        self.tried: tuple[str, ...] = ()


def is_after(number: int, other: int) -> bool:
    """Compare two sequence numbers, which wrap around.

    :param number: a number modulo 2**32.
    :param other: another one.
    :returns: whether the first one is later.
    """
    return 0 < (number - other) % _MODULUS < _HALF


def add_length(number: int, length: int) -> int:
    """Add to a sequence number, which wraps around.

    :param number: a number modulo 2**32.
    :param length: bytes.
    :returns: the number after them.
    """
    return (number + length) % _MODULUS


class FlowTable:
    """Flows by key: the active ones, and those without a packet lately.

    Only active flows count for the load of their upstream: one that other
    instances carry by now would count twice. Dormant ones are remembered
    until they are idle for too long, to be reset with their upstream.

    Generations in place of times: a flow that is used moves to the
    youngest one, and a rotation moves a whole generation on.

    :param limit: flows remembered at most.
    """

    __slots__ = ('_active', '_dormant', '_fading', '_forgotten', '_limit')

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._active: dict[bytes, Flow] = {}
        self._fading: dict[bytes, Flow] = {}
        self._dormant: dict[bytes, Flow] = {}
        self._forgotten: dict[bytes, Flow] = {}

    def __len__(self) -> int:
        return (
            len(self._active)
            + len(self._fading)
            + len(self._dormant)
            + len(self._forgotten)
        )

    def __iter__(self) -> Iterator[Flow]:
        for generation in self._list_generations():
            yield from list(generation.values())

    def get(self, key: bytes) -> Flow | None:
        """Find a flow, which is active from now on.

        :param key: the packed flow.
        :returns: the flow, None if it is not known.
        """
        found = self._active.get(key)
        if found is not None:
            return found
        for generation in self._list_generations()[1:]:
            found = generation.pop(key, None)
            if found is not None:
                self._active[key] = found
                if not found.is_closed and not found.is_counted:
                    count_in(found, found.standing)
                return found
        return None

    def add(self, flow: Flow) -> bool:
        """Remember a flow.

        :param flow: the flow.
        :returns: whether there was room.
        """
        if len(self) >= self._limit:
            return False
        self._active[flow.key] = flow
        return True

    def remove(self, flow: Flow) -> None:
        """Forget a flow.

        :param flow: the flow.
        """
        for generation in self._list_generations():
            generation.pop(flow.key, None)
        count_out(flow)

    def rotate_active(self) -> None:
        """Count those no more that were not used for two rotations."""
        for key, flow in self._fading.items():
            count_out(flow)
            if not flow.is_closed:
                self._dormant[key] = flow
        self._fading, self._active = self._active, {}

    def rotate_dormant(self) -> None:
        """Forget those that were not used for two rotations."""
        self._forgotten, self._dormant = self._dormant, {}

    def _list_generations(self) -> tuple[dict[bytes, Flow], ...]:
        return (self._active, self._fading, self._dormant, self._forgotten)


def is_bound(flow: Flow, token: int) -> bool:
    """Tell whether a flow is bound to the upstream that a token names.

    :param flow: the flow.
    :param token: that a packet of it carries.
    :returns: whether it is, to its present start.
    """
    standing = flow.standing
    return token == standing.upstream.token and not standing.is_former


def count_in(flow: Flow, standing: _standing.Standing) -> None:
    """Bind a flow to an upstream and count it there.

    :param flow: the flow.
    :param standing: its upstream from now on.
    """
    count_out(flow)
    flow.standing = standing
    flow.is_counted = True
    standing.flows += 1


def begin_work(flow: Flow, now: float) -> None:
    """Count that a flow's upstream has a request of it.

    :param flow: the flow.
    :param now: the time.
    """
    if not flow.is_busy:
        flow.is_busy = True
        # A whole number: small ones take no memory of their own.
        flow.ahead = round(flow.standing.waiting)
        flow.standing.change_busy(now, 1)


def end_work(flow: Flow, now: float) -> None:
    """Count that its upstream has none of it any more.

    :param flow: the flow.
    :param now: the time.
    """
    if flow.is_busy:
        flow.is_busy = False
        flow.standing.change_busy(now, -1)


def move(
    flow: Flow, standing: _standing.Standing, acknowledged: int, now: float
) -> None:
    """Move a flow to the next start of its upstream.

    Which start answered it is not known, so that neither its answer nor its
    wait says anything of this one.

    :param flow: the flow.
    :param standing: the upstream as it started again.
    :param acknowledged: the caller's acknowledgement.
    :param now: the time.
    """
    end_work(flow, now)
    flow.waiting_since = None
    flow.doubted_wait = None
    flow.is_open = True
    flow.first = b''
    flow.acknowledged = acknowledged
    count_in(flow, standing)


def count_out(flow: Flow) -> None:
    """Count a flow no more.

    :param flow: the flow.
    """
    if flow.is_counted:
        flow.is_counted = False
        flow.standing.flows -= 1
    if flow.is_busy:
        flow.is_busy = False
        flow.standing.busy -= 1
