"""A timeline of a fleet, with similar log lines grouped into entries.

Lines of the same kind that many instances write at about the same time, such
as a health verdict or a rolling restart, become one entry.
"""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold.explain import _clocks
from skylarkfold.explain import _line

# Lines of one kind belong to one entry while the gap between them is no
# longer; all instances see the same event within a second.
_GAP_SECONDS = 1.0
# Routine messages, which are left out. A doubt that matters is followed by a
# health verdict.
_ROUTINE_MESSAGES = frozenset({'open', 'known', 'counters', 'doubt'})
# Routine reasons of messages that are not routine otherwise.
_ROUTINE_REASONS = frozenset({'advanced'})
_MAX_NAMES = 3
# Lines whose subject is a zone. Other lines may have a zone field, but their
# subject is another.
_ZONE_MESSAGE = 'evacuation'
# Lines whose subject is a topic.
_TOPIC_MESSAGE = 'relay'


class Entry:
    """Log lines of one kind that were written at about the same time.

    :param kind: the message of the lines, their reason and other fields that
        distinguish causes.
    :param at: the time of the first line, on the reference clock.
    :ivar until: the time of the last line.
    :ivar count: the number of lines.
    :ivar instances: the instances that wrote them, in order of first line.
    :ivar subjects: the upstreams, dependencies, zones or topics that they
        name, in order of first line.
    """

    __slots__ = ('at', 'count', 'instances', 'kind', 'subjects', 'until')

    def __init__(self, kind: tuple[str, ...], at: float) -> None:
        self.kind = kind
        self.at = at
        self.until = at
        self.count = 0
        self.instances: dict[str, None] = {}
        self.subjects: dict[str, None] = {}

    def add(self, at: float, line: _line.Line) -> None:
        """Add a line.

        :param at: when it was written, on the reference clock.
        :param line: the line.
        """
        self.until = at
        self.count += 1
        self.instances[line.instance] = None
        subject = line.get('upstream') or line.get('name')
        if line.message == _ZONE_MESSAGE:
            subject = line.get('zone')
        if line.message == _TOPIC_MESSAGE:
            subject = line.get('topic')
        if subject:
            self.subjects[subject] = None


def list_entries(lines: Iterable[_line.Line]) -> list[Entry]:
    """Group the log lines of a fleet into entries.

    :param lines: the log lines of all instances.
    :returns: the entries in order of their first line.
    """
    all_lines = list(lines)
    _, clocks = _clocks.align_clocks(all_lines)
    timed = [
        (_clocks.to_reference_time(line, clocks), line)
        for line in all_lines
        if line.message not in _ROUTINE_MESSAGES
        and line.get('reason') not in _ROUTINE_REASONS
    ]
    timed.sort(key=lambda item: (item[0], item[1].place))
    entries: list[Entry] = []
    latest: dict[tuple[str, ...], Entry] = {}
    for at, line in timed:
        kind = _find_kind(line)
        entry = latest.get(kind)
        if entry is None or at - entry.until > _GAP_SECONDS:
            entry = latest[kind] = Entry(kind, at)
            entries.append(entry)
        entry.add(at, line)
    return entries


def format_entries(entries: list[Entry]) -> str:
    """Format entries as text, one line each.

    :param entries: the entries.
    :returns: lines of text; times count from the first entry.
    """
    if not entries:
        return 'no line tells of more than ordinary work\n'
    return ''.join(_format_entry(entry, entries[0].at) for entry in entries)


def _find_kind(line: _line.Line) -> tuple[str, ...]:
    names = ('reason', 'era', 'probe', 'cause')
    details = [line.get(name) for name in names if line.get(name)]
    return (line.message, *details)


def _format_entry(entry: Entry, start: float) -> str:
    span = f'{entry.at - start:9.2f}'
    if entry.until > entry.at:
        span += f' to {entry.until - start:.2f}'
    text = f'{span} s  {" ".join(entry.kind)}: '
    if entry.subjects:
        text += f'{_list_names(entry.subjects)}; '
    noun = 'line' if entry.count == 1 else 'lines'
    return f'{text}{entry.count} {noun} of {_list_names(entry.instances)}\n'


def _list_names(names: dict[str, None]) -> str:
    shown = ', '.join(list(names)[:_MAX_NAMES])
    hidden = len(names) - _MAX_NAMES
    return f'{shown} and {hidden} more' if hidden > 0 else shown
