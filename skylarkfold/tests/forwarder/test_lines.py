"""Tests of the log handler: its queue is bounded, it never blocks."""

import json
import logging
import os

import testtools

from skylarkfold.forwarder import _lines
from skylarkfold.forwarder import _settings


class LinesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def build(self, **fields):
        settings = _settings.LogSettings(**fields)
        return _lines.LineHandler('one', settings, self.writer)

    def emit(self, handler, message='m', **extra):
        record = logging.LogRecord(
            'x', logging.INFO, 'p', 1, message, (), None
        )
        for name, value in extra.items():
            setattr(record, name, value)
        handler.emit(record)

    def read(self):
        os.set_blocking(self.reader, False)
        data = b''
        while True:
            try:
                part = os.read(self.reader, 65536)
            except BlockingIOError:
                break
            if not part:
                break
            data += part
        return [json.loads(line) for line in data.splitlines()]

    def test_record_is_one_json_object(self):
        handler = self.build()
        self.emit(handler, fields={'reason': 'placed'})
        handler.flush()
        (line,) = self.read()
        self.assertEqual('placed', line['reason'])
        self.assertEqual('one', line['instance'])

    def test_stalled_reader_does_not_block(self):
        handler = self.build(waiting_lines=100)
        for _ in range(50):
            for _ in range(100):
                self.emit(handler, 'm' * 500)
            handler.flush()
        self.assertGreater(handler.dropped, 0)
        before = len(self.read())
        self.assertGreater(before, 0)
        handler.flush()
        self.emit(handler, 'last')
        handler.flush()
        messages = [line['message'] for line in self.read()]
        self.assertIn('lines left out', messages)
        self.assertIn('last', messages)

    def test_only_lines_about_flows_are_rate_limited(self):
        handler = self.build(lines_per_second=0.001, burst_lines=2)
        for _ in range(5):
            self.emit(handler, 'flow', is_budgeted=True)
        self.emit(handler, 'health')
        handler.flush()
        messages = [line['message'] for line in self.read()]
        self.assertEqual(2, messages.count('flow'))
        self.assertEqual(1, messages.count('health'))
        self.assertEqual(3, handler.dropped)
        self.assertIn('lines left out', messages)

    def test_closed_reader_raises_nothing(self):
        reader, writer = os.pipe()
        os.close(reader)
        self.addCleanup(os.close, writer)
        handler = _lines.LineHandler('one', _settings.LogSettings(), writer)
        self.emit(handler)
        handler.flush()

    def test_deferred_line_keeps_the_time_of_logging(self):
        handler = self.build()
        self.emit(handler, created=1000.5)
        handler.flush()
        (line,) = self.read()
        self.assertEqual(1000.5, line['time'])

    def test_deferred_lines_are_limited_by_the_time_of_logging(self):
        handler = self.build(lines_per_second=1, burst_lines=1)
        for at in (1.0, 1.5, 2.0, 2.5):
            self.emit(handler, str(at), is_budgeted=True, at=at)
        handler.flush()
        messages = [line['message'] for line in self.read()]
        self.assertIn('1.0', messages)
        self.assertIn('2.0', messages)
        self.assertEqual(2, handler.dropped)
