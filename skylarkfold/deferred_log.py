"""A logger that defers importing ``logging``.

Importing ``logging`` takes a sixth of the startup time (33 of 200 million
instructions), and callers wait for instances to start after a restart of the
whole deployment. Lines can therefore be buffered with their timestamps until
the first callers are served, and are then passed to ``logging`` in order.
"""

from __future__ import annotations

import collections
import sys
import time

NAME = 'skylarkfold'
# The same values as in :mod:`logging`.
DEBUG = 10
INFO = 20
WARNING = 30
ERROR = 40


class LogLine:
    """One log line with its timestamps.

    :ivar created: the time of day.
    :ivar at: the time of a monotonic clock.
    :ivar fields: structured fields by name.
    :ivar is_budgeted: whether it concerns a single flow and is subject to
        the rate limit for such lines.
    :ivar exception_info: an exception with its traceback; None if there is
        none.
    """

    __slots__ = (
        'arguments',
        'at',
        'created',
        'exception_info',
        'fields',
        'is_budgeted',
        'level',
        'message',
    )

    def __init__(
        self,
        level: int,
        message: str,
        arguments: tuple[object, ...],
        fields: dict[str, object],
        is_budgeted: bool,
        exception_info: tuple | None,
    ) -> None:
        self.created = time.time()
        self.at = time.monotonic()
        self.level = level
        self.message = message
        self.arguments = arguments
        self.fields = fields
        self.is_budgeted = is_budgeted
        self.exception_info = exception_info


class DeferredLogger:
    """Passes lines to :mod:`logging`, immediately or after buffering.

    :ivar dropped: the number of lines that did not fit into the buffer.
    """

    __slots__ = ('_buffer', '_buffer_limit', '_logger', 'dropped')

    def __init__(self) -> None:
        self._buffer: collections.deque[LogLine] | None = None
        self._buffer_limit = 0
        self._logger: object = None
        self.dropped = 0

    def hold(self, limit: int) -> None:
        """Buffer lines from now on.

        :param limit: the maximum number of buffered lines; further ones are
            dropped and counted.
        """
        if self._buffer is None:
            self._buffer = collections.deque()
        self._buffer_limit = limit

    def release(self) -> None:
        """Pass on the buffered lines and stop buffering."""
        buffered, self._buffer = self._buffer, None
        for line in buffered or ():
            self._emit(line)

    def log(
        self,
        level: int,
        message: str,
        *arguments: object,
        fields: dict[str, object] | None = None,
        is_budgeted: bool = False,
        exception_info: tuple | None = None,
    ) -> None:
        """Log a line.

        :param level: one of this module's levels.
        :param message: the message, with ``%`` placeholders.
        :param arguments: the values of the placeholders.
        :param fields: structured fields by name.
        :param is_budgeted: whether it concerns a single flow and is subject
            to the rate limit for such lines.
        :param exception_info: an exception with its traceback.
        """
        line = LogLine(
            level,
            message,
            arguments,
            fields or {},
            is_budgeted,
            exception_info,
        )
        if self._buffer is None:
            self._emit(line)
        elif len(self._buffer) < self._buffer_limit:
            self._buffer.append(line)
        else:
            self.dropped += 1

    def debug(self, message: str, *arguments: object) -> None:
        """Log a line at level ``DEBUG``."""
        self.log(DEBUG, message, *arguments)

    def warning(
        self,
        message: str,
        *arguments: object,
        fields: dict[str, object] | None = None,
    ) -> None:
        """Log a line at level ``WARNING``."""
        self.log(WARNING, message, *arguments, fields=fields)

    def exception(self, message: str) -> None:
        """Log the exception that is being handled, at level ``ERROR``."""
        self.log(ERROR, message, exception_info=sys.exc_info())

    def _emit(self, line: LogLine) -> None:
        import logging

        if self._logger is None:
            self._logger = logging.getLogger(NAME)
        if not self._logger.isEnabledFor(line.level):
            return
        record = logging.makeLogRecord(
            {
                'name': NAME,
                'levelno': line.level,
                'levelname': logging.getLevelName(line.level),
                'msg': line.message,
                'args': line.arguments,
                'created': line.created,
                'at': line.at,
                'fields': line.fields,
                'is_budgeted': line.is_budgeted,
                'exc_info': line.exception_info,
            }
        )
        self._logger.handle(record)


LOGGER = DeferredLogger()
