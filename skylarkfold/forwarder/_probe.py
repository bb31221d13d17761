"""Health probes that open a TCP connection to an upstream."""

from __future__ import annotations

from collections.abc import Callable

from skylarkfold import affinity
from skylarkfold import reactor

Outcome = affinity.ProbeOutcome


def probe(
    loop: reactor.Loop,
    effect: affinity.Probe,
    on_result: Callable[[affinity.Upstream, str, bool], object],
) -> None:
    """Probe an upstream by opening a connection and closing it.

    That shows that the upstream's process runs, and takes none of its slots.

    :param loop: the event loop.
    :param effect: names the upstream and the timeout.
    :param on_result: called once with the upstream, the outcome and whether
        it was a control probe.
    """
    _ProbeConnection(loop, effect, on_result)


class _ProbeConnection:
    __slots__ = (
        '_is_control',
        '_on_result',
        '_stream',
        '_timer',
        '_upstream',
    )

    def __init__(
        self,
        loop: reactor.Loop,
        effect: affinity.Probe,
        on_result: Callable[[affinity.Upstream, str, bool], object],
    ) -> None:
        self._on_result = on_result
        self._is_control = effect.is_control
        self._upstream = effect.upstream
        self._stream = reactor.connect(loop, effect.upstream.address)
        self._stream.on_open = self._handle_open
        self._stream.on_close = self._handle_close
        self._timer = loop.call_later(
            effect.timeout_seconds, self._handle_timeout
        )

    def _handle_open(self) -> None:
        self._finish(Outcome.ALIVE)

    def _handle_close(self, _reason: str) -> None:
        self._finish(Outcome.REFUSED)

    def _handle_timeout(self) -> None:
        self._finish(Outcome.SILENT)

    def _finish(self, outcome: str) -> None:
        on_result, self._on_result = self._on_result, None
        if on_result is None:
            return
        self._timer.cancel()
        self._stream.close()
        on_result(self._upstream, outcome, self._is_control)
