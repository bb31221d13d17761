"""Session of a caller that sends requests one after another."""

from __future__ import annotations

from skylarkfold.soak import _environment
from skylarkfold.standin import packets

_MAX_FLOW_REQUESTS = 12
_MAX_RETRIES = 2
# Range of the pause before each request.
_PAUSE_SECONDS = (0.05, 0.6)


class Session:
    """Sequence of requests with retries.

    :param environment: the environment that is tested.
    :param caller: the caller that sends the requests.
    :param until: the time after which no request begins.
    :param rate_factor: the request rate relative to other sessions.
    :param address: the address of an added route; None to choose a route.
    """

    def __init__(
        self,
        environment: _environment.Environment,
        caller: packets.Caller,
        until: float = float('inf'),
        rate_factor: float = 1.0,
        address: tuple[str, int] | None = None,
    ) -> None:
        self._environment = environment
        self._caller = caller
        self._until = until
        self._rate_factor = rate_factor
        may_repeat = False
        if address is None:
            address, _, may_repeat = environment.random.choice(
                environment.routes
            )
        self._address = address
        self._may_repeat = may_repeat
        self._flow = None
        self._requests_left = 0

    def begin(self) -> None:
        """Send the next request after a pause."""
        environment = self._environment
        is_expired = environment.loop.now() >= self._until
        if environment.is_ending or environment.is_over or is_expired:
            return
        pause = environment.random.uniform(*_PAUSE_SECONDS) / self._rate_factor
        environment.loop.call_later(pause, self._send_first_attempt)

    def _send_first_attempt(self) -> None:
        if not self._environment.is_ending:
            self._send_attempt(_MAX_RETRIES)

    def _send_attempt(self, retries: int) -> None:
        environment = self._environment
        if environment.is_over:
            return
        if self._flow is None or self._flow.is_over or not self._requests_left:
            if self._flow is not None:
                self._flow.finish()
            self._flow = self._caller.open(self._address)
            self._flow.was_reset = self._note_reset
            self._requests_left = environment.random.randint(
                1, _MAX_FLOW_REQUESTS
            )
        self._requests_left -= 1
        request = environment.name_request()
        if not self._may_repeat:
            environment.judge.note_once(request)
        flow = self._flow
        exchange = packets.Exchange(request)
        environment.judge.begin(exchange)
        flow.request(
            exchange,
            _environment.DEADLINE_SECONDS,
            lambda exchange: self._handle_outcome(flow, exchange, retries),
        )

    def _note_reset(self, flow: packets.Flow) -> None:
        environment = self._environment
        if environment.judge.is_dropped(self._address):
            return
        upstream = environment.find_holder(flow)
        if upstream is not None:
            environment.judge.note_reset(environment.loop.now(), upstream)

    def _handle_outcome(self, flow, exchange, retries: int) -> None:
        environment = self._environment
        may_retry = self._may_repeat or not exchange.is_opened
        if exchange.outcome != packets.ANSWERED and retries and may_retry:
            environment.judge.note_retry(exchange)
            self._send_attempt(retries - 1)
            return
        environment.judge.take(exchange, self._address)
        self.begin()
