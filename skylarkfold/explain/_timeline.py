"""What happened to a fleet, in a few lines.

What many instances found out at the same time is one entry: a verdict on
each of 78 instances, or a restart of all of them.
"""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold.explain import _clocks
from skylarkfold.explain import _line

# Lines of a kind that follow one another within this belong together: what
# all instances see, they see within a second.
_GAP_SECONDS = 1.0
# Written all the time, whatever happens; of doubts, verdicts are told.
_ORDINARY = frozenset({'open', 'known', 'counters', 'doubt'})
# The same, among lines that tell of other things as well.
_ORDINARY_REASONS = frozenset({'advanced'})
_SHOWN_NAMES = 3
# Lines about a whole zone; others name theirs only beside their subject.
_OF_ZONES = 'evacuation'
# Lines about what an instance knows of a topic.
_OF_TOPICS = 'relay'


class Entry:
    """Lines of one kind that were written at about the same time.

    :param kind: what they have in common: the message, its reason and what
        else tells causes apart.
    :param at: when the first was written, on the reference clock.
    :ivar until: when the last was written.
    :ivar count: how many there are.
    :ivar instances: who wrote them.
    :ivar subjects: the upstreams, dependencies, zones or topics that they
        name.
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

        :param at: when it was written.
        :param line: the line.
        """
        self.until = at
        self.count += 1
        self.instances[line.instance] = None
        subject = line.get('upstream') or line.get('name')
        if line.message == _OF_ZONES:
            subject = line.get('zone')
        if line.message == _OF_TOPICS:
            subject = line.get('topic')
        if subject:
            self.subjects[subject] = None


def list_entries(lines: Iterable[_line.Line]) -> list[Entry]:
    """Put the lines of a fleet together.

    :param lines: the lines of all instances.
    :returns: entries in the order in which they began.
    """
    known = list(lines)
    _, clocks = _clocks.align_clocks(known)
    timed = [
        (_clocks.adjust(line, clocks), line)
        for line in known
        if line.message not in _ORDINARY
        and line.get('reason') not in _ORDINARY_REASONS
    ]
    timed.sort(key=lambda each: (each[0], each[1].place))
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
    """Write entries.

    :param entries: the entries.
    :returns: lines of text; times count from the first entry.
    """
    if not entries:
        return 'no line tells of more than ordinary work\n'
    return ''.join(_format(each, entries[0].at) for each in entries)


def _find_kind(line: _line.Line) -> tuple[str, ...]:
    names = ('reason', 'era', 'probe', 'cause')
    details = [line.get(name) for name in names if line.get(name)]
    return (line.message, *details)


def _format(entry: Entry, zero: float) -> str:
    span = f'{entry.at - zero:9.2f}'
    if entry.until > entry.at:
        span += f' to {entry.until - zero:.2f}'
    text = f'{span} s  {" ".join(entry.kind)}: '
    if entry.subjects:
        text += f'{_list_names(entry.subjects)}; '
    lines = 'line' if entry.count == 1 else 'lines'
    return f'{text}{entry.count} {lines} of {_list_names(entry.instances)}\n'


def _list_names(names: dict[str, None]) -> str:
    first = ', '.join(list(names)[:_SHOWN_NAMES])
    rest = len(names) - _SHOWN_NAMES
    return f'{first} and {rest} more' if rest > 0 else first
