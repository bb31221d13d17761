"""One user of the soak."""

from __future__ import annotations

from skylarkfold.soak import _environment
from skylarkfold.standin import packets

_FLOW_REQUESTS = 12
_RETRIES = 2
# The pause before each request.
_PAUSE_SECONDS = (0.05, 0.6)


class Session:
    """Request after request, with retries.

    :param world: where they are sent, and who judges them.
    :param caller: who sends them.
    :param until: when the last one begins.
    :param hurry: how many times as often as others it asks.
    """

    def __init__(
        self,
        world: _environment.Environment,
        caller: packets.Caller,
        until: float = float('inf'),
        hurry: float = 1.0,
    ) -> None:
        self._world = world
        self._caller = caller
        self._until = until
        self._hurry = hurry
        address, _, may_repeat = world.random.choice(world.routes)
        self._address = address
        self._may_repeat = may_repeat
        self._flow = None
        self._left = 0

    def begin(self) -> None:
        """Send the next request after a pause."""
        world = self._world
        is_done = world.loop.now() >= self._until
        if world.is_ending or world.is_over or is_done:
            return
        pause = world.random.uniform(*_PAUSE_SECONDS) / self._hurry
        world.loop.call_later(pause, self._ask_first)

    def _ask_first(self) -> None:
        if not self._world.is_ending:
            self._ask(_RETRIES)

    def _ask(self, retries: int) -> None:
        world = self._world
        if world.is_over:
            return
        if self._flow is None or self._flow.is_over or not self._left:
            if self._flow is not None:
                self._flow.finish()
            self._flow = self._caller.open(self._address)
            self._flow.was_reset = self._note_reset
            self._left = world.random.randint(1, _FLOW_REQUESTS)
        self._left -= 1
        request = world.name_request()
        if not self._may_repeat:
            world.judge.note_once(request)
        flow = self._flow
        exchange = packets.Exchange(request)
        world.judge.begin(exchange)
        flow.request(
            exchange,
            _environment.DEADLINE_SECONDS,
            lambda exchange: self._take(flow, exchange, retries),
        )

    def _note_reset(self, flow: packets.Flow) -> None:
        world = self._world
        upstream = world.find_holder(flow)
        if upstream is not None:
            world.judge.note_reset(world.loop.now(), upstream)

    def _take(self, flow, exchange, retries: int) -> None:
        world = self._world
        may_retry = self._may_repeat or not exchange.is_opened
        if exchange.outcome != packets.ANSWERED and retries and may_retry:
            world.judge.note_retry(exchange)
            self._ask(retries - 1)
            return
        world.judge.take(exchange, self._address)
        self.begin()
