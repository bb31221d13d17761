"""Structured log lines, written without blocking the process.

Lines are queued in memory and written as fast as the reader consumes them.
Lines about single flows are rate-limited. Dropped lines are counted, and the
count is logged in a line of its own.
"""

from __future__ import annotations

import collections
import json
import logging
import os
import select
import time

from skylarkfold import deferred_log
from skylarkfold.forwarder import _settings
from skylarkfold import token_bucket

# POSIX: a pipe that polls writable accepts this much without blocking.
_CHUNK_BYTES = 4096


class LineHandler(logging.Handler):
    """Formats log records as JSON objects, one per line.

    :param instance: the instance's name, a field of each line.
    :param settings: the rate limit and the size of the queue.
    :param descriptor: the file descriptor that lines are written to.
    :ivar dropped: how many lines were dropped.
    """

    def __init__(
        self,
        instance: str,
        settings: _settings.LogSettings,
        descriptor: int = 1,
    ) -> None:
        super().__init__()
        self._instance = instance
        self._settings = settings
        self._descriptor = descriptor
        self._budget = token_bucket.TokenBucket(
            settings.lines_per_second, settings.burst_lines
        )
        self._lines: collections.deque[bytes] = collections.deque()
        self._partial_line = b''
        self.dropped = 0
        self._reported_dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record, with the fields in ``record.fields``."""
        is_full = len(self._lines) >= self._settings.waiting_lines
        if is_full or not self._is_within_budget(record):
            self.dropped += 1
            return
        fields = {
            'time': round(record.created, 3),
            'level': record.levelname.lower(),
            'instance': self._instance,
            'message': record.getMessage(),
        }
        fields.update(getattr(record, 'fields', {}))
        if record.exc_info:
            formatter = logging.Formatter()
            fields['exception'] = formatter.formatException(record.exc_info)
        self._lines.append(_encode(fields))

    def _is_within_budget(self, record: logging.LogRecord) -> bool:
        # Only lines about single flows are frequent enough to be limited.
        if not getattr(record, 'is_budgeted', False):
            return True
        # A deferred line is counted at the time at which it was logged.
        return self._budget.take(getattr(record, 'at', time.monotonic()))

    def flush(self) -> None:
        """Write as many queued lines as fit without blocking."""
        self._queue_dropped_notice()
        while self._partial_line or self._lines:
            if not self._partial_line:
                self._partial_line = self._lines.popleft()
            if not self._write():
                return

    def _write(self) -> bool:
        _, ready, _ = select.select([], [self._descriptor], [], 0)
        if not ready:
            return False
        try:
            written = os.write(
                self._descriptor, self._partial_line[:_CHUNK_BYTES]
            )
        except OSError:
            # The reader has closed the pipe.
            self._lines.clear()
            self._partial_line = b''
            return False
        self._partial_line = self._partial_line[written:]
        return True

    def _queue_dropped_notice(self) -> None:
        count = self.dropped - self._reported_dropped
        if count and len(self._lines) < self._settings.waiting_lines:
            self._reported_dropped = self.dropped
            fields = {
                'time': round(time.time(), 3),
                'level': 'warning',
                'instance': self._instance,
                'message': 'lines left out',
                'count': count,
            }
            self._lines.append(_encode(fields))


def _encode(fields: dict[str, object]) -> bytes:
    text = json.dumps(fields, separators=(',', ':'), default=str)
    return text.encode() + b'\n'


def configure(instance: str, settings: _settings.LogSettings) -> LineHandler:
    """Write the package's log records to standard output.

    :param instance: the instance's name.
    :param settings: the rate limit and the size of the queue.
    :returns: the handler; the caller flushes it regularly.
    """
    handler = LineHandler(instance, settings)
    logger = logging.getLogger(deferred_log.NAME)
    logger.handlers[:] = [handler]
    logger.propagate = False
    logger.setLevel(logging.INFO)
    return handler
