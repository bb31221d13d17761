"""Log lines as they were written."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import json

_OWN = ('time', 'level', 'instance', 'message')


class Line:
    """One log line.

    :param place: its number among all lines that were read.
    :param time: the instance's time of day.
    :param instance: who wrote it.
    :param message: what happened.
    :param fields: what decided it.
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
        """Read a field as text; empty where there is none."""
        return str(self.fields.get(name, ''))


def read_lines(source: Iterable[str]) -> Iterator[Line]:
    """Read log lines.

    What stands before the object, as log collectors put it there, is
    passed over, and so is what is no line of ours.

    :param source: lines of text.
    :returns: the log lines.
    """
    for place, text in enumerate(source):
        begin = text.find('{"time"')
        if begin < 0:
            continue
        try:
            found = json.loads(text[begin:])
            yield Line(
                place,
                float(found['time']),
                str(found['instance']),
                str(found['message']),
                {
                    name: value
                    for name, value in found.items()
                    if name not in _OWN
                },
            )
        except (ValueError, KeyError, TypeError):
            continue
