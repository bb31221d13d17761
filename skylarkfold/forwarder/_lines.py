"""Structured log lines that never hold up the process.

Lines wait in memory and are written only as far as the reader takes them.
Decisions have a budget of lines a second. What is left out is counted, and
the count is said in a line of its own.
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

# A pipe that is ready takes this much without blocking (POSIX).
_PORTION_BYTES = 4096


class LineHandler(logging.Handler):
    """Formats records as JSON objects, one a line.

    :param instance: part of each line.
    :param settings: how much is logged.
    :param descriptor: where lines are written.
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
        self._rest = b''
        self.dropped = 0
        self._left_out_said = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record; its fields are in ``record.fields``."""
        is_full = len(self._lines) >= self._settings.waiting_lines
        if is_full or not self._may_write(record):
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

    def _may_write(self, record: logging.LogRecord) -> bool:
        # Only decisions on single flows come in numbers.
        if not getattr(record, 'is_budgeted', False):
            return True
        # A line that was held counts for the time at which it was said.
        return self._budget.take(getattr(record, 'at', time.monotonic()))

    def flush(self) -> None:
        """Write what the reader takes at once."""
        self._say_left_out()
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._lines.popleft()
            if not self._write():
                return

    def _write(self) -> bool:
        _, ready, _ = select.select([], [self._descriptor], [], 0)
        if not ready:
            return False
        try:
            written = os.write(self._descriptor, self._rest[:_PORTION_BYTES])
        except OSError:
            # The reader is gone: there is nobody to tell.
            self._lines.clear()
            self._rest = b''
            return False
        self._rest = self._rest[written:]
        return True

    def _say_left_out(self) -> None:
        count = self.dropped - self._left_out_said
        if count and len(self._lines) < self._settings.waiting_lines:
            self._left_out_said = self.dropped
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
    """Send the package's log records to standard output.

    :param instance: the instance's name.
    :param settings: how much is logged.
    :returns: the handler, to be flushed now and then.
    """
    handler = LineHandler(instance, settings)
    logger = logging.getLogger(deferred_log.NAME)
    logger.handlers[:] = [handler]
    logger.propagate = False
    logger.setLevel(logging.INFO)
    return handler
