"""Log lines, parsed from the JSON that instances write."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import json

_COMMON_FIELDS = ('time', 'level', 'instance', 'message')


class Line:
    """One log line.

    :param place: its index in the text that was read.
    :param time: the time of day on the instance's clock, in seconds.
    :param instance: the instance that wrote it.
    :param message: the kind of event.
    :param fields: all other fields of the line.
    """

    __slots__ = ('fields', 'instance', 'message', 'place', 'time')

    def __init__(
        self,
        place: int,
        time: float,
        instance: str,
        message: str,
        fields: dict[str, object],
    ) -> None:
        self.place = place
        self.time = time
        self.instance = instance
        self.message = message
        self.fields = fields

    def get(self, name: str) -> str:
        """Return a field as text, or an empty string if it is missing."""
        return str(self.fields.get(name, ''))


def read_lines(source: Iterable[str]) -> Iterator[Line]:
    """Parse log lines.

    Text before the JSON object, such as a log collector's prefix, is
    ignored. Lines that are not log lines of an instance are skipped.

    :param source: lines of text.
    :returns: the log lines.
    """
    for place, text in enumerate(source):
        start = text.find('{"time"')
        if start < 0:
            continue
        try:
            record = json.loads(text[start:])
            yield Line(
                place,
                float(record['time']),
                str(record['instance']),
                str(record['message']),
                {
                    name: value
                    for name, value in record.items()
                    if name not in _COMMON_FIELDS
                },
            )
        except (ValueError, KeyError, TypeError):
            continue
