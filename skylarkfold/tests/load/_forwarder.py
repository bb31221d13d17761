"""Simple forwarder that can break promises, for tests of the caller."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp
from aiohttp import web

from skylarkfold.edge import _header
from skylarkfold import endpoint
from skylarkfold import standin

SERVICE = endpoint.Endpoint('192.0.2.1', 7000)


class _UpstreamProtocol(asyncio.DatagramProtocol):
    def __init__(self, forwarder):
        self._forwarder = forwarder

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, sender):
        length = _header.measure_header(data)
        caller, _ = _header.unpack_header(data[:length])
        self._forwarder.transport.sendto(data[length:], caller)


class _CallerProtocol(asyncio.DatagramProtocol):
    """Protocol that forwards datagrams to upstreams round-robin."""

    def __init__(self, addresses):
        self._addresses = addresses
        self._count = 0
        self.upstreams = _UpstreamProtocol(self)

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, caller):
        self._count += 1
        address = self._addresses[self._count % len(self._addresses)]
        header = _header.pack_datagram_header(
            endpoint.Endpoint(*caller), SERVICE
        )
        self.upstreams.transport.sendto(header + data, address)


async def _start_http_proxy(port, repeats):
    async def answer(request):
        headers = dict(request.headers)
        headers.pop('Content-Length', None)
        body = await request.read()
        url = f'http://127.0.0.1:{port}{request.raw_path}'
        async with aiohttp.ClientSession() as session:
            for _ in range(repeats):
                async with session.request(
                    request.method, url, data=body, headers=headers
                ) as response:
                    body = await response.read()
        return web.Response(
            body=body,
            status=response.status,
            headers={'Request-Verdict': response.headers['Request-Verdict']},
        )

    application = web.Application()
    application.router.add_route('*', '/{path:.*}', answer)
    runner = web.AppRunner(application, handler_cancellation=True)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    return runner


@contextlib.asynccontextmanager
async def run_upstreams(count, **behaviour):
    """Run upstreams of the service ``desk``."""
    settings = standin.UpstreamSettings(
        behaviour=standin.Behaviour(**behaviour)
    )
    upstreams = standin.UpstreamStandin()
    for number in range(1, count + 1):
        await upstreams.start_upstream('desk', f'desk-{number}', settings)
    yield upstreams.records
    await upstreams.stop()


@contextlib.asynccontextmanager
async def forward(records, repeats=1):
    """Forward datagrams round-robin and requests to the first upstream."""
    loop = asyncio.get_running_loop()
    addresses = [
        endpoint.parse_endpoint(each.address) for each in records.values()
    ]
    transport, callers = await loop.create_datagram_endpoint(
        lambda: _CallerProtocol(addresses), local_addr=('127.0.0.1', 0)
    )
    other, _ = await loop.create_datagram_endpoint(
        lambda: callers.upstreams, local_addr=('127.0.0.1', 0)
    )
    first = next(iter(records.values()))
    runner = await _start_http_proxy(first.request_port, repeats)
    port = transport.get_extra_info('sockname')[1]
    yield port, runner.addresses[0][1]
    transport.close()
    other.close()
    await runner.cleanup()
