"""Caller that holds TCP streams."""

from __future__ import annotations

import asyncio
import time

from skylarkfold.load import _network_path
from skylarkfold.load import _result
from skylarkfold.load import _traffic

ANSWER_TIMEOUT_SECONDS = 5.0


class StreamCaller:
    """Holder of the TCP streams of one traffic entry.

    :param traffic: the traffic to generate.
    :param path: the network path of the streams.
    """

    def __init__(
        self, traffic: _traffic.Streams, path: _network_path.NetworkPath
    ) -> None:
        self._traffic = traffic
        self._path = path
        self.results: list[_result.StreamResult] = []

    async def run(self) -> None:
        """Open the streams and hold them until cancelled."""
        await asyncio.sleep(self._traffic.start_seconds)
        async with asyncio.TaskGroup() as group:
            for _ in range(self._traffic.streams):
                group.create_task(self._hold_stream())
        await asyncio.Event().wait()

    async def _hold_stream(self) -> None:
        result = _result.StreamResult(
            self._traffic.name,
            self._traffic.service,
            self._path.fabric.choose(),
        )
        self.results.append(result)
        try:
            await self._exchange_messages(result)
        except (OSError, ValueError, TimeoutError, EOFError) as error:
            result.broken = f'{type(error).__name__}: {error}'
            result.broken_at = time.monotonic()

    async def _exchange_messages(self, result: _result.StreamResult) -> None:
        reader, writer = await asyncio.open_connection(
            result.target, self._path.port, local_addr=(self._path.host, 0)
        )
        try:
            writer.write(b'begin\n')
            result.upstream = await self._read_greeting(reader)
            await self._check_echo(reader, b'begin\n')
            while True:
                await self._send_message(reader, writer, result)
                await asyncio.sleep(self._traffic.interval_seconds)
        finally:
            writer.close()

    async def _read_greeting(self, reader: asyncio.StreamReader) -> str:
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            greeting = await reader.readuntil()
        service, upstream, _ = greeting.decode().split()
        if service != self._traffic.service:
            raise ValueError(f'greeted by {service}')
        return upstream

    async def _send_message(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        result: _result.StreamResult,
    ) -> None:
        sent = time.monotonic()
        line = f'{id(result)} {result.messages}\n'.encode()
        if writer.is_closing():
            # On a closed stream uvloop raises an error that is no OSError.
            raise ConnectionResetError('closed by the other side')
        writer.write(line)
        await writer.drain()
        await self._check_echo(reader, line)
        result.messages += 1
        self._path.latency.record(self._traffic.name, time.monotonic() - sent)

    async def _check_echo(
        self, reader: asyncio.StreamReader, line: bytes
    ) -> None:
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            echo = await reader.readuntil()
        if echo != line:
            raise ValueError('echoed something else')
