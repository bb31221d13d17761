"""Callers: flows that they keep or open, time limits, further tries."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from skylarkfold import affinity
from skylarkfold.measure import _overload_pattern
from skylarkfold.measure import _overload_upstream
from skylarkfold.measure import _overload_world

Outcome = _overload_upstream.Outcome

# A caller repeats a first packet and a request that nothing answers at
# these times, and gives a flow up that does not open by the last one.
_REPEATS = (0.2, 0.6)
_OPEN_SECONDS = 1.4
# Upstreams close a flow that has been idle for so long.
_IDLE_SECONDS = 12.0
_PORTS = 60000


class End:
    """How a request ended for its caller."""

    IN_AIM = 'in-aim'
    LATE = 'late'
    REFUSED = 'refused'
    FAILED = 'failed'


class Request:
    """One request of a caller with all its tries.

    :param number: its number.
    :param kind: its kind.
    :param zone: its caller's availability zone.
    :param caller: which caller of that zone.
    :param asked_at: when it is asked.
    :param work_seconds: how long it takes a slot.
    :ivar tries: how often it was tried.
    :ivar runs: how often an upstream has begun to work on it.
    :ivar was_refused: whether its last try ended without a run.
    :ivar end: one of :class:`End`; empty while it goes on.
    :ivar ended_at: when it ended.
    """

    __slots__ = (
        'asked_at',
        'caller',
        'end',
        'ended_at',
        'kind',
        'number',
        'runs',
        'tries',
        'was_refused',
        'work_seconds',
        'zone',
    )

    def __init__(
        self,
        number: int,
        kind: _overload_pattern.Kind,
        zone: str,
        caller: int,
        asked_at: float,
        work_seconds: float,
    ) -> None:
        self.number = number
        self.kind = kind
        self.zone = zone
        self.caller = caller
        self.asked_at = asked_at
        self.work_seconds = work_seconds
        self.tries = 0
        self.runs = 0
        self.was_refused = False
        self.end = ''
        self.ended_at = float('inf')

    @property
    def deadline(self) -> float:
        """When its caller gives up."""
        return self.asked_at + self.kind.deadline_seconds

    @property
    def credit(self) -> float:
        """What it earned."""
        if self.end == End.IN_AIM:
            return self.kind.worth
        return self.kind.late_worth if self.end == End.LATE else 0.0


class CallerFlow:
    """One flow as its caller sees it."""

    __slots__ = (
        'acknowledged',
        'is_closed',
        'key',
        'kind',
        'request',
        'sequence',
        'upstream',
        'used_at',
        'zone',
    )

    def __init__(
        self, key: bytes, kind: _overload_pattern.Kind, zone: str, now: float
    ) -> None:
        self.key = key
        self.kind = kind
        self.zone = zone
        self.used_at = now
        self.upstream: _overload_upstream.ModelUpstream | None = None
        self.request: Request | None = None
        self.sequence = 100
        self.acknowledged = 0
        self.is_closed = False


class Callers:
    """All callers.

    :param clock: the time.
    :param pattern: how they behave.
    :param send: sends a packet of a flow.
    """

    def __init__(
        self,
        clock: _overload_world.Clock,
        pattern: _overload_pattern.Pattern,
        send: Callable[[CallerFlow, affinity.Packet], None],
    ) -> None:
        self._clock = clock
        self._pattern = pattern
        self._send = send
        self._idle: dict[tuple[str, int, str], list[CallerFlow]] = {}
        self._flows: dict[bytes, CallerFlow] = {}

    def expect(self, requests: Iterable[Request]) -> None:
        """Have requests asked at their times.

        :param requests: the requests.
        """
        for each in requests:
            self._clock.call(each.asked_at, self._try, each)

    def find(self, key: bytes) -> CallerFlow | None:
        """Find a flow.

        :param key: the packed flow.
        :returns: the flow, None if there was none.
        """
        return self._flows.get(key)

    def take_opened(
        self, flow: CallerFlow, upstream: _overload_upstream.ModelUpstream
    ) -> None:
        """Take an upstream's answer to a first packet.

        :param flow: the flow.
        :param upstream: the upstream.
        """
        if flow.is_closed or flow.upstream is not None:
            return
        flow.upstream = upstream
        flow.acknowledged = upstream.draw_sequence()
        flow.sequence += 1
        request = flow.request
        if request is None or request.end:
            self._close(flow)
            return
        self._send_request(flow, request)

    def take_reset(self, flow: CallerFlow) -> None:
        """Take a reset.

        :param flow: the flow.
        """
        if flow.is_closed:
            return
        flow.is_closed = True
        request, flow.request = flow.request, None
        if request is None or request.end:
            return
        if flow.upstream is None:
            request.was_refused = True
            self._try_again(request)
        elif request.kind.is_idempotent:
            self._try_again(request)
        else:
            self._end(request, End.FAILED)

    def handle_answer(
        self,
        flow: CallerFlow,
        request: Request,
        outcome: str,
        is_leaving: bool,
    ) -> None:
        """Take an upstream's answer to a request.

        :param flow: its flow.
        :param request: the request.
        :param outcome: one of :class:`Outcome`.
        :param is_leaving: whether the upstream closes the flow.
        """
        if flow.is_closed or flow.request is not request:
            return
        flow.request = None
        flow.acknowledged += request.kind.answer_bytes
        flow.acknowledged %= _overload_world.SEQUENCES
        flow.used_at = self._clock.now
        self._send(flow, self._build(flow))
        if is_leaving or not flow.kind.is_held:
            self._close(flow)
        else:
            self._get_pool(request).append(flow)
        if request.end:
            return
        if outcome == Outcome.SERVED:
            taken = self._clock.now - request.asked_at
            is_in_aim = taken <= request.kind.aim_seconds
            self._end(request, End.IN_AIM if is_in_aim else End.LATE)
        elif outcome == Outcome.SHED or request.kind.is_idempotent:
            request.was_refused = outcome == Outcome.SHED
            self._try_again(request)
        else:
            self._end(request, End.FAILED)

    def _try(self, request: Request) -> None:
        if request.end:
            return
        if not request.tries:
            left = request.deadline - self._clock.now
            self._clock.call(left, self._give_up, request)
        request.tries += 1
        pool = self._get_pool(request)
        while pool and request.tries == 1:
            flow = pool.pop()
            idle = self._clock.now - flow.used_at
            if not flow.is_closed and idle < _IDLE_SECONDS:
                flow.request = request
                self._send_request(flow, request)
                return
        self._open(request)

    def _open(self, request: Request) -> None:
        count = len(self._flows)
        host = f'192.0.{2 + count // _PORTS}.{request.caller + 1}'
        caller = affinity.pack_address(host, 1024 + count % _PORTS)
        key = caller + request.kind.address
        flow = CallerFlow(key, request.kind, request.zone, self._clock.now)
        flow.request = request
        self._flows[key] = flow
        self._send_first(flow, 0)
        self._clock.call(_OPEN_SECONDS, self._check_opened, flow, request)

    def _send_first(self, flow: CallerFlow, copy: int) -> None:
        if flow.is_closed or flow.upstream is not None:
            return
        data = _overload_world.build_payload(flow.key, flow, is_first=True)
        packet = affinity.Packet(
            flow.key, 0, flow.sequence, copy, 0, True, False, data
        )
        self._send(flow, packet)
        if copy < len(_REPEATS):
            since = _REPEATS[copy - 1] if copy else 0.0
            pause = _REPEATS[copy] - since
            self._clock.call(pause, self._send_first, flow, copy + 1)

    def _check_opened(self, flow: CallerFlow, request: Request) -> None:
        if flow.is_closed or flow.upstream is not None:
            return
        flow.is_closed = True
        if not request.end:
            self._try_again(request)

    def _send_request(self, flow: CallerFlow, request: Request) -> None:
        flow.used_at = self._clock.now
        data = _overload_world.build_payload(flow.key, flow, request)
        self._send(flow, self._build(flow, request.kind.request_bytes, data))
        flow.sequence += request.kind.request_bytes
        for pause in _REPEATS:
            self._clock.call(pause, self._repeat, flow, request, data)

    def _repeat(
        self,
        flow: CallerFlow,
        request: Request,
        data: _overload_world.Payload,
    ) -> None:
        if flow.is_closed or flow.request is not request:
            return
        length = request.kind.request_bytes
        packet = self._build(flow, length, data)
        packet.sequence -= length
        self._send(flow, packet)

    def _build(
        self,
        flow: CallerFlow,
        length: int = 0,
        data: _overload_world.Payload | None = None,
        is_last: bool = False,
    ) -> affinity.Packet:
        if data is None:
            data = _overload_world.build_payload(flow.key, flow)
        return affinity.Packet(
            flow.key,
            flow.upstream.number,
            flow.sequence,
            flow.acknowledged,
            length,
            False,
            is_last,
            data,
        )

    def _close(self, flow: CallerFlow) -> None:
        flow.is_closed = True
        self._send(flow, self._build(flow, is_last=True))

    def _try_again(self, request: Request) -> None:
        if request.tries > self._pattern.retries:
            end = End.REFUSED if request.was_refused else End.FAILED
            self._end(request, end)
            return
        self._clock.call(self._pattern.retry_seconds, self._try, request)

    def _give_up(self, request: Request) -> None:
        if not request.end:
            self._end(request, End.FAILED)

    def _end(self, request: Request, end: str) -> None:
        request.end = end
        request.ended_at = self._clock.now

    def _get_pool(self, request: Request) -> list[CallerFlow]:
        key = (request.zone, request.caller, request.kind.name)
        return self._idle.setdefault(key, [])
