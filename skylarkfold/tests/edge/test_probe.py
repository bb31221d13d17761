"""Tests of probes of upstreams' health and load."""

import asyncio

from aiohttp import web
import testtools

from skylarkfold import configuration
from skylarkfold import edge
from skylarkfold import event
from skylarkfold.standin import _daemon
from skylarkfold.tests.edge import fixture


async def probe(status, heard=False, load=b'{"running": 2, "flows": 5}'):
    """Probe an upstream once and return the reported event."""

    async def answer_health(_):
        return web.Response(status=status)

    async def answer_load(_):
        return web.Response(body=load)

    application = web.Application()
    application.router.add_get('/health', answer_health)
    application.router.add_get('/load', answer_load)
    runner = await _daemon.start_server(application, fixture.HOST, 0)
    port = _daemon.get_address(runner).port
    if not status:
        await runner.cleanup()
    recorder = fixture.EventRecorder()
    runtime = fixture.make_runtime(recorder)
    prober = edge.Prober(runtime, edge.EdgeSettings())
    service = fixture.make_service(9, 1, upstream_http=port)
    prober.configure(configuration.Configuration(1, {'desk': service}))
    if heard:
        runtime.heard.add(service.upstreams[0].address)
    probing = asyncio.ensure_future(prober.run())
    report = await recorder.wait_for(event.LoadReported)
    probing.cancel()
    await runner.cleanup()
    return report


class ProbeTest(testtools.TestCase):
    def check(self, expected, *arguments, **options):
        report = fixture.run(probe(*arguments, **options))
        reported = (
            report.healthy,
            report.reachable,
            report.running,
            report.flows,
        )
        self.assertEqual(expected, reported)

    def test_healthy_upstream(self):
        self.check((True, True, 2, 5), 200)

    def test_unhealthy_upstream_is_reachable(self):
        self.check((False, True, 2, 5), 503)

    def test_closed_port_is_unreachable(self):
        self.check((False, False, 0, 0), 0)

    def test_upstream_that_answers_datagrams_is_reachable(self):
        self.check((False, True, 0, 0), 0, heard=True)

    def test_invalid_load_counts_as_zero(self):
        self.check((True, True, 0, 0), 200, load=b'idle')
