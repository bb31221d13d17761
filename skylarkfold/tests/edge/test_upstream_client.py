"""Tests of attempts over real sockets, cut at each kind of boundary."""

import asyncio
import time

import testtools

from skylarkfold import edge
from skylarkfold import effect
from skylarkfold import event
from skylarkfold import request
from skylarkfold.tests.edge import fixture

HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
UNBOUNDED = b'HTTP/1.1 200 OK\r\n\r\n'
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


class Site:
    """An upstream that sends fixed bytes and ends the connection."""

    async def open(self, answer, keep=False):
        self.answer = answer
        self.keep = keep
        self.heads = []
        self.server = await asyncio.start_server(self.serve, fixture.HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.recorder = fixture.Recorder()
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

    async def attempt(self, wanted, timeout=5.0):
        service = fixture.make_service(1, 1, upstream_http=self.port)
        self.client.dispatch(
            effect.DispatchAttempt(
                7, wanted, service, service.upstreams[0], timeout
            )
        )
        ended = await self.recorder.wait_for(event.AttemptEnded)
        await self.client.close()
        return ended


class DispatchTest(testtools.TestCase):
    def check_outcome(self, answer, expected, **options):
        async def check():
            site = await Site().open(answer, options.pop('keep', False))
            return await site.attempt(make_request(), **options)

        ended = fixture.run(check())
        self.assertEqual(7, ended.attempt)
        self.assertEqual(expected, ended.outcome)
        return ended

    def test_whole_answer(self):
        ended = self.check_outcome(HEAD + b'whole', request.Outcome.ANSWERED)
        self.assertEqual(b'whole', ended.answer.body)

    def test_whole_chunked_answer(self):
        body = CHUNKED + b'5\r\nwhole\r\n0\r\n\r\n'
        ended = self.check_outcome(body, request.Outcome.ANSWERED)
        self.assertEqual(b'whole', ended.answer.body)

    def test_cut_before_the_head(self):
        self.check_outcome(b'', request.Outcome.BROKEN)

    def test_cut_in_the_head(self):
        self.check_outcome(HEAD[:20], request.Outcome.BROKEN)

    def test_cut_between_head_and_body(self):
        self.check_outcome(HEAD, request.Outcome.BROKEN)

    def test_cut_in_the_body(self):
        self.check_outcome(HEAD + b'who', request.Outcome.BROKEN)

    def test_cut_before_the_last_chunk(self):
        self.check_outcome(CHUNKED + b'5\r\nwhole\r\n', request.Outcome.BROKEN)

    def test_answer_whose_end_can_not_be_told(self):
        self.check_outcome(UNBOUNDED + b'whole', request.Outcome.BROKEN)

    def test_garbage(self):
        self.check_outcome(b'\x00garbage\r\n\r\n', request.Outcome.BROKEN)

    def test_refusal_by_the_upstream(self):
        self.check_outcome(REFUSAL, request.Outcome.REFUSED)

    def test_no_answer_in_time(self):
        self.check_outcome(
            HEAD, request.Outcome.TIMED_OUT, keep=True, timeout=0.1
        )

    def test_closed_port_means_never_sent(self):
        async def check():
            site = await Site().open(b'')
            site.server.close()
            await site.server.wait_closed()
            return await site.attempt(make_request())

        ended = fixture.run(check())
        self.assertEqual(request.Outcome.UNREACHABLE, ended.outcome)

    def test_upstream_is_told_the_time_left(self):
        async def check():
            site = await Site().open(HEAD + b'whole')
            await site.attempt(make_request(), timeout=1.5)
            return site.heads[0].lower()

        head = fixture.run(check())
        self.assertIn(b'post /holds?a=%20b http/1.1', head)
        self.assertEqual(1, head.count(b'request-timeout-ms'))
        told = int(head.partition(b'request-timeout-ms: ')[2].split()[0])
        self.assertTrue(0 < told <= 1500, told)
        self.assertIn(b'x-caller: me', head)

    def test_nothing_is_written_after_the_deadline(self):
        async def check():
            site = await Site().open(HEAD + b'whole')
            loop = asyncio.get_running_loop()
            # The process is paused between its decision and the write.
            loop.call_soon(time.sleep, 0.3)
            ended = await site.attempt(make_request(), timeout=0.2)
            return ended, site.heads

        ended, heads = fixture.run(check())
        self.assertEqual(([], 'unreachable'), (heads, ended.outcome))

    def test_broken_idempotent_request_is_sent_once(self):
        async def check():
            site = await Site().open(b'')
            ended = await site.attempt(make_request('GET'))
            return ended, len(site.heads)

        ended, sent = fixture.run(check())
        self.assertEqual(request.Outcome.BROKEN, ended.outcome)
        self.assertEqual(1, sent)
