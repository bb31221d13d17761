"""Tests of lines that wait until the log is loaded."""

import logging

import testtools

from skylarkfold import deferred_log


class _Recorder(logging.Handler):
    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


class LateLogTest(testtools.TestCase):
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

    def test_a_line_is_handed_over_at_once(self):
        self.logger.log(deferred_log.INFO, 'ready', fields={'version': 3})
        (record,) = self.recorder.records
        self.assertEqual('INFO', record.levelname)
        self.assertEqual({'version': 3}, record.fields)

    def test_held_lines_come_in_order_with_their_own_times(self):
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
        said = [each.created for each in self.recorder.records]
        self.assertEqual(sorted(said), said)
        self.assertTrue(all(each.at for each in self.recorder.records))

    def test_what_finds_no_room_is_counted(self):
        self.logger.hold(2)
        for number in range(5):
            self.logger.log(deferred_log.INFO, f'line {number}')
        self.logger.release()
        self.assertEqual(['line 0', 'line 1'], self.list_messages())
        self.assertEqual(3, self.logger.dropped)

    def test_an_exception_keeps_its_traceback_while_it_waits(self):
        self.logger.hold(2)
        try:
            raise ValueError('broken')
        except ValueError:
            self.logger.exception('a callback failed')
        self.logger.release()
        text = logging.Formatter().format(self.recorder.records[0])
        self.assertIn('ValueError: broken', text)

    def test_levels_that_nobody_wants_are_left_out(self):
        self.logger.debug('a stream is full')
        self.assertEqual([], self.recorder.records)
