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
    :ivar seen_at: when its last packet came.
    :ivar waiting_since: when the caller sent a request that nothing has
        answered yet, None where none waits.
    :ivar sent: the number after the caller's last byte.
    :ivar acknowledged: the caller's highest acknowledgement.
    :ivar first: its first packet, kept until it is open.
    :ivar tried: names of the upstreams that got its first packet.
    :ivar is_idempotent: whether its requests may run more than once.
    :ivar is_counted: whether it counts for its upstream's load.
    """

    __slots__ = (
        'acknowledged',
        'begun_at',
        'first',
        'is_counted',
        'is_idempotent',
        'is_open',
        'key',
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
        self.seen_at = now
        self.is_open = False
        self.is_counted = False
        self.is_idempotent = False
        self.waiting_since: float | None = None
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
    """Flows by key; those without a packet for long are forgotten.

    Two generations: a flow that is used moves to the younger one, and
    each rotation drops the older one whole.

    :param limit: flows remembered at most.
    """

    __slots__ = ('_limit', '_older', '_younger')

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._younger: dict[bytes, Flow] = {}
        self._older: dict[bytes, Flow] = {}

    def __len__(self) -> int:
        return len(self._younger) + len(self._older)

    def __iter__(self) -> Iterator[Flow]:
        yield from list(self._younger.values())
        yield from list(self._older.values())

    def get(self, key: bytes) -> Flow | None:
        """Find a flow and keep it from being forgotten.

        :param key: the packed flow.
        :returns: the flow, None if it is not known.
        """
        found = self._younger.get(key)
        if found is None and self._older:
            found = self._older.pop(key, None)
            if found is not None:
                self._younger[key] = found
        return found

    def add(self, flow: Flow) -> bool:
        """Remember a flow.

        :param flow: the flow.
        :returns: whether there was room.
        """
        if len(self) >= self._limit:
            return False
        self._younger[flow.key] = flow
        return True

    def remove(self, flow: Flow) -> None:
        """Forget a flow.

        :param flow: the flow.
        """
        self._younger.pop(flow.key, None)
        self._older.pop(flow.key, None)
        count_out(flow)

    def rotate(self) -> None:
        """Forget the flows that were not used since the last rotation."""
        forgotten, self._older = self._older, self._younger
        self._younger = {}
        for flow in forgotten.values():
            count_out(flow)


def count_in(flow: Flow, standing: _standing.Standing) -> None:
    """Bind a flow to an upstream and count it there.

    :param flow: the flow.
    :param standing: its upstream from now on.
    """
    count_out(flow)
    flow.standing = standing
    flow.is_counted = True
    standing.flows += 1


def count_out(flow: Flow) -> None:
    """Count a flow no more.

    :param flow: the flow.
    """
    if flow.is_counted:
        flow.is_counted = False
        flow.standing.flows -= 1
