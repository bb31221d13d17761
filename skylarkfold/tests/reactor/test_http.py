"""Tests of the HTTP client and server on streams."""

import testtools

from skylarkfold import reactor

# Longer than any test.
LONG_SECONDS = 600.0
GIVE_UP_SECONDS = 20.0


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

    def test_server_handles_the_path(self):
        server = reactor.HttpServer(
            self.loop, ('127.0.0.1', 0), lambda path: (200, path.encode())
        )
        self.addCleanup(server.close)
        client = reactor.HttpClient(self.loop, server.address, LONG_SECONDS)
        self.addCleanup(client.close)
        self.assertEqual((200, b'/'), self.send_request(client))
