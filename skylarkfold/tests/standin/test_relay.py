"""Tests of the relay with faults in front of the store."""

import json

import testtools

from skylarkfold import reactor
from skylarkfold.standin import packets

HOST = '127.4.0.7'
LONG_SECONDS = 20.0
SHORT_SECONDS = 0.1


class RelayTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = reactor.Loop()
        self.addCleanup(self.loop.close)
        store = packets.ObjectStore()
        store.put('config', 'main', {'version': 1})
        self.server = packets.StoreServer(self.loop, ('127.0.0.1', 0), store)
        self.addCleanup(self.server.close)
        self.relay = packets.FaultyRelay(self.loop, HOST, self.server.address)
        self.addCleanup(self.relay.close)
        self.client = reactor.HttpClient(
            self.loop, self.relay.address, LONG_SECONDS
        )
        self.addCleanup(self.client.close)

    def ask(self, timeout_seconds=LONG_SECONDS):
        """List the configuration; give the status."""
        answers = []

        def answered(reply):
            answers.append((reply.status, reply.body))
            self.loop.stop()

        self.client.request(
            'GET', '/objects/config', b'', timeout_seconds, answered
        )
        self.loop.run()
        status, body = answers[0]
        if status == 200:
            self.assertEqual(1, len(json.loads(body)['items']))
        return status

    def test_calls_are_passed_on(self):
        self.assertEqual(200, self.ask())
        self.assertEqual(200, self.ask())

    def test_the_store_sees_the_host_of_the_relay(self):
        seen = []
        self.server.fault = lambda host: seen.append(host) or 'busy'
        self.assertEqual(503, self.ask())
        self.assertEqual([HOST], seen)

    def test_open_connections_fall_silent_and_new_ones_work(self):
        self.assertEqual(200, self.ask())
        self.relay.silence()
        self.assertEqual(0, self.ask(SHORT_SECONDS))
        self.assertEqual(200, self.ask())

    def test_answers_are_lost_one_way(self):
        self.relay.is_one_way = True
        self.assertEqual(0, self.ask(SHORT_SECONDS))
        self.assertEqual(1, self.server.calls)
        self.relay.is_one_way = False
        self.assertEqual(200, self.ask())

    def test_connections_are_reset(self):
        self.assertEqual(200, self.ask())
        self.relay.reset()
        # The client finds out with its next call.
        self.assertEqual([0, 200], [self.ask(), self.ask()])

    def test_bytes_are_delayed(self):
        self.relay.delay_seconds = LONG_SECONDS
        self.assertEqual(0, self.ask(SHORT_SECONDS))
