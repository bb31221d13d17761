"""Tests of callers' datagrams over real sockets."""

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


class Peer(asyncio.DatagramProtocol):
    """A socket of a caller or an upstream."""

    def __init__(self):
        self.received = asyncio.Queue()

    def connection_made(self, transport):
        self.transport = transport
        name = transport.get_extra_info('sockname')
        self.address = endpoint.Endpoint(*name)

    def datagram_received(self, data, sender):
        self.received.put_nowait((data, sender))


async def open_peer():
    loop = asyncio.get_running_loop()
    _, peer = await loop.create_datagram_endpoint(
        Peer, local_addr=(fixture.HOST, 0)
    )
    return peer


class Router:
    """Answers every flow with one upstream, or with none."""

    def __init__(self):
        self.upstream = None

    def route(self, now, service, caller):
        return self.upstream


class Site:
    """A listener between a caller and an upstream."""

    async def open(self, **changes):
        self.recorder = fixture.Recorder()
        self.runtime = fixture.make_runtime(self.recorder)
        self.upstream = await open_peer()
        self.caller = await open_peer()
        port = fixture.find_port()
        plain = fixture.make_service(self.upstream.address.port, port)
        self.service = dataclasses.replace(plain, **changes)
        self.router = Router()
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
    def test_round_trip_names_the_caller(self):
        async def check():
            site = await Site().open()
            site.caller.transport.sendto(b'ping', site.service.address)
            data, sender = await site.upstream.received.get()
            length = _header.measure_header(data)
            self.assertEqual(
                (site.caller.address, site.service.address),
                _header.unpack_header(data[:length]),
            )
            self.assertEqual(b'ping', data[length:])
            site.upstream.transport.sendto(data[:length] + b'pong', sender)
            answer, source = await site.caller.received.get()
            self.assertEqual(b'pong', answer)
            self.assertEqual(site.service.address, source)

        fixture.run(check())

    def test_unknown_flow_is_asked_of_the_node(self):
        async def check():
            site = await Site().open()
            site.router.upstream = None
            site.caller.transport.sendto(b'ping', site.service.address)
            received = await site.recorder.wait_for(event.DatagramReceived)
            self.assertEqual(site.caller.address, received.caller)
            self.assertEqual(site.service.address, received.address)
            self.assertEqual(b'ping', received.payload)
            self.assertIsNone(received.is_first)

        fixture.run(check())

    def test_first_datagram_is_told_by_its_mark(self):
        async def check():
            site = await Site().open(first_datagram=b'\x93\x01')
            target = site.service.address
            site.caller.transport.sendto(b'\x93\x01first', target)
            received = await site.recorder.wait_for(event.DatagramReceived)
            self.assertTrue(received.is_first)
            site.router.upstream = None
            site.recorder.events.clear()
            site.caller.transport.sendto(b'\x93\x02later', target)
            received = await site.recorder.wait_for(event.DatagramReceived)
            self.assertIs(False, received.is_first)

        fixture.run(check())

    def test_answer_from_a_stranger_reaches_no_caller(self):
        async def check():
            site = await Site().open()
            stranger = await open_peer()
            header = _header.pack_datagram_header(
                site.caller.address, site.service.address
            )
            target = site.socket._transport.get_extra_info('sockname')
            stranger.transport.sendto(header + b'forged', target)
            stranger.transport.sendto(b'garbage', target)
            site.upstream.transport.sendto(header + b'real', target)
            answer, _ = await site.caller.received.get()
            self.assertEqual(b'real', answer)
            counters = site.runtime.counters.totals
            self.assertEqual(2, counters[metric.DATAGRAMS_MALFORMED])

        fixture.run(check())
