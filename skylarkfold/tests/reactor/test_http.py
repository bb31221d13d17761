"""Tests of the HTTP client and server on streams."""

import testtools

from skylarkfold import reactor
from skylarkfold.reactor import _http

# Longer than any test.
LONG_SECONDS = 600.0
GIVE_UP_SECONDS = 20.0
PART_BYTES = 1 << 20


class HttpTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = reactor.Loop()
        self.addCleanup(self.loop.close)
        self.streams = []
        self.replies = []
        self.response = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
        self.listener = reactor.Listener(
            self.loop, ('127.0.0.1', 0), self.accept
        )
        self.addCleanup(self.listener.close)

    def accept(self, stream):
        self.streams.append(stream)
        stream.on_data = lambda _: stream.write(self.response)

    def build_client(self, idle_seconds):
        client = reactor.HttpClient(
            self.loop, self.listener.address, idle_seconds
        )
        self.addCleanup(client.close)
        return client

    def send_request(self, client, timeout_seconds=GIVE_UP_SECONDS):
        def on_reply(reply):
            self.replies.append((reply.status, reply.body))
            self.loop.stop()

        client.request('GET', '/', b'', timeout_seconds, on_reply)
        self.loop.run()
        return self.replies[-1]

    def test_connection_in_use_is_reused(self):
        client = self.build_client(LONG_SECONDS)
        self.assertEqual((200, b'ok'), self.send_request(client))
        self.assertEqual((200, b'ok'), self.send_request(client))
        self.assertEqual(1, len(self.streams))

    def test_idle_connection_is_opened_again(self):
        # An idle connection may be dead without notice.
        client = self.build_client(0.0)
        self.send_request(client)
        self.streams[0].on_data = lambda _: None
        self.assertEqual((200, b'ok'), self.send_request(client))
        self.assertEqual(2, len(self.streams))

    def test_request_without_a_reply_times_out(self):
        client = self.build_client(LONG_SECONDS)
        response, self.response = self.response, b''
        self.assertEqual((0, b''), self.send_request(client, 0.05))
        self.response = response
        self.assertEqual((200, b'ok'), self.send_request(client))
        self.assertEqual(2, len(self.streams))

    def test_malformed_response_fails_the_request(self):
        client = self.build_client(LONG_SECONDS)
        self.response = b'nonsense\r\n\r\n'
        self.assertEqual((0, b''), self.send_request(client))

    def test_truncated_response_fails_the_request(self):
        client = self.build_client(LONG_SECONDS)
        self.response = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok'

        def accept_and_end(stream):
            def end(_data):
                stream.write(self.response)
                stream.finish()

            stream.on_data = end

        listener = reactor.Listener(
            self.loop, ('127.0.0.1', 0), accept_and_end
        )
        self.addCleanup(listener.close)
        client = reactor.HttpClient(self.loop, listener.address, LONG_SECONDS)
        self.addCleanup(client.close)
        self.assertEqual((0, b''), self.send_request(client))

    def test_a_large_response_is_refused_before_it_is_read(self):
        # Guards against reading 8 MB and more for nothing, again and again.
        client = self.build_client(LONG_SECONDS)
        size = _http.MAXIMUM_BODY_BYTES + 1
        self.response = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % size
        self.assertEqual(
            reactor.Failure.TOO_LARGE, self.request_failure(client)
        )
        self.response = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
        self.assertEqual((200, b'ok'), self.send_request(client))

    def test_a_response_of_unknown_size_is_read_up_to_the_limit(self):
        client = self.build_client(LONG_SECONDS)
        self.response = (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        part = b'%x\r\n%s\r\n' % (PART_BYTES, b'x' * PART_BYTES)
        sent = []

        def send_part():
            for stream in self.streams:
                if not stream.is_closed:
                    stream.write(part)
                    sent.append(PART_BYTES)
                    self.loop.call_later(0.005, send_part)

        self.loop.call_later(0.1, send_part)
        self.assertEqual(
            reactor.Failure.TOO_LARGE, self.request_failure(client)
        )
        self.assertLess(sum(sent), _http.MAXIMUM_BODY_BYTES + 8 * PART_BYTES)

    def send_in_parts(self, pause_seconds):
        """Send a response of six bytes with a pause after each."""
        self.response = b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n'

        def send_part(left):
            for stream in self.streams:
                stream.write(b'x')
            if left > 1:
                self.loop.call_later(
                    pause_seconds, lambda: send_part(left - 1)
                )

        self.loop.call_later(pause_seconds, lambda: send_part(6))

    def test_a_response_that_keeps_arriving_may_take_longer(self):
        # Guards against asking again for a page that a slow link can't
        # carry within the timeout.
        client = self.build_client(LONG_SECONDS)
        self.send_in_parts(0.5)
        self.assertEqual(
            '', self.request_failure(client, 2.0, transfer_seconds=60.0)
        )

    def test_a_response_that_stops_arriving_is_incomplete(self):
        client = self.build_client(LONG_SECONDS)
        self.response = b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nx'
        for seconds in (0.0, 60.0):
            self.assertEqual(
                reactor.Failure.INCOMPLETE,
                self.request_failure(client, 1.0, transfer_seconds=seconds),
            )

    def test_the_time_for_a_response_that_keeps_arriving_is_bounded(self):
        client = self.build_client(LONG_SECONDS)
        self.send_in_parts(0.9)
        self.assertEqual(
            reactor.Failure.INCOMPLETE,
            self.request_failure(client, 1.0, transfer_seconds=1.0),
        )

    def request_failure(
        self, client, timeout_seconds=GIVE_UP_SECONDS, **details
    ):
        """Send a request and return why it fails."""
        failures = []

        def on_reply(reply):
            failures.append(reply.failure)
            self.loop.stop()

        client.request('GET', '/', b'', timeout_seconds, on_reply, **details)
        self.loop.run()
        (failure,) = failures
        return failure

    def test_a_response_that_is_no_http_is_told_from_no_response(self):
        client = self.build_client(LONG_SECONDS)
        replies = []

        def on_reply(reply):
            replies.append(reply.failure)
            self.loop.stop()

        for response in (b'nonsense\r\n\r\n', b''):
            self.response = response
            client.request('GET', '/', b'', 0.2, on_reply)
            self.loop.run()
        self.assertEqual(
            [reactor.Failure.MALFORMED, reactor.Failure.NO_REPLY], replies
        )

    def test_a_wanted_header_is_kept_beside_any_number_of_others(self):
        # Guards against an era of the store that is lost among headers.
        client = reactor.HttpClient(
            self.loop, self.listener.address, LONG_SECONDS, ('store-era',)
        )
        self.addCleanup(client.close)
        others = b''.join(b'X-%d: 1\r\n' % number for number in range(200))
        self.response = (
            b'HTTP/1.1 200 OK\r\n%sStore-Era: 3\r\nContent-Length: 0\r\n\r\n'
            % others
        )
        replies = []

        def on_reply(reply):
            replies.append(reply.headers)
            self.loop.stop()

        client.request('GET', '/', b'', GIVE_UP_SECONDS, on_reply)
        self.loop.run()
        (headers,) = replies
        self.assertEqual('3', headers['store-era'])
        self.assertNotIn('x-1', headers)

    def test_server_handles_the_path(self):
        server = reactor.HttpServer(
            self.loop, ('127.0.0.1', 0), lambda path: (200, path.encode())
        )
        self.addCleanup(server.close)
        client = reactor.HttpClient(self.loop, server.address, LONG_SECONDS)
        self.addCleanup(client.close)
        self.assertEqual((200, b'/'), self.send_request(client))
