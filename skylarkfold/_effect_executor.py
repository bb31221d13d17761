"""Executes the effects of a node with its sockets."""

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
    """Executes effects by their type.

    Effects that concern the life of the process are registered by the
    daemon.

    :param sockets: the sockets.
    """

    def __init__(self, sockets: _sockets.Sockets) -> None:
        self._sockets = sockets
        self._counters = sockets.runtime.counters
        self._decisions = sockets.runtime.decisions
        # One dispatcher for each instance: a singledispatchmethod makes a
        # new closure at each call, which costs more than most effects.
        self.execute = functools.singledispatch(self._report_unknown)
        for kind, execute in self._list_performers():
            self.register(kind, execute)

    def register(self, kind: type, execute: Callable[..., None]) -> None:
        """Name what performs a type of effect.

        :param kind: the type.
        :param perform: takes an effect of that type.
        """
        self.execute.register(kind, execute)

    def _list_performers(
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

    def _report_unknown(self, wanted: object) -> None:
        _logger.error('no way to perform %s', type(wanted).__name__)

    def _forward(self, wanted: effect.ForwardDatagram) -> None:
        service = wanted.service
        self._counters.add(metric.DATAGRAMS_FORWARDED)
        self._sockets.upstream_socket.send(
            wanted.payload,
            wanted.caller,
            service.address,
            wanted.upstream.address,
        )
        if self._sockets.runtime.log_packets:
            self._decisions.append(
                _DATAGRAM,
                service.name,
                wanted.caller,
                wanted.upstream.name,
                wanted.reason,
            )

    def _drop(self, wanted: effect.DropDatagram) -> None:
        self._counters.add(f'{metric.DATAGRAMS_DROPPED}.{wanted.reason}')
        if self._sockets.runtime.log_packets:
            self._decisions.append(
                _DATAGRAM,
                str(wanted.address),
                wanted.caller,
                '',
                wanted.reason,
            )

    def _cancel(self, wanted: effect.CancelAttempt) -> None:
        self._sockets.attempts.cancel(wanted.attempt)

    def _answer(self, wanted: effect.SendAnswer) -> None:
        self._sockets.requests.send(wanted.request, wanted.answer)

    def _count(self, wanted: effect.CountMetric) -> None:
        self._counters.add(wanted.name, wanted.amount)
