"""The datagram echo of a stand-in upstream."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import time

import msgspec

from skylarkfold.standin import _behaviour
from skylarkfold.standin import _probe
from skylarkfold.standin import _proxy
from skylarkfold.standin import _record

_encoder = msgspec.msgpack.Encoder()
_probe_decoder = msgspec.msgpack.Decoder(_probe.Probe)


class DatagramEcho(asyncio.DatagramProtocol):
    """Answers each datagram to the instance that forwarded it.

    The answer begins with the same PROXY header, so that any instance
    can pass it on to the caller.

    :param name: the upstream's name.
    :param record: where to record what came.
    :param get_behaviour: tells the present behaviour.
    """

    def __init__(
        self,
        name: str,
        record: _record.UpstreamRecord,
        get_behaviour: Callable[[], _behaviour.Behaviour],
    ) -> None:
        self._name = name
        self._record = record
        self._get_behaviour = get_behaviour
        self._reader = _proxy.HeaderReader()
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport for answers."""
        self._transport = transport

    def datagram_received(self, data: bytes, sender: tuple) -> None:
        """Record and answer one datagram."""
        try:
            origin = self._reader.read(data)
        except ValueError:
            self._record.malformed += 1
            return
        payload = data[len(origin.header) :]
        self._record.record_datagram(time.monotonic(), origin.caller)
        self._check_service(payload)
        if not self._get_behaviour().hanging:
            answer = self._make_answer(origin, payload)
            self._transport.sendto(origin.header + answer, sender)

    def _check_service(self, payload: bytes) -> None:
        try:
            probe = _probe_decoder.decode(payload)
        except msgspec.DecodeError:
            return
        if probe.service != self._record.service:
            self._record.misdelivered += 1

    def _make_answer(self, origin: _proxy.Origin, payload: bytes) -> bytes:
        reply = _probe.EchoReply(
            origin.caller, self._record.service, self._name, payload
        )
        return _encoder.encode(reply)
