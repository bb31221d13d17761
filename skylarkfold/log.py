"""Structured logging, with one line per decision, in JSON or as text."""

from __future__ import annotations

import collections
import dataclasses
import enum
import logging
import sys
import time

import msgspec

from skylarkfold import effect

LOGGER_NAME = 'skylarkfold'
DECISIONS_NAME = 'skylarkfold.decisions'

_BATCH_LINES = 4096
_encoder = msgspec.json.Encoder()


class LogForm(enum.StrEnum):
    """The format of log lines."""

    JSON = 'json'
    TEXT = 'text'


@dataclasses.dataclass(frozen=True, slots=True)
class LogSettings:
    """The settings of the log.

    :param form: JSON objects or ``name=value`` text, one per line.
    :param level: the lowest level to write, a level name of
        :mod:`logging`.
    :param path: the file to append to; empty for standard error.
    :param packets: whether to log each forwarded datagram as well as each
        placement.
    :param queue_lines: the maximum number of decision lines that wait to
        be written; further ones are dropped and counted.
    """

    form: LogForm = LogForm.JSON
    level: str = 'INFO'
    path: str = ''
    packets: bool = True
    queue_lines: int = 65536


class LineFormatter(logging.Formatter):
    """Formats a record as one structured line.

    :param instance: the name of this instance, included in each line.
    :param form: JSON or text.
    """

    def __init__(self, instance: str, form: LogForm) -> None:
        super().__init__()
        self._instance = instance
        self._form = form

    def format(self, record: logging.LogRecord) -> str:
        """Format the record's fields in a fixed order."""
        if record.name == DECISIONS_NAME:
            return record.getMessage()
        fields = {
            'time': round(record.created, 3),
            'level': record.levelname.lower(),
            'instance': self._instance,
            'message': record.getMessage(),
        }
        if record.exc_info:
            fields['exception'] = self.formatException(record.exc_info)
        return format_fields(fields, self._form)


def format_fields(fields: dict[str, object], form: LogForm) -> str:
    """Format named fields as one line.

    :param fields: the fields in output order.
    :param form: JSON or text.
    :returns: the line without a line break.
    """
    if form is LogForm.JSON:
        return msgspec.json.encode(fields).decode()
    return ' '.join(f'{name}={value}' for name, value in fields.items())


def configure(instance: str, settings: LogSettings) -> logging.Logger:
    """Set up the loggers of this process.

    :param instance: the name of this instance.
    :param settings: the settings of the log.
    :returns: the package's logger.
    """
    logger = logging.getLogger(LOGGER_NAME)
    handler: logging.Handler = logging.StreamHandler(sys.stderr)
    if settings.path:
        handler = logging.FileHandler(settings.path)
    handler.setFormatter(LineFormatter(instance, settings.form))
    logger.handlers = [handler]
    logger.setLevel(settings.level)
    logger.propagate = False
    return logger


class DecisionLog:
    """Queues decisions without blocking and writes them in batches.

    :param instance: the name of this instance, included in each line.
    :param settings: the settings of the log.
    :ivar dropped: the number of lines dropped because the queue was full.
    """

    def __init__(self, instance: str, settings: LogSettings) -> None:
        self._instance = instance
        self._form = settings.form
        self._logger = logging.getLogger(DECISIONS_NAME)
        self._lines: collections.deque[tuple[str, ...]] = collections.deque()
        self._queue_limit = settings.queue_lines
        self.dropped = 0

    def append(
        self, kind: str, service: str, subject: object, upstream: str, why: str
    ) -> None:
        """Queue one decision given by its parts.

        :param kind: the type of decision.
        :param service: the service's name.
        :param subject: the flow, request, bucket or member concerned.
        :param upstream: the chosen upstream; empty if there is none.
        :param why: the reason for the decision.
        """
        if len(self._lines) >= self._queue_limit:
            self.dropped += 1
            return
        self._lines.append((kind, service, subject, upstream, why))

    def record(self, decision: effect.RecordDecision) -> None:
        """Queue one decision.

        :param decision: the decision that a core reported.
        """
        self.append(
            decision.kind,
            decision.service,
            decision.subject,
            decision.upstream,
            decision.reason,
        )

    def flush(self) -> int:
        """Write queued lines as one record.

        The batch size is limited because formatting blocks the event loop.

        :returns: the number of lines written; 0 if the queue is empty.
        """
        count = min(len(self._lines), _BATCH_LINES)
        if not count:
            return 0
        lines = [self._lines.popleft() for _ in range(count)]
        now = round(time.time(), 3)
        form = self._format_json
        if self._form is LogForm.TEXT:
            form = self._format_text
        self._logger.info(form(now, lines))
        return count

    def _format_json(self, now: float, lines: list[tuple[str, ...]]) -> str:
        instance = self._instance
        decisions = [_DecisionLine(now, instance, *line) for line in lines]
        return _encoder.encode_lines(decisions).decode().rstrip('\n')

    def _format_text(self, now: float, lines: list[tuple[str, ...]]) -> str:
        start = f'time={now} instance={self._instance}'
        return '\n'.join(
            f'{start} decision={kind} service={service} subject={subject}'
            f' upstream={upstream} reason={why}'
            for kind, service, subject, upstream, why in lines
        )


class _DecisionLine(msgspec.Struct):
    time: float
    instance: str
    decision: str
    service: str
    subject: object
    upstream: str
    reason: str
