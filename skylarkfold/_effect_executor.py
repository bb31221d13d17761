"""Performs the effects of a node on its sockets."""

from __future__ import annotations

from collections.abc import Callable
import functools
import logging

from skylarkfold import _sockets
from skylarkfold import effect
from skylarkfold import log
from skylarkfold import metric

_DATAGRAM = 'datagram'

_logger = logging.getLogger(log.LOGGER_NAME)


class EffectExecutor:
    """Dispatches effects to handlers by type.

    The daemon registers the handlers of effects on the process itself.

    :param sockets: the I/O components that perform the effects.
    """

    def __init__(self, sockets: _sockets.Sockets) -> None:
        self._sockets = sockets
        self._counters = sockets.runtime.counters
        self._decisions = sockets.runtime.decisions
        # One dispatcher per object: singledispatchmethod creates a closure
        # at each call, which costs more than performing most effects.
        self.execute = functools.singledispatch(self._log_unknown)
        for kind, handler in self._list_handlers():
            self.register(kind, handler)

    def register(self, kind: type, handler: Callable[..., None]) -> None:
        """Register the handler for a type of effect.

        :param kind: the type of effect.
        :param handler: a function that performs an effect of that type.
        """
        self.execute.register(kind, handler)

    def _list_handlers(
        self,
    ) -> tuple[tuple[type, Callable[..., None]], ...]:
        sockets = self._sockets
        return (
            (effect.ForwardDatagram, self._forward),
            (effect.DropDatagram, self._drop),
            (effect.ConnectStream, sockets.streams.connect),
            (effect.RefuseStream, sockets.streams.refuse),
            (effect.DispatchAttempt, sockets.attempts.dispatch),
            (effect.CancelAttempt, self._cancel),
            (effect.SendAnswer, self._answer),
            (effect.SendToPeer, sockets.peers.send),
            (effect.CallPlatform, sockets.caller.call),
            (effect.CountMetric, self._count),
            (effect.RecordDecision, self._decisions.record),
        )

    def _log_unknown(self, produced: object) -> None:
        _logger.error('no handler for effect %s', type(produced).__name__)

    def _forward(self, produced: effect.ForwardDatagram) -> None:
        service = produced.service
        self._counters.add(metric.DATAGRAMS_FORWARDED)
        self._sockets.upstream_socket.send(
            produced.payload,
            produced.caller,
            service.address,
            produced.upstream.address,
        )
        if self._sockets.runtime.log_packets:
            self._decisions.append(
                _DATAGRAM,
                service.name,
                produced.caller,
                produced.upstream.name,
                produced.reason,
            )

    def _drop(self, produced: effect.DropDatagram) -> None:
        self._counters.add(f'{metric.DATAGRAMS_DROPPED}.{produced.reason}')
        if self._sockets.runtime.log_packets:
            self._decisions.append(
                _DATAGRAM,
                str(produced.address),
                produced.caller,
                '',
                produced.reason,
            )

    def _cancel(self, produced: effect.CancelAttempt) -> None:
        self._sockets.attempts.cancel(produced.attempt)

    def _answer(self, produced: effect.SendAnswer) -> None:
        self._sockets.requests.send(produced.request, produced.answer)

    def _count(self, produced: effect.CountMetric) -> None:
        self._counters.add(produced.name, produced.amount)
