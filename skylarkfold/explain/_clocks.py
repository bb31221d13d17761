"""Clocks that differ, set against each other by what all have seen."""

from __future__ import annotations

from collections.abc import Iterable
import statistics

from skylarkfold.explain import _line

# A change of the store reaches all instances within some milliseconds, as
# a rule; the median of several is off by no more.
_MARK = 'known'


class Clock:
    """One instance's clock against the reference.

    :param offset: its time minus the reference's, in seconds.
    :param marks: changes known to both that it was found from; 0 where
        there are none and the clocks are taken to agree.
    """

    __slots__ = ('marks', 'offset')

    def __init__(self, offset: float, marks: int) -> None:
        self.offset = offset
        self.marks = marks


def align_clocks(lines: Iterable[_line.Line]) -> tuple[str, dict[str, Clock]]:
    """Set the instances' clocks against one of them.

    :param lines: the lines of all instances.
    :returns: the reference, and each instance's clock.
    """
    seen: dict[str, dict[tuple[str, str], float]] = {}
    for line in lines:
        marks = seen.setdefault(line.instance, {})
        if line.message == _MARK:
            mark = (line.get('topic'), line.get('revision'))
            marks.setdefault(mark, line.time)
    if not seen:
        return '', {}
    reference = max(sorted(seen), key=lambda name: len(seen[name]))
    return reference, {
        name: _compare(seen[reference], marks) for name, marks in seen.items()
    }


def adjust(line: _line.Line, clocks: dict[str, Clock]) -> float:
    """Tell when a line was written by the reference.

    :param line: the line.
    :param clocks: the instances' clocks.
    :returns: the time on the reference's clock.
    """
    return line.time - clocks[line.instance].offset


def _compare(
    reference: dict[tuple[str, str], float],
    marks: dict[tuple[str, str], float],
) -> Clock:
    differences = [
        marks[mark] - reference[mark] for mark in marks if mark in reference
    ]
    if not differences:
        return Clock(0.0, 0)
    return Clock(statistics.median(differences), len(differences))
