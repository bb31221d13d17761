"""Tests of the stream relay over real sockets."""

import asyncio
import contextlib
import dataclasses

import testtools

from skylarkfold import configuration
from skylarkfold import edge
from skylarkfold.edge import _header
from skylarkfold.edge import _stream
from skylarkfold import effect
from skylarkfold import event
from skylarkfold import service
from skylarkfold.tests.edge import fixture

DRAINING = service.UpstreamState.DRAINING
LARGE = bytes(range(256)) * 8192


class RelayHarness:
    """A stream relay between callers and one upstream."""

    async def open(self, serve, **settings):
        self.recorder = fixture.EventRecorder()
        runtime = fixture.make_runtime(self.recorder)
        self.server = await asyncio.start_server(serve, fixture.HOST, 0)
        upstream_port = self.server.sockets[0].getsockname()[1]
        port = fixture.find_port()
        self.service = fixture.make_service(upstream_port, port)
        self.relay = edge.StreamRelay(runtime, edge.EdgeSettings(**settings))
        self.recorder.callbacks[event.StreamOpened] = self.connect
        await self.relay.listen(fixture.HOST, self.service)
        return self

    def connect(self, opened):
        self.relay.connect(
            effect.ConnectStream(
                opened.stream,
                self.service,
                self.service.upstreams[0],
                effect.Reason.PLACED,
            )
        )

    async def connect_caller(self):
        return await asyncio.open_connection(*self.service.address)


async def echo_after_end(reader, writer):
    """Read until EOF, then send everything back except the header."""
    data = await reader.read(-1)
    writer.write(data[_header.measure_header(data) :])
    await writer.drain()
    writer.close()


async def echo(reader, writer):
    """Send everything back except the header as it arrives."""
    await reader.readexactly(28)
    while data := await reader.read(100):
        writer.write(data)


class StreamTest(testtools.TestCase):
    def test_half_closed_stream_gets_the_complete_answer(self):
        async def check():
            harness = await RelayHarness().open(echo_after_end)
            reader, writer = await harness.connect_caller()
            writer.write(LARGE)
            writer.write_eof()
            self.assertEqual(LARGE, await reader.read(-1))
            closed = await harness.recorder.wait_for(event.StreamClosed)
            self.assertFalse(closed.failed)

        fixture.run(check())

    def test_upstream_gets_the_caller_s_address(self):
        async def check():
            headers = asyncio.Queue()

            async def serve(reader, writer):
                headers.put_nowait(await reader.readexactly(28))

            harness = await RelayHarness().open(serve)
            _, writer = await harness.connect_caller()
            caller, address = _header.unpack_header(await headers.get())
            self.assertEqual(writer.get_extra_info('sockname'), caller)
            self.assertEqual(harness.service.address, address)

        fixture.run(check())

    def test_unreachable_upstream_resets_the_caller(self):
        async def check():
            harness = await RelayHarness().open(echo_after_end)
            harness.server.close()
            await harness.server.wait_closed()
            reader, _ = await harness.connect_caller()
            with testtools.ExpectedException(ConnectionResetError):
                await reader.read()
            closed = await harness.recorder.wait_for(event.StreamClosed)
            self.assertTrue(closed.failed)

        fixture.run(check())

    def test_upstream_reset_resets_the_caller(self):
        async def check():
            async def send_partial_answer(reader, writer):
                await reader.read(1)
                writer.write(b'half of the ans')
                await writer.drain()
                await asyncio.sleep(0.05)
                _stream.reset_connection(writer)

            harness = await RelayHarness().open(send_partial_answer)
            reader, _ = await harness.connect_caller()
            with testtools.ExpectedException(ConnectionResetError):
                await reader.read(-1)

        fixture.run(check())

    def check_drain(self, **settings):
        """Drain the upstream of an active stream; return the next byte."""

        async def check():
            harness = await RelayHarness().open(echo, **settings)
            reader, writer = await harness.connect_caller()
            writer.write(b'a')
            await reader.readexactly(1)
            draining = dataclasses.replace(
                harness.service.upstreams[0], state=DRAINING
            )
            changed = dataclasses.replace(
                harness.service, upstreams=(draining,)
            )
            harness.relay.configure(
                configuration.Configuration(2, {'desk': changed})
            )
            await asyncio.sleep(0.3)
            if not writer.transport.is_closing():
                writer.write(b'b')
            return await reader.read(1)

        return fixture.run(check())

    def test_draining_keeps_streams_open(self):
        self.assertEqual(b'b', self.check_drain())

    def test_drain_timeout_resets_streams(self):
        with testtools.ExpectedException(ConnectionResetError):
            self.check_drain(drain_seconds=0.05)

    def test_slow_reader_applies_backpressure_to_the_upstream(self):
        async def check():
            written = 0

            async def send_endlessly(reader, writer):
                nonlocal written
                with contextlib.suppress(ConnectionError):
                    while True:
                        writer.write(LARGE)
                        await writer.drain()
                        written += len(LARGE)

            harness = await RelayHarness().open(send_endlessly)
            await harness.connect_caller()
            previously_written = -1
            while written > previously_written or written == 0:
                previously_written = written
                await asyncio.sleep(0.3)
            self.assertLess(written, 64 * len(LARGE))

        fixture.run(check())
