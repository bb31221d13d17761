"""A virtual clock and what travels on it."""

from __future__ import annotations

from collections.abc import Callable
import heapq
import itertools

# One way: between a caller and an instance or upstream, from an instance
# to an upstream of its zone, and to one of another zone.
CALLER_SECONDS = 0.001
NEAR_SECONDS = 0.0001
FAR_SECONDS = 0.0005
# Numbers of bytes start anywhere and wrap around.
SEQUENCES = 1 << 32


class Clock:
    """Runs what is due, in order.

    :ivar now: the time in seconds.
    """

    __slots__ = ('_count', '_queue', 'now')

    def __init__(self) -> None:
        self.now = 0.0
        self._queue: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._count = itertools.count()

    def call(
        self, seconds: float, action: Callable[..., None], *arguments: object
    ) -> None:
        """Do something later.

        :param seconds: how much later.
        :param action: what.
        :param arguments: its arguments.
        """
        entry = (self.now + seconds, next(self._count), action, arguments)
        heapq.heappush(self._queue, entry)

    def run(self, until: float) -> None:
        """Do all that is due.

        :param until: up to this time.
        """
        queue = self._queue
        while queue and queue[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(queue)
            action(*arguments)
        self.now = until


class Payload(bytes):
    """The bytes of a packet, which remember what they stand for.

    :ivar flow: the caller's flow.
    :ivar request: the request that they carry, None for none.
    :ivar is_first: whether they open the flow.
    """

    flow: object
    request: object
    is_first: bool


def build_payload(
    key: bytes, flow: object, request: object = None, is_first: bool = False
) -> Payload:
    """Build the bytes of a packet.

    :param key: the packed flow.
    :param flow: the caller's flow.
    :param request: the request that they carry.
    :param is_first: whether they open the flow.
    :returns: the bytes.
    """
    payload = Payload(key)
    payload.flow = flow
    payload.request = request
    payload.is_first = is_first
    return payload
