"""Tests of the caller against a forwarder that breaks promises."""

import asyncio

import aiohttp
import testtools

from skylarkfold import load
from skylarkfold.load import _caller
from skylarkfold.load import _promises
from skylarkfold.load import _traffic
from skylarkfold.tests.load import _forwarder
from skylarkfold.tests.standin import _servers

ALERTS = load.Datagrams(
    name='alerts',
    service='desk',
    flows=3,
    interval_seconds=0.01,
    ramp_seconds=0.0,
)
SETTINGS = load.Requests(
    name='settings', service='desk', rate_per_second=100, repeatable=False
)
DOWNLOADS = load.Requests(
    name='downloads', service='desk', rate_per_second=100, answer_bytes=100
)


async def _call(traffic, records, repeats=1):
    service = traffic[0].service
    async with _forwarder.forward(records, repeats) as (port, request_port):
        ports = _traffic.ServicePorts(port, request_port)
        plan = _traffic.CallerPlan(
            1, '127.0.0.1', {service: ports}, ['127.0.0.1'], traffic
        )
        async with aiohttp.ClientSession() as session:
            caller = _caller.Caller(plan, session)
            caller.start()
            await asyncio.sleep(0.1)
            results = await caller.finish()
    return _promises.judge(_promises.Evidence(results, records))


async def _run(traffic, upstreams=1, repeats=1, **behaviour):
    async with _forwarder.run_upstreams(upstreams, **behaviour) as records:
        return await _call(traffic, records, repeats)


class CallerTest(testtools.TestCase):
    @_servers.run_test
    async def test_a_single_upstream_breaks_no_promise(self):
        promises = await _run([ALERTS, SETTINGS, DOWNLOADS])
        self.assertTrue(promises.hold)
        self.assertEqual(3, promises.flows)
        self.assertEqual(promises.requests, promises.ran)
        self.assertGreater(promises.ran, 0)

    @_servers.run_test
    async def test_alternating_upstreams_break_each_flow(self):
        promises = await _run([ALERTS], upstreams=2)
        self.assertEqual(3, promises.broken_flows)

    @_servers.run_test
    async def test_a_forwarder_that_repeats_requests_causes_duplicate_runs(
        self,
    ):
        # The queue is large, so that no upstream rejects a burst that the
        # caller sends after a pause of the machine.
        promises = await _run([SETTINGS], repeats=2, queue_limit=1000)
        self.assertEqual(promises.requests, promises.duplicate_runs)

    @_servers.run_test
    async def test_an_upstream_of_another_service_is_detected(self):
        traffic = [
            load.Datagrams(
                name='alerts', service='vault', flows=1, interval_seconds=0.01
            ),
            load.Requests(
                name='downloads', service='vault', rate_per_second=100
            ),
        ]
        promises = await _run(traffic)
        self.assertGreater(promises.misdelivered, 0)
        self.assertEqual(promises.requests, promises.wrong_answers)

    @_servers.run_test
    async def test_rejected_requests_are_retried(self):
        promises = await _run([SETTINGS], queue_limit=0)
        self.assertTrue(promises.hold)
        self.assertEqual(promises.requests, promises.ran + promises.not_run)
