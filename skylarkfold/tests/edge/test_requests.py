"""Tests of the request server over real sockets."""

import asyncio
import json

import aiohttp
import testtools

from skylarkfold import edge
from skylarkfold.edge import _requests
from skylarkfold import event
from skylarkfold import request
from skylarkfold.tests.edge import fixture
from skylarkfold import verdict

RAN = request.Answer(
    verdict.Verdict.RAN, 201, (('x-from', 'desk-1'),), b'whole'
)
REFUSED = request.Answer(
    verdict.Verdict.NOT_RUN, 503, code='overloaded', retry_after_seconds=1.2
)


class ServerHarness:
    """A request server whose node gives one fixed answer, or none."""

    async def open(self, answer=None, **settings):
        self.recorder = fixture.EventRecorder()
        runtime = fixture.make_runtime(self.recorder)
        self.server = edge.RequestServer(
            runtime, edge.EdgeSettings(**settings)
        )
        port = fixture.find_port()
        service = fixture.make_service(1, 1, request_port=port)
        self.runner = await self.server.listen(fixture.HOST, service)
        self.url = f'http://{fixture.HOST}:{port}/holds?x=1'
        if answer is not None:
            self.recorder.callbacks[event.RequestReceived] = lambda received: (
                self.server.send(received.request.number, answer)
            )
        return self

    async def send(self, method='POST', **options):
        async with aiohttp.ClientSession() as session:
            async with session.request(
                method, self.url, **options
            ) as response:
                return response, await response.read()


class RequestServerTest(testtools.TestCase):
    def test_answer_has_the_verdict_header(self):
        async def check():
            harness = await ServerHarness().open(RAN)
            headers = {
                'Idempotency-Key': 'k1',
                'Priority': 'u=0',
                'Request-Timeout-Ms': '2500',
            }
            answer = await harness.send(data=b'body', headers=headers)
            return *answer, harness.recorder.events[0].request

        response, body, received = fixture.run(check())
        self.assertEqual(201, response.status)
        self.assertEqual('ran', response.headers['Request-Verdict'])
        self.assertEqual('desk-1', response.headers['X-From'])
        self.assertEqual(b'whole', body)
        self.assertEqual('k1', received.key)
        self.assertEqual(request.Priority.ALERT, received.priority)
        self.assertEqual(2.5, received.timeout_seconds)
        self.assertFalse(received.idempotent)
        self.assertEqual('/holds?x=1', received.target)

    def test_refusal_has_problem_details_and_retry_after(self):
        async def check():
            harness = await ServerHarness().open(REFUSED)
            return await harness.send('GET')

        response, body = fixture.run(check())
        self.assertEqual('2', response.headers['Retry-After'])
        self.assertEqual('application/problem+json', response.content_type)
        problem = json.loads(body)
        self.assertEqual('overloaded', problem['code'])
        self.assertEqual('not-run', problem['verdict'])

    def test_oversized_request_is_refused(self):
        async def check():
            harness = await ServerHarness().open(RAN, maximum_body_bytes=10)
            return *(
                await harness.send(data=b'x' * 11)
            ), harness.recorder.events

        response, body, events = fixture.run(check())
        self.assertEqual(413, response.status)
        self.assertEqual('request-too-large', json.loads(body)['code'])
        self.assertEqual([], events)

    def test_malformed_deadline_is_refused(self):
        async def check():
            harness = await ServerHarness().open(RAN)
            headers = {'Request-Timeout-Ms': 'soon'}
            return await harness.send(headers=headers)

        response, body = fixture.run(check())
        self.assertEqual(400, response.status)
        self.assertEqual('header-malformed', json.loads(body)['code'])

    def test_disconnected_caller_cancels_its_request(self):
        async def check():
            harness = await ServerHarness().open()
            sending = asyncio.ensure_future(harness.send())
            received = await harness.recorder.wait_for(event.RequestReceived)
            sending.cancel()
            cancelled = await harness.recorder.wait_for(event.RequestCancelled)
            self.assertEqual(received.request.number, cancelled.request)
            harness.server.send(cancelled.request, RAN)

        fixture.run(check())


class PriorityTest(testtools.TestCase):
    def test_urgencies_of_rfc_9218(self):
        expected = {
            'u=0': request.Priority.ALERT,
            'u=1, i': request.Priority.ALERT,
            'i, u=5': request.Priority.BULK,
            'u=3': request.Priority.EXCHANGE,
            'u=x': request.Priority.EXCHANGE,
            None: request.Priority.EXCHANGE,
        }
        for text, priority in expected.items():
            self.assertEqual(priority, _requests.parse_priority(text))
