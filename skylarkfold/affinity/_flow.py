"""The flows that this instance has carried lately."""

from __future__ import annotations

from collections.abc import Iterator

from skylarkfold.affinity import _upstream_state

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
        'first_packet',
        'is_busy',
        'is_closed',
        'is_counted',
        'is_idempotent',
        'is_open',
        'is_routed',
        'key',
        'last_packet_at',
        'next_sequence',
        'placed_at',
        'reported_wait',
        'requests_ahead',
        'started_at',
        'state',
        'tried',
        'waiting_since',
    )

    def __init__(
        self, key: bytes, state: _upstream_state.UpstreamState, now: float
    ) -> None:
        self.key = key
        self.state = state
        self.started_at = now
        self.placed_at = now
        self.last_packet_at = now
        self.is_open = False
        self.is_closed = False
        self.is_counted = False
        self.is_busy = False
        self.requests_ahead = 0
        self.is_idempotent = False
        self.is_routed = False
        self.waiting_since: float | None = None
        self.reported_wait: float | None = None
        self.next_sequence: int | None = None
        self.acknowledged = 0
        self.first_packet = b''
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

    __slots__ = (
        '_active',
        '_active_aging',
        '_dormant',
        '_dormant_aging',
        '_limit',
    )

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._active: dict[bytes, Flow] = {}
        self._active_aging: dict[bytes, Flow] = {}
        self._dormant: dict[bytes, Flow] = {}
        self._dormant_aging: dict[bytes, Flow] = {}

    def __len__(self) -> int:
        return (
            len(self._active)
            + len(self._active_aging)
            + len(self._dormant)
            + len(self._dormant_aging)
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
                    bind_flow(found, found.state)
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
        unbind_flow(flow)

    def rotate_active(self) -> None:
        """Count those no more that were not used for two rotations."""
        for key, flow in self._active_aging.items():
            unbind_flow(flow)
            if not flow.is_closed:
                self._dormant[key] = flow
        self._active_aging, self._active = self._active, {}

    def rotate_dormant(self) -> None:
        """Forget those that were not used for two rotations."""
        self._dormant_aging, self._dormant = self._dormant, {}

    def _list_generations(self) -> tuple[dict[bytes, Flow], ...]:
        return (
            self._active,
            self._active_aging,
            self._dormant,
            self._dormant_aging,
        )


def bind_flow(flow: Flow, state: _upstream_state.UpstreamState) -> None:
    """Bind a flow to an upstream and count it there.

    :param flow: the flow.
    :param standing: its upstream from now on.
    """
    unbind_flow(flow)
    flow.state = state
    flow.is_counted = True
    state.flows += 1


def start_request(flow: Flow, now: float) -> None:
    """Count that a flow's upstream has a request of it.

    :param flow: the flow.
    :param now: the time.
    """
    if not flow.is_busy:
        flow.is_busy = True
        # A whole number: small ones take no memory of their own.
        flow.requests_ahead = round(flow.state.in_flight)
        flow.state.change_busy(now, 1)


def finish_request(flow: Flow, now: float) -> None:
    """Count that its upstream has none of it any more.

    :param flow: the flow.
    :param now: the time.
    """
    if flow.is_busy:
        flow.is_busy = False
        flow.state.change_busy(now, -1)


def rebind_flow(
    flow: Flow,
    state: _upstream_state.UpstreamState,
    acknowledged: int,
    now: float,
) -> None:
    """Move a flow to the next start of its upstream.

    Which start answered it is not known, so that neither its answer nor its
    wait says anything of this one.

    :param flow: the flow.
    :param standing: the upstream as it started again.
    :param acknowledged: the caller's acknowledgement.
    :param now: the time.
    """
    finish_request(flow, now)
    flow.waiting_since = None
    flow.reported_wait = None
    flow.is_open = True
    flow.first_packet = b''
    flow.acknowledged = acknowledged
    bind_flow(flow, state)


def unbind_flow(flow: Flow) -> None:
    """Count a flow no more.

    :param flow: the flow.
    """
    if flow.is_counted:
        flow.is_counted = False
        flow.state.flows -= 1
    if flow.is_busy:
        flow.is_busy = False
        flow.state.busy -= 1
