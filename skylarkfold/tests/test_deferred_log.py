"""Tests of the logger that defers importing ``logging``."""

import logging

import testtools

from skylarkfold import deferred_log


class _Recorder(logging.Handler):
    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


class DeferredLoggerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.logger = deferred_log.DeferredLogger()
        self.recorder = _Recorder()
        target = logging.getLogger(deferred_log.NAME)
        before = (target.handlers[:], target.level, target.propagate)
        target.handlers[:] = [self.recorder]
        target.setLevel(logging.INFO)
        target.propagate = False
        self.addCleanup(self.restore, target, *before)

    @staticmethod
    def restore(target, handlers, level, propagate):
        target.handlers[:] = handlers
        target.setLevel(level)
        target.propagate = propagate

    def list_messages(self):
        return [each.getMessage() for each in self.recorder.records]

    def test_line_is_emitted_immediately(self):
        self.logger.log(deferred_log.INFO, 'ready', fields={'version': 3})
        (record,) = self.recorder.records
        self.assertEqual('INFO', record.levelname)
        self.assertEqual({'version': 3}, record.fields)

    def test_buffered_lines_keep_order_and_timestamps(self):
        self.logger.hold(10)
        for name in ('started', 'known', 'ready'):
            self.logger.log(deferred_log.INFO, name)
        self.assertEqual([], self.recorder.records)
        self.logger.release()
        self.logger.warning('settled: %s', 'late')
        self.assertEqual(
            ['started', 'known', 'ready', 'settled: late'],
            self.list_messages(),
        )
        timestamps = [each.created for each in self.recorder.records]
        self.assertEqual(sorted(timestamps), timestamps)
        self.assertTrue(all(each.at for each in self.recorder.records))

    def test_lines_over_limit_are_counted(self):
        self.logger.hold(2)
        for number in range(5):
            self.logger.log(deferred_log.INFO, f'line {number}')
        self.logger.release()
        self.assertEqual(['line 0', 'line 1'], self.list_messages())
        self.assertEqual(3, self.logger.dropped)

    def test_buffered_exception_keeps_traceback(self):
        self.logger.hold(2)
        try:
            raise ValueError('broken')
        except ValueError:
            self.logger.exception('a callback failed')
        self.logger.release()
        text = logging.Formatter().format(self.recorder.records[0])
        self.assertIn('ValueError: broken', text)

    def test_disabled_levels_are_not_emitted(self):
        self.logger.debug('a stream is full')
        self.assertEqual([], self.recorder.records)
