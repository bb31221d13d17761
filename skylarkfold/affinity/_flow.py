"""Flows that this instance has carried recently."""

from __future__ import annotations

from collections.abc import Iterator

from skylarkfold.affinity import _upstream_state

# Sequence numbers are modulo this.
_MODULUS = 1 << 32
_HALF = 1 << 31


class Flow:
    """A flow, from its first packet at this instance.

    Forwarding does not depend on it: it tracks load, waits and failures, and
    is rebuilt from any later packet.

    :param key: the packed addresses of the flow.
    :param state: its upstream.
    :param now: the time.
    :ivar is_open: whether the caller has answered its upstream.
    :ivar started_at: when its first packet arrived here.
    :ivar placed_at: when its first packet was last sent to an upstream.
    :ivar last_packet_at: when its last packet arrived.
    :ivar waiting_since: when the caller sent a request that has not been
        answered, None if there is none.
    :ivar reported_wait: the ``waiting_since`` of the last wait that was
        logged.
    :ivar next_sequence: the sequence number after the caller's last byte.
    :ivar acknowledged: the caller's highest acknowledgement.
    :ivar first_packet: its first packet, kept until it is open.
    :ivar tried: names of the upstreams that its first packet was sent to.
    :ivar is_idempotent: whether its requests may run more than once.
    :ivar is_routed: whether its route was ever known while it was carried
        here.
    :ivar is_counted: whether it counts for its upstream's load.
    :ivar is_busy: whether its upstream has a request of it in flight.
    :ivar requests_ahead: requests in flight at its upstream when its last one
        was sent.
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
    """Return whether a sequence number is later than another one.

    :param number: a sequence number modulo 2**32.
    :param other: another one.
    :returns: whether the first is later, with regard to wrap-around.
    """
    return 0 < (number - other) % _MODULUS < _HALF


def add_length(number: int, length: int) -> int:
    """Add a length to a sequence number.

    :param number: a sequence number modulo 2**32.
    :param length: a number of bytes.
    :returns: the sequence number after them.
    """
    return (number + length) % _MODULUS


class FlowTable:
    """Flows by key, both active and dormant ones.

    Only active flows count for the load of their upstream: those that other
    instances carry by now would count twice. Dormant flows are kept until they
    have been idle for too long, so that they can be reset with their upstream.

    Flows are aged by generations instead of timestamps: each use moves a flow
    to the youngest generation, each rotation moves whole generations on.

    :param limit: the most flows that are kept.
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
        """Return a flow and mark it as active.

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
        """Add a flow.

        :param flow: the flow.
        :returns: whether there was room for it.
        """
        if len(self) >= self._limit:
            return False
        self._active[flow.key] = flow
        return True

    def remove(self, flow: Flow) -> None:
        """Remove a flow.

        :param flow: the flow.
        """
        for generation in self._list_generations():
            generation.pop(flow.key, None)
        unbind_flow(flow)

    def rotate_active(self) -> None:
        """Make flows dormant that were not used for two rotations."""
        for key, flow in self._active_aging.items():
            unbind_flow(flow)
            if not flow.is_closed:
                self._dormant[key] = flow
        self._active_aging, self._active = self._active, {}

    def rotate_dormant(self) -> None:
        """Remove dormant flows that were not used for two rotations."""
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
    :param state: its new upstream.
    """
    unbind_flow(flow)
    flow.state = state
    flow.is_counted = True
    state.flows += 1


def start_request(flow: Flow, now: float) -> None:
    """Count a request of a flow as in flight.

    :param flow: the flow.
    :param now: the time.
    """
    if not flow.is_busy:
        flow.is_busy = True
        # Small integers are shared by the interpreter and take no memory.
        flow.requests_ahead = round(flow.state.in_flight)
        flow.state.change_busy(now, 1)


def finish_request(flow: Flow, now: float) -> None:
    """Count a flow's request as no longer in flight.

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
    """Rebind a flow to the next start of its upstream.

    It is not known which start answered it, so neither its answer nor its wait
    says anything about the new one.

    :param flow: the flow.
    :param state: the upstream after its restart.
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
    """Stop counting a flow for its upstream.

    :param flow: the flow.
    """
    if flow.is_counted:
        flow.is_counted = False
        flow.state.flows -= 1
    if flow.is_busy:
        flow.is_busy = False
        flow.state.busy -= 1
