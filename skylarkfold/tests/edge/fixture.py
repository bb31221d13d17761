"""Helpers shared by the tests of sockets."""

import asyncio

import uvloop

from skylarkfold import edge
from skylarkfold import endpoint
from skylarkfold import load
from skylarkfold import log
from skylarkfold import metric
from skylarkfold import service

LIMIT_SECONDS = 30
HOST = f'{load.choose_subnet()}.1'


def run(coroutine):
    """Run a test's coroutine with a timeout."""

    async def limited():
        async with asyncio.timeout(LIMIT_SECONDS):
            return await coroutine

    return uvloop.run(limited())


class EventRecorder:
    """Node substitute that records events and runs callbacks for some."""

    def __init__(self):
        self.events = []
        self.event_arrived = asyncio.Event()
        self.callbacks = {}

    def handle(self, received):
        self.events.append(received)
        self.event_arrived.set()
        callback = self.callbacks.get(type(received))
        if callback is not None:
            callback(received)

    async def wait_for(self, kind):
        """Return the first event of a type, waiting for it if needed."""
        while True:
            for received in self.events:
                if isinstance(received, kind):
                    return received
            self.event_arrived.clear()
            await self.event_arrived.wait()


def make_runtime(recorder, name='a'):
    """Build a runtime that passes its events to a recorder."""
    runtime = edge.Runtime(
        asyncio.get_running_loop().time,
        metric.Counters(name, None),
        log.DecisionLog(name, log.LogSettings()),
        True,
    )
    runtime.handle = recorder.handle
    return runtime


def make_service(upstream_port, port, request_port=0, upstream_http=0):
    """Build a service with one upstream."""
    upstream = service.Upstream(
        'desk-1',
        endpoint.Endpoint(HOST, upstream_port),
        'z',
        request_port=upstream_http,
    )
    return service.Service(
        'desk',
        'team',
        endpoint.Endpoint(HOST, port),
        (upstream,),
        request_port=request_port,
    )


def find_port():
    """Return a port that no other test process can bind meanwhile.

    ``HOST`` is private to this process: on a shared host, another test's
    connection could take the port before it is bound.
    """
    return load.find_port([HOST])
