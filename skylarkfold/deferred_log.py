"""The log of instances, which defers loading ``logging``.

Loading ``logging`` takes a sixth of an instance's start (33 of 200 million
instructions), and after a restart of everything callers wait for each tenth
of a second of it. So lines may be held until the first callers are served,
with the times at which they were said, and are then handed over in order.
"""

from __future__ import annotations

import collections
import sys
import time

NAME = 'skylarkfold'
# The levels of the standard library.
DEBUG = 10
INFO = 20
WARNING = 30
ERROR = 40


class LogLine:
    """One line with when it was said.

    :ivar created: the time of day.
    :ivar at: the time of a monotonic clock.
    :ivar fields: what decided it, by name.
    :ivar is_budgeted: whether it is about one flow of many.
    :ivar exception_info: an exception with its traceback, None for none.
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
    """Hands lines to the standard library's logger, at once or later.

    :ivar dropped: lines that did not fit into the buffer.
    """

    __slots__ = ('_held', '_limit', '_logger', 'dropped')

    def __init__(self) -> None:
        self._held: collections.deque[LogLine] | None = None
        self._limit = 0
        self._logger: object = None
        self.dropped = 0

    def hold(self, limit: int) -> None:
        """Have lines wait from now on.

        :param limit: lines that wait at most; more are left out.
        """
        if self._held is None:
            self._held = collections.deque()
        self._limit = limit

    def release(self) -> None:
        """Hand over what waits, and all that comes later at once."""
        held, self._held = self._held, None
        for line in held or ():
            self._hand_over(line)

    def log(
        self,
        level: int,
        message: str,
        *arguments: object,
        fields: dict[str, object] | None = None,
        is_budgeted: bool = False,
        exception_info: tuple | None = None,
    ) -> None:
        """Say a line.

        :param level: one of this module's.
        :param message: what happened, with places for the arguments.
        :param arguments: what to put there.
        :param fields: what decided it, by name.
        :param is_budgeted: whether it is about one flow of many.
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
        if self._held is None:
            self._hand_over(line)
        elif len(self._held) < self._limit:
            self._held.append(line)
        else:
            self.dropped += 1

    def debug(self, message: str, *arguments: object) -> None:
        """Say a line that only developers need."""
        self.log(DEBUG, message, *arguments)

    def warning(
        self,
        message: str,
        *arguments: object,
        fields: dict[str, object] | None = None,
    ) -> None:
        """Say a line about something that is not as it should be."""
        self.log(WARNING, message, *arguments, fields=fields)

    def exception(self, message: str) -> None:
        """Say a line about the exception that is being handled."""
        self.log(ERROR, message, exception_info=sys.exc_info())

    def _hand_over(self, line: LogLine) -> None:
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
