"""Probes of upstreams: do they take a TCP connection?"""

from __future__ import annotations

from collections.abc import Callable

from skylarkfold import affinity
from skylarkfold import reactor

Outcome = affinity.ProbeOutcome


def probe(
    loop: reactor.Loop,
    wanted: affinity.Probe,
    finished: Callable[[affinity.Upstream, str, bool], object],
) -> None:
    """Open a connection and close it again.

    A connection costs the upstream no slot, and shows that its process
    lives, which a request would not show better.

    :param loop: the event loop.
    :param wanted: what to probe.
    :param finished: takes the upstream, the outcome and whether it was a
        control, once.
    """
    _Attempt(loop, wanted, finished)


class _Attempt:
    __slots__ = ('_finished', '_is_control', '_stream', '_timer', '_upstream')

    def __init__(
        self,
        loop: reactor.Loop,
        wanted: affinity.Probe,
        finished: Callable[[affinity.Upstream, str, bool], object],
    ) -> None:
        self._finished = finished
        self._is_control = wanted.is_control
        self._upstream = wanted.upstream
        self._stream = reactor.connect(loop, wanted.upstream.address)
        self._stream.on_open = self._succeed
        self._stream.on_close = self._refuse
        self._timer = loop.call_later(wanted.timeout_seconds, self._give_up)

    def _succeed(self) -> None:
        self._end(Outcome.ALIVE)

    def _refuse(self, _reason: str) -> None:
        self._end(Outcome.REFUSED)

    def _give_up(self) -> None:
        self._end(Outcome.SILENT)

    def _end(self, outcome: str) -> None:
        finished, self._finished = self._finished, None
        if finished is None:
            return
        self._timer.cancel()
        self._stream.close()
        finished(self._upstream, outcome, self._is_control)
