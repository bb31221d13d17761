"""Clock offsets between instances, estimated from store changes.

Each instance logs when it learns of a change of the store; changes that two
instances both logged give the difference between their clocks.
"""

from __future__ import annotations

from collections.abc import Iterable
import statistics

from skylarkfold.explain import _line

# Logged by each instance that learns of a change. A change usually reaches
# all instances within milliseconds, so the median over several changes is as
# accurate.
_CHANGE_MESSAGE = 'known'


class Clock:
    """Offset of one instance's clock from the reference clock.

    :param offset: the instance's time minus the reference's, in seconds.
    :param shared_changes: number of changes, logged by both instances, that
        the offset was estimated from; 0 if there are none and the clocks are
        assumed to agree.
    """

    __slots__ = ('offset', 'shared_changes')

    def __init__(self, offset: float, shared_changes: int) -> None:
        self.offset = offset
        self.shared_changes = shared_changes


def align_clocks(lines: Iterable[_line.Line]) -> tuple[str, dict[str, Clock]]:
    """Estimate each instance's clock offset from a reference instance.

    The reference is the instance that logged the most changes.

    :param lines: the log lines of all instances.
    :returns: the name of the reference instance, and the clock of each
        instance by name.
    """
    change_times: dict[str, dict[tuple[str, str], float]] = {}
    for line in lines:
        times = change_times.setdefault(line.instance, {})
        if line.message == _CHANGE_MESSAGE:
            change = (line.get('topic'), line.get('revision'))
            times.setdefault(change, line.time)
    if not change_times:
        return '', {}
    reference = max(
        sorted(change_times), key=lambda name: len(change_times[name])
    )
    return reference, {
        name: _estimate_clock(change_times[reference], times)
        for name, times in change_times.items()
    }


def to_reference_time(line: _line.Line, clocks: dict[str, Clock]) -> float:
    """Return the time of a line on the reference clock.

    :param line: the line.
    :param clocks: the clock of each instance by name.
    :returns: the time on the reference clock.
    """
    return line.time - clocks[line.instance].offset


def _estimate_clock(
    reference_times: dict[tuple[str, str], float],
    times: dict[tuple[str, str], float],
) -> Clock:
    differences = [
        times[change] - reference_times[change]
        for change in times
        if change in reference_times
    ]
    if not differences:
        return Clock(0.0, 0)
    return Clock(statistics.median(differences), len(differences))
