"""Tests of instances as processes on the loopback interface."""

import json
import os
import pathlib
import re
import signal
import tempfile

import testtools

from skylarkfold import explain
from skylarkfold import reactor
from skylarkfold.soak import _environment
from skylarkfold.standin import packets

# Limits a run that hangs.
LONGEST_SECONDS = 60.0
# Entries of another writer that aren't valid JSON.
DAMAGED = {
    'i-0': b'{"note":"\x00\x01"}',
    'i-1': b'{"note":{"a":1}',
    'i-2': rb'{"note":"\q"}',
    'z-1': b'\x9f\xff',
}


class ProcessesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.world = _environment.Environment(
            pathlib.Path(scratch.name), 1, {'a': 2, 'b': 1}, upstreams=1
        )
        self.addCleanup(self.world.end)
        self.limit = self.world.loop.now() + LONGEST_SECONDS
        # The output of this instance is never read.
        unread, output = os.pipe()
        self.addCleanup(os.close, unread)
        self.addCleanup(os.close, output)
        self.world.instances[2].output = output
        self.world.start()
        self.exchanges = []
        self.caller = self.world.callers[0]

    def run_until(self, condition):
        """Run the loop until a condition holds or time is up."""

        def look():
            if condition() or self.world.loop.now() > self.limit:
                self.world.loop.stop()
            else:
                self.world.loop.call_later(0.02, look)

        self.world.loop.call_later(0.0, look)
        self.world.loop.run()
        self.assertTrue(condition())

    def wait_for_rotation(self):
        instances = self.world.instances
        fabric = self.world.fabric
        self.run_until(
            lambda: all(fabric.is_in_rotation(each.name) for each in instances)
        )

    def ask(self, flow):
        """Send a request and wait for its end."""
        exchange = packets.Exchange(self.world.name_request())
        flow.request(exchange, 5.0, self.exchanges.append)
        self.run_until(lambda: exchange.outcome)
        return exchange

    def open(self):
        address, _, _ = _environment.ROUTES[0]
        return self.caller.open(address)

    def test_flow_survives_a_restart_of_all_instances(self):
        self.wait_for_rotation()
        flow = self.open()
        self.assertEqual(packets.ANSWERED, self.ask(flow).outcome)
        self.world.kill_all()
        again = self.ask(flow)
        self.assertEqual(packets.ANSWERED, again.outcome)
        self.assertEqual('desk', again.answer)
        self.assertEqual([], flow.resets)

    def test_draining_upstream_keeps_flows_and_gets_no_new_ones(self):
        self.wait_for_rotation()
        flow = self.open()
        self.ask(flow)
        drained = self.world.find_upstream(flow.upstream_echo)
        drained.is_draining = True
        self.world.register(drained)
        self.run_until(
            lambda: all(
                '"reason":"draining"' in each.read_log()
                for each in self.world.instances[:2]
            )
        )
        others = {self._open_once() for _ in range(6)}
        self.assertNotIn(drained, others)
        self.assertEqual(packets.ANSWERED, self.ask(flow).outcome)

    def test_instances_start_and_drain_beside_damaged_entries(self):
        """Guards against one entry that ends all news of upstreams."""
        self.wait_for_rotation()
        for name, value in DAMAGED.items():
            self.world.store.put('servers', name, value)
        starting = self.world.instances[:2]
        before = [len(each.read_log()) for each in starting]
        self.world.kill_all()
        self.run_until(
            lambda: all(
                '"ready"' in each.read_log()[length:]
                for each, length in zip(starting, before, strict=True)
            )
        )
        self.wait_for_rotation()
        self.test_draining_upstream_keeps_flows_and_gets_no_new_ones()
        # An instance that learned of the entries from a peer got empty ones.
        for each in starting:
            for name in DAMAGED:
                kinds = re.findall(
                    rf'"kind":"(\w+)","name":"{name}"', each.read_log()
                )
                self.assertLessEqual({*kinds}, {'damaged', 'upstream'})
                self.assertNotEqual([], kinds)

    def _open_once(self):
        flow = self.open()
        self.assertEqual(packets.ANSWERED, self.ask(flow).outcome)
        flow.finish()
        return self.world.find_upstream(flow.upstream_echo)

    def test_flows_are_reset_when_an_address_is_reused(self):
        self.wait_for_rotation()
        flow = self.open()
        self.ask(flow)
        old = self.world.find_upstream(flow.upstream_echo)
        old.end()
        self.world.forget(old)
        new = self.world.add_upstream('vault', old.zone, old.address)
        exchange = self.ask(flow)
        self.assertEqual('reset', exchange.outcome)
        self.assertEqual([], new.runs)

    def test_graceful_shutdown_loses_no_request(self):
        self.wait_for_rotation()
        self.world.instances[0].send(signal.SIGTERM)
        flows = [self.open() for _ in range(10)]
        for _ in range(4):
            for flow in flows:
                self.assertEqual(packets.ANSWERED, self.ask(flow).outcome)
        self.assertEqual([], self.world.instances[0].unexpected_exits)

    def test_truncated_settings_file_keeps_the_previous_settings(self):
        self.wait_for_rotation()
        instance = self.world.instances[0]
        instance.truncate_settings(30.0)
        instance.send(signal.SIGHUP)
        self.run_until(lambda: '"reason":"kept"' in instance.read_log())
        self.assertEqual(packets.ANSWERED, self.ask(self.open()).outcome)
        self.assertEqual([], instance.unexpected_exits)

    def test_truncated_settings_file_delays_a_start(self):
        """Guards against instances that end by themselves."""
        self.wait_for_rotation()
        instance = self.world.instances[0]
        contents = instance.settings_path.read_text()
        instance.settings_path.write_text(contents[: len(contents) // 2])
        instance.send(signal.SIGKILL)
        waiting = 'reading it again'
        self.run_until(lambda: waiting in instance.read_log())
        # The platform tells of the file before the instance can be told.
        instance.send(signal.SIGHUP)
        instance.settings_path.write_text(contents)
        self.run_until(
            lambda: '"ready"' in instance.read_log().split(waiting)[-1]
        )
        self.assertEqual([], instance.unexpected_exits)

    def fetch(self, address):
        """Fetch the metrics of an instance."""
        answers = []
        client = reactor.HttpClient(self.world.loop, address)
        client.request('GET', '/metrics', b'', 5.0, answers.append)
        self.run_until(lambda: answers)
        client.close()
        (reply,) = answers
        self.assertEqual(200, reply.status)
        return reply.body.decode()

    def test_metrics_count_placed_flows(self):
        self.wait_for_rotation()
        for _ in range(5):
            self._open_once()
        texts = [
            self.fetch(each.metrics_address)
            for each in self.world.instances[:2]
        ]
        for text in texts:
            self.assertIn('skylarkfold_ready 1', text)
            self.assertIn('skylarkfold_answer_seconds_count', text)
        placed = re.findall(
            r'open_total\{reason="placed"\} (\d+)', ''.join(texts)
        )
        self.assertEqual(5, sum(int(each) for each in placed))

    def test_shares_are_enabled_by_reloaded_settings(self):
        self.wait_for_rotation()
        instance = self.world.instances[0]
        address = instance.metrics_address
        self.assertNotIn('services_short', self.fetch(address))
        settings = json.loads(instance.settings_path.read_text())
        settings['terms'] = ['pressure']
        instance.settings_path.write_text(json.dumps(settings))
        self.run_until(lambda: '"reason":"reloaded"' in instance.read_log())
        self.assertIn('skylarkfold_services_short 0', self.fetch(address))
        # Invalid settings are logged and change nothing.
        forwarder_settings = json.loads(
            instance._process_settings_path.read_text()
        )
        forwarder_settings['shares'] = {'weights': {'192.0.2.0/24': 0}}
        instance._process_settings_path.write_text(
            json.dumps(forwarder_settings)
        )
        instance.send(signal.SIGHUP)
        place = '$.shares.weights.192.0.2.0/24'
        self.run_until(lambda: place in instance.read_log())
        self.assertIn('skylarkfold_services_short 0', self.fetch(address))
        for _ in range(5):
            self.assertEqual(packets.ANSWERED, self.ask(self.open()).outcome)
        self.assertEqual([], instance.unexpected_exits)

    def test_unread_log_does_not_block_the_instance(self):
        self.wait_for_rotation()
        (caller,) = [each for each in self.world.callers if each.zone == 'b']
        address, _, _ = _environment.ROUTES[0]
        # A few hundred lines fill the pipe.
        for _ in range(600):
            caller.open(address).finish()
        flow = caller.open(address)
        self.assertEqual(packets.ANSWERED, self.ask(flow).outcome)
        text = self.fetch(self.world.instances[2].metrics_address)
        self.assertIn('skylarkfold_ready 1', text)

    def test_history_of_a_flow_is_built_from_logs(self):
        self.wait_for_rotation()
        flow = self.open()
        self.ask(flow)
        host, port = flow.source
        name = f'{host}:{port}'
        logs = self.world.instances[:2]
        self.run_until(lambda: any(name in each.read_log() for each in logs))
        lines = [
            line
            for each in logs
            for line in explain.read_lines(each.read_log().splitlines())
        ]
        story = explain.build_history(name, lines)
        upstream = self.world.find_upstream(flow.upstream_echo)
        self.assertEqual([upstream.name], story.upstreams)
        self.assertIn('routes', [each.line.message for each in story.events])
