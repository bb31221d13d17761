"""The stream echo of a stand-in upstream."""

from __future__ import annotations

import asyncio
import time

from skylarkfold.standin import _proxy
from skylarkfold.standin import _record

READ_BYTES = 65536


class StreamEcho:
    """Greets each stream with one line, then echoes its bytes.

    The greeting ``service upstream caller`` is sent once the first bytes
    came, since these may be a PROXY header that names the caller.

    :param name: the upstream's name.
    :param record: where to record what came.
    """

    def __init__(self, name: str, record: _record.UpstreamRecord) -> None:
        self._name = name
        self._record = record
        self._reader = _proxy.HeaderReader()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one stream until both sides are closed."""
        try:
            await self._echo(reader, writer)
        except ConnectionError:
            return
        finally:
            writer.close()

    async def _echo(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        data = await reader.read(READ_BYTES)
        data = await self._greet(data, reader, writer)
        while data:
            writer.write(data)
            await writer.drain()
            data = await reader.read(READ_BYTES)
        if writer.can_write_eof():
            writer.write_eof()
        await writer.drain()

    async def _greet(
        self,
        data: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes:
        host, port = writer.get_extra_info('peername')[:2]
        caller = f'{host}:{port}'
        if data.startswith(_proxy.SIGNATURE[:1]):
            origin, data = await self._split_header(data, reader)
            caller = origin.caller if origin else caller
        opened = self._record.streams.setdefault(caller, [])
        opened.append(time.monotonic())
        greeting = f'{self._record.service} {self._name} {caller}\n'
        writer.write(greeting.encode())
        return data or await reader.read(READ_BYTES)

    async def _split_header(
        self, data: bytes, reader: asyncio.StreamReader
    ) -> tuple[_proxy.Origin | None, bytes]:
        while len(data) < _proxy.FIXED_BYTES:
            more = await reader.read(READ_BYTES)
            if not more:
                return None, data
            data += more
        if not data.startswith(_proxy.SIGNATURE):
            return None, data
        try:
            origin = self._reader.read(data)
        except ValueError:
            self._record.malformed += 1
            return None, data
        return origin, data[len(origin.header) :]
