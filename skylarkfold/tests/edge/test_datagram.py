"""Tests of UDP forwarding over real sockets."""

import asyncio
import dataclasses

import testtools

from skylarkfold import configuration
from skylarkfold import edge
from skylarkfold.edge import _header
from skylarkfold import endpoint
from skylarkfold import event
from skylarkfold import metric
from skylarkfold.tests.edge import fixture


class DatagramSocket(asyncio.DatagramProtocol):
    """The socket of a caller or an upstream."""

    def __init__(self):
        self.received = asyncio.Queue()

    def connection_made(self, transport):
        self.transport = transport
        name = transport.get_extra_info('sockname')
        self.address = endpoint.Endpoint(*name)

    def datagram_received(self, data, sender):
        self.received.put_nowait((data, sender))


async def open_socket():
    loop = asyncio.get_running_loop()
    _, opened = await loop.create_datagram_endpoint(
        DatagramSocket, local_addr=(fixture.HOST, 0)
    )
    return opened


class FixedRouter:
    """Router that returns one fixed upstream, or None."""

    def __init__(self):
        self.upstream = None

    def route(self, now, service, caller):
        return self.upstream


class ListenerHarness:
    """A datagram listener with one caller and one upstream."""

    async def open(self, **changes):
        self.recorder = fixture.EventRecorder()
        self.runtime = fixture.make_runtime(self.recorder)
        self.upstream = await open_socket()
        self.caller = await open_socket()
        port = fixture.find_port()
        default_service = fixture.make_service(
            self.upstream.address.port, port
        )
        self.service = dataclasses.replace(default_service, **changes)
        self.router = FixedRouter()
        self.router.upstream = self.service.upstreams[0]
        self.socket = edge.UpstreamSocket(self.runtime)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self.socket, local_addr=(fixture.HOST, 0)
        )
        _, self.listener = await loop.create_datagram_endpoint(
            lambda: edge.DatagramListener(
                self.runtime, self.service, self.router, self.socket
            ),
            local_addr=self.service.address,
        )
        self.socket.configure(
            configuration.Configuration(1, {'desk': self.service}),
            {self.service.address: self.listener},
        )
        return self


class DatagramTest(testtools.TestCase):
    def test_header_carries_the_caller_s_address(self):
        async def check():
            harness = await ListenerHarness().open()
            harness.caller.transport.sendto(b'ping', harness.service.address)
            data, sender = await harness.upstream.received.get()
            length = _header.measure_header(data)
            self.assertEqual(
                (harness.caller.address, harness.service.address),
                _header.unpack_header(data[:length]),
            )
            self.assertEqual(b'ping', data[length:])
            harness.upstream.transport.sendto(data[:length] + b'pong', sender)
            answer, source = await harness.caller.received.get()
            self.assertEqual(b'pong', answer)
            self.assertEqual(harness.service.address, source)

        fixture.run(check())

    def test_unknown_flow_is_reported_to_the_node(self):
        async def check():
            harness = await ListenerHarness().open()
            harness.router.upstream = None
            harness.caller.transport.sendto(b'ping', harness.service.address)
            received = await harness.recorder.wait_for(event.DatagramReceived)
            self.assertEqual(harness.caller.address, received.caller)
            self.assertEqual(harness.service.address, received.address)
            self.assertEqual(b'ping', received.payload)
            self.assertIsNone(received.is_first)

        fixture.run(check())

    def test_first_datagram_is_recognized_by_its_prefix(self):
        async def check():
            harness = await ListenerHarness().open(first_datagram=b'\x93\x01')
            target = harness.service.address
            harness.caller.transport.sendto(b'\x93\x01first', target)
            received = await harness.recorder.wait_for(event.DatagramReceived)
            self.assertTrue(received.is_first)
            harness.router.upstream = None
            harness.recorder.events.clear()
            harness.caller.transport.sendto(b'\x93\x02later', target)
            received = await harness.recorder.wait_for(event.DatagramReceived)
            self.assertIs(False, received.is_first)

        fixture.run(check())

    def test_answer_from_an_unknown_sender_is_dropped(self):
        async def check():
            harness = await ListenerHarness().open()
            unknown_sender = await open_socket()
            header = _header.pack_datagram_header(
                harness.caller.address, harness.service.address
            )
            target = harness.socket._transport.get_extra_info('sockname')
            unknown_sender.transport.sendto(header + b'forged', target)
            unknown_sender.transport.sendto(b'garbage', target)
            harness.upstream.transport.sendto(header + b'real', target)
            answer, _ = await harness.caller.received.get()
            self.assertEqual(b'real', answer)
            counters = harness.runtime.counters.totals
            self.assertEqual(2, counters[metric.DATAGRAMS_MALFORMED])

        fixture.run(check())
