"""Where a request goes that a caller sent or a peer passed."""

from __future__ import annotations

from skylarkfold import metric
from skylarkfold import request as request_module
from skylarkfold.requests import _answers
from skylarkfold.requests import _context
from skylarkfold.requests import _keys
from skylarkfold.requests import _lifecycle
from skylarkfold.requests import _messages
from skylarkfold.requests import _passes
from skylarkfold.requests import _stop
from skylarkfold import verdict as verdict_module

ErrorCode = _answers.ErrorCode
PassKind = _messages.PassKind
PassStatus = _messages.PassStatus
Verdict = verdict_module.Verdict


class Reception:
    """Runs a request, has its key claimed first, or turns it away.

    :param context: what the parts of the core share.
    :param lifecycle: runs requests.
    :param keys: runs those that may run only once.
    :param passes: knows which passes are taken.
    :param stop: turns requests away once the instance stops.
    """

    __slots__ = (
        '_context',
        '_keys',
        '_last_handled',
        '_last_passed',
        '_lifecycle',
        '_passed',
        '_passes',
        '_stop',
        '_woken_until',
    )

    def __init__(
        self,
        context: _context.Context,
        lifecycle: _lifecycle.Lifecycle,
        keys: _keys.Keys,
        passes: _passes.Passes,
        stop: _stop.Stop,
    ) -> None:
        self._context = context
        self._lifecycle = lifecycle
        self._keys = keys
        self._passes = passes
        self._stop = stop
        self._passed: dict[int, _context.Asker] = {}
        self._last_passed = 0
        self._last_handled: float | None = None
        self._woken_until = 0.0

    def notice_pause(self, now: float) -> None:
        """Distrust the age of what arrives right after a pause.

        :param now: the time, of every event.
        """
        settings = self._context.settings
        last, self._last_handled = self._last_handled, now
        if last is not None and now - last > settings.pause_seconds:
            self._woken_until = now + settings.woken_seconds
            self._context.count(metric.REQUESTS_PAUSES)

    def receive(
        self,
        now: float,
        request: request_module.Request,
        asker: _context.Asker,
    ) -> None:
        """Take a request of a caller, or one that a peer received.

        :param now: the time.
        :param request: the request.
        :param asker: who waits for its answer.
        """
        deadline = now + self._limit_timeout(request)
        is_keyed = bool(request.key) and not request.idempotent
        if is_keyed and now < self._woken_until:
            self._context.refuse(asker, Verdict.MAY_HAVE_RUN, ErrorCode.PAUSED)
        elif self._stop.is_begun:
            self._stop.turn_away(now, request, asker, deadline)
        elif is_keyed:
            self._keys.receive(now, request, asker, deadline)
        else:
            self._run(now, request, asker, deadline)

    def cancel(self, now: float, number: int) -> None:
        """Forget a caller that went away.

        :param now: the time.
        :param number: its request's number.
        """
        asker = _context.Asker('', 0, number)
        if not self._keys.cancel(now, asker):
            self._lifecycle.cancel(now, number)

    def take_pass(
        self, now: float, sender: str, passed: _messages.PassMessage
    ) -> None:
        """Take a request that a peer passed.

        :param now: the time.
        :param sender: the peer.
        :param passed: the request.
        """
        asker = _context.Asker(sender, passed.boot, passed.number)
        if passed.target_boot != self._context.boot:
            self._end_pass(asker, PassStatus.UNKNOWN)
            return
        if not self._passes.accept(now, passed):
            self._context.count(metric.REQUESTS_STALE_PASSES)
            return
        self._last_passed -= 1
        request = _passes.read_request(passed, self._last_passed)
        if passed.kind is PassKind.RECALL:
            self._recall(now, request, asker, passed.claim)
        elif passed.kind is PassKind.RECEIVE:
            self.receive(now, request, asker)
        elif self._stop.is_begun:
            self._context.refuse(asker, Verdict.NOT_RUN, ErrorCode.STOPPING)
        else:
            deadline = now + self._limit_timeout(request)
            self._run(now, request, asker, deadline)

    def answer(self, number: int, answer: request_module.Answer) -> None:
        """Send the answer of a request without a key to who waits for it.

        :param number: the request's number.
        :param answer: its answer.
        """
        own = _context.Asker('', 0, number)
        self._context.reply(self._passed.pop(number, own), answer)

    def _run(
        self,
        now: float,
        request: request_module.Request,
        asker: _context.Asker,
        deadline: float,
    ) -> None:
        if asker.peer:
            self._passed[request.number] = asker
        self._lifecycle.begin(now, request, deadline)

    def _recall(
        self,
        now: float,
        request: request_module.Request,
        asker: _context.Asker,
        claim: int,
    ) -> None:
        deadline = now + self._limit_timeout(request)
        status = self._keys.recall(now, request, asker, deadline, claim)
        if status is not None:
            self._end_pass(asker, status)

    def _end_pass(self, asker: _context.Asker, status: PassStatus) -> None:
        ended = _messages.PassEndedMessage(
            target_boot=asker.boot, number=asker.number, status=status
        )
        self._context.send(asker.peer, ended)

    def _limit_timeout(self, request: request_module.Request) -> float:
        return min(
            request.timeout_seconds,
            self._context.settings.maximum_timeout_seconds,
        )
