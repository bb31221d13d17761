"""An upstream with slots, a queue, a cold start and faults."""

from __future__ import annotations

import collections
from collections.abc import Callable
import random

from skylarkfold.measure import _overload_world

# Requests beyond the slots that wait; more are turned away without a run.
QUEUE_LENGTH = 8
# A start: how long requests take longer, and how much longer.
COLD_SECONDS = 2.0
COLD_TIMES = 1.6
_SHED_SECONDS = 0.0003


class Outcome:
    """How a request ended at an upstream."""

    SERVED = 'served'
    SHED = 'shed'
    FAILED = 'failed'


class ModelUpstream:
    """One upstream.

    :param name: its name.
    :param number: its number; the token of its flows.
    :param zone: its availability zone.
    :param slots: requests at the same time.
    :param clock: the time.
    :param draw: where failures are drawn.
    :param answer: called with this upstream, a flow, its request and an
        :class:`Outcome`.
    :ivar speed: how much work it does in a time, relative to others.
    :ivar slow_times: how much longer work takes for a while.
    :ivar hang_share: share of the requests that are never answered.
    :ivar error_share: share of them that fail at once.
    :ivar taken: requests that it was sent.
    :ivar is_draining: whether it leaves.
    :ivar is_gone: whether it has left.
    """

    __slots__ = (
        '_answer',
        '_busy',
        '_clock',
        '_draw',
        '_last',
        '_queue',
        '_started_at',
        'error_share',
        'hang_share',
        'is_draining',
        'is_gone',
        'name',
        'number',
        'opened',
        'slots',
        'slow_times',
        'speed',
        'taken',
        'zone',
    )

    def __init__(
        self,
        name: str,
        number: int,
        zone: str,
        slots: int,
        clock: _overload_world.Clock,
        draw: random.Random,
        answer: Callable[['ModelUpstream', object, object, str], None],
    ) -> None:
        self.name = name
        self.number = number
        self.zone = zone
        self.slots = slots
        self.speed = 1.0
        self.slow_times = 1.0
        self.hang_share = 0.0
        self.error_share = 0.0
        self.taken = 0
        self.opened = 0
        self.is_draining = False
        self.is_gone = False
        self._clock = clock
        self._draw = draw
        self._answer = answer
        self._busy = 0
        self._queue: collections.deque[tuple[object, object]] = (
            collections.deque()
        )
        self._last: dict[bytes, int] = {}
        self._started_at = float('-inf')

    def draw_sequence(self) -> int:
        """Draw the number before the first byte of a flow."""
        return self._draw.randrange(_overload_world.SEQUENCES)

    def begin_cold(self) -> None:
        """Start: what it does takes longer for a while."""
        self._started_at = self._clock.now

    def end(self) -> None:
        """End: what it has is lost, and it answers nothing more."""
        self.is_gone = True
        self._queue.clear()
        self._last.clear()

    @property
    def cold_left_seconds(self) -> float:
        """How much longer it is slow from its start."""
        since = self._clock.now - self._started_at
        return max(0.0, COLD_SECONDS - since)

    def take(self, flow: object, request: object) -> None:
        """Take a request.

        :param flow: its flow.
        :param request: the request; ``work_seconds`` of it is used. A copy
            of the last one on a flow is known and left out.
        """
        if self._last.get(flow.key) == request.number:
            return
        self._last[flow.key] = request.number
        self.taken += 1
        drawn = self._draw.random()
        if drawn < self.hang_share:
            return
        if drawn < self.error_share:
            self._end_early(flow, request, Outcome.FAILED)
        elif self._busy < self.slots:
            self._begin(flow, request)
        elif len(self._queue) < QUEUE_LENGTH:
            self._queue.append((flow, request))
        else:
            self._end_early(flow, request, Outcome.SHED)

    def _end_early(self, flow: object, request: object, outcome: str) -> None:
        self._clock.call(
            _SHED_SECONDS, self._answer, self, flow, request, outcome
        )

    def _begin(self, flow: object, request: object) -> None:
        request.runs += 1
        self._busy += 1
        seconds = request.work_seconds * self.slow_times / self.speed
        if self._clock.now - self._started_at < COLD_SECONDS:
            seconds *= COLD_TIMES
        self._clock.call(seconds, self._end, flow, request)

    def _end(self, flow: object, request: object) -> None:
        self._busy -= 1
        if self.is_gone:
            return
        self._answer(self, flow, request, Outcome.SERVED)
        if self._queue:
            self._begin(*self._queue.popleft())
