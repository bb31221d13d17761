"""Tests of the event loop, streams and HTTP on loopback."""

import socket
import time

import testtools

from skylarkfold import reactor


class LoopTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = reactor.Loop()

    def run_until_stopped(self):
        # Bounded, so that a fault does not hang the test.
        self.loop.call_later(10.0, self.loop.stop)
        self.loop.run()

    def test_timers_run_in_order(self):
        called = []
        self.loop.call_later(0.02, self.loop.stop)
        self.loop.call_later(0.01, lambda: called.append('second'))
        self.loop.call_later(0.0, lambda: called.append('first'))
        cancelled = self.loop.call_later(0.0, lambda: called.append('no'))
        cancelled.cancel()
        self.run_until_stopped()
        self.assertEqual(['first', 'second'], called)

    def test_exception_in_a_callback_does_not_stop_the_loop(self):
        self.loop.call_later(0.0, lambda: 1 / 0)
        self.loop.call_later(0.01, self.loop.stop)
        self.run_until_stopped()
        self.assertEqual(1, self.loop.failures)

    def test_received_data_is_handled_before_timers_due_meanwhile(self):
        # After a slow callback, a timeout must not fire if the awaited data
        # has already arrived.
        receiver, sender = socket.socketpair()
        self.addCleanup(receiver.close)
        self.addCleanup(sender.close)
        called = []

        def take_long():
            self.loop.call_later(0.001, lambda: called.append('timer'))
            sender.send(b'x')
            time.sleep(0.01)

        def arrive(_events):
            receiver.recv(1)
            called.append('arrived')
            self.loop.call_later(0.01, self.loop.stop)

        self.loop.watch(receiver, reactor.READ, arrive)
        self.loop.call_later(0.0, take_long)
        self.run_until_stopped()
        self.assertEqual(['arrived', 'timer'], called)


class CancelTest(testtools.TestCase):
    def test_cancelled_timer_does_not_wake_the_loop(self):
        loop = reactor.Loop()
        self.addCleanup(loop.close)
        first = loop.call_later(5.0, loop.stop)
        loop.call_later(100.0, loop.stop)
        self.assertLessEqual(loop._compute_wait(), 5.0)
        first.cancel()
        self.assertEqual(10.0, loop._compute_wait())


class HttpTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = reactor.Loop()
        self.replies = []

    def take(self, reply):
        self.replies.append((reply.status, reply.body))
        self.loop.stop()

    def run_until_stopped(self):
        self.loop.call_later(10.0, self.loop.stop)
        self.loop.run()

    def send_request(self, address, timeout_seconds=5.0):
        client = reactor.HttpClient(self.loop, address)
        client.request('GET', '/ready?x=1', b'', timeout_seconds, self.take)
        self.run_until_stopped()
        client.close()

    def test_server_replies_to_a_client(self):
        paths = []

        def answer(path):
            paths.append(path)
            return 200, b'body'

        server = reactor.HttpServer(self.loop, ('127.0.0.1', 0), answer)
        self.send_request(server.address)
        server.close()
        self.assertEqual([(200, b'body')], self.replies)
        self.assertEqual(['/ready'], paths)

    def listen(self, reply):
        def accept(stream):
            def take(_data):
                stream.write(reply)
                stream.finish()

            stream.on_data = take

        listener = reactor.Listener(self.loop, ('127.0.0.1', 0), accept)
        self.addCleanup(listener.close)
        return listener.address

    def test_refused_connection_fails_the_request(self):
        unused = socket.socket()
        unused.bind(('127.0.0.1', 0))
        self.addCleanup(unused.close)
        self.send_request(unused.getsockname())
        self.assertEqual([(0, b'')], self.replies)

    def test_malformed_response_fails_the_request(self):
        self.send_request(self.listen(b'\x00\x01nonsense\r\n\r\n'))
        self.assertEqual([(0, b'')], self.replies)

    def test_truncated_response_fails_the_request(self):
        reply = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf'
        self.send_request(self.listen(reply))
        self.assertEqual([(0, b'')], self.replies)

    def test_surplus_response_is_discarded(self):
        one = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n'
        self.send_request(self.listen(one + b'a' + one + b'b'))
        self.assertEqual([(200, b'a')], self.replies)

    def test_silent_server_times_out(self):
        silent = reactor.Listener(
            self.loop, ('127.0.0.1', 0), lambda stream: None
        )
        self.addCleanup(silent.close)
        self.send_request(silent.address, timeout_seconds=0.05)
        self.assertEqual([(0, b'')], self.replies)

    def test_malformed_request_closes_only_its_connection(self):
        server = reactor.HttpServer(
            self.loop, ('127.0.0.1', 0), lambda path: (200, b'')
        )
        self.addCleanup(server.close)
        stream = reactor.connect(self.loop, server.address)
        closed = []

        def close(reason):
            closed.append(reason)
            self.loop.stop()

        stream.on_close = close
        stream.write(b'\x00\x00\r\n\r\n')
        self.run_until_stopped()
        self.assertEqual(1, len(closed))
