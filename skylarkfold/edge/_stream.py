"""Relay of callers' TCP streams to upstreams.

A stream stays on the instance that accepted it, whose kernel holds its
state. It is not moved when settings change.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import socket
import struct

from skylarkfold import configuration as configuration_module
from skylarkfold.edge import _header
from skylarkfold.edge import _runtime
from skylarkfold.edge import _settings
from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold import event
from skylarkfold import metric
from skylarkfold import service as service_module

_READ_BYTES = 64 * 1024
_NO_LINGER = struct.pack('ii', 1, 0)


@dataclasses.dataclass(slots=True)
class _Stream:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    caller: endpoint.Endpoint
    address: endpoint.Endpoint
    service: str = ''
    upstream: str = ''
    task: asyncio.Task | None = None
    drain_timer: asyncio.TimerHandle | None = None


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset.

    Without the linger option an abort sends a FIN, after which a truncated
    answer looks complete to the other end.

    :param writer: the connection's writer.
    """
    connection = writer.get_extra_info('socket')
    if connection is None:
        return
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.transport.abort()


async def _copy_until_eof(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while data := await reader.read(_READ_BYTES):
        writer.write(data)
        await writer.drain()
    if writer.can_write_eof():
        writer.write_eof()


class StreamRelay:
    """Accepts callers' streams and relays them to upstreams.

    :param runtime: the runtime that all parts of the daemon share.
    :param settings: limits on sizes and times.
    """

    def __init__(
        self, runtime: _runtime.Runtime, settings: _settings.EdgeSettings
    ) -> None:
        self._runtime = runtime
        self._settings = settings
        self._streams: dict[int, _Stream] = {}
        self._stream_numbers = itertools.count(1)

    def __len__(self) -> int:
        return len(self._streams)

    async def listen(
        self, host: str, service: service_module.Service
    ) -> asyncio.Server:
        """Accept callers' streams to a service.

        :param host: the address to bind.
        :param service: the service.
        :returns: the listening server.
        :raises OSError: if the address can't be bound.
        """

        def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            self._register(service.address, reader, writer)

        return await asyncio.start_server(accept, host, service.address.port)

    def _register(
        self,
        address: endpoint.Endpoint,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        number = next(self._stream_numbers)
        caller = endpoint.Endpoint(*writer.get_extra_info('peername')[:2])
        self._streams[number] = _Stream(reader, writer, caller, address)
        self._runtime.handle(event.StreamOpened(number, address, caller))

    def connect(self, decision: effect.ConnectStream) -> None:
        """Relay a stream to the selected upstream.

        :param decision: the stream and its upstream.
        """
        stream = self._streams.get(decision.stream)
        if stream is None or stream.task is not None:
            return
        stream.service = decision.service.name
        stream.upstream = decision.upstream.name
        stream.task = self._runtime.start(
            self._relay(decision.stream, stream, decision.upstream)
        )

    def configure(
        self, configuration: configuration_module.Configuration
    ) -> None:
        """Start the drain timers of streams on draining upstreams.

        No other change affects established streams.

        :param configuration: the configuration in force.
        """
        if not self._settings.drain_seconds:
            return
        for stream in self._streams.values():
            self._update_drain_timer(stream, configuration)

    def _update_drain_timer(
        self,
        stream: _Stream,
        configuration: configuration_module.Configuration,
    ) -> None:
        service = configuration.services.get(stream.service)
        upstream = service and service.get_upstream(stream.upstream)
        if upstream is None or stream.task is None:
            return
        if upstream.takes_new_work:
            if stream.drain_timer is not None:
                stream.drain_timer.cancel()
            stream.drain_timer = None
        elif stream.drain_timer is None:
            loop = asyncio.get_running_loop()
            stream.drain_timer = loop.call_later(
                self._settings.drain_seconds, stream.task.cancel
            )

    def refuse(self, decision: effect.RefuseStream) -> None:
        """Reset a stream for which there is no upstream.

        :param decision: the refused stream.
        """
        stream = self._streams.pop(decision.stream, None)
        if stream is None:
            return
        self._runtime.counters.add(metric.STREAMS_REFUSED)
        reset_connection(stream.writer)

    async def _relay(
        self, number: int, stream: _Stream, upstream: service_module.Upstream
    ) -> None:
        failed = True
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*upstream.address),
                self._settings.connect_seconds,
            )
            failed = False
            self._runtime.counters.add(metric.STREAMS_OPENED)
            header = _header.pack_stream_header(stream.caller, stream.address)
            writer.write(header)
            await self._copy_both_ways(stream, reader, writer)
        except (OSError, asyncio.TimeoutError):
            # The caller must see a reset, since a FIN would make a truncated
            # answer look complete.
            reset_connection(stream.writer)
        except asyncio.CancelledError:
            reset_connection(stream.writer)
            raise
        finally:
            self._streams.pop(number, None)
            if stream.drain_timer is not None:
                stream.drain_timer.cancel()
            stream.writer.close()
            self._runtime.handle(event.StreamClosed(number, failed))

    async def _copy_both_ways(
        self,
        stream: _Stream,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        copy_tasks = [
            asyncio.ensure_future(_copy_until_eof(stream.reader, writer)),
            asyncio.ensure_future(_copy_until_eof(reader, stream.writer)),
        ]
        try:
            await asyncio.gather(*copy_tasks)
            writer.close()
        except BaseException:
            for copy_task in copy_tasks:
                copy_task.cancel()
            reset_connection(writer)
            raise

    async def close(self) -> None:
        """Reset all remaining streams."""
        for stream in list(self._streams.values()):
            if stream.task is not None:
                stream.task.cancel()
            with contextlib.suppress(Exception):
                reset_connection(stream.writer)
