"""Starting, announcing and stopping a stand-in process."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
import signal

from aiohttp import web
import uvloop

from skylarkfold import endpoint

SHUTDOWN_SECONDS = 0.5


async def start_server(
    application: web.Application, host: str, port: int
) -> web.AppRunner:
    """Serve an application.

    :param application: what to serve.
    :param host: where to listen.
    :param port: the port; 0 for any free one.
    :returns: the runner, to be cleaned up at the end.
    """
    runner = web.AppRunner(
        application,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_SECONDS,
    )
    await runner.setup()
    site = web.TCPSite(runner, host, port, reuse_address=True)
    await site.start()
    return runner


def get_address(runner: web.AppRunner) -> endpoint.Endpoint:
    """Tell where a runner listens."""
    host, port = runner.addresses[0][:2]
    return endpoint.Endpoint(host, port)


def print_ready(runner: web.AppRunner) -> None:
    """Announce on standard output that the process listens."""
    print(f'ready {get_address(runner)}', flush=True)


async def wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


async def serve_until_stopped(
    application: web.Application, host: str = '127.0.0.1', port: int = 0
) -> None:
    """Serve an application, announce where, and wait for the stop.

    :param application: what to serve.
    :param host: where to listen.
    :param port: the port; 0 for any free one.
    """
    runner = await start_server(application, host, port)
    print_ready(runner)
    await wait_for_stop()
    await runner.cleanup()


def run(main: Coroutine[object, object, None]) -> None:
    """Run a coroutine to its end under uvloop."""
    uvloop.run(main)
