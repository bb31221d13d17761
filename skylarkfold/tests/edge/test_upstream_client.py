"""Tests of attempts over real sockets with truncated responses."""

import asyncio
import time

import testtools

from skylarkfold import edge
from skylarkfold import effect
from skylarkfold import event
from skylarkfold import request
from skylarkfold.tests.edge import fixture

RESPONSE_HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n'
CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
HEAD_WITHOUT_LENGTH = b'HTTP/1.1 200 OK\r\n\r\n'
REFUSAL = (
    b'HTTP/1.1 503 Busy\r\nRequest-Verdict: not-run\r\n'
    b'Content-Length: 0\r\n\r\n'
)


def make_request(method='POST', timeout=5.0):
    return request.Request(
        number=1,
        service='desk',
        method=method,
        target='/holds?a=%20b',
        headers=(('x-caller', 'me'), ('request-timeout-ms', '9')),
        body=b'body' if method == 'POST' else b'',
        key='k',
        idempotent=method != 'POST',
        priority=request.Priority.EXCHANGE,
        timeout_seconds=timeout,
    )


class UpstreamHarness:
    """An upstream that sends fixed bytes and closes the connection."""

    async def open(self, answer, keep=False):
        self.answer = answer
        self.keep = keep
        self.heads = []
        self.server = await asyncio.start_server(self.serve, fixture.HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.recorder = fixture.EventRecorder()
        runtime = fixture.make_runtime(self.recorder)
        self.client = edge.UpstreamClient(runtime, edge.EdgeSettings())
        await self.client.open()
        return self

    async def serve(self, reader, writer):
        try:
            self.heads.append(await reader.readuntil(b'\r\n\r\n'))
        except asyncio.IncompleteReadError:
            return
        writer.write(self.answer)
        await writer.drain()
        if not self.keep:
            writer.close()

    async def attempt(self, attempted_request, timeout=5.0):
        service = fixture.make_service(1, 1, upstream_http=self.port)
        self.client.dispatch(
            effect.DispatchAttempt(
                7, attempted_request, service, service.upstreams[0], timeout
            )
        )
        ended = await self.recorder.wait_for(event.AttemptEnded)
        await self.client.close()
        return ended


class UpstreamClientTest(testtools.TestCase):
    def check_outcome(self, answer, expected, **options):
        async def check():
            harness = await UpstreamHarness().open(
                answer, options.pop('keep', False)
            )
            return await harness.attempt(make_request(), **options)

        ended = fixture.run(check())
        self.assertEqual(7, ended.attempt)
        self.assertEqual(expected, ended.outcome)
        return ended

    def test_complete_answer(self):
        ended = self.check_outcome(
            RESPONSE_HEAD + b'whole', request.Outcome.ANSWERED
        )
        self.assertEqual(b'whole', ended.answer.body)

    def test_complete_chunked_answer(self):
        body = CHUNKED_HEAD + b'5\r\nwhole\r\n0\r\n\r\n'
        ended = self.check_outcome(body, request.Outcome.ANSWERED)
        self.assertEqual(b'whole', ended.answer.body)

    def test_closed_before_the_head(self):
        self.check_outcome(b'', request.Outcome.BROKEN)

    def test_closed_within_the_head(self):
        self.check_outcome(RESPONSE_HEAD[:20], request.Outcome.BROKEN)

    def test_closed_between_head_and_body(self):
        self.check_outcome(RESPONSE_HEAD, request.Outcome.BROKEN)

    def test_closed_within_the_body(self):
        self.check_outcome(RESPONSE_HEAD + b'who', request.Outcome.BROKEN)

    def test_closed_before_the_last_chunk(self):
        self.check_outcome(
            CHUNKED_HEAD + b'5\r\nwhole\r\n', request.Outcome.BROKEN
        )

    def test_answer_without_content_length(self):
        self.check_outcome(
            HEAD_WITHOUT_LENGTH + b'whole', request.Outcome.BROKEN
        )

    def test_invalid_response(self):
        self.check_outcome(b'\x00garbage\r\n\r\n', request.Outcome.BROKEN)

    def test_refusal_by_the_upstream(self):
        self.check_outcome(REFUSAL, request.Outcome.REFUSED)

    def test_answer_times_out(self):
        self.check_outcome(
            RESPONSE_HEAD, request.Outcome.TIMED_OUT, keep=True, timeout=0.1
        )

    def test_closed_port_is_unreachable(self):
        async def check():
            harness = await UpstreamHarness().open(b'')
            harness.server.close()
            await harness.server.wait_closed()
            return await harness.attempt(make_request())

        ended = fixture.run(check())
        self.assertEqual(request.Outcome.UNREACHABLE, ended.outcome)

    def test_upstream_gets_the_remaining_timeout(self):
        async def check():
            harness = await UpstreamHarness().open(RESPONSE_HEAD + b'whole')
            await harness.attempt(make_request(), timeout=1.5)
            return harness.heads[0].lower()

        head = fixture.run(check())
        self.assertIn(b'post /holds?a=%20b http/1.1', head)
        self.assertEqual(1, head.count(b'request-timeout-ms'))
        sent_timeout_ms = int(
            head.partition(b'request-timeout-ms: ')[2].split()[0]
        )
        self.assertTrue(0 < sent_timeout_ms <= 1500, sent_timeout_ms)
        self.assertIn(b'x-caller: me', head)

    def test_nothing_is_written_after_the_deadline(self):
        async def check():
            harness = await UpstreamHarness().open(RESPONSE_HEAD + b'whole')
            loop = asyncio.get_running_loop()
            # Simulates a process paused between the decision and the write.
            loop.call_soon(time.sleep, 0.3)
            ended = await harness.attempt(make_request(), timeout=0.2)
            return ended, harness.heads

        ended, heads = fixture.run(check())
        self.assertEqual(([], 'unreachable'), (heads, ended.outcome))

    def test_broken_idempotent_request_is_sent_once(self):
        async def check():
            harness = await UpstreamHarness().open(b'')
            ended = await harness.attempt(make_request('GET'))
            return ended, len(harness.heads)

        ended, sent = fixture.run(check())
        self.assertEqual(request.Outcome.BROKEN, ended.outcome)
        self.assertEqual(1, sent)
